#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "membership_priv.h"

/* A daemon that follows none and has received no request for this long is
 * isolated: each follower sends a request twice a second. */
#define ISOLATED_AFTER_MS 1200
/* Rows of daemons that are down that are deleted from the store with one
 * call. */
#define CLEANUP_BATCH_MAX 16
#define CLEANUP_INTERVAL_MS 1500

/* Milliseconds since a time; -1 if it is not set. */
static int64_t
ms_since(const membership_t *self, struct timespec then)
{
	return then.tv_sec != 0 || then.tv_nsec != 0
	    ? timespec_ms_between(then, clock_boottime(self->clock))
	    : -1;
}

void
member_log(const membership_t *self, const member_t *member,
    event_throttle_kind_t event)
{
	if (self->log == NULL)
		return;
	event_log_write_throttled(self->log, event,
	    "name=%s state=%s named=%d seen_ms=%" PRId64 " silent=%d"
	    " vouched_ms=%" PRId64 " settled=%d held=%d alone=%d",
	    member->name, member_state_names[member->state],
	    member->logged_available,
	    ms_since(self, member->liveness.last_seen_at),
	    member->liveness.silent, ms_since(self, self->liveness.summary_at),
	    self->liveness.authoritative, self->liveness.frozen,
	    self->isolated);
}

bool
member_is_alive(const membership_t *self, const member_t *member)
{
	return !liveness_is_down(
	    &self->liveness, &member->liveness, clock_boottime(self->clock));
}

bool
member_is_available(const membership_t *self, const member_t *member)
{
	return member->state == MEMBER_READY &&
	    liveness_is_available(&self->liveness, &member->liveness,
		clock_boottime(self->clock));
}

/* The member sent a request at this time, with this report. */
static void
member_record_request(
    membership_t *self, const char *name, struct timespec at, json_t *report)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member == NULL || !liveness_record_request(&member->liveness, at))
		return;
	json_decref(member->report);
	member->report = json_incref(report);
}

void
membership_record_request(membership_t *self, const char *name, json_t *report)
{
	struct timespec now = clock_boottime(self->clock);

	liveness_view_record_request(&self->liveness, now);
	member_record_request(self, name, now, report);
}

void
membership_apply_subtree(membership_t *self, const json_t *subtree)
{
	struct timespec now = clock_boottime(self->clock);
	const char *name;
	json_t *entry;

	json_object_foreach((json_t *)(uintptr_t)subtree, name, entry)
	{
		int64_t age_ms = json_integer_value(json_array_get(entry, 0));

		if (json_array_size(entry) < 2)
			continue;
		member_record_request(self, name,
		    timespec_add_ms(now, age_ms > 0 ? -age_ms : 0),
		    json_array_get(entry, 1));
		membership_add_row_request(
		    self, name, json_array_get(entry, 2));
	}
}

/* Adds the members that sent a request lately. */
static void
subtree_add_members(const membership_t *self, json_t *subtree)
{
	struct timespec now = clock_boottime(self->clock);

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		int64_t age_ms =
		    timespec_ms_between(member->liveness.last_request_at, now);

		if (member->liveness.last_request_at.tv_sec != 0 &&
		    age_ms < self->settings.liveness.silence_timeout_ms)
			json_object_set_new(subtree, member->name,
			    json_pack(
				"[I, O?]", (json_int_t)age_ms, member->report));
	}
}

/* Adds the rows that other daemons want. Such a daemon may not be a member
 * yet. */
static void
subtree_add_row_requests(const membership_t *self, json_t *subtree)
{
	struct timespec now = clock_boottime(self->clock);

	for (const member_row_request_t *request = self->row_requests;
	     request != NULL; request = request->hh.next) {
		json_t *entry = json_object_get(subtree, request->name);

		if (entry == NULL) {
			entry = json_pack("[I, n]",
			    (json_int_t)timespec_ms_between(
				request->requested_at, now));
			json_object_set_new(subtree, request->name, entry);
		}
		json_array_append(entry, request->row);
	}
}

json_t *
membership_subtree(const membership_t *self)
{
	json_t *subtree = json_object();

	subtree_add_members(self, subtree);
	subtree_add_row_requests(self, subtree);
	if (json_object_size(subtree) > 0)
		return subtree;
	json_decref(subtree);
	return NULL;
}

void
membership_record_response(
    membership_t *self, const char *name, struct timespec sent)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member != NULL)
		liveness_record_heartbeat(&member->liveness, sent);
}

void
membership_record_no_response(membership_t *self, const char *name)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member != NULL)
		liveness_record_no_response(
		    &member->liveness, clock_boottime(self->clock));
}

static bool
name_is_listed(const json_t *silent, const char *name)
{
	const json_t *element;
	size_t i;

	json_array_foreach(silent, i, element)
	{
		if (json_is_string(element) &&
		    strcmp(json_string_value(element), name) == 0)
			return true;
	}
	return false;
}

bool
membership_apply_liveness(
    membership_t *self, struct timespec made_at, const json_t *silent)
{
	bool newer = liveness_view_apply_summary(&self->liveness, made_at);
	bool changed = false;

	for (member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		bool is_silent = name_is_listed(silent, member->name);

		/* An older summary can't end a silence. */
		if (is_silent || newer)
			changed |= liveness_set_silent(&member->liveness,
			    is_silent, self->liveness.summary_at);
	}
	return changed;
}

int64_t
membership_liveness_age_ms(const membership_t *self)
{
	return ms_since(self, self->liveness.summary_at);
}

json_t *
membership_silent_names(const membership_t *self)
{
	json_t *silent = NULL;

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (!member->liveness.silent)
			continue;
		if (silent == NULL)
			silent = json_array();
		json_array_append_new(silent, json_string(member->name));
	}
	return silent;
}

static void
on_cleanup_done(void *arg, const row_store_response_t *response)
{
	membership_t *self = arg;

	(void)response;
	/* Whatever the result, reading the rows again shows which are left. */
	self->cleanup_pending = false;
	self->read_back_pending = true;
	self->next_cleanup_at =
	    timespec_add_ms(clock_boottime(self->clock), CLEANUP_INTERVAL_MS);
}

static size_t
down_members_collect(
    const membership_t *self, const member_t *down[CLEANUP_BATCH_MAX])
{
	size_t len = 0;

	for (const member_t *member = self->members;
	     member != NULL && len < CLEANUP_BATCH_MAX;
	     member = member->hh.next) {
		if (member->version != 0 && !member_is_alive(self, member))
			down[len++] = member;
	}
	return len;
}

/* Deletes the rows of members that are down, unless they were written again
 * meanwhile: without a row, no daemon offers them to callers, and starting
 * daemons don't learn of them. */
static void
down_members_delete(membership_t *self)
{
	char keys[CLEANUP_BATCH_MAX][sizeof(MEMBER_PREFIX) + MEMBER_NAME_SIZE];
	row_change_t expected[CLEANUP_BATCH_MAX], changes[CLEANUP_BATCH_MAX];
	const member_t *down[CLEANUP_BATCH_MAX];
	size_t len = down_members_collect(self, down);

	for (size_t i = 0; i < len; i++) {
		snprintf(keys[i], sizeof(keys[i]), "%s%s", MEMBER_PREFIX,
		    down[i]->name);
		changes[i] =
		    (row_change_t){.table = SYSTEM_TABLE, .key = keys[i]};
		expected[i] = changes[i];
		expected[i].expected = down[i]->version;
	}
	if (len > 0)
		self->cleanup_pending = row_store_write(self->store,
		    ROW_PURPOSE_MEMBER_CLEANUP, expected, len, changes, len,
		    MEMBER_WRITE_TIMEOUT_MS, on_cleanup_done, self);
}

/* The authoritative daemon detects silent members by the signs of life that it
 * has received. */
static bool
silent_members_detect(membership_t *self, struct timespec now)
{
	bool changed = false;

	for (member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		bool fresh =
		    liveness_is_fresh(&self->liveness, &member->liveness, now);

		changed |= liveness_set_silent(&member->liveness, !fresh, now);
	}
	return changed;
}

/* An isolated daemon has no parent and no follower by which others learn that
 * it is alive. */
static void
isolation_update(membership_t *self, struct timespec now)
{
	bool isolated = !self->liveness.following &&
	    !liveness_view_requested_within(
		&self->liveness, now, ISOLATED_AFTER_MS);

	if (self->isolated == isolated)
		return;
	self->isolated = isolated;
	self->isolated_since = now;
}

/* Logs the members whose availability has changed. */
static void
availability_log(membership_t *self)
{
	for (member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		bool available = member_is_available(self, member);

		if (member->logged_available == available)
			continue;
		member->logged_available = available;
		member_log(self, member, EVENT_THROTTLED_MEMBER);
	}
}

static bool
all_are_fresh(const membership_t *self, struct timespec now)
{
	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (!member->liveness.silent &&
		    !liveness_is_fresh(&self->liveness, &member->liveness, now))
			return false;
	}
	return true;
}

bool
membership_tick(membership_t *self, bool following)
{
	struct timespec now = clock_boottime(self->clock);
	bool was_authoritative = self->liveness.authoritative;
	bool changed = false;

	liveness_view_update(&self->liveness, now,
	    &(liveness_inputs_t){following, self->frozen, self->rows_read,
		all_are_fresh(self, now)});
	isolation_update(self, now);
	member_rows_tick(self, now);
	if (self->liveness.authoritative) {
		changed =
		    silent_members_detect(self, now) || !was_authoritative;
		if (!self->cleanup_pending &&
		    timespec_ms_between(self->next_cleanup_at, now) >= 0)
			down_members_delete(self);
	}
	availability_log(self);
	return changed;
}
