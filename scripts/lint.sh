#!/usr/bin/env bash
# Checks the formatting, runs the linters and checks the layout and concurrency rules with shapecheck.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh

check_format() {
  local files
  files=$(git ls-files '*.go' | xargs -r .bin/gofumpt -l)
  [ -z "$files" ] || { echo "not formatted:"; echo "$files"; return 1; }
}

module_patterns() { modules | sed 's|.*|./&/...|'; }
vet_all() { go vet $(module_patterns); }
staticcheck_all() { .bin/staticcheck $(module_patterns); }

step "gofumpt" check_format
step "vet" vet_all
step "staticcheck" staticcheck_all
step "shape" .bin/shapecheck .
finish
