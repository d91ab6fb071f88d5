#!/bin/sh
# Names of the users' platform may be used in platform/, tests and stand-ins
# only. Prints each use in src/ or charts/ and exits with 1 if there is one.
names=$(sed -n 's/^#define PF_[A-Z_]* "\(.*\)"/\1/p' platform/pf_names.h |
	grep -v '^EBONYPIER_BOOT$')
wire='tombstone|storeRevision|staleOk|hasMore|coldLeftMs|healthPath|appAddr'
wire="$wire|portRange|EBONYPIER_BOOT|kv-(key|range|watch)|sloMs|timeoutMs"
for n in $names; do
	wire="$wire|$n"
done
if grep -nE "$wire" src/*.c src/*.h charts/*; then
	echo "check_names: src/ or charts/ uses names of the platform" >&2
	exit 1
fi
