#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "membership_priv.h"

/* Whom nobody has asked for this long, and who follows nobody, is heard of by
 * its row alone: each follower asks twice a second. */
#define ASKED_MS 1200
/* Rows of the dead that are taken out of the store with one call. */
#define CLEAR_MAX 16
#define CLEAR_RETRY_MS 1500

/* Milliseconds since then; -1: never. */
static int64_t
ms_since(const membership_t *self, struct timespec then)
{
	return then.tv_sec != 0 || then.tv_nsec != 0
	    ? timespec_ms_between(then, clock_elapsed(self->clock))
	    : -1;
}

void
member_log(const membership_t *self, const member_t *member,
    event_throttle_kind_t event)
{
	if (self->log == NULL)
		return;
	event_line_throttled(self->log, event,
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
	    &self->liveness, &member->liveness, clock_elapsed(self->clock));
}

bool
member_is_available(const membership_t *self, const member_t *member)
{
	return member->state == MEMBER_READY &&
	    liveness_is_available(
		&self->liveness, &member->liveness, clock_elapsed(self->clock));
}

/* The member was heard of then, with this report. */
static void
member_heard(
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
	struct timespec now = clock_elapsed(self->clock);

	liveness_view_record_request(&self->liveness, now);
	member_heard(self, name, now, report);
}

void
membership_apply_subtree(membership_t *self, const json_t *below)
{
	struct timespec now = clock_elapsed(self->clock);
	const char *name;
	json_t *told;

	json_object_foreach((json_t *)(uintptr_t)below, name, told)
	{
		int64_t age_ms = json_integer_value(json_array_get(told, 0));

		if (json_array_size(told) < 2)
			continue;
		member_heard(self, name,
		    timespec_after_ms(now, age_ms > 0 ? -age_ms : 0),
		    json_array_get(told, 1));
		membership_add_row_request(self, name, json_array_get(told, 2));
	}
}

/* @param below filled as far as there is something to tell */
static void
heard_tell(const membership_t *self, json_t *below)
{
	struct timespec now = clock_elapsed(self->clock);

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		int64_t age_ms =
		    timespec_ms_between(member->liveness.last_request_at, now);

		if (member->liveness.last_request_at.tv_sec != 0 &&
		    age_ms < self->settings.liveness.silence_timeout_ms)
			json_object_set_new(below, member->name,
			    json_pack(
				"[I, O?]", (json_int_t)age_ms, member->report));
	}
}

/* Who wants a row may be known by nothing else. */
static void
row_requests_tell(const membership_t *self, json_t *below)
{
	struct timespec now = clock_elapsed(self->clock);

	for (const member_row_request_t *request = self->row_requests;
	     request != NULL; request = request->hh.next) {
		json_t *told = json_object_get(below, request->name);

		if (told == NULL) {
			told = json_pack("[I, n]",
			    (json_int_t)timespec_ms_between(
				request->requested_at, now));
			json_object_set_new(below, request->name, told);
		}
		json_array_append(told, request->row);
	}
}

json_t *
membership_subtree(const membership_t *self)
{
	json_t *below = json_object();

	heard_tell(self, below);
	row_requests_tell(self, below);
	if (json_object_size(below) > 0)
		return below;
	json_decref(below);
	return NULL;
}

void
membership_record_response(
    membership_t *self, const char *name, struct timespec asked)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member != NULL)
		liveness_record_heartbeat(&member->liveness, asked);
}

void
membership_record_no_response(membership_t *self, const char *name)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member != NULL)
		liveness_record_no_response(
		    &member->liveness, clock_elapsed(self->clock));
}

static bool
listed(const json_t *silent, const char *name)
{
	const json_t *one;
	size_t i;

	json_array_foreach(silent, i, one)
	{
		if (json_is_string(one) &&
		    strcmp(json_string_value(one), name) == 0)
			return true;
	}
	return false;
}

bool
membership_apply_liveness(
    membership_t *self, struct timespec spoken, const json_t *silent)
{
	bool newer = liveness_view_apply_summary(&self->liveness, spoken);
	bool news = false;

	for (member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		bool is_silent = listed(silent, member->name);

		/* An older word ends no silence. */
		if (is_silent || newer)
			news |= liveness_set_silent(&member->liveness,
			    is_silent, self->liveness.summary_at);
	}
	return news;
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
cleared(void *arg, const row_reply_t *reply)
{
	membership_t *self = arg;

	(void)reply;
	/* Whatever came of it, their rows tell when they are read again. */
	self->cleanup_pending = false;
	self->read_back_pending = true;
	self->next_cleanup_at =
	    timespec_after_ms(clock_elapsed(self->clock), CLEAR_RETRY_MS);
}

static size_t
dead_find(const membership_t *self, const member_t *dead[CLEAR_MAX])
{
	size_t len = 0;

	for (const member_t *member = self->members;
	     member != NULL && len < CLEAR_MAX; member = member->hh.next) {
		if (member->version != 0 && !member_is_alive(self, member))
			dead[len++] = member;
	}
	return len;
}

/* Take the rows of the dead out, unless they were written again meanwhile: what
 * is no row any more is named by nobody, and newcomers don't learn of it. */
static void
dead_clear(membership_t *self)
{
	char keys[CLEAR_MAX][sizeof(MEMBER_PREFIX) + MEMBER_NAME_SIZE];
	row_change_t expected[CLEAR_MAX], changes[CLEAR_MAX];
	const member_t *dead[CLEAR_MAX];
	size_t len = dead_find(self, dead);

	for (size_t i = 0; i < len; i++) {
		snprintf(keys[i], sizeof(keys[i]), "%s%s", MEMBER_PREFIX,
		    dead[i]->name);
		changes[i] =
		    (row_change_t){.table = SYSTEM_TABLE, .key = keys[i]};
		expected[i] = changes[i];
		expected[i].expected = dead[i]->version;
	}
	if (len > 0)
		self->cleanup_pending = row_store_write(self->store,
		    ROW_PURPOSE_MEMBER_CLEANUP, expected, len, changes, len,
		    MEMBER_WRITE_TIMEOUT_MS, cleared, self);
}

/* Who relies on its own word judges by the signs that it has. */
static bool
silent_judge(membership_t *self, struct timespec now)
{
	bool news = false;

	for (member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		bool fresh =
		    liveness_is_fresh(&self->liveness, &member->liveness, now);

		news |= liveness_set_silent(&member->liveness, !fresh, now);
	}
	return news;
}

/* Nobody that follows this daemon, or that it follows, tells others of it. */
static void
alone_step(membership_t *self, struct timespec now)
{
	bool alone = !self->liveness.following &&
	    !liveness_view_requested_within(&self->liveness, now, ASKED_MS);

	if (self->isolated == alone)
		return;
	self->isolated = alone;
	self->isolated_since = now;
}

/* Whose naming has changed. */
static void
naming_log(membership_t *self)
{
	for (member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		bool named = member_is_available(self, member);

		if (member->logged_available == named)
			continue;
		member->logged_available = named;
		member_log(self, member, EVENT_THROTTLED_MEMBER);
	}
}

static bool
all_fresh(const membership_t *self, struct timespec now)
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
	struct timespec now = clock_elapsed(self->clock);
	bool was_settled = self->liveness.authoritative;
	bool news = false;

	liveness_view_update(&self->liveness, now,
	    &(liveness_inputs_t){following, self->frozen, self->rows_read,
		all_fresh(self, now)});
	alone_step(self, now);
	member_rows_tick(self, now);
	if (self->liveness.authoritative) {
		news = silent_judge(self, now) || !was_settled;
		if (!self->cleanup_pending &&
		    timespec_ms_between(self->next_cleanup_at, now) >= 0)
			dead_clear(self);
	}
	naming_log(self);
	return news;
}
