#!/usr/bin/env bash
# Scores sites one after the other and compares the scores with those of the last landing (cmd/regress).
#
#   script/regress.sh [--jobs N] [--against FILE] [--keep FILE] [--why TEXT] BENCH SITE...
#
# Exits with 1 if a rule was broken, a gate failed or a site's mean fell by more than 0.03, and with 2 and all findings
# if the bench, a site or a flag is missing or wrong. Run it in the checkout to be measured.
set -uo pipefail
jobs=4 against=script/landing.json keep="" why="regression run" findings=()
find() { findings+=("$1"); }
value() { if [ $# -lt 2 ] || [ -z "$2" ]; then find "$1 needs a value"; fi; }
args=()
while [ $# -gt 0 ]; do
	case $1 in
	--jobs) value "$@"; jobs=${2:-}; shift ;;
	--against) value "$@"; against=${2:-}; shift ;;
	--keep) value "$@"; keep=${2:-}; shift ;;
	--why) value "$@"; why=${2:-}; shift ;;
	-*) find "unknown flag $1" ;;
	*) args+=("$1") ;;
	esac
	[ $# -gt 0 ] && shift
done
bench=${args[0]:-}
[ -n "$bench" ] && [ -x "$bench" ] || find "no bench that can be run at '${bench}'"
[ "${#args[@]}" -gt 1 ] || find "no site is named"
for site in "${args[@]:1}"; do [ -r "$site" ] || find "no site file $site"; done
case $jobs in 1 | 2 | 3 | 4) ;; *) find "--jobs is 1 to 4, not '$jobs'" ;; esac
[ -r "$against" ] || find "no scores of the last landing at $against"
if [ "${#findings[@]}" -gt 0 ]; then
	printf 'regress.sh: %s\n' "${findings[@]}" >&2
	exit 2
fi

entries=()
for site in "${args[@]:1}"; do
	out=$(mktemp)
	"$bench" score "$site" --jobs "$jobs" --why "$why" >"$out" 2>&1 || true
	id=$(sed -n 's/^snapshot \([0-9a-f]*\)$/\1/p' "$out" | tail -n 1)
	entry=$(ls journal/*-"$id".json 2>/dev/null | head -n 1)
	if [ -z "$id" ] || [ -z "$entry" ]; then
		find "the score of $site did not finish: see $out"
		continue
	fi
	rm -f "$out"
	entries+=("$entry")
done
code=0
if [ "${#entries[@]}" -gt 0 ]; then
	go run ./cmd/regress --against "$against" ${keep:+--keep "$keep"} "${entries[@]}" || code=$?
fi
if [ "${#findings[@]}" -gt 0 ]; then
	printf 'regress.sh: %s\n' "${findings[@]}" >&2
	exit 2
fi
exit "$code"
