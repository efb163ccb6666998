#!/usr/bin/env bash
# Measures memory, CPU and I/O of each process of an idle cell with ENTRIES entry VMs, for 30 s after a warm-up of 20 s.
# Bytes are the sum of reads and writes, including files.
set -euo pipefail
cd "$(dirname "$0")/.."
./script/cell.sh
trap ./script/stop.sh EXIT
sleep 20
declare -A ticks bytes
cpu() { awk '{print $14+$15}' /proc/$1/stat; }
io() { awk '/char/ {s+=$2} END {print s}' /proc/$1/io; }
pids=$(cat ${RUN:-run}/entries.pids)
for p in $pids; do ticks[$p]=$(cpu $p) bytes[$p]=$(io $p); done
sleep 30
for p in $pids; do
  awk -v n="$(tr '\0' ' ' </proc/$p/cmdline | sed 's#.*/##; s#.json.*##')" -v t=$(($(cpu $p) - ticks[$p])) -v b=$(($(io $p) - bytes[$p])) \
    '/VmRSS|RssAnon/ {m[$1]=$2} END {printf "%s: rss %.1f MB, anon %.1f MB, core %.2f %%, %.2f KB/s\n", n, m["VmRSS:"]/1024, m["RssAnon:"]/1024, t/30, b/30/1024}' /proc/$p/status
done
