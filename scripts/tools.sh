#!/usr/bin/env bash
# Builds the linters into .bin and installs spin if it is missing.
set -eu
cd "$(dirname "$0")/.."
mkdir -p .bin
(cd tools && GOWORK=off go build -o ../.bin/ honnef.co/go/tools/cmd/staticcheck mvdan.cc/gofumpt ./shapecheck)
if ! command -v spin >/dev/null; then
  if [ "$(id -u)" = 0 ] && command -v apt-get >/dev/null; then
    apt-get install -y -qq spin >/dev/null 2>&1 || { apt-get update -qq && apt-get install -y -qq spin >/dev/null; }
  fi
fi
command -v spin >/dev/null || { echo "missing: spin (Debian package spin), needed by make model"; exit 1; }
