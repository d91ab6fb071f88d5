#!/bin/sh
# Runs every bench. Standard output carries JSON lines only.
# usage: bench.sh BUILD_DIR [NAME...]
build=$1
shift
export EBONYPIER_BUILD="$build"
[ $# -gt 0 ] || set -- $(ls bench/*.c | sed 's|bench/||; s|\.c$||')
for b in "$@"; do
	"$build/bench/$b" || exit 1
done
