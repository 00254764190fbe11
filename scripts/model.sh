#!/usr/bin/env bash
# Checks the ownership protocol with spin: the correct models must hold, every variant without a guard must fail.
# Up to four checks run at a time, each in a temporary folder of its own with at most 900 MB.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
models=$PWD/model
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# search NAME MODEL safety|liveness [-DGUARD...]: runs one search, leaves its output in $work/NAME.out.
search() {
  local name=$1 model=$2 kind=$3
  shift 3
  mkdir -p "$work/$name"
  cd "$work/$name" || return
  local compile=(-O2 -DMEMLIM=900) run=(-E -m100000)
  if [ "$kind" = liveness ]; then
    compile+=(-DNFAIR=4)
    run=(-a -f -m100000)
  else
    compile+=(-DSAFETY)
  fi
  { spin -a "$@" "$models/$model.pml" && gcc "${compile[@]}" -o pan pan.c && ./pan "${run[@]}"; } >"$work/$name.out" 2>&1
}

# start runs search in the background, four at a time.
start() {
  while [ "$(jobs -rp | wc -l)" -ge 4 ]; do wait -n; done
  search "$@" &
}

states() { sed -n 's/ *\([0-9]*\) states, stored.*/\1 states/p' "$work/$1.out"; }
holds() { grep -q 'errors: 0' "$work/$1.out" && ! grep -q 'max search depth too small\|out of memory' "$work/$1.out" || { cat "$work/$1.out"; return 1; }; }
caught() { grep -q 'assertion violated\|acceptance cycle' "$work/$1.out" && grep -q 'errors: [1-9]' "$work/$1.out" || { cat "$work/$1.out"; return 1; }; }

# The loss of a member is searched with one change of the list, two changes without a loss.
bounds() {
  case $1 in
    group-RESTARTED_VOUCHES | group-loss-safe) echo "-DLOSSES=1 -DCHANGES=1" ;;
  esac
}

# LOST_COUNTS_WITHOUT_READ needs two changes and a loss: over the time limit, see docs/PROOFS.md.
guards() { grep -o '^#if\(n\?def\) [A-Z_]\+' "$models/$1.pml" | awk '{print $2}' | grep -v '^LIVENESS$\|^NO_READ_BACK$\|^CHANGES$\|^LOSSES$\|^LOST_COUNTS_WITHOUT_READ$' | sort -u; }

start lease-served lease liveness -DLIVENESS
start lease-safe lease safety
start group-safe group safety
start group-loss-safe group safety $(bounds group-loss-safe)
start table-safe table safety
start lease-NO_READ_BACK lease liveness -DLIVENESS -DNO_READ_BACK
for model in lease group table; do
  for guard in $(guards $model); do start "$model-$guard" "$model" safety "-D$guard" $(bounds "$model-$guard"); done
done
wait

for name in lease-safe lease-served group-safe group-loss-safe table-safe; do step "$name holds ($(states "$name"))" holds "$name"; done
step "lease NO_READ_BACK caught" caught lease-NO_READ_BACK
for model in lease group table; do
  for guard in $(guards $model); do step "$model $guard caught" caught "$model-$guard"; done
done
finish
