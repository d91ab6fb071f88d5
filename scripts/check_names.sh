#!/bin/sh
# The names of the users' platform stand in platform/ only (tests and their
# stand-ins may speak them too). Prints each place where one leaks into the
# product and exits with 1.
names=$(sed -n 's/^#define PF_[A-Z_]* "\(.*\)"/\1/p' platform/pf_names.h |
	grep -v '^EBONYPIER_BOOT$')
wire='tombstone|storeRevision|staleOk|hasMore|coldLeftMs|healthPath|appAddr'
wire="$wire|portRange|EBONYPIER_BOOT|kv-(key|range|watch)|sloMs|timeoutMs"
for n in $names; do
	wire="$wire|$n"
done
if grep -nE "$wire" src/*.c src/*.h charts/*; then
	echo "names of the platform outside platform/" >&2
	exit 1
fi
