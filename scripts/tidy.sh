#!/usr/bin/env bash
# Points every module's requirements on its siblings at the workspace folders, then tidies each module.
set -eu
cd "$(dirname "$0")/.."
mods=$(sed -n 's|^\t\./||p' go.work)
for m in $mods; do
  for s in $mods; do
    [ "$s" = "$m" ] && continue
    (cd "$m" && GOWORK=off go mod edit -replace "sequoiasail.example/$s=../$s")
  done
done
for m in $mods; do
  (cd "$m" && GOWORK=off go mod tidy)
done
go work sync
