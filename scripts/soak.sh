#!/bin/sh
# Runs pairs of faults under load for DURATION seconds, from SEED on, and
# prints a line for each schedule. Exits 1 on a violation.
# See also tests/it_soak.cc, for the users' platform.
# usage: soak.sh BUILD_DIR
export EBONYPIER_BUILD="$1"
export SEED="${SEED:-1}" DURATION="${DURATION:-600}" PAIRS=0
exec "$1/tests/it_pairs"
