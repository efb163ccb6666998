#!/usr/bin/env bash
# Runs days of a site with two checkouts of the code on the same seeds. cmd/trial compares the reports.
#
#   script/paired.sh BENCH SITE "DAY ..." "SEED ..." OLD NEW OUT [more flags of the bench's run]
#
# OLD and NEW are checkouts, each with its own journal; reports are written to OUT/old and OUT/new. Runs that already
# have a report are skipped, so seeds can be added later. JOBS limits the parallel runs, 4 at most.
set -euo pipefail
bench=$1 site=$2 days=$3 seeds=$4 old=$5 new=$6 out=$7
shift 7
jobs=${JOBS:-4}
if [ "$jobs" -gt 4 ]; then
	echo "paired.sh: at most 4 plays at a time" >&2
	exit 2
fi
mkdir -p "$out/old" "$out/new"

play() {
	local side=$1 tree=$2 day=$3 seed=$4
	shift 4
	local report=$out/$side/$(basename "$site" .toml).$(basename "$day" .toml).$seed.json
	[ -s "$report" ] && return
	(cd "$tree" && "$bench" run "$site" "$day" --seed "$seed" --report "$report" "$@") >"${report%.json}.txt" 2>&1 ||
		echo "play of $day with seed $seed in $tree failed: see ${report%.json}.txt" >&2
}
export -f play
export bench site out

for tree in "$old" "$new"; do
	(cd "$tree" && "$bench" build) >/dev/null
done
for seed in $seeds; do
	for day in $days; do
		printf '%s\0' "old|$old|$day|$seed" "new|$new|$day|$seed"
	done
done | xargs -0 -P "$jobs" -I{} bash -c 'IFS="|" read -r side tree day seed <<<"$1"; shift; play "$side" "$tree" "$day" "$seed" "$@"' _ {} "$@"
