#include <stdio.h>
#include <string.h>

#include "row_source_priv.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000
/* A daemon that failed is not followed again for this long, and longer each
 * time. */
#define SHUN_MS 3000
/* The same for one that the store does not answer. */
#define SHUN_LOST_MS 2000
/* The same for one whose rows come through this daemon: it looks for another
 * itself as soon as it is told. */
#define SHUN_CIRCLE_MS 500
/* How long a daemon that says that the store does not answer it is kept to, and
 * a random part of that more, doubled with each further one: it has news as
 * soon as anybody before it has. */
#define LOST_MOVE_MS 1000
#define LOST_MOVES_MAX 2
/* While the store does not answer, so many of the first daemons ask it: one of
 * them finds out that it turns away only some (a third in the users' troubles:
 * all sixteen in one of 10^7), and as many calls a second are made in a fleet
 * of any size. With 295 asking, 8 s without the store were 3,600 calls. */
#define PROBERS 16
/* How long the first answer of another daemon is waited for. */
#define FIRST_ANSWER_MS 400
/* The same of one that answers, but knows nothing itself yet, for a daemon that
 * starts. */
#define FIRST_ROWS_MS 1500
/* A daemon that starts waits no longer than the store would need for whole
 * reads of all daemons, if all of them started now: a small fleet starts as
 * fast as it can read, a large one reads once. */
#define FIRST_PER_MEMBER_MS 5
/* Daemons that one which starts waits for before it reads the store itself. */
#define START_TRIES 3
/* How long somebody who stands after this daemon is followed before the store
 * is tried again. */
#define DOWN_MS 4000

void
row_parent_end(row_source_t *self, const char *why)
{
	if (self->followed[0] == '\0')
		return;
	event_line(
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

/* Read the store again. */
static void
parent_stop(row_source_t *self, const char *why)
{
	if (self->followed[0] == '\0')
		return;
	row_parent_end(self, why);
	row_source_suspend(self, false);
}

/* Follow another daemon, or read the store if there is none. */
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

/* Nobody reads the store in a circle: this daemon does, until it finds somebody
 * else. */
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
	self->lost_until = timespec_after_ms(
	    clock_elapsed(self->clock), ms << self->lost_moves);
	event_line(self->log, "parent_lost", "source=%s", self->followed);
	row_source_suspend(self, membership_rank(self->members) >= PROBERS);
	row_follow_tell_lost(self);
}

void
row_parent_lost(row_source_t *self)
{
	if (!self->parent_lost)
		lost_begin(self);
	if (timespec_ms_between(clock_elapsed(self->clock), self->lost_until) >
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

/* Whoever is followed anew has a moment to answer. */
static int64_t
first_wait_ms(const row_source_t *self)
{
	int64_t most = self->followed_answers ? FIRST_ROWS_MS : FIRST_ANSWER_MS;
	int64_t all =
	    FIRST_PER_MEMBER_MS * (int64_t)membership_count(self->members);

	if (row_source_settled(self))
		return FIRST_ANSWER_MS;
	return all < most ? all : most;
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
		   clock_elapsed(self->clock)) >= first_wait_ms(self);
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
	self->followed_since = clock_elapsed(self->clock);
	self->followed_answers = false;
	self->parent_lost = false;
	if (feed_client_follow(&self->client, address)) {
		first_wait_start(self);
		return;
	}
	self->followed[0] = '\0';
	row_source_suspend(self, false);
}

/* Whether the store does not answer this daemon, as far as it has asked. */
static bool
store_is_lost(const row_source_t *self)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (!self->watches[i].watch.reachable)
			return true;
	}
	return false;
}

/* Whoever starts and stands before all that run is told the rows by one of
 * them, once, and reads the store from there on: of 6 daemons that start one by
 * one two or three stand first for a moment, and up to five of them read all
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

/* Nobody stands before this daemon: it reads the store, or, while that does not
 * answer, follows one that stands after it for a time. */
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
			clock_elapsed(self->clock)) >= DOWN_MS)
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

/* Whether the store can bear it that all daemons which start read it. */
static bool
is_small(const row_source_t *self)
{
	return FIRST_PER_MEMBER_MS * (int64_t)membership_count(self->members) <
	    FIRST_ANSWER_MS;
}

/* Whoever is followed did not tell the rows in time: the store does. A daemon
 * of a large fleet that starts asks others first. */
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
