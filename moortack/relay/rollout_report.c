#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "rollouts_priv.h"

/* Numbers that canary_counts_t has in a report. */
#define COUNTS_FIELDS 5
/* Routes of all daemons together. */
#define SUM_ROUTES_MAX 32
/* Part of the daemons whose reports have to be known to estimate the requests
 * of all. Only the daemon that all others follow has them. */
#define REPORTED_MIN 0.8
#define EVIDENCE_LOG_INTERVAL_MS 1000

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

static void
member_tallies_add(const rollout_t *rollout, canary_tally_t *sums, size_t *len)
{
	const membership_t *members = rollout->owner->members;

	for (const member_t *member = members->members; member != NULL;
	     member = member->hh.next) {
		json_t *rows = json_object_get(
		    member_rollout_report(
			member, rollout->order.service, rollout->order.number),
		    "tally");
		size_t i;
		json_t *row;

		if (!member_is_alive(members, member))
			continue;
		json_array_foreach(rows, i, row)
		{
			canary_tally_t tally;

			tally_decode(row, &tally);
			canary_tally_add(sums, len, SUM_ROUTES_MAX, &tally);
		}
	}
}

/* Part of the other daemons whose report is known. */
static double
reported_part(const rollout_t *rollout)
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

static void
evidence_log(rollout_t *rollout, const canary_tally_t *all, double reported)
{
	canary_evidence_t evidence = canary_tally_evidence(all);
	rollout_snapshot_t snapshot = rollout_take_snapshot(rollout);

	event_log_write(rollout->owner->log, "rollout_evidence",
	    "service=%s order=%" PRIu64 " elapsed_ms=%" PRId64
	    " share=%.2f reports=%.2f new=%u failed=%u late=%u gaps=%u"
	    " slow_gaps=%u old=%u old_failed=%u old_late=%u old_gaps=%u"
	    " old_slow_gaps=%u log_failed=%.1f log_late=%.1f log_gaps=%.1f",
	    rollout->order.service, rollout->order.number, snapshot.elapsed_ms,
	    rollout_plan_share(&snapshot), reported, all->new_counts.responses,
	    all->new_counts.failed, all->new_counts.late,
	    all->new_counts.gaps_measured, all->new_counts.gaps_slow,
	    all->old_counts.responses, all->old_counts.failed,
	    all->old_counts.late, all->old_counts.gaps_measured,
	    all->old_counts.gaps_slow, evidence.failed, evidence.late,
	    evidence.gaps);
}

/* Log what the counts of all daemons show, at a daemon that has their reports.
 */
static void
evidence_log_if_due(rollout_t *rollout, const canary_tally_t *all)
{
	struct timespec now = clock_boottime(rollout->owner->clock);
	double reported;

	if (timespec_ms_between(rollout->evidence_logged_at, now) <
	    EVIDENCE_LOG_INTERVAL_MS)
		return;
	rollout->evidence_logged_at = now;
	reported = reported_part(rollout);
	if (reported >= REPORTED_MIN)
		evidence_log(rollout, all, reported);
}

static void
bad_version_log(const rollout_t *rollout, const canary_tally_t *tally)
{
	event_log_write(rollout->owner->log, "rollout_bad",
	    "service=%s order=%" PRIu64 " route=%016" PRIx64
	    " new=%u failed=%u slow=%u paced=%u dragged=%u"
	    " old=%u failed=%u slow=%u paced=%u dragged=%u",
	    rollout->order.service, rollout->order.number, tally->route,
	    tally->new_counts.responses, tally->new_counts.failed,
	    tally->new_counts.late, tally->new_counts.gaps_measured,
	    tally->new_counts.gaps_slow, tally->old_counts.responses,
	    tally->old_counts.failed, tally->old_counts.late,
	    tally->old_counts.gaps_measured, tally->old_counts.gaps_slow);
}

/* The routes are also compared together, which can show a difference before any
 * single route has enough responses to. */
static bool
tallies_are_bad(rollout_t *rollout, const canary_tally_t *sums, size_t len)
{
	canary_tally_t all = {0};

	for (size_t i = 0; i < len; i++) {
		canary_counts_add(&all.new_counts, &sums[i].new_counts);
		canary_counts_add(&all.old_counts, &sums[i].old_counts);
		if (canary_tally_is_bad(&sums[i])) {
			bad_version_log(rollout, &sums[i]);
			return true;
		}
	}
	evidence_log_if_due(rollout, &all);
	if (!canary_tally_is_bad(&all))
		return false;
	bad_version_log(rollout, &all);
	return true;
}

bool
rollout_new_version_is_bad(rollout_t *rollout)
{
	canary_tally_t sums[SUM_ROUTES_MAX];
	size_t len = canary_analysis_tally(&rollout->canary,
	    clock_boottime(rollout->owner->clock), sums, SUM_ROUTES_MAX);

	member_tallies_add(rollout, sums, &len);
	return tallies_are_bad(rollout, sums, len);
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

bool
rollout_load_input(
    rollout_t *rollout, const rollout_load_t *load, rollout_load_input_t *input)
{
	canary_tally_t sums[SUM_ROUTES_MAX];
	double reported = reported_part(rollout);
	uint32_t in_flight = 0, responses = 0, responses_all = 0;
	size_t len;

	if (reported < REPORTED_MIN)
		return false;
	len = own_tallies(rollout, sums, SUM_ROUTES_MAX);
	member_tallies_add(rollout, sums, &len);
	for (size_t i = 0; i < len; i++) {
		responses_all += sums[i].old_counts.responses;
		if (!rollout_load_has_route(load, sums[i].route))
			continue;
		responses += sums[i].old_counts.responses;
		in_flight += sums[i].old_in_flight;
	}
	input->in_flight = (uint32_t)(in_flight / reported);
	input->route_part =
	    responses_all > 0 ? (double)responses / responses_all : 1;
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

static json_t *
rollout_report_encode(rollout_t *rollout)
{
	canary_tally_t tallies[CANARY_ROUTES_MAX];
	size_t len = own_tallies(rollout, tallies, CANARY_ROUTES_MAX);
	rollout_snapshot_t snapshot = rollout_take_snapshot(rollout);
	json_t *rows = json_array();

	for (size_t i = 0; i < len; i++)
		json_array_append_new(rows, tally_encode(&tallies[i]));
	return json_pack("{s:I, s:f, s:i, s:o}", "order",
	    (json_int_t)rollout->order.number, "share",
	    rollout_plan_share(&snapshot), "old",
	    (int)rollout->owner->old_in_flight(
		rollout->owner->relay, rollout, 0),
	    "tally", rows);
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
	sessions = recent_sessions_encode(
	    &self->local_sessions, clock_boottime(self->clock));
	if (sessions != NULL)
		json_object_set_new(report, "sessions", sessions);
	return report;
}
