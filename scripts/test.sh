#!/usr/bin/env bash
# Runs all checks of the tree: linters, tests with the race detector, model check. The tests listed in KNOWN-RED.txt are
# skipped and printed.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh

# Prints a regular expression that matches the tests in KNOWN-RED.txt.
known_failures() { [ -f KNOWN-RED.txt ] && sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -; }

# The crowd tests measure processes and run with nothing beside them.
crowd_package=./daemon/crowdtest

test_packages() { # PACKAGE...
  local skip
  skip=$(known_failures)
  if [ -n "$skip" ]; then
    go test -race -count=1 -skip "^($skip)\$" "$@"
  else
    go test -race -count=1 "$@"
  fi
}

test_module() { # MODULE
  test_packages $(go list -f '{{.Dir}}' "./$1/..." | grep -v "/${crowd_package#./}\$")
}

[ -f KNOWN-RED.txt ] && { echo "known failures, skipped:"; cat KNOWN-RED.txt; }
step "tools" bash scripts/tools.sh
step "lint" bash scripts/lint.sh
for m in $(modules); do
  step "test $m" test_module "$m"
done
step "crowds" test_packages -timeout 20m "$crowd_package"
[ -f scripts/model.sh ] && step "model" bash scripts/model.sh
finish
