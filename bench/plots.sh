#!/bin/sh
# Plots the tables of the experiments into docs/plots/*.svg:
#   bench/plots.sh BUILD
set -eu
experiment=$1/bench/bench-experiment
out=$(dirname "$0")/../docs/plots
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints each row of the table as first column, second column and mean of awk
# field N, separated by tabs.
column() {
	sed 's/±[0-9.]*//g' "$work/table" | awk -F ' *[|] *' -v n="$1" \
		'NR > 2 && NF > n {print $2 "\t" $3 "\t" $n}'
}

table() {
	"$experiment" "$1" | grep '^|' >"$work/table"
}

# Plots tab-separated rows as groups of bars:
#   bars NAME TITLE YLABEL [GNUPLOT COMMANDS]
bars() {
	awk -F '\t' '{
		if (!($1 in row)) {row[$1] = ++rows; name[rows] = $1}
		if (!($2 in col)) {col[$2] = ++cols; title[cols] = $2}
		value[row[$1], col[$2]] = $3
	}
	END {
		printf "case"
		for (c = 1; c <= cols; c++) printf "\t%s", title[c]
		print ""
		for (r = 1; r <= rows; r++) {
			printf "%s", name[r]
			for (c = 1; c <= cols; c++) printf "\t%s", value[r, c]
			print ""
		}
	}' >"$work/data"
	columns=$(head -n 1 "$work/data" | awk -F '\t' '{print NF}')
	gnuplot <<G
set terminal svg size 900,420 font "sans,12" background "white"
set output "$out/$1.svg"
set datafile separator "\t"
set title "$2"
set ylabel "$3"
set style data histogram
set style histogram clustered gap 1
set style fill solid 0.8 border -1
set key outside top center horizontal
set grid y
set xtics rotate by -12
$4
plot for [i=2:$columns] "$work/data" using i:xtic(1) title columnheader(i)
G
}

table exposure
column 4 | bars exposure "Bad responses served in a roll-out" "responses" \
	"set logscale y"
table balance
column 5 | bars balance "First token, 99th percentile" "ms" "set logscale y"
table admission
column 5 | bars admission "Critical requests served" "%" "set yrange [0:110]"
