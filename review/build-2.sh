#!/usr/bin/env bash
# Builds the stand-ins and clients of the second review's scripts, without a network: they use the standard library only.
set -eu
cd "$(dirname "$0")/rig2"
mkdir -p ../bin
GOWORK=off GOFLAGS=-buildvcs=false go test -c -o ../bin/rig2 .
