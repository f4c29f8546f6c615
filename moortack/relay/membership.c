#include "moortack/relay/membership.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define MS_PER_SEC 1000
#define US_PER_MS 1000
#define WRITE_TIMEOUT_MS 1200
#define RETRY_MS 400
#define RETRY_MOST_MS 2000
/* Whoever is heard of no more tells so by its row after this time: most find
 * another daemon to follow sooner. */
#define ALONE_MS 1000
/* How often is looked whether a row may be written again. */
#define HELD_LOOK_MS 500
/* Times that the time for which a member is shunned is doubled. */
#define SHUNS_MAX 3
#define HASH_RANGE 18446744073709551616.0

static const char *const state_names[] = {"starting", "ready", "leaving"};

static void
beat_later(membership_t *self, int64_t ms)
{
	struct timeval delay = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	event_add(self->timer, &delay);
}

static void
write_done(void *arg, const row_reply_t *reply)
{
	membership_t *self = arg;
	bool was = self->reachable;

	self->writing = false;
	self->reachable = reply->result == ROW_OK;
	if (!self->reachable && was)
		self->lost_since = clock_elapsed(self->clock);
	if (self->removed)
		return;
	if (self->again || !self->reachable) {
		self->again = false;
		self->retry_ms = self->reachable || self->retry_ms == 0
		    ? RETRY_MS
		    : 2 * self->retry_ms;
		if (self->retry_ms > RETRY_MOST_MS)
			self->retry_ms = RETRY_MOST_MS;
		beat_later(self, self->reachable ? 0 : self->retry_ms);
	} else {
		beat_later(self,
		    self->alone ? self->settings.beat_alone_ms
				: self->settings.beat_ms);
	}
}

static char *
row_text(membership_t *self)
{
	json_t *row = json_pack("{s:s, s:s, s:s, s:f, s:I}", "place",
	    self->settings.place, "peer", self->settings.peer, "state",
	    state_names[self->state], "strength", self->settings.strength,
	    "beat", (json_int_t)++self->beat);
	char *text;

	if (row == NULL)
		return NULL;
	if (self->report != NULL && self->alone)
		json_object_set(row, "report", self->report);
	text = json_dumps(row, JSON_COMPACT);
	json_decref(row);
	return text;
}

static void
row_write(membership_t *self)
{
	char key[sizeof(MEMBER_PREFIX) + MEMBER_NAME_SIZE];
	char *text = self->removed ? NULL : row_text(self);
	row_change_t change = {
	    .table = MEMBER_TABLE, .key = key, .value = text};

	snprintf(key, sizeof(key), "%s%s", MEMBER_PREFIX, self->settings.name);
	self->writing = self->store->ops->write(self->store, NULL, 0, &change,
	    1, WRITE_TIMEOUT_MS, write_done, self);
	free(text);
	if (!self->writing && !self->removed)
		beat_later(self, RETRY_MS);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	membership_t *self = arg;

	(void)fd;
	(void)what;
	if (self->writing || self->removed)
		return;
	if (self->held)
		beat_later(self, HELD_LOOK_MS);
	else
		row_write(self);
}

/* A place in the order of all, that each daemon computes alike: as in weighted
 * rendezvous hashing, so that strength decides how often one stands first. */
static double
member_order(const char *name, double strength)
{
	double unit =
	    ((double)XXH3_64bits(name, strlen(name)) + 1) / HASH_RANGE;

	return -log(unit) / (strength > 0 ? strength : 1);
}

bool
membership_init(membership_t *self, struct event_base *base, row_store_t *store,
    const clock_source_t *clock, event_log_t *log,
    const membership_settings_t *settings)
{
	memset(self, 0, sizeof(*self));
	self->log = log;
	self->settings = *settings;
	self->store = store;
	self->clock = clock;
	self->reachable = true;
	self->alone = true;
	self->order = member_order(settings->name, settings->strength);
	self->timer = event_new(base, -1, 0, on_timer, self);
	if (self->timer == NULL)
		return false;
	beat_later(self, 0);
	return true;
}

static void
member_free(membership_t *self, member_t *member)
{
	HASH_DEL(self->members, member);
	json_decref(member->report);
	free(member);
}

void
membership_finish(membership_t *self)
{
	member_t *member, *next;

	HASH_ITER(hh, self->members, member, next)
	member_free(self, member);
	json_decref(self->report);
	free(self->ordered);
	event_free(self->timer);
}

static member_t *
member_of(membership_t *self, const char *name)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member != NULL || strlen(name) >= MEMBER_NAME_SIZE)
		return member;
	member = calloc(1, sizeof(*member));
	if (member == NULL)
		return NULL;
	strcpy(member->name, name);
	HASH_ADD_STR(self->members, name, member);
	return member;
}

static member_state_t
state_of(const char *name)
{
	for (size_t i = 0; name != NULL && i < 3; i++) {
		if (strcmp(state_names[i], name) == 0)
			return (member_state_t)i;
	}
	return MEMBER_STARTING;
}

static void
text_take(const json_t *value, const char *field, char *out, size_t size)
{
	const char *text = json_string_value(json_object_get(value, field));

	snprintf(out, size, "%s", text != NULL ? text : "");
}

static void
own_row(membership_t *self, const row_t *row)
{
	if (row->deleted && !self->removed && !self->writing)
		beat_later(self, 0);
}

/* Milliseconds since then; -1: never. */
static int64_t
ms_since(const membership_t *self, bool ever, struct timespec then)
{
	return ever ? timespec_ms_between(then, clock_elapsed(self->clock))
		    : -1;
}

static void
member_log(const membership_t *self, const member_t *member, const char *event)
{
	if (self->log == NULL)
		return;
	event_line(self->log, event,
	    "name=%s state=%s named=%d heard_ms=%" PRId64 " row_ms=%" PRId64
	    " vouched=%d alone=%d",
	    member->name, state_names[member->state], member->named,
	    ms_since(self, member->heard_once, member->heard),
	    ms_since(self, member->version != 0, member->changed),
	    self->vouched, self->alone);
}

void
membership_row(membership_t *self, const row_t *row)
{
	const char *name = row->key + strlen(MEMBER_PREFIX);
	member_t *member;
	json_t *value, *report;

	if (strcmp(name, self->settings.name) == 0) {
		own_row(self, row);
		return;
	}
	if (row->deleted) {
		HASH_FIND_STR(self->members, name, member);
		if (member == NULL)
			return;
		member_log(self, member, "member_gone");
		member_free(self, member);
		return;
	}
	value = json_loadb(row->value, row->value_len, 0, NULL);
	member = json_is_object(value) ? member_of(self, name) : NULL;
	if (member == NULL) {
		json_decref(value);
		return;
	}
	if (member->version != row->version)
		member->changed = clock_elapsed(self->clock);
	member->version = row->version;
	member->state =
	    state_of(json_string_value(json_object_get(value, "state")));
	text_take(value, "place", member->place, sizeof(member->place));
	member->order = member_order(
	    name, json_number_value(json_object_get(value, "strength")));
	text_take(value, "peer", member->peer, sizeof(member->peer));
	report = json_object_get(value, "report");
	if (report != NULL) {
		json_decref(member->report);
		member->report = json_incref(report);
	}
	json_decref(value);
}

bool
membership_same(const char *a, size_t a_len, const char *b, size_t b_len)
{
	json_t *one = json_loadb(a, a_len, 0, NULL);
	json_t *two = json_loadb(b, b_len, 0, NULL);
	bool same;

	json_object_del(one, "beat");
	json_object_del(two, "beat");
	same = one != NULL && json_equal(one, two);
	json_decref(one);
	json_decref(two);
	return same;
}

static void
cleared(void *arg, const row_reply_t *reply)
{
	(void)arg;
	(void)reply;
}

static void
row_clear(membership_t *self, member_t *member)
{
	char key[sizeof(MEMBER_PREFIX) + MEMBER_NAME_SIZE];
	row_change_t expected = {
	    .table = MEMBER_TABLE, .key = key, .expected = member->version};
	row_change_t change = {.table = MEMBER_TABLE, .key = key};

	snprintf(key, sizeof(key), "%s%s", MEMBER_PREFIX, member->name);
	self->store->ops->write(self->store, &expected, 1, &change, 1,
	    WRITE_TIMEOUT_MS, cleared, NULL);
	member->clearing = true;
}

void
membership_clear(membership_t *self)
{
	if (self->removed || !self->reachable || membership_rank(self) != 0)
		return;
	for (member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (membership_alive(self, member)) {
			member->clearing = false;
		} else if (!member->clearing) {
			row_clear(self, member);
			return;
		}
	}
}

/* The member was heard of then, with this report. */
static void
member_heard(
    membership_t *self, const char *name, struct timespec at, json_t *report)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member == NULL ||
	    (member->heard_once && timespec_ms_between(member->heard, at) < 0))
		return;
	member->heard = at;
	member->heard_once = true;
	json_decref(member->report);
	member->report = json_incref(report);
}

void
membership_heard(membership_t *self, const char *name, json_t *report)
{
	member_heard(self, name, clock_elapsed(self->clock), report);
}

void
membership_heard_below(membership_t *self, const json_t *below)
{
	struct timespec now = clock_elapsed(self->clock);
	const char *name;
	json_t *told;

	json_object_foreach((json_t *)(uintptr_t)below, name, told)
	{
		int64_t age_ms = json_integer_value(json_array_get(told, 0));

		if (json_array_size(told) == 2)
			member_heard(self, name,
			    timespec_after_ms(now, age_ms > 0 ? -age_ms : 0),
			    json_array_get(told, 1));
	}
}

json_t *
membership_below(const membership_t *self)
{
	struct timespec now = clock_elapsed(self->clock);
	json_t *below = NULL;

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		int64_t age_ms = timespec_ms_between(member->heard, now);

		if (!member->heard_once || age_ms >= self->settings.silent_ms)
			continue;
		if (below == NULL)
			below = json_object();
		json_object_set_new(below, member->name,
		    json_pack("[I, O?]", (json_int_t)age_ms, member->report));
	}
	return below;
}

void
membership_shun(membership_t *self, const char *name, int64_t ms)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member == NULL)
		return;
	ms <<= member->shuns < SHUNS_MAX ? member->shuns : SHUNS_MAX;
	member->shuns++;
	member->shunned = timespec_after_ms(clock_elapsed(self->clock), ms);
}

void
membership_forgive(membership_t *self)
{
	for (member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		member->shuns = 0;
		member->shunned = (struct timespec){0};
	}
}

void
membership_hold(membership_t *self, bool hold)
{
	self->held = hold;
}

void
membership_trust(membership_t *self, const char *name)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member != NULL)
		member->shuns = 0;
}

void
membership_follows(membership_t *self, bool alone, bool vouched)
{
	struct timespec now = clock_elapsed(self->clock);

	if (self->vouched && !vouched) {
		/* From now on the rows tell who lives: each gets a lease. */
		for (member_t *member = self->members; member != NULL;
		     member = member->hh.next)
			member->changed = now;
	}
	self->vouched = vouched;
	if (self->alone != alone && !self->removed && !self->writing)
		beat_later(self, alone ? ALONE_MS : self->settings.beat_ms);
	self->alone = alone;
}

static void
row_changed(membership_t *self)
{
	if (self->writing)
		self->again = true;
	else
		beat_later(self, 0);
}

void
membership_set_state(membership_t *self, member_state_t state)
{
	if (self->state == state || self->removed)
		return;
	self->state = state;
	row_changed(self);
}

void
membership_report(membership_t *self, json_t *report, bool at_once)
{
	json_decref(self->report);
	self->report = report;
	if (at_once && !self->removed)
		row_changed(self);
}

void
membership_leave(membership_t *self)
{
	if (self->removed)
		return;
	self->removed = true;
	event_del(self->timer);
	row_write(self);
}

bool
membership_alive(const membership_t *self, const member_t *member)
{
	struct timespec now = clock_elapsed(self->clock);

	if (self->vouched)
		return true;
	/* While the store can't be reached, nobody's row can be seen to
	 * change: whoever was alive then counts as alive. */
	if (!self->reachable)
		now = self->lost_since;
	if (!member->heard_once)
		return timespec_ms_between(member->changed, now) <
		    self->settings.lease_ms;
	return timespec_ms_between(member->heard, now) <
	    self->settings.silent_ms ||
	    timespec_ms_between(member->changed, now) <
	    self->settings.silent_ms;
}

bool
membership_named(const membership_t *self, const member_t *member)
{
	return member->state == MEMBER_READY && membership_alive(self, member);
}

void
membership_log(membership_t *self)
{
	for (member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		bool named = membership_named(self, member);

		if (member->named == named)
			continue;
		member->named = named;
		member_log(self, member, "member");
	}
}

uint32_t
membership_count(const membership_t *self)
{
	uint32_t count = 1;

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next)
		count += membership_alive(self, member);
	return count;
}

uint32_t
membership_rank(const membership_t *self)
{
	uint32_t rank = 0;

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (member->state != MEMBER_LEAVING &&
		    member->order < self->order &&
		    membership_alive(self, member))
			rank++;
	}
	return rank;
}
