#include "membership_priv.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* How long a member is shunned by a daemon that has nobody else to follow. */
#define SHUN_FIRST_MS 1000
/* Times that the time for which a member is shunned is doubled. */
#define SHUNS_MAX 3
/* VMs whose cores differ by a hundredth or more never change places by their
 * hash. */
#define STRENGTH_ORDER 100.0
/* A larger step back is a reset of the store's clock, not a delayed answer. */
#define STORE_CLOCK_BACK_MS 5000
#define HASH_RANGE 18446744073709551616.0

/* What only tells that the row was written again. */
static const char *const own_fields[] = {"beat", "at_ms"};

int64_t
member_store_now_ms(const membership_t *self)
{
	return self->store_clock_known
	    ? timespec_ms(clock_elapsed(self->clock)) +
		self->store_clock_offset_ms
	    : 0;
}

/* A place in the order of all, that each daemon computes alike: the strong ones
 * stand first, each kind in the order of a hash. The first reads all that
 * endpoints write, and the next ones pass it on. With strong ones only likelier
 * first, the worth of the users' three large sheets was 0.013, 0.002 and 0.010
 * less (15 days each). */
static double
member_order(const char *name, double strength)
{
	double unit =
	    ((double)XXH3_64bits(name, strlen(name)) + 1) / HASH_RANGE;

	return unit - STRENGTH_ORDER * strength;
}

void
membership_init(membership_t *self, row_store_t *store,
    const clock_source_t *clock, event_log_t *log,
    const membership_settings_t *settings)
{
	memset(self, 0, sizeof(*self));
	self->log = log;
	self->settings = *settings;
	self->store = store;
	self->clock = clock;
	self->isolated = true;
	self->isolated_since = clock_elapsed(clock);
	self->sort_key = member_order(settings->name, settings->strength);
	self->liveness.timeouts = settings->liveness;
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
	member_row_requests_finish(self);
	json_decref(self->report);
	free(self->parent_candidates);
	member_record_finish(&self->stored_record);
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

void
membership_own_row_missing(membership_t *self)
{
	member_record_finish(&self->stored_record);
}

static void
own_row_take(membership_t *self, const row_t *row)
{
	membership_own_row_missing(self);
	if (!row->deleted)
		member_record_decode(self->settings.name,
		    json_loadb(row->value, row->value_len, 0, NULL),
		    &self->stored_record, NULL);
}

static void
shun_end(member_t *member)
{
	member->backoff_count = 0;
	member->backoff_until = (struct timespec){0};
}

/* The row says when it was written. A row that is only read again, or told by
 * another daemon, is no sign of life of that moment. */
static void
row_seen(const membership_t *self, member_t *member, int64_t at_ms)
{
	int64_t age_ms = member_store_now_ms(self) - at_ms;
	struct timespec at = timespec_after_ms(
	    clock_elapsed(self->clock), age_ms > 0 ? -age_ms : 0);

	if (at_ms == 0 || !self->store_clock_known)
		return;
	liveness_record_heartbeat(&member->liveness, at);
	/* Whoever wrote it since it was left reaches the store. */
	if (timespec_ms_between(member->backoff_started_at, at) > 0)
		shun_end(member);
}

static void
member_take(member_t *member, const member_record_t *facts)
{
	member->state = facts->state;
	member->strength = facts->strength;
	member->sort_key = member_order(facts->name, facts->strength);
	strcpy(member->zone, facts->zone);
	strcpy(member->peer_address, facts->peer_address);
	if (facts->report == NULL)
		return;
	json_decref(member->report);
	member->report = json_incref(facts->report);
}

static void
member_ended(membership_t *self, const char *name)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member == NULL)
		return;
	member_log(self, member, EVENT_THROTTLED_MEMBER_GONE);
	member_free(self, member);
}

void
membership_apply_row(membership_t *self, const row_t *row)
{
	const char *name = row->key + strlen(MEMBER_PREFIX);
	member_record_t facts;
	member_t *member;

	if (strcmp(name, self->settings.name) == 0) {
		own_row_take(self, row);
		return;
	}
	if (row->deleted) {
		member_ended(self, name);
		return;
	}
	if (!member_row_decode(row, &facts, NULL))
		return;
	member = member_of(self, name);
	if (member != NULL) {
		row_seen(self, member, facts.written_at_ms);
		member->version = row->version;
		member_take(member, &facts);
	}
	member_record_finish(&facts);
}

bool
member_row_unchanged(const char *a, size_t a_len, const char *b, size_t b_len)
{
	json_t *one = json_loadb(a, a_len, 0, NULL);
	json_t *two = json_loadb(b, b_len, 0, NULL);
	bool same;

	for (size_t i = 0; i < sizeof(own_fields) / sizeof(own_fields[0]);
	     i++) {
		json_object_del(one, own_fields[i]);
		json_object_del(two, own_fields[i]);
	}
	same = one != NULL && json_equal(one, two);
	json_decref(one);
	json_decref(two);
	return same;
}

/* @return NULL: there is no such member */
static member_t *
shun_begin(membership_t *self, const char *name, int64_t ms)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member == NULL)
		return NULL;
	member->backoff_started_at = clock_elapsed(self->clock);
	member->backoff_until =
	    timespec_after_ms(member->backoff_started_at, ms);
	return member;
}

void
membership_back_off(membership_t *self, const char *name, int64_t ms)
{
	member_t *member = shun_begin(self, name, ms);

	if (member == NULL)
		return;
	ms <<= member->backoff_count < SHUNS_MAX ? member->backoff_count
						 : SHUNS_MAX;
	member->backoff_count++;
	/* Nobody else looks whether it is back: others that follow it already
	 * would not be known here. */
	if (!membership_follows_another(self))
		ms = SHUN_FIRST_MS;
	member->backoff_until =
	    timespec_after_ms(member->backoff_started_at, ms);
}

void
membership_skip(membership_t *self, const char *name, int64_t ms)
{
	shun_begin(self, name, ms);
}

void
membership_clear_backoffs(membership_t *self)
{
	for (member_t *member = self->members; member != NULL;
	     member = member->hh.next)
		shun_end(member);
}

void
membership_set_frozen(membership_t *self, bool hold)
{
	self->frozen = hold;
}

void
membership_reset_backoff(membership_t *self, const char *name)
{
	member_t *member;

	HASH_FIND_STR(self->members, name, member);
	if (member != NULL)
		member->backoff_count = 0;
}

void
membership_set_store_clock(membership_t *self, int64_t now_ms)
{
	int64_t offset_ms = now_ms - timespec_ms(clock_elapsed(self->clock));

	/* A delay of the answer lowers the offset: keep the highest one. */
	if (!self->store_clock_known ||
	    offset_ms > self->store_clock_offset_ms ||
	    offset_ms < self->store_clock_offset_ms - STORE_CLOCK_BACK_MS)
		self->store_clock_offset_ms = offset_ms;
	self->store_clock_known = true;
}

void
membership_set_rows_read(membership_t *self)
{
	self->rows_read = true;
	liveness_view_start_grace(&self->liveness, clock_elapsed(self->clock));
}

void
membership_set_state(membership_t *self, member_state_t state)
{
	self->state = state;
}

void
membership_set_report(membership_t *self, json_t *report)
{
	json_decref(self->report);
	self->report = report;
}

uint32_t
membership_alive_count(const membership_t *self)
{
	uint32_t count = 1;

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next)
		count += member_is_alive(self, member);
	return count;
}

uint32_t
membership_rank(const membership_t *self)
{
	uint32_t rank = 0;

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (member->state != MEMBER_LEAVING &&
		    member->sort_key < self->sort_key &&
		    member_is_alive(self, member))
			rank++;
	}
	return rank;
}
