#!/usr/bin/env bash
# Measures at several sizes the costs that docs/CAPACITY.md extrapolates: messages and documents in benchmarks, and the
# store calls, processor time and memory of idle processes with 3, 6 and 12 VMs. Takes about two minutes.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
. scripts/fleet.sh
trap 'kill $(jobs -p) 2>/dev/null' EXIT

seconds=8
ticks=$(getconf CLK_TCK)

bench() { go test -run '^$' -bench "$2" -benchmem -benchtime 200ms "./$1" | grep '^Benchmark'; }

processor_ticks() { # PID...: prints the sum of user and system time
  local pid sum=0 t
  for pid in "$@"; do
    t=$(sed 's/.*) //' "/proc/$pid/stat" | awk '{print $12 + $13}')
    sum=$((sum + t))
  done
  echo "$sum"
}

resident_mb() { # PID...: prints the mean resident memory in MB
  local pid
  for pid in "$@"; do awk '/VmRSS/ {print $2}' "/proc/$pid/status"; done | awk '{s += $1} END {printf "%.1f", s / NR / 1024}'
}

store_calls() { curl -s "http://$store/calls"; }

# call_rates BEFORE AFTER: prints the calls per second of each kind between two counts
call_rates() {
  paste <(tr -d '{}"\n' <<<"$1" | tr ',' '\n') <(tr -d '{}"\n' <<<"$2" | tr ',' '\n') | tr ':' '\t' |
    awk -v s="$seconds" '$4 > $2 {printf "%s %.1f/s  ", $1, ($4 - $2) / s}'
}

measure_idle_fleet() { # VMS_PER_DATA_CENTRE
  local before after gateway_before gateway_after dispatcher_before dispatcher_after i n=$((3 * $1))
  local dispatcher_pids=() gateway_pids=()
  fleet_init slopes-"$1" $((15000 + 600 * $1)) praha-a praha-b kladno
  # The ports differ from those of the demo, so that both can run on one machine.
  sed 's/127.0.0.1:21/127.0.0.1:14/' examples/joint-venture/answers.json >"$dir/answers.json"
  .bin/sailctl generate "$dir/answers.json" >"$dir/configuration.json"
  fleet_operator_settings "$1"
  fleet_start_standins
  fleet_start_vms "$1"
  fleet_ctl apply -expect 0 -note slopes -wait 30s "$dir/answers.json" >/dev/null || return 1
  .bin/sail-probe ready -config "$dir/configuration.json" -gateways "$(fleet_gateways)" >/dev/null || return 1
  sleep 16 # leases are rebalanced to a dispatcher only after it has been live for 10 s
  for ((i = 0; i < ${#daemons[@]}; i += 2)); do # fleet_start_vms starts each VM's dispatcher, then its gateway
    dispatcher_pids+=("${daemons[i]}")
    gateway_pids+=("${daemons[i + 1]}")
  done
  before=$(store_calls)
  dispatcher_before=$(processor_ticks "${dispatcher_pids[@]}")
  gateway_before=$(processor_ticks "${gateway_pids[@]}")
  sleep "$seconds"
  after=$(store_calls)
  dispatcher_after=$(processor_ticks "${dispatcher_pids[@]}")
  gateway_after=$(processor_ticks "${gateway_pids[@]}")
  echo "VMs $n: store calls $(call_rates "$before" "$after")"
  awk -v n="$n" -v d=$((dispatcher_after - dispatcher_before)) -v g=$((gateway_after - gateway_before)) -v hz="$ticks" -v s="$seconds" \
    -v dm="$(resident_mb "${dispatcher_pids[@]}")" -v gm="$(resident_mb "${gateway_pids[@]}")" 'BEGIN {
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
  show "idle fleet, $((3 * n)) VMs" measure_idle_fleet "$n"
done
finish
