#!/usr/bin/env bash
# Stops the processes that script/cell.sh has recorded: first the cell's own processes, so that they can shut down
# cleanly while the platform's stand-ins still run.
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
