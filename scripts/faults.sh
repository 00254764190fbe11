#!/usr/bin/env bash
# Measures the unavailability that faults cause in real processes: a dispatcher frozen and resumed, a target frozen, the
# store down, a dispatcher killed. Checks that each key is answered again within 3 s and that no write is lost or
# executed twice. Takes about 55 s. On a machine without spare processor time the limit of 3 s may be missed.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
. scripts/fleet.sh
trap 'kill $(jobs -p) 2>/dev/null' EXIT

answers=examples/joint-venture/answers.json
warm_up=11     # seconds: the cold start of the configuration plus one
lead_time=1.5  # seconds of load before the fault
faulty_vm=4    # index of the VM whose dispatcher fails

load() { # NAME SEED DURATION
  .bin/sail-probe load -config "$dir/configuration.json" -gateways "$(fleet_gateways)" -rate 1500 -keys 32 -workers 200 \
    -name "$1" -seed "$2" -duration "$3" -record "$dir/$1.record" -max-key-gap 3s
}

with_load() { # NAME SEED DURATION COMMAND...: runs the command under load
  local pid
  load "$1" "$2" "$3" &
  pid=$!
  sleep "$lead_time"
  "${@:4}"
  wait "$pid"
}

freeze_dispatcher() { kill -STOP "${daemons[$((2 * faulty_vm))]}"; sleep 3; kill -CONT "${daemons[$((2 * faulty_vm))]}"; }
kill_dispatcher() { kill -9 "${daemons[$((2 * faulty_vm))]}"; }
set_faults() { # ADDRESS JSON: replaces the injected faults of a stand-in
  .bin/sail-probe fault -address "$1" -json "$2"
}
freeze_target() { set_faults 127.0.0.1:21000 '{"frozen": true}'; }
unfreeze_target() { set_faults 127.0.0.1:21000 '{}'; }
store_outage() { set_faults "$store" '{"down": true}'; sleep 3; set_faults "$store" '{}'; }
audit() {
  .bin/sail-probe audit -config "$dir/configuration.json" -gateways none \
    -records "$dir/steady.record,$dir/freeze.record,$dir/target.record,$dir/store.record,$dir/kill.record"
}

fleet_init faults 20000 praha-a praha-b kladno
.bin/sailctl generate "$answers" >"$dir/configuration.json"
fleet_operator_settings 3
fleet_start_standins
fleet_start_vms 3
step "configuration applied" fleet_ctl apply -expect 0 -wait 15s "$answers"
step "all gateways serve all services" .bin/sail-probe ready -config "$dir/configuration.json" -gateways "$(fleet_gateways)"
sleep "$warm_up"
show "no fault" load steady 1 3s
show "dispatcher frozen for 3 s" with_load freeze 2 7s freeze_dispatcher
show "target frozen" with_load target 3 6s freeze_target
unfreeze_target
show "store down for 3 s" with_load store 4 6s store_outage
show "dispatcher killed" with_load kill 5 6s kill_dispatcher
show "no write lost or executed twice" audit
unset "daemons[$((2 * faulty_vm))]"
daemons=("${daemons[@]}")
step "the other processes exit with code 0" fleet_stop
finish
