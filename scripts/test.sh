#!/usr/bin/env bash
# Everything that decides whether the tree is good: linters, tests under the race detector, model check.
# Tests listed in KNOWN-RED.txt are passed over and printed.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh

known_red() { [ -f KNOWN-RED.txt ] && sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -; }

test_module() {
  local skip
  skip=$(known_red)
  if [ -n "$skip" ]; then
    go test -race -count=1 -skip "^($skip)\$" "./$1/..."
  else
    go test -race -count=1 "./$1/..."
  fi
}

[ -f KNOWN-RED.txt ] && { echo "known red, passed over:"; cat KNOWN-RED.txt; }
step "tools" bash scripts/tools.sh
step "lint" bash scripts/lint.sh
for m in $(modules); do
  step "test $m" test_module "$m"
done
[ -f scripts/model.sh ] && step "model" bash scripts/model.sh
finish
