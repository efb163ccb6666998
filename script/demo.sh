#!/usr/bin/env bash
# Starts a cell on stand-ins, sends it requests of all six kinds, prints the answers, and stops the cell.
set -uo pipefail
cd "$(dirname "$0")/.."
rm -rf "${RUN:-run}"
./script/cell.sh
trap ./script/stop.sh EXIT
ctl() { bin/ctl --gate "127.0.0.1:${CALLERS:-78}01" --seconds 20 "$@"; }

echo "Waiting until every zone has an owner and targets..."
ready=no
for _ in $(seq 60); do
  if ctl check --repeatable course-desk booking >/dev/null 2>&1 && ctl check --repeatable padan-engine balance >/dev/null 2>&1 &&
    ctl --seconds 5 submit --wait example/jobs/warm-up.json >/dev/null 2>&1; then ready=yes; break; fi
  sleep 0.5
done
[ $ready = yes ] || { echo "The cell did not become ready; see ${RUN:-run}/*.log."; exit 1; }

failed=0
answer() { echo; echo "== $1"; shift; ctl "$@" || { echo "FAILED"; failed=1; }; }
answer "Roster, a repeatable batch with a deadline" submit --wait example/jobs/roster.json
answer "Certificate batch, not repeatable" submit --wait example/jobs/certificate.json
answer "Booking check" check --repeatable --key booking-17 --body 'seat for Meera' course-desk booking
answer "Month-end matching, a gang" submit --wait example/jobs/matching.json
answer "Exception sweep, not repeatable" submit --wait example/jobs/sweep.json
answer "Balance check" check --repeatable --key balance-4 --body 'account 4' padan-engine balance
answer "The certificate batch again, with the same key: the first answer, not a second run" submit --wait example/jobs/certificate.json
echo
[ $failed = 0 ] && echo "All requests were answered." || { echo "Some request failed; see ${RUN:-run}/*.log."; exit 1; }
