#!/usr/bin/env bash
# Checks the ownership protocol with spin. The complete models must be free of errors; each variant in which one guard of
# the protocol is disabled must violate the specification. Up to four searches run in parallel, each in its own temporary
# folder with at most 900 MB of memory.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
models=$PWD/model
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# search NAME MODEL safety|liveness [-DGUARD...]: runs one search and writes its output to $work/NAME.out.
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

# start_search runs search in the background, at most four at a time.
start_search() {
  while [ "$(jobs -rp | wc -l)" -ge 4 ]; do wait -n; done
  search "$@" &
}

# Prints the number of states that the search stored.
states() { sed -n 's/ *\([0-9]*\) states, stored.*/\1 states/p' "$work/$1.out"; }
# Succeeds if the search was complete and found no error.
expect_no_error() { grep -q 'errors: 0' "$work/$1.out" && ! grep -q 'max search depth too small\|out of memory' "$work/$1.out" || { cat "$work/$1.out"; return 1; }; }
# Succeeds if the search found a violation.
expect_violation() { grep -q 'assertion violated\|acceptance cycle' "$work/$1.out" && grep -q 'errors: [1-9]' "$work/$1.out" || { cat "$work/$1.out"; return 1; }; }

# Prints the bounds of a search. To limit the state space, the loss of a member is searched with one change of the member
# list only; searches with two changes have no loss.
search_bounds() {
  case $1 in
    group-RESTARTED_VOUCHES | group-loss-safe) echo "-DLOSSES=1 -DCHANGES=1" ;;
  esac
}

# Prints the guards of a model that are disabled one by one. LIVENESS, CHANGES and LOSSES are parameters of the
# searches, not guards, and NO_READ_BACK has a search of its own. LOST_COUNTS_WITHOUT_READ is left out: its violation
# needs two changes and a loss, a search that exceeds the time limit, see docs/PROOFS.md.
guards() { grep -o '^#if\(n\?def\) [A-Z_]\+' "$models/$1.pml" | awk '{print $2}' | grep -v '^LIVENESS$\|^NO_READ_BACK$\|^CHANGES$\|^LOSSES$\|^LOST_COUNTS_WITHOUT_READ$' | sort -u; }

start_search lease-served lease liveness -DLIVENESS
start_search lease-safe lease safety
start_search group-safe group safety
start_search group-loss-safe group safety $(search_bounds group-loss-safe)
start_search table-safe table safety
start_search lease-NO_READ_BACK lease liveness -DLIVENESS -DNO_READ_BACK
for model in lease group table; do
  for guard in $(guards $model); do start_search "$model-$guard" "$model" safety "-D$guard" $(search_bounds "$model-$guard"); done
done
wait

for name in lease-safe lease-served group-safe group-loss-safe table-safe; do step "$name without errors ($(states "$name"))" expect_no_error "$name"; done
step "lease NO_READ_BACK violation found" expect_violation lease-NO_READ_BACK
for model in lease group table; do
  for guard in $(guards $model); do step "$model $guard violation found" expect_violation "$model-$guard"; done
done
finish
