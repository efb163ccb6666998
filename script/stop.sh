#!/usr/bin/env bash
# Stops the cell that script/cell.sh started, by the process ids that it noted: our own processes
# first, so that they leave in order while the platform is there.
cd "$(dirname "$0")/.."
end() { # file of process ids
  [ -f "$1" ] || return 0
  for pid in $(cat "$1"); do kill "$pid" 2>/dev/null; done
  for pid in $(cat "$1"); do
    for _ in $(seq 350); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
  done
  rm -f "$1"
}
end "${RUN:-run}"/entries.pids
end "${RUN:-run}"/platform.pids
