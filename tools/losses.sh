#!/bin/sh
# Where worth is lost, from the logs of daemons: tools/losses.sh LOG...
#
# For each route: requests, and for each cause the requests and their part of what
# the route's requests weigh, where a request weighs 0.3 + 0.7 of its size (tokens
# in and ten times those out) against the route's mean, four at most. Causes:
# late_first (begun by the first model asked after the objective), late_second (by
# a larger one), late_pause (a pause over the route's), low_estimate (kept although
# the model's estimate is under 50), or outcome/why of those that were not answered.
set -eu
[ $# -gt 0 ] || { sed -n '2,11s/^# \{0,1\}//p' "$0" >&2; exit 2; }
awk '
function field(name,    at, text) {
	at = index($0, " " name "=")
	if (at == 0)
		return ""
	text = substr($0, at + length(name) + 2)
	sub(/ .*/, "", text)
	return text
}
/ event=request / {
	n++
	route[n] = field("route")
	split(field("tokens"), tokens, ",")
	size[n] = tokens[1] + 10 * tokens[2]
	sizes[route[n]] += size[n]
	count[route[n]]++
	first = field("before_ms") + field("first_ms")
	late = first > field("objective_ms") + 0
	most = field("pause_most_ms") + 0
	estimate = field("confidence") + 0
	if (field("outcome") != "answered" || field("status") + 0 >= 400)
		cause[n] = field("outcome") "/" field("why") "/" field("status")
	else if (late)
		cause[n] = field("dropped_ms") + 0 > 0 ? "late_second" : "late_first"
	else if (most > 0 && field("pause_ms") + 0 > most)
		cause[n] = "late_pause"
	else if (field("model") != "-" && estimate >= 0 && estimate < 50)
		cause[n] = "low_estimate"
}
END {
	for (i = 1; i <= n; i++) {
		mean = sizes[route[i]] / count[route[i]]
		weight = mean > 0 ? 0.3 + 0.7 * size[i] / mean : 1
		if (weight > 4)
			weight = 4
		owed[route[i]] += weight
		if (cause[i] == "")
			continue
		key = route[i] SUBSEP cause[i]
		lost[key] += weight
		times[key]++
	}
	printf "%-20s %-34s %8s %8s\n", "route", "cause", "requests", "part"
	for (one in count) {
		printf "%-20s %-34s %8d\n", one, "all", count[one]
		for (key in lost) {
			split(key, of, SUBSEP)
			if (of[1] == one)
				printf "%-20s %-34s %8d %8.3f\n", one, of[2],
				    times[key], lost[key] / owed[one]
		}
	}
}' "$@" | {
	IFS= read -r head
	printf '%s\n' "$head"
	sort -k1,1 -k3,3nr
}
