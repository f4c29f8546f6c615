#include <stdio.h>
#include <string.h>

#include "row_source_priv.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000
/* A parent that failed is not chosen again for this long, doubled each time. */
#define SHUN_MS 3000
/* The same for a parent to which the store is unavailable. */
#define SHUN_UNAVAILABLE_MS 2000
/* The same for a parent that follows this daemon, directly or through others:
 * it chooses another parent itself as soon as it detects the cycle. */
#define SHUN_CYCLE_MS 500
/* A parent that reports the store as unavailable is kept for this long plus a
 * random part of it, doubled with each further such parent: it gets recent
 * rows as soon as any daemon before it in the order does. */
#define PARENT_KEEP_MS 1000
#define PARENT_CHANGES_MAX 2
/* While the store is unavailable, only this many daemons, the first in the
 * order, keep polling it, so that the number of calls does not depend on the
 * size of the fleet: with all of 295 polling, 8 s without the store cost 3,600
 * calls (their own counters). If the store rejects a third of the daemons, all
 * 16 are among them with a probability of 2 in 10^8. */
#define PROBERS_MAX 16
/* Time limit for the first response of a new parent. */
#define FIRST_RESPONSE_MS 400
/* The same at the start, for a parent that has responded but has no rows yet.
 */
#define FIRST_ROWS_MS 1500
/* Time that the store needs for the full reads of one daemon. A starting daemon
 * waits for a parent no longer than the reads of all daemons would take
 * together: in a small fleet all read the store at once, in a large one only
 * one daemon does. */
#define FULL_READS_PER_MEMBER_MS 5
/* Parents that a starting daemon tries before it reads the store itself. */
#define START_ATTEMPTS_MAX 3
/* How long the first daemon in the order follows the next one before it tries
 * the store again. */
#define FOLLOW_NEXT_MS 4000

void
row_parent_unfollow(row_sync_t *self, const char *why)
{
	if (self->parent[0] == '\0')
		return;
	event_log_write(
	    self->log, "unfollow", "source=%s why=%s", self->parent, why);
	row_apply_cancel(self);
	self->parent[0] = '\0';
	self->following = false;
	self->follows_next = false;
	self->start_from_next = false;
	self->parent_stale = false;
	self->parent_store_unavailable = false;
	json_decref(self->parent_path);
	self->parent_path = NULL;
	feed_client_disconnect(&self->client);
	if (self->ops->parent_changed != NULL)
		self->ops->parent_changed(self->arg);
}

/* Stops following, and reads the store. */
static void
parent_stop(row_sync_t *self, const char *why)
{
	if (self->parent[0] == '\0')
		return;
	row_parent_unfollow(self, why);
	row_sync_suspend_reads(self, false);
}

/* Follows another parent, or reads the store if there is none. */
static void
parent_change(row_sync_t *self, const char *why)
{
	row_parent_unfollow(self, why);
	row_parent_update(self);
	if (self->parent[0] == '\0')
		row_sync_suspend_reads(self, false);
}

void
row_parent_replace(row_sync_t *self, const char *why)
{
	membership_back_off(self->members, self->parent, SHUN_MS);
	parent_change(self, why);
}

/* In a cycle of followers no daemon reads the store: this daemon does, until it
 * finds another parent. */
void
row_parent_break_cycle(row_sync_t *self)
{
	membership_back_off(self->members, self->parent, SHUN_CYCLE_MS);
	parent_stop(self, "circle");
}

static void
parent_unavailable_begin(row_sync_t *self)
{
	int64_t ms =
	    PARENT_KEEP_MS + (int64_t)rng_below(self->rng, PARENT_KEEP_MS);

	self->parent_store_unavailable = true;
	self->following = false;
	self->parent_keep_until = timespec_add_ms(
	    clock_boottime(self->clock), ms << self->parent_changes);
	event_log_write(self->log, "parent_lost", "source=%s", self->parent);
	row_sync_suspend_reads(
	    self, membership_rank(self->members) >= PROBERS_MAX);
	row_follow_update_status(self);
}

void
row_parent_store_unavailable(row_sync_t *self)
{
	if (!self->parent_store_unavailable)
		parent_unavailable_begin(self);
	if (timespec_ms_between(
		clock_boottime(self->clock), self->parent_keep_until) > 0)
		return;
	if (self->parent_changes < PARENT_CHANGES_MAX)
		self->parent_changes++;
	membership_skip(self->members, self->parent, SHUN_UNAVAILABLE_MS);
	parent_change(self, "lost");
}

void
row_parent_store_available(row_sync_t *self)
{
	self->parent_store_unavailable = false;
	self->parent_changes = 0;
}

bool
row_parent_bypassed(const row_sync_t *self)
{
	const row_watch_t *probe = row_sync_watch(self, ROW_TABLE_PROBE);

	return self->parent_store_unavailable && !probe->suspended &&
	    probe->reachable &&
	    timespec_ms_between(self->parent_since, probe->synced_at) > 0;
}

/* Whether the store has ever been restored from an older copy: other daemons
 * may have later rows than the store. */
static bool
store_was_restored(const row_sync_t *self)
{
	return self->store->era > 0;
}

/* Time limit for the first response of a new parent, in milliseconds. */
static int64_t
first_response_ms(const row_sync_t *self)
{
	int64_t limit_ms =
	    self->parent_responded ? FIRST_ROWS_MS : FIRST_RESPONSE_MS;
	int64_t reads_ms = FULL_READS_PER_MEMBER_MS *
	    (int64_t)membership_alive_count(self->members);

	if (row_sync_synced(self))
		return FIRST_RESPONSE_MS;
	return reads_ms < limit_ms && !store_was_restored(self) ? reads_ms
								: limit_ms;
}

static void
first_response_timer_start(row_sync_t *self)
{
	int64_t ms = first_response_ms(self);
	struct timeval time = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	if (self->first_response_timer != NULL)
		event_add(self->first_response_timer, &time);
}

static bool
first_response_overdue(const row_sync_t *self)
{
	return !self->apply.active &&
	    timespec_ms_between(self->parent_since,
		clock_boottime(self->clock)) >= first_response_ms(self);
}

void
row_parent_first_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	row_parent_update(arg);
}

static void
parent_follow(row_sync_t *self, const member_t *member)
{
	char address[MEMBER_NAME_SIZE + 8];

	snprintf(address, sizeof(address), "tcp://%s", member->peer_address);
	row_apply_cancel(self);
	strcpy(self->parent, member->name);
	if (self->ops->parent_changed != NULL)
		self->ops->parent_changed(self->arg);
	self->parent_incarnation = 0;
	self->parent_change = 0;
	self->parent_since = clock_boottime(self->clock);
	self->parent_responded = false;
	self->parent_store_unavailable = false;
	if (feed_client_connect(&self->client, address)) {
		first_response_timer_start(self);
		return;
	}
	self->parent[0] = '\0';
	row_sync_suspend_reads(self, false);
}

/* Whether one of this daemon's last calls to the store got no response. */
static bool
store_is_unavailable(const row_sync_t *self)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (!self->watches[i].watch.reachable)
			return true;
	}
	return false;
}

/* A starting daemon that is the first in the order gets the rows from the next
 * one, once, and continues with the changes in the store. Daemons that start
 * one by one are each the first for a moment: of 6, up to five would read all
 * tables. */
static bool
start_from_next_begin(row_sync_t *self)
{
	const member_t *next = membership_next_member(self->members);

	if (next == NULL || self->start_from_next_tried ||
	    !self->watches[ROW_TABLE_SYSTEM].watch.synced_once ||
	    row_sync_synced(self))
		return false;
	self->start_from_next_tried = true;
	parent_follow(self, next);
	self->start_from_next = self->parent[0] != '\0';
	return self->start_from_next;
}

static void
start_from_next_step(row_sync_t *self)
{
	if (row_sync_synced(self))
		parent_stop(self, "told");
	else if (first_response_overdue(self))
		parent_stop(self, "no_rows");
}

/* The step of the first daemon in the order: it reads the store, or, while the
 * store is unavailable, follows the next daemon for a time. */
static void
root_step(row_sync_t *self)
{
	const member_t *next;

	if (self->start_from_next) {
		start_from_next_step(self);
		return;
	}
	if (self->follows_next) {
		if (timespec_ms_between(self->parent_since,
			clock_boottime(self->clock)) >= FOLLOW_NEXT_MS)
			parent_stop(self, "store_again");
		return;
	}
	if (self->parent[0] != '\0') {
		parent_stop(self, "no_parent");
		return;
	}
	if (start_from_next_begin(self))
		return;
	row_sync_suspend_reads(self, false);
	next = membership_next_member(self->members);
	if (next == NULL || !row_sync_synced(self) ||
	    !store_is_unavailable(self))
		return;
	self->follows_next = true;
	parent_follow(self, next);
}

/* Whether the fleet is small enough for all daemons to read the store at
 * once. */
static bool
fleet_is_small(const row_sync_t *self)
{
	return !store_was_restored(self) &&
	    FULL_READS_PER_MEMBER_MS *
		(int64_t)membership_alive_count(self->members) <
	    FIRST_RESPONSE_MS;
}

/* The parent sent no rows in time: reads the store. A starting daemon of a
 * large fleet tries other parents first. */
static void
first_response_missed(row_sync_t *self)
{
	if (self->parent_store_unavailable)
		return;
	if (!row_sync_synced(self) && !fleet_is_small(self) &&
	    self->start_attempts + 1 < START_ATTEMPTS_MAX) {
		self->start_attempts++;
		row_parent_replace(self, "no_rows");
		return;
	}
	row_sync_suspend_reads(self, false);
}

void
row_parent_update(row_sync_t *self)
{
	const member_t *parent = membership_parent(self->members);

	if (parent == NULL) {
		root_step(self);
		return;
	}
	if (!self->watches[ROW_TABLE_SYSTEM].watch.synced_once)
		return;
	if (strcmp(parent->name, self->parent) != 0) {
		self->follows_next = false;
		self->following = false;
		parent_follow(self, parent);
	}
	if (!self->following && first_response_overdue(self))
		first_response_missed(self);
}
