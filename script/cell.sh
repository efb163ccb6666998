#!/usr/bin/env bash
# Starts a cell on stand-ins for the platform: three availability zones and four entry VMs, each with a gate and a
# scheduler. Settings, logs and process ids are written to run/. Stop the cell with script/stop.sh.
# Environment variables:
#   PORTS    first two digits of the lowest port (default 70, for ports 7000 to 7499; callers' ports are separate)
#   CALLERS  first two digits of the callers' ports (default 78)
#   RUN      directory of settings, logs and process ids (default run)
#   ENTRIES  number of entry VMs, 1 to 8 (default 4)
#   TRACE    exporter of traces (default none)
# To run a second cell, set PORTS, CALLERS and RUN.
set -euo pipefail
cd "$(dirname "$0")/.."
run=${RUN:-run}
ports=${PORTS:-70}
callers=${CALLERS:-78} entries=${ENTRIES:-4}
store=127.0.0.1:$((ports + 1))00 list=127.0.0.1:$((ports + 4))00
mkdir -p $run
: >$run/platform.pids
: >$run/entries.pids
pids=$run/platform.pids
trace=${TRACE:-none}

start() { # name, program, arguments...
  local name=$1
  shift
  "$@" >>$run/"$name".log 2>&1 &
  echo $! >>$pids
}

start store bin/standinstore --listen $store
zones=(kochi-hall kochi-hall alappuzha-hall kollam-hall alappuzha-hall kollam-hall kochi-hall alappuzha-hall)
listed=()
for n in $(seq "$entries"); do listed+=(--entry "entry-$n:${zones[n - 1]}"); done
start list bin/standinlist --listen $list "${listed[@]}"
port=$((ports + 2))00
for zone in kochi-hall alappuzha-hall kollam-hall; do
  start worker-$zone bin/standinworker --listen 127.0.0.1:$port --zone $zone --count 4 --racks 2 --register $list
  start target-$zone bin/standintarget --listen 127.0.0.1:$((port + 100)) --zone $zone --service course-desk --count 4 --register $list
  start engine-$zone bin/standintarget --listen 127.0.0.1:$((port + 110)) --zone $zone --service padan-engine --count 4 --register $list
  port=$((port + 1))
done

entry() { # number, zone
  local n=$1 zone=$2
  local common="\"vm\": \"entry-$n\", \"zone\": \"$zone\", \"zones\": [\"kochi-hall\", \"alappuzha-hall\", \"kollam-hall\"],
  \"store\": {\"kind\": \"etcd\", \"endpoint\": \"http://$store\"}, \"listAddress\": \"$list\",
  \"trace\": {\"exporter\": \"$trace\", \"address\": \"$([ "$trace" = stdout ] && echo $run/spans-$n.json)\"}"
  cat >$run/scheduler-$n.json <<JSON
{"id": "scheduler-$n", "rpcAddress": "127.0.0.1:$ports${n}0", "opsAddress": "127.0.0.1:$ports${n}1",
  $common}
JSON
  cat >$run/gate-$n.json <<JSON
{"id": "gate-$n", "rpcAddress": "127.0.0.1:$ports${n}2", "opsAddress": "127.0.0.1:$ports${n}3",
  "callerAddress": "127.0.0.1:${callers}0$n", "scheduler": "127.0.0.1:$ports${n}0", "seeds": ["127.0.0.1:${ports}10", "127.0.0.1:${ports}20"],
  "sessionKeys": ["only-for-the-stand-in-cell-on-this-machine"],
  $common}
JSON
  start scheduler-$n bin/scheduler --settings $run/scheduler-$n.json
  start gate-$n bin/gate --settings $run/gate-$n.json
}
pids=$run/entries.pids
for n in $(seq "$entries"); do entry "$n" "${zones[n - 1]}"; done
