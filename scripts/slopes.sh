#!/usr/bin/env bash
# Measures at several sizes what docs/CAPACITY.md extrapolates: message and document costs in benchmarks, and store
# calls, processor time and memory of idle processes with 3, 6 and 12 VMs. Takes about two minutes.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
. scripts/fleet.sh
trap 'kill $(jobs -p) 2>/dev/null' EXIT

seconds=8
ticks=$(getconf CLK_TCK)

bench() { go test -run '^$' -bench "$2" -benchmem -benchtime 200ms "./$1" | grep '^Benchmark'; }

processor_ticks() { # PID...: sum of user and system time
  local pid sum=0 t
  for pid in "$@"; do
    t=$(sed 's/.*) //' "/proc/$pid/stat" | awk '{print $12 + $13}')
    sum=$((sum + t))
  done
  echo "$sum"
}

resident_mb() { # PID...: mean in MB
  local pid
  for pid in "$@"; do awk '/VmRSS/ {print $2}' "/proc/$pid/status"; done | awk '{s += $1} END {printf "%.1f", s / NR / 1024}'
}

calls() { curl -s "http://$store/calls"; }

# rates BEFORE AFTER: the difference of each kind of call for each second
rates() {
  paste <(tr -d '{}"\n' <<<"$1" | tr ',' '\n') <(tr -d '{}"\n' <<<"$2" | tr ',' '\n') | tr ':' '\t' |
    awk -v s="$seconds" '$4 > $2 {printf "%s %.1f/s  ", $1, ($4 - $2) / s}'
}

fleet_idle() { # VMS_PER_DATA_CENTRE
  local before after g0 g1 d0 d1 i n=$((3 * $1))
  local dispatchers=() callers=()
  fleet_init slopes-"$1" $((15000 + 600 * $1)) praha-a praha-b kladno
  # Other ports than the demo's, so that both can run on one machine.
  sed 's/127.0.0.1:21/127.0.0.1:14/' examples/joint-venture/answers.json >"$dir/answers.json"
  .bin/sailctl generate "$dir/answers.json" >"$dir/configuration.json"
  fleet_operator_settings "$1"
  fleet_start_standins
  fleet_start_vms "$1"
  fleet_ctl apply -expect 0 -note slopes -wait 30s "$dir/answers.json" >/dev/null || return 1
  .bin/sail-probe ready -config "$dir/configuration.json" -gateways "$(fleet_gateways)" >/dev/null || return 1
  sleep 16 # a lease moves for balance once its dispatcher has been live for 10 s
  for ((i = 0; i < ${#daemons[@]}; i += 2)); do # fleet_start_vms starts each VM's dispatcher, then its gateway
    dispatchers+=("${daemons[i]}")
    callers+=("${daemons[i + 1]}")
  done
  before=$(calls)
  d0=$(processor_ticks "${dispatchers[@]}")
  g0=$(processor_ticks "${callers[@]}")
  sleep "$seconds"
  after=$(calls)
  d1=$(processor_ticks "${dispatchers[@]}")
  g1=$(processor_ticks "${callers[@]}")
  echo "VMs $n: store calls $(rates "$before" "$after")"
  awk -v n="$n" -v d=$((d1 - d0)) -v g=$((g1 - g0)) -v hz="$ticks" -v s="$seconds" \
    -v dm="$(resident_mb "${dispatchers[@]}")" -v gm="$(resident_mb "${callers[@]}")" 'BEGIN {
    printf "VMs %d: dispatcher %.2f%% of a core, %s MB; gateway %.2f%% of a core, %s MB\n",
      n, 100 * d / hz / s / n, dm, 100 * g / hz / s / n, gm}'
  fleet_stop
}

echo "$(nproc) cores, $(go version | cut -d' ' -f3), $(date -u +%F), load $(cut -d' ' -f1 /proc/loadavg)"
mkdir -p .bin
step "build" go build -o .bin/ ./cmd/...
show "routing tables" bench routing 'InstallTable|Memory'
show "plans" bench placement 'Plan|Report|Memory'
show "sketch" bench placement Sketch
show "messages" bench cmd/sail-measure 'RPC'
show "documents" bench cmd/sail-measure 'Document'
show "ownership" bench cmd/sail-measure 'Ownership'
for n in 1 2 4; do
  show "idle fleet, $((3 * n)) VMs" fleet_idle "$n"
done
finish
