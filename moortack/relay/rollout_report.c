#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "rollouts_priv.h"

/* Numbers that canary_counts_t has in a report. */
#define COUNTS_FIELDS 5
#define MS_PER_SEC 1000
/* The oldest second of the window is not complete. */
#define CANARY_WINDOW_MS ((CANARY_SLICES - 1) * MS_PER_SEC + MS_PER_SEC / 2)

/* The member's report on the roll-out of a service, or NULL if it has none on
 * this order. */
static json_t *
member_rollout_report(
    const member_t *member, const char *service, uint64_t order)
{
	json_t *report = json_object_get(
	    json_object_get(member->report, "rollouts"), service);

	if ((uint64_t)json_integer_value(json_object_get(report, "order")) !=
	    order)
		return NULL;
	return report;
}

static uint32_t
array_u32(const json_t *row, size_t at)
{
	return (uint32_t)json_integer_value(json_array_get(row, at));
}

static canary_counts_t
counts_decode(const json_t *row, size_t at)
{
	return (canary_counts_t){.responses = array_u32(row, at),
	    .failed = array_u32(row, at + 1),
	    .late = array_u32(row, at + 2),
	    .gaps_measured = array_u32(row, at + 3),
	    .gaps_slow = array_u32(row, at + 4)};
}

static void
tally_decode(const json_t *row, canary_tally_t *tally)
{
	const char *route = json_string_value(json_array_get(row, 0));

	*tally = (canary_tally_t){
	    .route = route != NULL ? strtoull(route, NULL, 16) : 0,
	    .new_counts = counts_decode(row, 1),
	    .old_counts = counts_decode(row, 1 + COUNTS_FIELDS),
	    .old_in_flight = array_u32(row, 1 + 2 * COUNTS_FIELDS)};
}

/* Pairs of a bin's number and its count, from an index on. */
static void
histogram_decode(const json_t *pairs, size_t at, latency_histogram_t *histogram)
{
	for (; at + 1 < json_array_size(pairs); at += 2) {
		uint32_t bin = array_u32(pairs, at);

		if (bin < LATENCY_BINS)
			histogram->bins[bin] += array_u32(pairs, at + 1);
	}
}

/* Numbers that canary_cohort_t has in a report before its gaps. */
#define COHORT_FIELDS 5

static void
cohort_decode(const json_t *row, canary_cohort_t *sum)
{
	sum->responses += array_u32(row, 0);
	sum->failed += array_u32(row, 1);
	sum->late += array_u32(row, 2);
	sum->unanswered += array_u32(row, 3);
	sum->gapless += array_u32(row, 4);
	histogram_decode(row, COHORT_FIELDS, &sum->gaps);
}

static void
gaps_decode(const json_t *gaps, canary_gaps_t *sum)
{
	const json_t *groups = json_object_get(gaps, "new");
	size_t i;
	json_t *row;

	histogram_decode(json_object_get(gaps, "old"), 0, &sum->old_gaps);
	json_array_foreach(groups, i, row)
	{
		uint32_t group = array_u32(row, 0);

		if (group < CANARY_GROUPS)
			histogram_decode(row, 1, &sum->new_gaps[group]);
	}
}

/* Requests a second, from the responses in the window. */
static double
responses_rate(uint32_t responses, int64_t elapsed_ms)
{
	int64_t window_ms =
	    elapsed_ms < CANARY_WINDOW_MS ? elapsed_ms : CANARY_WINDOW_MS;

	return window_ms > 0 ? (double)responses * MS_PER_SEC / window_ms : 0;
}

static void
member_report_add(const json_t *report, canary_sums_t *sums)
{
	const json_t *rows = json_object_get(report, "tally");
	uint32_t responses = 0;
	size_t i;
	json_t *row;

	json_array_foreach(rows, i, row)
	{
		canary_tally_t tally;

		tally_decode(row, &tally);
		canary_tally_add(sums->routes, &sums->routes_len,
		    CANARY_SUM_ROUTES_MAX, &tally);
		responses +=
		    tally.new_counts.responses + tally.old_counts.responses;
	}
	sums->rate += responses_rate(
	    responses, json_integer_value(json_object_get(report, "elapsed")));
	gaps_decode(json_object_get(report, "gaps"), &sums->gaps);
	cohort_decode(json_object_get(report, "settled"), &sums->settled);
}

static void
member_reports_add(const rollout_t *rollout, canary_sums_t *sums)
{
	const membership_t *members = rollout->owner->members;

	for (const member_t *member = members->members; member != NULL;
	     member = member->hh.next) {
		if (member_is_alive(members, member))
			member_report_add(
			    member_rollout_report(member,
				rollout->order.service, rollout->order.number),
			    sums);
	}
}

double
rollout_reported_part(const rollout_t *rollout)
{
	const membership_t *members = rollout->owner->members;
	uint32_t daemons = 0, reported = 0;

	for (const member_t *member = members->members; member != NULL;
	     member = member->hh.next) {
		if (!member_is_alive(members, member))
			continue;
		daemons++;
		reported +=
		    member_rollout_report(member, rollout->order.service,
			rollout->order.number) != NULL;
	}
	return daemons > 0 ? (double)reported / daemons : 1;
}

/* The counts of this daemon. */
static size_t
own_tallies(rollout_t *rollout, canary_tally_t *out, size_t cap)
{
	const rollouts_t *self = rollout->owner;
	size_t len = canary_analysis_tally(
	    &rollout->canary, clock_boottime(self->clock), out, cap);

	for (size_t i = 0; i < len; i++)
		out[i].old_in_flight =
		    self->old_in_flight(self->relay, rollout, out[i].route);
	return len;
}

/* Add the outcomes of this daemon's requests at the new version. */
static void
own_settled_add(rollout_t *rollout, canary_cohort_t *sum)
{
	const rollouts_t *self = rollout->owner;
	struct timespec now = clock_boottime(self->clock);

	canary_cohorts_add_settled(&rollout->canary.cohorts, now, sum);
	if (self->new_version_waiting != NULL)
		self->new_version_waiting(
		    self->relay, rollout, canary_cohorts_settled_at(now), sum);
}

void
rollout_sums_collect(rollout_t *rollout, canary_sums_t *sums)
{
	struct timespec now = clock_boottime(rollout->owner->clock);
	uint32_t responses = 0;

	*sums = (canary_sums_t){0};
	sums->routes_len = canary_analysis_tally(
	    &rollout->canary, now, sums->routes, CANARY_SUM_ROUTES_MAX);
	for (size_t i = 0; i < sums->routes_len; i++)
		responses += sums->routes[i].new_counts.responses +
		    sums->routes[i].old_counts.responses;
	sums->rate = responses_rate(
	    responses, rollout_take_snapshot(rollout).elapsed_ms);
	canary_analysis_add_gaps(&rollout->canary, now, &sums->gaps);
	own_settled_add(rollout, &sums->settled);
	member_reports_add(rollout, sums);
	for (size_t i = 0; i < sums->routes_len; i++) {
		canary_counts_add(
		    &sums->all.new_counts, &sums->routes[i].new_counts);
		canary_counts_add(
		    &sums->all.old_counts, &sums->routes[i].old_counts);
	}
}

bool
rollout_load_input(
    rollout_t *rollout, const rollout_load_t *load, rollout_load_input_t *input)
{
	const rollouts_t *self = rollout->owner;
	double reported = rollout_reported_part(rollout);
	uint32_t in_flight = 0, responses = 0, responses_all;
	canary_sums_t sums;

	if (reported < ROLLOUT_REPORTED_MIN)
		return false;
	rollout_sums_collect(rollout, &sums);
	for (size_t i = 0; i < sums.routes_len; i++) {
		const canary_tally_t *route = &sums.routes[i];

		if (!rollout_load_has_route(load, route->route))
			continue;
		responses += route->old_counts.responses;
		in_flight += route->old_in_flight +
		    self->old_in_flight(self->relay, rollout, route->route);
	}
	responses_all = sums.all.old_counts.responses;
	input->in_flight = (uint32_t)(in_flight / reported);
	input->route_part =
	    responses_all > 0 ? (double)responses / responses_all : 1;
	input->rate = sums.rate / reported;
	return true;
}

bool
rollout_is_drained(const rollout_t *rollout)
{
	const membership_t *members = rollout->owner->members;

	if (rollout->owner->old_in_flight(rollout->owner->relay, rollout, 0) >
	    0)
		return false;
	for (const member_t *member = members->members; member != NULL;
	     member = member->hh.next) {
		const json_t *report = member_rollout_report(
		    member, rollout->order.service, rollout->order.number);

		if (!member_is_alive(members, member))
			continue;
		if (json_number_value(json_object_get(report, "share")) < 1.0 ||
		    json_integer_value(json_object_get(report, "old")) > 0)
			return false;
	}
	return true;
}

static void
counts_encode(json_t *row, const canary_counts_t *counts)
{
	const uint32_t numbers[COUNTS_FIELDS] = {counts->responses,
	    counts->failed, counts->late, counts->gaps_measured,
	    counts->gaps_slow};

	for (size_t i = 0; i < COUNTS_FIELDS; i++)
		json_array_append_new(row, json_integer(numbers[i]));
}

static json_t *
tally_encode(const canary_tally_t *tally)
{
	char route[17];
	json_t *row;

	snprintf(route, sizeof(route), "%016" PRIx64, tally->route);
	row = json_pack("[s]", route);
	counts_encode(row, &tally->new_counts);
	counts_encode(row, &tally->old_counts);
	json_array_append_new(row, json_integer(tally->old_in_flight));
	return row;
}

static void
histogram_encode(json_t *pairs, const latency_histogram_t *histogram)
{
	for (size_t i = 0; i < LATENCY_BINS; i++) {
		if (histogram->bins[i] == 0)
			continue;
		json_array_append_new(pairs, json_integer((json_int_t)i));
		json_array_append_new(pairs, json_integer(histogram->bins[i]));
	}
}

static json_t *
gaps_encode(const canary_gaps_t *gaps)
{
	json_t *old = json_array(), *groups = json_array();

	histogram_encode(old, &gaps->old_gaps);
	for (size_t i = 0; i < CANARY_GROUPS; i++) {
		json_t *row;

		if (latency_histogram_count(&gaps->new_gaps[i]) == 0)
			continue;
		row = json_pack("[i]", (int)i);
		histogram_encode(row, &gaps->new_gaps[i]);
		json_array_append_new(groups, row);
	}
	return json_pack("{s:o, s:o}", "old", old, "new", groups);
}

static json_t *
cohort_encode(const canary_cohort_t *cohort)
{
	json_t *row = json_pack("[i, i, i, i, i]", (int)cohort->responses,
	    (int)cohort->failed, (int)cohort->late, (int)cohort->unanswered,
	    (int)cohort->gapless);

	histogram_encode(row, &cohort->gaps);
	return row;
}

static json_t *
rollout_report_encode(rollout_t *rollout)
{
	canary_tally_t tallies[CANARY_ROUTES_MAX];
	size_t len = own_tallies(rollout, tallies, CANARY_ROUTES_MAX);
	rollout_snapshot_t snapshot = rollout_take_snapshot(rollout);
	json_t *rows = json_array();
	canary_gaps_t gaps = {0};
	canary_cohort_t settled = {0};

	for (size_t i = 0; i < len; i++)
		json_array_append_new(rows, tally_encode(&tallies[i]));
	canary_analysis_add_gaps(
	    &rollout->canary, clock_boottime(rollout->owner->clock), &gaps);
	own_settled_add(rollout, &settled);
	return json_pack("{s:I, s:I, s:f, s:i, s:o, s:o, s:o}", "order",
	    (json_int_t)rollout->order.number, "elapsed",
	    (json_int_t)snapshot.elapsed_ms, "share",
	    rollout_plan_share(&snapshot), "old",
	    (int)rollout->owner->old_in_flight(
		rollout->owner->relay, rollout, 0),
	    "tally", rows, "gaps", gaps_encode(&gaps), "settled",
	    cohort_encode(&settled));
}

json_t *
rollouts_report(rollouts_t *self)
{
	json_t *report = NULL;
	json_t *sessions;

	for (rollout_t *rollout = self->by_service; rollout != NULL;
	     rollout = rollout->hh.next) {
		if (!rollout_is_active(rollout))
			continue;
		if (report == NULL)
			report = json_object();
		json_object_set_new(report, rollout->order.service,
		    rollout_report_encode(rollout));
	}
	if (report == NULL)
		return NULL;
	report = json_pack("{s:o}", "rollouts", report);
	json_object_set_new(report, "sessions_share",
	    json_real(rollouts_own_sessions_share(self)));
	sessions = recent_sessions_encode(&self->local_sessions,
	    clock_boottime(self->clock), rollouts_own_sessions_share(self));
	if (sessions != NULL)
		json_object_set_new(report, "sessions", sessions);
	return report;
}
