#!/bin/sh
# Draws docs/routing_*.svg from the output of the routing bench.
# usage: plot_routing.sh RESULTS.jsonl
set -eu
results=$1
tmp=$(mktemp -d)
trap 'rm -r "$tmp"' EXIT

# Prints the value of key $1 of each JSON line on standard input.
value() {
	sed -n "s/.*\"$1\":\"\{0,1\}\([^,\"}]*\).*/\1/p"
}

# Mean p99 over the seeds: a row for each size and load, and a column for each
# policy in $policies.
policies="ebonypier ideal two-choices round-robin random"
for size in 6x6 30x10; do
	for load in 50 75 90; do
		grep "\"noisy-$load\",\"size\":\"$size\",\"seed\":" "$results" |
			grep '"p99_ms"' >"$tmp/case"
		printf '"%s %s%%"' "$size" "$load"
		for p in $policies; do
			if [ "$p" = ebonypier ]; then
				grep '"baseline":"ideal"' "$tmp/case" |
					value value
			else
				grep "\"baseline\":\"$p\"" "$tmp/case" |
					value baseline_value
			fi | awk '{ s += $1 } END { printf " %.2f", s / NR }'
		done
		echo
	done
done >"$tmp/p99"

# constant FILE CONSTANT CASE SIZE: writes the median p99 for each
# value of the constant.
constant() {
	grep "\"case\":\"$3\",\"size\":\"$4\",\"constant\":\"$2\"" "$results" |
		grep '"figure":"p99_ms"' >"$tmp/rows"
	value setting <"$tmp/rows" >"$tmp/x"
	value value <"$tmp/rows" >"$tmp/y"
	paste -d' ' "$tmp/x" "$tmp/y" >"$1"
}

for c in watch_bytes_per_s wait_us stall_times; do
	for case in noisy-75 noisy-90; do
		for size in 6x6 30x10; do
			constant "$tmp/$c-$case-$size" "$c" "$case" "$size"
		done
	done
done

gnuplot <<PLOT
set terminal svg size 760,420 font "sans,12"
set key outside
set grid ytics
set ylabel "p99, ms"
set yrange [0:*]
set output "docs/routing_p99.svg"
set title "Noisy hosts: p99 by policy"
set style data histograms
set style fill solid 0.8
plot "$tmp/p99" using 2:xtic(1) title "ebonypier", \
	"" using 3 title "ideal", "" using 4 title "two choices", \
	"" using 5 title "round robin", "" using 6 title "random"
set style data linespoints
set output "docs/routing_watch.svg"
set title "p99 against the budget of load reports"
set xlabel "bytes/s of each gate (0 is drawn at 10)"
set logscale x
plot for [k in "noisy-75-6x6 noisy-90-6x6 noisy-75-30x10 noisy-90-30x10"] \
	"$tmp/watch_bytes_per_s-".k using (\$1 < 10 ? 10 : \$1):2 title k
set output "docs/routing_wait.svg"
set title "p99 against the longest expected wait of a first attempt"
set xlabel "wait, us"
plot for [k in "noisy-75-6x6 noisy-90-6x6 noisy-75-30x10 noisy-90-30x10"] \
	"$tmp/wait_us-".k using 1:2 title k
unset logscale x
set output "docs/routing_stall.svg"
set title "p99 against the stall threshold (0: off)"
set xlabel "service times without a completion"
plot for [k in "noisy-75-6x6 noisy-90-6x6 noisy-75-30x10 noisy-90-30x10"] \
	"$tmp/stall_times-".k using 1:2 title k
PLOT
