#include <stdlib.h>
#include <string.h>

#include "membership_priv.h"

/* Followers of one daemon, at least, before the tree gets a second level. */
#define BREADTH_MIN 8
/* Zones that are told apart; more count as so many. */
#define ZONES_MAX 16

static bool
may_ask(const membership_t *self, const member_t *member)
{
	return member->state != MEMBER_LEAVING &&
	    member->peer_address[0] != '\0' &&
	    timespec_ms_between(
		clock_elapsed(self->clock), member->backoff_until) <= 0;
}

static bool
may_follow(const membership_t *self, const member_t *member)
{
	return may_ask(self, member) &&
	    liveness_is_responsive(
		&self->liveness, &member->liveness, clock_elapsed(self->clock));
}

/* Whether the member stands before this daemon; before one that leaves, all do.
 */
static bool
stands_before(const membership_t *self, const member_t *member)
{
	return member->sort_key < self->sort_key ||
	    self->state == MEMBER_LEAVING;
}

static int
order_compare(const void *a, const void *b)
{
	const member_t *const *one = a;
	const member_t *const *two = b;

	return ((*one)->sort_key > (*two)->sort_key) -
	    ((*one)->sort_key < (*two)->sort_key);
}

static bool
ordered_reserve(membership_t *self, size_t count)
{
	const member_t **grown;

	if (count <= self->parent_candidates_cap)
		return true;
	grown = realloc(self->parent_candidates, 2 * count * sizeof(*grown));
	if (grown == NULL)
		return false;
	self->parent_candidates = grown;
	self->parent_candidates_cap = 2 * count;
	return true;
}

/* Who may be followed and stands before this daemon, in order. */
static size_t
ordered_fill(membership_t *self)
{
	size_t len = 0;

	if (!ordered_reserve(self, HASH_COUNT(self->members)))
		return 0;
	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (stands_before(self, member) && may_follow(self, member))
			self->parent_candidates[len++] = member;
	}
	if (len > 1)
		qsort(self->parent_candidates, len,
		    sizeof(*self->parent_candidates), order_compare);
	return len;
}

/* Followers of one daemon: as many as make a tree of two levels. */
static size_t
breadth_of(size_t daemons)
{
	size_t breadth = BREADTH_MIN;

	while (breadth * breadth < daemons)
		breadth++;
	return breadth;
}

bool
membership_follows_another(membership_t *self)
{
	return ordered_fill(self) > 0;
}

/* The first of those that stand before this daemon and are silent. They ask
 * nobody who stands after them: only a question tells that one is back. */
static const member_t *
silent_first(const membership_t *self)
{
	const member_t *first = NULL;

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (stands_before(self, member) && may_ask(self, member) &&
		    (first == NULL || member->sort_key < first->sort_key))
			first = member;
	}
	return first;
}

static bool
is_near(const membership_t *self, const member_t *member)
{
	return strcmp(member->zone, self->settings.zone) == 0;
}

/* Zones in which daemons stand. */
static size_t
zones_count(const membership_t *self)
{
	const char *zones[ZONES_MAX] = {self->settings.zone};
	size_t len = 1;

	for (const member_t *member = self->members;
	     member != NULL && len < ZONES_MAX; member = member->hh.next) {
		size_t at = 0;

		while (at < len && strcmp(zones[at], member->zone) != 0)
			at++;
		if (at == len)
			zones[len++] = member->zone;
	}
	return len;
}

/* The near one at this place in the order, but for the first of all. */
static const member_t *
near_at(const membership_t *self, size_t before, size_t rank)
{
	for (size_t i = 1; i < before; i++) {
		if (is_near(self, self->parent_candidates[i]) && rank-- == 0)
			return self->parent_candidates[i];
	}
	return self->parent_candidates[0];
}

static size_t
near_count(const membership_t *self, size_t before)
{
	size_t count = 0;

	for (size_t i = 1; i < before; i++)
		count += is_near(self, self->parent_candidates[i]);
	return count;
}

/* The first ones of each zone follow the first of all, and the others one of
 * these in their own zone: what is told all crosses between zones a few
 * times, not once for each daemon. */
const member_t *
membership_parent(membership_t *self)
{
	size_t before = ordered_fill(self);
	size_t breadth = breadth_of(membership_alive_count(self));
	size_t zones, near, tellers;

	if (before == 0)
		return silent_first(self);
	if (before <= BREADTH_MIN)
		return self->parent_candidates[0];
	zones = zones_count(self);
	tellers = (breadth + zones - 1) / zones;
	near = near_count(self, before);
	return near < tellers ? self->parent_candidates[0]
			      : near_at(self, before, near % tellers);
}

bool
membership_near_root(membership_t *self)
{
	const member_t *parent;

	if (ordered_fill(self) <= BREADTH_MIN)
		return true;
	parent = membership_parent(self);
	return parent == self->parent_candidates[0];
}

const member_t *
membership_next_member(const membership_t *self)
{
	const member_t *best = NULL;

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (stands_before(self, member) || !may_follow(self, member))
			continue;
		if (best == NULL || member->sort_key < best->sort_key)
			best = member;
	}
	return best;
}
