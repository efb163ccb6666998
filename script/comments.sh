#!/usr/bin/env bash
# Finds code comments with results of trials or tuning. Readers of the code cannot tell whether such figures are still
# valid, so they belong in commit messages and docs/WORTH.md. Part of make check.
set -euo pipefail
cd "$(dirname "$0")/.."
# "387 of 598 gangs", "in 12 pairs", "mean of twenty days", "0.72 to 0.79 of all were", "was measured", "tuned".
words='[0-9][0-9,.]* of [0-9][0-9,.]* [a-z]+s (that )?(were|was)|[0-9][0-9,.]* of [0-9][0-9,.]* (gangs|works|plays|pairs|days|checks|rosters)|in [0-9a-z]+ pairs|[0-9]+ pairs|mean of [0-9a-z]+ (days|plays|pairs|seeds)|[0-9.]+ to [0-9.]+ of all were|(was|were) (measured|tuned|found by)|[0-9][0-9,.]* (works|starts|commits) a second made|seeds? [0-9]+ '
if found=$(git ls-files -co --exclude-standard '*.go' | grep -v '_test\.go$' | xargs grep -nE "//.*($words)"); then
	echo "comments that tell of trials or tuning:"
	echo "$found"
	exit 1
fi
