#!/usr/bin/env bash
# Builds the stand-ins that the cases start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j6 B=target OPT=-O2 target/ebonypier-site target/tests/site.o \
	target/tests/harness.o >/dev/null
pkgs="apr-1 libzmq libmicrohttpd jansson msgpack libxxhash libsodium libcurl gnutls"
mkdir -p target/review
for source in review/[1-5]/case.cc review/known-red/stop.cc; do
	[ -f "$source" ] || continue
	n=$(basename "$(dirname "$source")")
	[ "$n" = known-red ] || n=case-$n
	# shellcheck disable=SC2046
	g++ -std=gnu++17 -O1 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -Iplatform \
		-Itests $(pkg-config --cflags $pkgs) -o "target/review/$n" \
		"$source" target/tests/site.o target/tests/harness.o \
		target/libebonypier.a $(pkg-config --libs $pkgs) -largtable2 \
		-lhttp_parser -lz -lpthread -lm
done
