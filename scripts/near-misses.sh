#!/usr/bin/env bash
# Plays a day of the users' bench with several seeds and prints, for each play, the rules that were broken, and how long after the
# acknowledgement the last request came to a leaving target or was handled by an older configuration (median and most, ms). The tail
# of these times shows how near to its bound a rule is kept, which plays without a broken rule do not tell.
# Usage: BENCH=path/of/fleetbench scripts/near-misses.sh SITE DAY SECONDS SEED...
set -u
cd "$(dirname "$0")/.."
: "${BENCH:?path of fleetbench}"
[ $# -ge 4 ] || { sed -n 's/^# Usage: //p' "$0" >&2; exit 2; }
site=$1 day=$2 seconds=$3
shift 3
reports=$(mktemp -d)
trap 'rm -rf "$reports"' EXIT

# Prints one line for the play of a seed.
summary() { # SEED
  jq -r --arg seed "$1" '
    def times($name): (.times[$name] // ["-", "-"]) | "\(.[0])/\(.[1])";
    "seed \($seed): broken \(.breaks | if length == 0 then "none" else tojson end), leaving \(times("leaving in force")), " +
    "configuration \(times("config in force")), served \(.served), " + (.fault // "no fault")' "$reports/$1.json"
}

for seed in "$@"; do
  "$BENCH" run "$site" "$day" --vary --seed "$seed" --until "$seconds" --jobs "${JOBS:-3}" --day-cap 2000 \
    --report "$reports/$seed.json" --why "near misses of $day, seed $seed, until $seconds s" > "$reports/$seed.log" 2>&1
  if [ -s "$reports/$seed.json" ]; then
    summary "$seed"
  else
    echo "seed $seed: not played: $(tail -1 "$reports/$seed.log")"
  fi
  grep -E '^[A-Z]{4,8} at ' "$reports/$seed.log"
done
