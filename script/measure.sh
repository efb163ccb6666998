#!/usr/bin/env bash
# Measures the overhead of scheduler and gate in one of six zones, which share the journals' write limit. The zone has
# WORKERS workers and starts RATE tasks per second that run RUN seconds each. The measurement lasts SECONDS_ seconds
# after a warm-up. Prints resident and anonymous memory, CPU share of a core, bytes read and written per second (all
# sockets and files), and store calls per second. BASE is the first two digits of all ports.
set -euo pipefail
cd "$(dirname "$0")/.."
workers=${WORKERS:-32} rate=${RATE:-10} run_s=${RUN:-10} seconds=${SECONDS_:-20} base=${BASE:-62}
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf $dir' EXIT
start() { "$@" >>$dir/log 2>&1 & pids+=($!); }
start bin/standinstore --listen 127.0.0.1:${base}00
start bin/standinlist --listen 127.0.0.1:${base}01 --entry entry-1:z
start bin/standinworker --listen 127.0.0.1:${base}02 --zone z --count $workers --racks 4 --register 127.0.0.1:${base}01
common="\"vm\": \"entry-1\", \"zone\": \"z\", \"zones\": [\"z\", \"z2\", \"z3\", \"z4\", \"z5\", \"z6\"], \"store\": {\"kind\": \"etcd\", \"endpoint\": \"http://127.0.0.1:${base}00\"}, \"listAddress\": \"127.0.0.1:${base}01\""
echo "{\"id\": \"s\", \"rpcAddress\": \"127.0.0.1:${base}10\", \"opsAddress\": \"127.0.0.1:${base}11\", $common}" >$dir/s.json
echo "{\"id\": \"g\", \"rpcAddress\": \"127.0.0.1:${base}12\", \"opsAddress\": \"127.0.0.1:${base}13\", \"callerAddress\": \"127.0.0.1:${base}14\", \"scheduler\": \"127.0.0.1:${base}10\", \"sessionKeys\": [\"only-for-this-measurement\"], $common}" >$dir/g.json
start bin/scheduler --settings $dir/s.json; sched=${pids[-1]}
start bin/gate --settings $dir/g.json; gate=${pids[-1]}
sleep 4
warm=$((run_s + 5))
if [ "$rate" -gt 0 ]; then
  bin/load --gate 127.0.0.1:${base}14 --rate $rate --seconds $((warm + seconds + 2)) --run $run_s --zone z >$dir/load &
  pids+=($!)
fi
sleep $warm
cpu() { awk '{print $14+$15}' /proc/$1/stat; }
io() { awk '/char/ {s+=$2} END {print s}' /proc/$1/io; }
calls() {
  exec 3<>/dev/tcp/127.0.0.1/${base}11
  printf 'GET /metrics HTTP/1.0\r\n\r\n' >&3
  awk '/^turmericgap_store_calls/ {s+=$2} END {print s+0}' <&3
  exec 3>&-
}
c1=$(cpu $sched) g1=$(cpu $gate) i1=$(io $sched) j1=$(io $gate) k1=$(calls)
sleep $seconds
c2=$(cpu $sched) g2=$(cpu $gate) i2=$(io $sched) j2=$(io $gate) k2=$(calls)
row() { # name pid cpu-ticks bytes
  awk -v n=$1 -v t=$3 -v b=$4 -v s=$seconds -v w=$workers -v r=$rate '/VmRSS|RssAnon/ {m[$1]=$2}
    END {printf "workers %d rate %d %s: rss %.1f MB, anon %.1f MB, core %.2f %%, %.1f KB/s\n", w, r, n, m["VmRSS:"]/1024, m["RssAnon:"]/1024, t/s, b/s/1024}' /proc/$2/status
}
row scheduler $sched $((c2 - c1)) $((i2 - i1))
row gate $gate $((g2 - g1)) $((j2 - j1))
awk -v a=$k1 -v b=$k2 -v s=$seconds 'BEGIN {printf "store calls of the scheduler: %.1f a second\n", (b-a)/s}'
sleep 3
cat $dir/load 2>/dev/null || true
