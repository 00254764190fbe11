# Starts and stops the processes of one installation on loopback. Sourced by demo.sh, faults.sh and slopes.sh.
#
# fleet_init NAME BASE_PORT DATA_CENTRE...       sets the names, ports and folder
# fleet_operator_settings VMS_PER_DATA_CENTRE    writes the settings of sailctl
# fleet_start_standins                           starts the stand-ins of store and targets
# fleet_start_vms VMS_PER_DATA_CENTRE            starts a dispatcher and a gateway for each VM
# fleet_stop                                     stops all processes with SIGTERM and checks their exit codes

fleet_init() {
  fleet=$1
  base=$2
  shift 2
  centres=("$@")
  dir=.demo/$fleet
  mkdir -p "$dir"
  store=127.0.0.1:$base
  gateways=()
  daemons=()
  standins=()
}

fleet_run() { # NAME COMMAND...: runs a process in the background with its own log and sets started to its PID
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  started=$!
}

fleet_settings() { # VM DATA_CENTRE INDEX: writes the settings of the VM's gateway and dispatcher
  local gateway=127.0.0.1:$((base + 100 + $3))
  gateways+=("$gateway")
  local seeds="[\"127.0.0.1:$((base + 300))\", \"127.0.0.1:$((base + 301))\"]"
  cat >"$dir/$1-gateway.json" <<JSON
{"vm": "$1", "dataCentre": "$2", "storeAddress": "$store", "peers": $seeds,
 "callerAddress": "$gateway", "opsAddress": "127.0.0.1:$((base + 200 + $3))"}
JSON
  cat >"$dir/$1-dispatcher.json" <<JSON
{"vm": "$1", "dataCentre": "$2", "storeAddress": "$store", "peers": $seeds,
 "peerAddress": "127.0.0.1:$((base + 300 + $3))", "opsAddress": "127.0.0.1:$((base + 400 + $3))"}
JSON
}

fleet_start_standins() {
  fleet_run store .bin/standin-store -listen "$store"
  standins+=("$started")
  .bin/sail-probe targets -config "$dir/configuration.json" >"$dir/targets.json"
  fleet_run targets .bin/standin-target -targets "$dir/targets.json"
  standins+=("$started")
}

fleet_start_vms() { # VMS_PER_DATA_CENTRE
  local index=0 centre n vm
  for centre in "${centres[@]}"; do
    for n in $(seq "$1"); do
      vm=$centre-vm$n
      fleet_settings "$vm" "$centre" "$index"
      fleet_run "$vm-dispatcher" .bin/sail-dispatcher -settings "$dir/$vm-dispatcher.json"
      daemons+=("$started")
      fleet_run "$vm-gateway" .bin/sail-gateway -settings "$dir/$vm-gateway.json"
      daemons+=("$started")
      index=$((index + 1))
    done
  done
}

fleet_gateways() { local IFS=,; echo "${gateways[*]}"; }

fleet_stop_processes() { # PID...: returns non-zero when a process does not exit with code 0
  local pid bad=0
  kill -TERM "$@" 2>/dev/null
  for pid in "$@"; do
    wait "$pid" || { echo "process $pid exited with code $?"; bad=1; }
  done
  return $bad
}

fleet_stop() {
  local bad=0
  [ ${#daemons[@]} -eq 0 ] || fleet_stop_processes "${daemons[@]}" || bad=1
  [ ${#standins[@]} -eq 0 ] || fleet_stop_processes "${standins[@]}" || bad=1
  daemons=()
  standins=()
  return $bad
}

fleet_operator_settings() { # VMS_PER_DATA_CENTRE: writes the settings of sailctl
  local vm processes="" n centre index=0
  for centre in "${centres[@]}"; do
    for n in $(seq "$1"); do
      vm=$centre-vm$n
      processes+="{\"vm\": \"$vm\", \"role\": \"gateway\", \"ops\": \"127.0.0.1:$((base + 200 + index))\"},"
      processes+="{\"vm\": \"$vm\", \"role\": \"dispatcher\", \"ops\": \"127.0.0.1:$((base + 400 + index))\"},"
      index=$((index + 1))
    done
  done
  cat >"$dir/sailctl.json" <<JSON
{"store": "$store", "operator": "demo", "processes": [${processes%,}]}
JSON
}

fleet_ctl() { .bin/sailctl -settings "$dir/sailctl.json" "$@"; }
