#!/usr/bin/env bash
# Formatter, linters and the shape check.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh

format_clean() {
  local files
  files=$(git ls-files '*.go' | xargs -r .bin/gofumpt -l)
  [ -z "$files" ] || { echo "not formatted:"; echo "$files"; return 1; }
}

patterns() { modules | sed 's|.*|./&/...|'; }
vet_all() { go vet $(patterns); }
staticcheck_all() { .bin/staticcheck $(patterns); }

step "gofumpt" format_clean
step "vet" vet_all
step "staticcheck" staticcheck_all
step "shape" .bin/shapecheck .
finish
