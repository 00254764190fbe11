#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, without a network: they use the standard library only.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../bin
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/rig .
