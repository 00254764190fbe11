#!/usr/bin/env bash
# Runs all checks of the tree: linters, tests with the race detector, model check. The tests listed in KNOWN-RED.txt are
# skipped and printed.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh

# Prints a regular expression that matches the tests in KNOWN-RED.txt.
known_failures() { [ -f KNOWN-RED.txt ] && sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -; }

test_module() {
  local skip
  skip=$(known_failures)
  if [ -n "$skip" ]; then
    go test -race -count=1 -skip "^($skip)\$" "./$1/..."
  else
    go test -race -count=1 "./$1/..."
  fi
}

[ -f KNOWN-RED.txt ] && { echo "known failures, skipped:"; cat KNOWN-RED.txt; }
step "tools" bash scripts/tools.sh
step "lint" bash scripts/lint.sh
for m in $(modules); do
  step "test $m" test_module "$m"
done
[ -f scripts/model.sh ] && step "model" bash scripts/model.sh
finish
