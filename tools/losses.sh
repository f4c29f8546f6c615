#!/bin/sh
# Lists the causes of lost benchmark score, from daemons' logs: tools/losses.sh LOG...
#
# For each route: the number of requests, and for each cause the number of requests
# and their part of the route's total weight. The weight of a request is 0.3 + 0.7
# times its size (tokens in + 10 * tokens out) over the route's mean, at most 4.
# Causes: late_first (the first model that was tried started its response after the
# objective), late_second (a larger one did), late_pause (a pause over the route's
# limit), low_estimate (the response was used although the model's estimate is under
# 50), or outcome/why/status of a request that was not answered.
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
	limit = field("pause_most_ms") + 0
	estimate = field("confidence") + 0
	if (field("outcome") != "answered" || field("status") + 0 >= 400)
		cause[n] = field("outcome") "/" field("why") "/" field("status")
	else if (late)
		cause[n] = field("dropped_ms") + 0 > 0 ? "late_second" : "late_first"
	else if (limit > 0 && field("pause_ms") + 0 > limit)
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
		total[route[i]] += weight
		if (cause[i] == "")
			continue
		key = route[i] SUBSEP cause[i]
		lost[key] += weight
		times[key]++
	}
	printf "%-20s %-34s %8s %8s\n", "route", "cause", "requests", "part"
	for (name in count) {
		printf "%-20s %-34s %8d\n", name, "all", count[name]
		for (key in lost) {
			split(key, parts, SUBSEP)
			if (parts[1] == name)
				printf "%-20s %-34s %8d %8.3f\n", name, parts[2],
				    times[key], lost[key] / total[name]
		}
	}
}' "$@" | {
	IFS= read -r head
	printf '%s\n' "$head"
	sort -k1,1 -k3,3nr
}
