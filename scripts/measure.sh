#!/usr/bin/env bash
# Compares the system with its baselines, both measured in the same run, and benchmarks the decision modules. Takes under
# 90 s. To add a measurement, add a line at the end.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh

seed=${SEED:-1}

compare() { show "$1" .bin/sail-measure -seed "$seed" "$1"; }

# bench MODULE PATTERN: fails if no benchmark of the module matches the pattern.
bench() { show "bench $1 $2" run_benchmark "$@"; }
run_benchmark() {
  local lines
  lines=$(go test -run '^$' -bench "$2" -benchmem -benchtime 200ms "./$1" | grep '^Benchmark')
  [ -n "$lines" ] && echo "$lines"
}

echo "seed $seed, $(nproc) cores, $(go version | cut -d' ' -f3), $(date -u +%F), load $(cut -d' ' -f1 /proc/loadavg)"
mkdir -p .bin
step "build" go build -o .bin/ ./cmd/sail-measure
compare imbalance
compare recovery
compare churn
compare hot-keys
compare runs
compare quota
bench routing 'Keyed|TwoChoices'
bench placement 'Plan|Sketch'
bench dispatch '.'
bench dispatch/measure 'Measure'
bench ring '.'
bench transport/peer 'Call'
finish
