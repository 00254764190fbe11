#!/usr/bin/env bash
# Runs both installations of examples/ on loopback, one after the other, with their real services and numbers of targets:
# generates the configuration from the answers, starts the processes, sends requests to all services, takes a data
# centre out of service and back under load, audits the targets' journals and stops all processes.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
. scripts/fleet.sh
trap 'kill $(jobs -p) 2>/dev/null' EXIT

vms_per_centre=3
rate=300
outage_seconds=3
load_duration=9s

generate() { .bin/sailctl generate "$answers" >"$dir/configuration.json"; }
apply() { fleet_ctl apply -expect 0 -note "demo" -wait 15s "$answers"; }
ready() { .bin/sail-probe ready -config "$dir/configuration.json" -gateways "$(fleet_gateways)"; }
load() {
  .bin/sail-probe load -config "$dir/configuration.json" -gateways "$(fleet_gateways)" -rate "$rate" \
    -name "$1" -seed "$2" -record "$dir/$1.record" "${@:3}"
}
audit() { .bin/sail-probe audit -config "$dir/configuration.json" -gateways none -records "$dir/steady.record,$dir/outage.record"; }

show_owners() {
  echo "-- owners in $fleet"
  fleet_ctl status
}

# Takes a data centre out of service and back while load runs.
data_centre_outage() { # DATA_CENTRE
  local pid bad=0
  load outage 2 -keys 20 -duration "$load_duration" >"$dir/outage.txt" 2>&1 &
  pid=$!
  fleet_ctl dc out -note "demo" -wait 6s "$1" || bad=1
  sleep "$outage_seconds"
  fleet_ctl dc in -note "demo" -wait 6s "$1" || bad=1
  wait "$pid" || bad=1
  cat "$dir/outage.txt"
  return $bad
}

run_user() { # FLEET ANSWERS BASE_PORT OUTAGE_CENTRE DATA_CENTRE...
  answers=$2
  local outage_centre=$4
  fleet_init "$1" "$3" "${@:5}"
  echo "== $fleet: $answers"
  step "$fleet: generate configuration" generate
  fleet_operator_settings "$vms_per_centre"
  fleet_start_standins
  fleet_start_vms "$vms_per_centre"
  step "$fleet: apply configuration" apply
  step "$fleet: all gateways serve all services" ready
  show "$fleet: each request gets its own answer" load steady 1 -duration 3s
  show_owners
  show "$fleet: data centre $outage_centre out of service and back" data_centre_outage "$outage_centre"
  show "$fleet: no write lost or executed twice" audit
  step "$fleet: all processes exit with code 0" fleet_stop
}

rm -rf .demo
run_user joint-venture examples/joint-venture/answers.json 20000 kladno praha-a praha-b kladno
run_user semillas examples/semillas/answers.json 23000 cl-centro-c cl-centro-a cl-centro-b cl-centro-c
finish
