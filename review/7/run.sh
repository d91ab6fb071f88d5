#!/bin/bash
# Runs the case; TROUBLE=0 leaves the disruption out. 1: the rule was broken,
# 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export EBONYPIER_BUILD=target
[ -x target/review-2/case-7 ] && [ -x target/ebonypier-site ] || exit 2
set -m
timeout -k 5 110 target/review-2/case-7 review/7/record.txt &
group=$!
# Ends the daemons too if the case itself was ended.
trap 'kill -KILL -- -$group 2>/dev/null' EXIT
trap 'exit 2' INT TERM HUP
wait $group
rc=$?
[ $rc -le 1 ] || rc=2
exit $rc
