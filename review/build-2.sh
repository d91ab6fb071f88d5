#!/bin/bash
# Builds what the scripts of the second review start, after the build of
# deploy/system.toml: the project's stand-ins and one program for each case.
set -eu
cd "$(dirname "$0")/.."
make -j6 B=target OPT=-O2 target/tests/site.o target/tests/harness.o \
	target/libebonypier.a
make -j6 -f review/build-2.mk B=target OPT=-O2 cases-2
