#!/bin/bash
# Starts N idle daemons of one service on loopback, with CURVE, and prints per
# daemon: CPU, control bytes, resident memory, threads and descriptors. JSON
# lines. usage: measure_daemons.sh BUILD_DIR [N...]
set -eu
build=$1
shift
[ $# -gt 0 ] || set -- 9 18 32
base=27000
seconds=10
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true' EXIT

note() { # N: prints a release note with N upstreams, keys from key_public
	local i
	printf '{"release":1,"builds_on":0,"note":"n","added":{"services":['
	printf '{"name":"s","match":{"path_prefix":"/s"}}],"upstreams":['
	for i in $(seq 0 $(($1 - 1))); do
		[ "$i" = 0 ] || printf ','
		printf '{"name":"s-%d","service":"s",' "$i"
		printf '"address":"127.0.0.1:%d",' $((base + 100 + i))
		printf '"daemon":"127.0.0.1:%d",' $((base + 300 + i))
		printf '"key":"%s","region":"r",' "${key_public[i]}"
		printf '"failure_domain":"d%d",' $((i % 3))
		printf '"slots":6,"connections":200}'
	done
	printf ']}}'
}

metric() { # PORT NAME
	curl -s --noproxy '*' "127.0.0.1:$1/metrics" |
		awk -v n="ebonypier_$2" '$1 == n { print $2 }'
}

ticks() { # PID: CPU time in clock ticks
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}

figure() { # N NAME VALUE
	printf '{"bench":"daemons","case":"idle-%d","seed":1,' "$1"
	printf '"figure":"%s","value":%s}\n' "$2" "$3"
}

measure() { # N
	local n=$1 i dir cpu bytes
	dir=$(mktemp -d)
	key_public=()
	key_secret=()
	for i in $(seq 0 $((n - 1))); do
		eval "$("$build/ebonypier" keygen | sed 's/^export //')"
		key_public[i]=$EBONYPIER_CURVE_PUBLIC_KEY
		key_secret[i]=$EBONYPIER_CURVE_SECRET_KEY
	done
	unset EBONYPIER_CURVE_PUBLIC_KEY EBONYPIER_CURVE_SECRET_KEY
	note "$n" >"$dir/note.json"
	pids=()
	"$build/standins/platform" --listen 127.0.0.1:$base \
		--note "$dir/note.json" 2>"$dir/platform.log" &
	pids+=($!)
	for i in $(seq 0 $((n - 1))); do
		EBONYPIER_CURVE_SECRET_KEY=${key_secret[i]} \
			"$build/ebonypierd" --upstream "s-$i" \
			--listen 127.0.0.1:$((base + 500 + i)) \
			--daemon 127.0.0.1:$((base + 300 + i)) \
			--admin-port $((base + 700 + i)) \
			--platform 127.0.0.1:$base --region r \
			--failure-domain "d$((i % 3))" \
			--curve-public-key "${key_public[i]}" \
			2>"$dir/daemon-$i.log" &
		pids+=($!)
	done
	sleep 8
	"$build/ebonypier" open-claims 127.0.0.1:$((base + 700)) >/dev/null
	cpu=$(ticks "${pids[1]}")
	bytes=$(metric $((base + 700)) control_bytes_total)
	sleep $seconds
	cpu=$(($(ticks "${pids[1]}") - cpu))
	bytes=$(($(metric $((base + 700)) control_bytes_total) - bytes))
	figure "$n" cpu_permille $((cpu * 10 / seconds))
	figure "$n" control_bytes_out_per_s $((bytes / seconds))
	figure "$n" peers "$(metric $((base + 700)) peers_active)"
	figure "$n" resident_kb "$(awk '/VmRSS/ { print $2 }' \
		"/proc/${pids[1]}/status")"
	figure "$n" threads "$(awk '/Threads/ { print $2 }' \
		"/proc/${pids[1]}/status")"
	figure "$n" descriptors "$(ls "/proc/${pids[1]}/fd" | wc -l)"
	kill "${pids[@]}"
	wait
	rm -rf "$dir"
}

for n in "$@"; do
	measure "$n"
done
