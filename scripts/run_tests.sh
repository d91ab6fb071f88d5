#!/bin/sh
# Runs each test program given and prints the totals as the last line. Tests
# named in KNOWN-RED.txt are run separately: they are printed and not counted as
# failures.
# usage: run_tests.sh BUILD_DIR TEST...
build=$1
shift
export EBONYPIER_BUILD="$build"
mkdir -p "$build/log"
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | tr '\n' ':')
passed=0
failed=0
for t in "$@"; do
	log="$build/log/$(basename "$t").log"
	"$t" --gtest_filter="-$red" >"$log" 2>&1
	status=$?
	p=$(grep -c '^\[       OK \]' "$log")
	f=$(grep -c '^\[  FAILED  \] .* ([0-9]* ms)$' "$log")
	if [ "$status" -ne 0 ] && [ "$f" -eq 0 ]; then
		f=1
	fi
	passed=$((passed + p))
	failed=$((failed + f))
	echo "$(basename "$t"): $p passed, $f failed"
	[ "$status" -eq 0 ] || tail -n 60 "$log"
	if [ -n "$red" ]; then
		"$t" --gtest_filter="$red" 2>&1 |
			grep -E '^\[ *(OK|FAILED) *\] .* \([0-9]+ ms\)$' |
			sed 's/^/known red: /'
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
