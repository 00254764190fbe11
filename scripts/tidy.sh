#!/usr/bin/env bash
# Adds replace directives for the workspace folders to each module, then tidies all modules.
set -eu
cd "$(dirname "$0")/.."
modules=$(sed -n 's|^\t\./||p' go.work)
for module in $modules; do
  for sibling in $modules; do
    [ "$sibling" = "$module" ] && continue
    (cd "$module" && GOWORK=off go mod edit -replace "sequoiasail.example/$sibling=../$sibling")
  done
done
for module in $modules; do
  (cd "$module" && GOWORK=off go mod tidy)
done
go work sync
