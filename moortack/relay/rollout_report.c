#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "rollouts_priv.h"

/* Numbers of a count in a report. */
#define COUNT_FIELDS 5
#define SUM_ROUTES_MAX 32

static json_t *
report_of(const member_t *member, const char *service, uint64_t order)
{
	json_t *report = json_object_get(
	    json_object_get(member->report, "rollouts"), service);

	if ((uint64_t)json_integer_value(json_object_get(report, "order")) !=
	    order)
		return NULL;
	return report;
}

static uint32_t
number_at(const json_t *row, size_t at)
{
	return (uint32_t)json_integer_value(json_array_get(row, at));
}

static guard_count_t
count_read(const json_t *row, size_t at)
{
	return (guard_count_t){.seen = number_at(row, at),
	    .failed = number_at(row, at + 1),
	    .slow = number_at(row, at + 2),
	    .paced = number_at(row, at + 3),
	    .dragged = number_at(row, at + 4)};
}

static void
tally_read(const json_t *row, guard_tally_t *tally)
{
	const char *route = json_string_value(json_array_get(row, 0));

	*tally = (guard_tally_t){
	    .route = route != NULL ? strtoull(route, NULL, 16) : 0,
	    .fresh = count_read(row, 1),
	    .base = count_read(row, 1 + COUNT_FIELDS)};
}

static void
members_add(const rollout_t *rollout, guard_tally_t *sums, size_t *len)
{
	const membership_t *members = rollout->owner->members;

	for (const member_t *member = members->members; member != NULL;
	     member = member->hh.next) {
		json_t *rows =
		    json_object_get(report_of(member, rollout->order.service,
					rollout->order.number),
			"tally");
		size_t i;
		json_t *row;

		if (!membership_alive(members, member))
			continue;
		json_array_foreach(rows, i, row)
		{
			guard_tally_t tally;

			tally_read(row, &tally);
			guard_tally_add(sums, len, SUM_ROUTES_MAX, &tally);
		}
	}
}

static void
bad_log(const rollout_t *rollout, const guard_tally_t *tally)
{
	event_log_write(rollout->owner->log, "rollout_bad",
	    "service=%s order=%" PRIu64 " route=%016" PRIx64
	    " new=%u failed=%u slow=%u paced=%u dragged=%u"
	    " old=%u failed=%u slow=%u paced=%u dragged=%u",
	    rollout->order.service, rollout->order.number, tally->route,
	    tally->fresh.seen, tally->fresh.failed, tally->fresh.slow,
	    tally->fresh.paced, tally->fresh.dragged, tally->base.seen,
	    tally->base.failed, tally->base.slow, tally->base.paced,
	    tally->base.dragged);
}

/* All routes together show what no single one does yet. */
static bool
tallies_bad(const rollout_t *rollout, const guard_tally_t *sums, size_t len)
{
	guard_tally_t all = {0};

	for (size_t i = 0; i < len; i++) {
		guard_count_add(&all.fresh, &sums[i].fresh);
		guard_count_add(&all.base, &sums[i].base);
		if (version_guard_bad(&sums[i])) {
			bad_log(rollout, &sums[i]);
			return true;
		}
	}
	if (!version_guard_bad(&all))
		return false;
	bad_log(rollout, &all);
	return true;
}

bool
rollout_found_bad(rollout_t *rollout)
{
	guard_tally_t sums[SUM_ROUTES_MAX];
	size_t len = version_guard_tally(&rollout->guard,
	    clock_boottime(rollout->owner->clock), sums, SUM_ROUTES_MAX);

	members_add(rollout, sums, &len);
	return tallies_bad(rollout, sums, len);
}

/* Every daemon sends all to the new version and has nothing on the old. */
bool
rollout_settled(const rollout_t *rollout)
{
	const membership_t *members = rollout->owner->members;

	if (rollout->owner->on_old(rollout->owner->relay, rollout) > 0)
		return false;
	for (const member_t *member = members->members; member != NULL;
	     member = member->hh.next) {
		const json_t *report = report_of(
		    member, rollout->order.service, rollout->order.number);

		if (!membership_alive(members, member))
			continue;
		if (json_number_value(json_object_get(report, "share")) < 1.0 ||
		    json_integer_value(json_object_get(report, "old")) > 0)
			return false;
	}
	return true;
}

static void
count_write(json_t *row, const guard_count_t *count)
{
	const uint32_t numbers[COUNT_FIELDS] = {count->seen, count->failed,
	    count->slow, count->paced, count->dragged};

	for (size_t i = 0; i < COUNT_FIELDS; i++)
		json_array_append_new(row, json_integer(numbers[i]));
}

static json_t *
tally_row(const guard_tally_t *tally)
{
	char route[17];
	json_t *row;

	snprintf(route, sizeof(route), "%016" PRIx64, tally->route);
	row = json_pack("[s]", route);
	count_write(row, &tally->fresh);
	count_write(row, &tally->base);
	return row;
}

static json_t *
rollout_report(rollout_t *rollout)
{
	guard_tally_t tallies[GUARD_ROUTES_MAX];
	size_t len = version_guard_tally(&rollout->guard,
	    clock_boottime(rollout->owner->clock), tallies, GUARD_ROUTES_MAX);
	rollout_moment_t moment = rollout_moment(rollout);
	json_t *rows = json_array();

	for (size_t i = 0; i < len; i++)
		json_array_append_new(rows, tally_row(&tallies[i]));
	return json_pack("{s:I, s:f, s:i, s:o}", "order",
	    (json_int_t)rollout->order.number, "share", rollout_share(&moment),
	    "old", (int)rollout->owner->on_old(rollout->owner->relay, rollout),
	    "tally", rows);
}

json_t *
rollouts_report(rollouts_t *self)
{
	json_t *report = NULL;
	json_t *sessions;

	for (rollout_t *one = self->all; one != NULL; one = one->hh.next) {
		if (!rollout_under_way(one))
			continue;
		if (report == NULL)
			report = json_object();
		json_object_set_new(
		    report, one->order.service, rollout_report(one));
	}
	if (report == NULL)
		return NULL;
	report = json_pack("{s:o}", "rollouts", report);
	sessions =
	    session_memory_list(&self->served, clock_boottime(self->clock));
	if (sessions != NULL)
		json_object_set_new(report, "sessions", sessions);
	return report;
}
