#!/bin/bash
# Starts the Hielos fleet on loopback: a stand-in platform and 18 stand-in
# upstreams with one daemon beside each. Sends bookings, catalogue reads and
# artwork uploads, slows one upstream and drains another meanwhile, and prints
# a short table. Exits with 0 only if nothing was lost, no booking was executed
# twice and the drained upstream got no new work after 3 s.
# usage: demo.sh BUILD_DIR
set -u
build=$1
services=(vitrina agenda taller)
regions=(santiago valparaiso biobio)
members=18
seconds=15
slowed=1  # vitrina-2
drained=8 # agenda-3
pids=()
failed=0
work=$(mktemp -d)

cleanup() {
	exec 2>/dev/null # the shell reports each program that is killed
	for p in "${pids[@]}"; do
		kill -KILL "$p" 2>/dev/null
	done
	wait
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# Fails a step that is not ready 50 s after the start; the limit of the demo
# is 60 s.
in_time() {
	[ "$SECONDS" -lt 50 ] && return
	echo "demo: $1 is not ready after 50 s" >&2
	exit 1
}

# request PORT METHOD PATH [BODY]: prints the answer.
request() {
	local body=${4:-}
	{ exec 3<>"/dev/tcp/127.0.0.1/$1"; } 2>/dev/null || return 1
	printf '%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\n' \
		"$2" "$3" >&3
	printf 'Connection: close\r\nContent-Length: %d\r\n\r\n%s' \
		"${#body}" "$body" >&3
	cat <&3
	exec 3>&-
}

# number NAME: the first number with that name in the JSON on standard input.
number() {
	grep -o "\"$1\":-\{0,1\}[0-9]*" | head -n 1 | cut -d: -f2
}

# Finds a hundred free ports outside the range of outgoing connections.
find_ports() {
	local p busy
	for base in $(seq $((10000 + $$ % 100 * 100)) 100 31900) 10000; do
		busy=0
		for p in $(seq "$base" $((base + 99))); do
			if { exec 4<>"/dev/tcp/127.0.0.1/$p"; } 2>/dev/null
			then
				exec 4>&-
				busy=1
				break
			fi
		done
		[ "$busy" = 0 ] && return
	done
	echo "demo: no range of 100 free ports" >&2
	exit 1
}

name_of() {
	echo "${services[$1 / 6]}-$(($1 % 6 + 1))"
}

write_note() {
	local i sep=""
	echo '{"release":1,"builds_on":0,"note":"demo","added":{"services":['
	for i in 0 1 2; do
		printf '%s{"name":"%s","match":{"path_prefix":"/%s"},' \
			"$sep" "${services[i]}" "${services[i]}"
		printf '"deadline_ms":20000}'
		sep=","
	done
	echo '],"upstreams":['
	sep=""
	for i in $(seq 0 $((members - 1))); do
		printf '%s{"name":"%s","service":"%s",' "$sep" \
			"$(name_of "$i")" "${services[i / 6]}"
		printf '"address":"127.0.0.1:%d",' $((base + i))
		printf '"daemon":"127.0.0.1:%d",' $((base + 60 + i))
		printf '"key":"%s","region":"%s",' "${public[i]}" \
			"${regions[i % 3]}"
		printf '"failure_domain":"%s-%d",' "${regions[i % 3]}" \
			$((i / 3 % 2 + 1))
		printf '"slots":6,"connections":200}\n'
		sep=","
	done
	echo '],"rules":[]}}'
}

start_all() {
	local i
	"$build/standins/platform" --listen "127.0.0.1:$((base + 98))" \
		--note "$work/note.json" >"$work/platform.log" 2>&1 &
	pids+=($!)
	platform_pid=$!
	for i in $(seq 0 $((members - 1))); do
		"$build/standins/upstream" --listen "127.0.0.1:$((base + i))" \
			--control "127.0.0.1:$((base + 20 + i))" \
			--name "$(name_of "$i")" --slots 6 --service-us 4000 \
			>"$work/upstream-$i.log" 2>&1 &
		pids+=($!)
		upstream_pids[i]=$!
		request $((base + 98)) POST /control/vm "{\"address\":\
\"127.0.0.1:$((base + 60 + i))\",\"state\":\"live\"}" >"$work/vm.log"
		EBONYPIER_CURVE_SECRET_KEY="${secret[i]}" \
			"$build/ebonypierd" --upstream "$(name_of "$i")" \
			--listen "127.0.0.1:$((base + 40 + i))" \
			--daemon "127.0.0.1:$((base + 60 + i))" \
			--admin-port $((base + 80 + i)) \
			--platform "127.0.0.1:$((base + 98))" \
			--region "${regions[i % 3]}" \
			--failure-domain "${regions[i % 3]}-$((i / 3 % 2 + 1))" \
			--curve-public-key "${public[i]}" \
			>"$work/daemon-$i.log" 2>&1 &
		pids+=($!)
		daemon_pids[i]=$!
	done
}

wait_ready() {
	local i
	for i in $(seq 0 $((members - 1))); do
		until request $((base + 80 + i)) GET /metrics |
			grep -q '^ebonypier_release 1'; do
			if ! kill -0 "${daemon_pids[i]}" 2>/dev/null; then
				echo "demo: daemon $(name_of "$i") exited" >&2
				cat "$work/daemon-$i.log" >&2
				exit 1
			fi
			in_time "$(name_of "$i")"
			sleep 0.05
		done
	done
}

# Opens the claims, as no idempotency key was used before in a new fleet.
open_claims() {
	local i admins=()
	for i in $(seq 0 $((members - 1))); do
		admins+=("127.0.0.1:$((base + 80 + i))")
	done
	"$build/ebonypier" open-claims "${admins[@]}" || failed=1
}

# stop PID NAME: sends SIGTERM and fails the demo unless the status is 0.
stop() {
	local status
	kill -TERM "$1" 2>/dev/null
	wait "$1"
	status=$?
	if [ "$status" -ne 0 ]; then
		echo "demo: $2 exited with status $status" >&2
		failed=1
	fi
}

started_at() {
	request $((base + 20 + $1)) GET '/control/runs?summary=1' |
		number started
}

i=0
while read -r p s; do
	public[i]=$p
	secret[i]=$s
	i=$((i + 1))
done <<<"$("$build/standins/keys" --count $members)"
find_ports
write_note >"$work/note.json"
start_all
wait_ready
open_claims

targets=()
others=()
for i in $(seq 0 $((members - 1))); do
	targets+=(--target "127.0.0.1:$((base + 40 + i))")
	others+=(--upstream-control "127.0.0.1:$((base + 20 + i))")
	others+=(--admin "127.0.0.1:$((base + 80 + i))")
done
"$build/standins/caller" "${targets[@]}" "${others[@]}" --connections 36 \
	--rate 600 --duration-ms $((seconds * 1000)) --mix 4,1,0 \
	--get /vitrina/catalogue --post /agenda/bookings --get-bytes 4096 \
	--resends 5 --key-prefix demo >"$work/mix.json" &
mix_pid=$!
"$build/standins/caller" "${targets[@]}" --connections 2 --requests 6 \
	--mix 0,0,1 --upload /taller/artwork --upload-bytes 134217728 \
	>"$work/upload.json" &
upload_pid=$!
pids+=("$mix_pid" "$upload_pid")

sleep 3
request $((base + 20 + slowed)) POST /control/fault '{"slow":20}' \
	>"$work/fault.log"
sleep 2
request $((base + 98)) POST /control/vm "{\"address\":\
\"127.0.0.1:$((base + 60 + drained))\",\"state\":\"leaving\"}" >"$work/vm.log"
request $((base + 80 + drained)) POST /drain >"$work/drain.log"
sleep 3
drained_before=$(started_at $drained)
wait "$mix_pid" || failed=1
wait "$upload_pid" || failed=1
drained_after=$(started_at $drained)

for i in $(seq 0 $((members - 1))); do
	kill -TERM "${daemon_pids[i]}" 2>/dev/null
done
for i in $(seq 0 $((members - 1))); do
	stop "${daemon_pids[i]}" "daemon $(name_of "$i")"
	stop "${upstream_pids[i]}" "upstream $(name_of "$i")"
done
stop "$platform_pid" platform
pids=()

mix=$(cat "$work/mix.json")
upload=$(cat "$work/upload.json")
all=${mix#*\"errors\":}
up=${upload#*\"errors\":}
post=${mix#*\"post\":}
errors=$(echo "${all%%\}*}" | grep -o ':[0-9]*' | cut -c2- |
	paste -sd+ | tr -d '\n')
lost=$(($(echo "$all" | number lost) + $(echo "$up" | number lost)))
bookings=$(echo "$post" | number ok)
once=$(echo "$mix" | number once)
more=$(echo "$mix" | number more)
printf '%-34s %s\n' \
	"requests" "$(echo "$all" | number requests)" \
	"uploads of 128 MiB" "$(echo "$up" | number ok)" \
	"errors, before resends" "$((errors))" \
	"lost" "$lost" \
	"p50 ms" "$(echo "$all" | number p50_us | sed 's/...$/.&/')" \
	"p99 ms" "$(echo "$all" | number p99_us | sed 's/...$/.&/')" \
	"p99.9 ms" "$(echo "$all" | number p999_us | sed 's/...$/.&/')" \
	"retries by daemons" "$(echo "$mix" | number retries_total)" \
	"resends by callers" "$(echo "$all" | number resends)" \
	"bytes spent on monitoring load" \
	"$(echo "$mix" | number watch_bytes_total)" \
	"bookings answered" "$bookings" \
	"bookings executed once" "$once" \
	"bookings executed more than once" "$more" \
	"runs at $(name_of $drained) 3 s after draining" \
	"$((drained_after - drained_before))" \
	"seconds" "$SECONDS"
[ "$lost" -eq 0 ] && [ "$more" -eq 0 ] && [ "$once" -eq "$bookings" ] &&
	[ "$drained_after" -eq "$drained_before" ] && [ "$failed" -eq 0 ]
