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
	    member->name, member_state_names[member->state], member->named,
	    ms_since(self, member->life.seen), member->life.silent,
	    ms_since(self, self->view.vouched), self->view.settled,
	    self->view.held, self->alone);
}

bool
membership_alive(const membership_t *self, const member_t *member)
{
	return !life_gone(
	    &self->view, &member->life, clock_boottime(self->clock));
}

bool
membership_named(const membership_t *self, const member_t *member)
{
	return member->state == MEMBER_READY &&
	    life_named(&self->view, &member->life, clock_boottime(self->clock));
}

/* The member was heard of then, with this report. */
static void
member_heard(
    membership_t *self, const char *name, struct timespec at, json_t *report)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member == NULL || !life_heard(&member->life, at))
		return;
	json_decref(member->report);
	member->report = json_incref(report);
}

void
membership_heard(membership_t *self, const char *name, json_t *report)
{
	struct timespec now = clock_boottime(self->clock);

	life_view_asked(&self->view, now);
	member_heard(self, name, now, report);
}

void
membership_heard_below(membership_t *self, const json_t *below)
{
	struct timespec now = clock_boottime(self->clock);
	const char *name;
	json_t *told;

	json_object_foreach((json_t *)(uintptr_t)below, name, told)
	{
		int64_t age_ms = json_integer_value(json_array_get(told, 0));

		if (json_array_size(told) < 2)
			continue;
		member_heard(self, name,
		    timespec_add_ms(now, age_ms > 0 ? -age_ms : 0),
		    json_array_get(told, 1));
		membership_row_requested(self, name, json_array_get(told, 2));
	}
}

/* @param below filled as far as there is something to tell */
static void
heard_tell(const membership_t *self, json_t *below)
{
	struct timespec now = clock_boottime(self->clock);

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		int64_t age_ms = timespec_ms_between(member->life.heard, now);

		if (member->life.heard.tv_sec != 0 &&
		    age_ms < self->settings.life.silent_ms)
			json_object_set_new(below, member->name,
			    json_pack(
				"[I, O?]", (json_int_t)age_ms, member->report));
	}
}

/* Who wants a row may be known by nothing else. */
static void
row_requests_tell(const membership_t *self, json_t *below)
{
	struct timespec now = clock_boottime(self->clock);

	for (const member_row_request_t *request = self->requests;
	     request != NULL; request = request->hh.next) {
		json_t *told = json_object_get(below, request->name);

		if (told == NULL) {
			told = json_pack("[I, n]",
			    (json_int_t)timespec_ms_between(request->at, now));
			json_object_set_new(below, request->name, told);
		}
		json_array_append(told, request->row);
	}
}

json_t *
membership_below(const membership_t *self)
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
membership_answered(membership_t *self, const char *name, struct timespec asked)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member != NULL)
		life_seen(&member->life, asked);
}

void
membership_no_answer(membership_t *self, const char *name)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member != NULL)
		life_no_answer(&member->life, clock_boottime(self->clock));
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
membership_vouched(
    membership_t *self, struct timespec spoken, const json_t *silent)
{
	bool newer = life_view_take(&self->view, spoken);
	bool news = false;

	for (member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		bool is_silent = listed(silent, member->name);

		/* An older word ends no silence. */
		if (is_silent || newer)
			news |= life_set_silent(
			    &member->life, is_silent, self->view.vouched);
	}
	return news;
}

int64_t
membership_vouch_age_ms(const membership_t *self)
{
	return ms_since(self, self->view.vouched);
}

json_t *
membership_silent(const membership_t *self)
{
	json_t *silent = NULL;

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (!member->life.silent)
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
	self->clearing = false;
	self->written = true;
	self->clear_after =
	    timespec_add_ms(clock_boottime(self->clock), CLEAR_RETRY_MS);
}

static size_t
dead_find(const membership_t *self, const member_t *dead[CLEAR_MAX])
{
	size_t len = 0;

	for (const member_t *member = self->members;
	     member != NULL && len < CLEAR_MAX; member = member->hh.next) {
		if (member->version != 0 && !membership_alive(self, member))
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
		    (row_change_t){.table = MEMBER_TABLE, .key = keys[i]};
		expected[i] = changes[i];
		expected[i].expected = dead[i]->version;
	}
	if (len > 0)
		self->clearing = row_store_write(self->store,
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
		bool fresh = life_fresh(&self->view, &member->life, now);

		news |= life_set_silent(&member->life, !fresh, now);
	}
	return news;
}

/* Nobody that follows this daemon, or that it follows, tells others of it. */
static void
alone_step(membership_t *self, struct timespec now)
{
	bool alone = !self->view.following &&
	    !life_view_asked_within(&self->view, now, ASKED_MS);

	if (self->alone == alone)
		return;
	self->alone = alone;
	self->alone_since = now;
}

/* Whose naming has changed. */
static void
naming_log(membership_t *self)
{
	for (member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		bool named = membership_named(self, member);

		if (member->named == named)
			continue;
		member->named = named;
		member_log(self, member, EVENT_THROTTLED_MEMBER);
	}
}

static bool
all_fresh(const membership_t *self, struct timespec now)
{
	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (!member->life.silent &&
		    !life_fresh(&self->view, &member->life, now))
			return false;
	}
	return true;
}

bool
membership_step(membership_t *self, bool following)
{
	struct timespec now = clock_boottime(self->clock);
	bool was_settled = self->view.settled;
	bool news = false;

	life_view_step(&self->view, now,
	    &(life_step_t){
		following, self->hold, self->rows_read, all_fresh(self, now)});
	alone_step(self, now);
	member_rows_step(self, now);
	if (self->view.settled) {
		news = silent_judge(self, now) || !was_settled;
		if (!self->clearing &&
		    timespec_ms_between(self->clear_after, now) >= 0)
			dead_clear(self);
	}
	naming_log(self);
	return news;
}
