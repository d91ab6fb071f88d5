#!/bin/sh
# Installs the Debian 12 packages that the build, the checks and the tests
# need. Does nothing when all of them are there.
set -eu
packages="gcc g++ make pkg-config clang-format clang-tidy cppcheck \
libapr1-dev libaprutil1-dev libzmq3-dev libmicrohttpd-dev libargtable2-dev \
libmsgpack-dev libjansson-dev libxxhash-dev libsodium-dev \
libcurl4-openssl-dev libhttp-parser-dev zlib1g-dev libgnutls28-dev libgtest-dev librapidcheck-dev \
gnutls-bin spin gnuplot-nox"
missing=""
for p in $packages; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null |
		grep -q 'install ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing" >&2
run=""
[ "$(id -u)" = 0 ] || run=sudo
$run apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $run apt-get install -y -qq \
	--no-install-recommends $missing >/dev/null
