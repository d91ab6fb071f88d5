#!/bin/sh
# Checks the model of the claim protocol with Spin: no violation with all
# rules, and a violation when the restart rule or the generation check is
# off. The search is exhaustive within the bounds that the model states; the
# memory limit fails the check instead of cutting the search short.
# usage: check_model.sh BUILD_DIR
set -eu
dir=$1/model
model=$(pwd)/tests/claim.pml
mkdir -p "$dir"
cd "$dir"

# search NAME EXPECTED_ERRORS FLAGS...
search()
{
	name=$1
	expected=$2
	shift 2
	spin -a "$@" "$model" >"$name.log"
	${CC:-gcc} -O3 -w -DSAFETY -DMEMLIM=2048 -o "$name" pan.c
	"./$name" -E -m20000 -w24 >>"$name.log" 2>&1 || true
	if ! grep -q "errors: $expected\$" "$name.log" ||
		grep -qE 'max search depth too small|out of memory' \
			"$name.log"; then
		cat "$name.log"
		echo "model $name: expected $expected errors" >&2
		exit 1
	fi
	echo "model $name: errors $expected as expected," \
		"$(awk '/states, stored/ { print $1 }' "$name.log") states"
}

search all_rules 0
search no_restart_rule 1 -DNO_RESTART_RULE
search no_generations 1 -DNO_GENERATIONS
