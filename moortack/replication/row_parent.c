#include <stdio.h>
#include <string.h>

#include "row_source_priv.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000
/* A parent that failed is not chosen again for this long, doubled each time. */
#define SHUN_MS 3000
/* The same for a parent that the store does not answer. */
#define SHUN_LOST_MS 2000
/* The same for a parent that follows this daemon, directly or through others:
 * it chooses another parent itself as soon as it sees the circle. */
#define SHUN_CIRCLE_MS 500
/* A parent that reports the store as unreachable is kept for this long plus a
 * random part of it, doubled with each further such parent: it has news as
 * soon as any daemon before it in the order has. */
#define LOST_MOVE_MS 1000
#define LOST_MOVES_MAX 2
/* While the store does not answer, only this many daemons, the first in the
 * order, keep asking it, so that the number of calls does not depend on the
 * size of the fleet: with all of 295 asking, 8 s without the store cost 3,600
 * calls (their own counters). If the store turns away a third of the daemons,
 * all 16 are among them with a probability of 2 in 10^8. */
#define PROBERS 16
/* Limit for the first answer of a new parent. */
#define FIRST_ANSWER_MS 400
/* The same at the start, for a parent that has answered but has no rows yet. */
#define FIRST_ROWS_MS 1500
/* Time of the store for the whole reads of one daemon. A starting daemon waits
 * for a parent no longer than all daemons' reads would take together: a small
 * fleet reads the store at once, a large one reads it once. */
#define FIRST_PER_MEMBER_MS 5
/* Parents that a starting daemon tries before it reads the store itself. */
#define START_TRIES 3
/* How long the first daemon of all follows one after it in the order before it
 * tries the store again. */
#define DOWN_MS 4000

void
row_parent_end(row_source_t *self, const char *why)
{
	if (self->followed[0] == '\0')
		return;
	event_log_write(
	    self->log, "unfollow", "source=%s why=%s", self->followed, why);
	self->followed[0] = '\0';
	self->following = false;
	self->down = false;
	self->start_below = false;
	self->old = false;
	self->parent_lost = false;
	json_decref(self->followed_path);
	self->followed_path = NULL;
	feed_client_stop(&self->client);
}

/* Stop following, and read the store. */
static void
parent_stop(row_source_t *self, const char *why)
{
	if (self->followed[0] == '\0')
		return;
	row_parent_end(self, why);
	row_source_suspend(self, false);
}

/* Follow another parent, or read the store if there is none. */
static void
parent_change(row_source_t *self, const char *why)
{
	row_parent_end(self, why);
	row_follow_tick(self);
	if (self->followed[0] == '\0')
		row_source_suspend(self, false);
}

void
row_parent_leave(row_source_t *self, const char *why)
{
	membership_shun(self->members, self->followed, SHUN_MS);
	parent_change(self, why);
}

/* In a circle of followers nobody reads the store: this daemon does, until it
 * finds another parent. */
void
row_parent_circle(row_source_t *self)
{
	membership_shun(self->members, self->followed, SHUN_CIRCLE_MS);
	parent_stop(self, "circle");
}

static void
lost_begin(row_source_t *self)
{
	int64_t ms = LOST_MOVE_MS + (int64_t)rng_below(self->rng, LOST_MOVE_MS);

	self->parent_lost = true;
	self->following = false;
	self->lost_until = timespec_add_ms(
	    clock_boottime(self->clock), ms << self->lost_moves);
	event_log_write(self->log, "parent_lost", "source=%s", self->followed);
	row_source_suspend(self, membership_rank(self->members) >= PROBERS);
	row_follow_tell_lost(self);
}

void
row_parent_lost(row_source_t *self)
{
	if (!self->parent_lost)
		lost_begin(self);
	if (timespec_ms_between(clock_boottime(self->clock), self->lost_until) >
	    0)
		return;
	if (self->lost_moves < LOST_MOVES_MAX)
		self->lost_moves++;
	membership_pass_over(self->members, self->followed, SHUN_LOST_MS);
	parent_change(self, "lost");
}

void
row_parent_found(row_source_t *self)
{
	self->parent_lost = false;
	self->lost_moves = 0;
}

bool
row_parent_store_read(const row_source_t *self)
{
	const row_watch_t *probe = row_source_watch(self, ROW_TABLE_PROBE);

	return self->parent_lost && !probe->suspended && probe->reachable &&
	    timespec_ms_between(self->followed_since, probe->known) > 0;
}

/* Whether the store has ever come back from an older copy: other daemons may
 * know what is later than its rows. */
static bool
store_was_restored(const row_source_t *self)
{
	return self->store->era > 0;
}

/* Time that a new parent has for its first answer, in milliseconds. */
static int64_t
first_wait_ms(const row_source_t *self)
{
	int64_t most = self->followed_answers ? FIRST_ROWS_MS : FIRST_ANSWER_MS;
	int64_t all =
	    FIRST_PER_MEMBER_MS * (int64_t)membership_count(self->members);

	if (row_source_settled(self))
		return FIRST_ANSWER_MS;
	return all < most && !store_was_restored(self) ? all : most;
}

static void
first_wait_start(row_source_t *self)
{
	int64_t ms = first_wait_ms(self);
	struct timeval time = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	if (self->first_wait != NULL)
		event_add(self->first_wait, &time);
}

static bool
first_wait_over(const row_source_t *self)
{
	return timespec_ms_between(self->followed_since,
		   clock_boottime(self->clock)) >= first_wait_ms(self);
}

void
row_parent_first_wait(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	row_follow_tick(arg);
}

static void
follow(row_source_t *self, const member_t *member)
{
	char address[MEMBER_NAME_SIZE + 8];

	snprintf(address, sizeof(address), "tcp://%s", member->peer);
	strcpy(self->followed, member->name);
	self->followed_source = 0;
	self->followed_change = 0;
	self->followed_since = clock_boottime(self->clock);
	self->followed_answers = false;
	self->parent_lost = false;
	if (feed_client_follow(&self->client, address)) {
		first_wait_start(self);
		return;
	}
	self->followed[0] = '\0';
	row_source_suspend(self, false);
}

/* Whether one of the last calls of this daemon to the store was not
 * answered. */
static bool
store_is_lost(const row_source_t *self)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (!self->watches[i].watch.reachable)
			return true;
	}
	return false;
}

/* A starting daemon that is the first in the order gets the rows from the next
 * one, once, and continues with the changes in the store. Daemons that start
 * one by one are each the first for a moment: of 6, up to five read all
 * tables. */
static bool
start_below_begin(row_source_t *self)
{
	const member_t *next = membership_next(self->members);

	if (next == NULL || self->start_below_tried ||
	    !self->watches[ROW_TABLE_OWN].watch.settled_once ||
	    row_source_settled(self))
		return false;
	self->start_below_tried = true;
	follow(self, next);
	self->start_below = self->followed[0] != '\0';
	return self->start_below;
}

static void
start_below_step(row_source_t *self)
{
	if (row_source_settled(self))
		parent_stop(self, "told");
	else if (first_wait_over(self))
		parent_stop(self, "no_rows");
}

/* The step of the first daemon in the order: it reads the store, or, while the
 * store does not answer, follows the next daemon for a time. */
static void
first_step(row_source_t *self)
{
	const member_t *next;

	if (self->start_below) {
		start_below_step(self);
		return;
	}
	if (self->down) {
		if (timespec_ms_between(self->followed_since,
			clock_boottime(self->clock)) >= DOWN_MS)
			parent_stop(self, "store_again");
		return;
	}
	if (self->followed[0] != '\0') {
		parent_stop(self, "no_parent");
		return;
	}
	if (start_below_begin(self))
		return;
	row_source_suspend(self, false);
	next = membership_next(self->members);
	if (next == NULL || !row_source_settled(self) || !store_is_lost(self))
		return;
	self->down = true;
	follow(self, next);
}

/* Whether the fleet is small enough for all daemons to read the store at
 * once. */
static bool
is_small(const row_source_t *self)
{
	return !store_was_restored(self) &&
	    FIRST_PER_MEMBER_MS * (int64_t)membership_count(self->members) <
	    FIRST_ANSWER_MS;
}

/* The parent sent no rows in time: read the store. A starting daemon of a
 * large fleet tries other parents first. */
static void
first_wait_end(row_source_t *self)
{
	if (self->parent_lost)
		return;
	if (!row_source_settled(self) && !is_small(self) &&
	    self->start_tries + 1 < START_TRIES) {
		self->start_tries++;
		row_parent_leave(self, "no_rows");
		return;
	}
	row_source_suspend(self, false);
}

void
row_follow_tick(row_source_t *self)
{
	const member_t *parent = membership_parent(self->members);

	if (parent == NULL) {
		first_step(self);
		return;
	}
	if (!self->watches[ROW_TABLE_OWN].watch.settled_once)
		return;
	if (strcmp(parent->name, self->followed) != 0) {
		self->down = false;
		self->following = false;
		follow(self, parent);
	}
	if (!self->following && first_wait_over(self))
		first_wait_end(self);
}
