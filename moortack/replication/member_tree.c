#include <stdlib.h>
#include <string.h>

#include "membership_priv.h"

/* The tree gets a second level only if one daemon would have more followers
 * than this. */
#define FOLLOWERS_MIN 8
/* Zones that are counted; further ones are ignored. */
#define ZONES_MAX 16

static bool
may_request(const membership_t *self, const member_t *member)
{
	return member->state != MEMBER_LEAVING &&
	    member->peer_address[0] != '\0' &&
	    timespec_ms_between(
		clock_boottime(self->clock), member->backoff_until) <= 0;
}

static bool
may_follow(const membership_t *self, const member_t *member)
{
	return may_request(self, member) &&
	    liveness_is_responsive(&self->liveness, &member->liveness,
		clock_boottime(self->clock));
}

/* Whether the member is before this daemon in the order; all are before one
 * that is leaving. */
static bool
is_before(const membership_t *self, const member_t *member)
{
	return member->sort_key < self->sort_key ||
	    self->state == MEMBER_LEAVING;
}

static int
order_compare(const void *a, const void *b)
{
	const member_t *const *first = a;
	const member_t *const *second = b;

	return ((*first)->sort_key > (*second)->sort_key) -
	    ((*first)->sort_key < (*second)->sort_key);
}

static bool
candidates_reserve(membership_t *self, size_t count)
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

/* Collects the members before this daemon that may be followed, in order. */
static size_t
candidates_collect(membership_t *self)
{
	size_t len = 0;

	if (!candidates_reserve(self, HASH_COUNT(self->members)))
		return 0;
	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (is_before(self, member) && may_follow(self, member))
			self->parent_candidates[len++] = member;
	}
	if (len > 1)
		qsort(self->parent_candidates, len,
		    sizeof(*self->parent_candidates), order_compare);
	return len;
}

/* The number of followers per daemon that makes a tree of two levels. */
static size_t
followers_per_parent(size_t daemons)
{
	size_t followers = FOLLOWERS_MIN;

	while (followers * followers < daemons)
		followers++;
	return followers;
}

bool
membership_follows_another(membership_t *self)
{
	return candidates_collect(self) > 0;
}

/* The first of the members before this daemon, when all are silent. They send
 * no requests to daemons after them, so only a request of this one shows that
 * one of them responds again. */
static const member_t *
first_silent(const membership_t *self)
{
	const member_t *first = NULL;

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (is_before(self, member) && may_request(self, member) &&
		    (first == NULL || member->sort_key < first->sort_key))
			first = member;
	}
	return first;
}

static bool
in_same_zone(const membership_t *self, const member_t *member)
{
	return strcmp(member->zone, self->settings.zone) == 0;
}

/* The number of zones that have daemons. */
static size_t
zones_count(const membership_t *self)
{
	const char *zones[ZONES_MAX] = {self->settings.zone};
	size_t len = 1;

	for (const member_t *member = self->members;
	     member != NULL && len < ZONES_MAX; member = member->hh.next) {
		size_t i = 0;

		while (i < len && strcmp(zones[i], member->zone) != 0)
			i++;
		if (i == len)
			zones[len++] = member->zone;
	}
	return len;
}

/* The parent candidate with this number among those in the same zone, leaving
 * out the first of all. */
static const member_t *
same_zone_candidate(const membership_t *self, size_t before, size_t rank)
{
	for (size_t i = 1; i < before; i++) {
		if (in_same_zone(self, self->parent_candidates[i]) &&
		    rank-- == 0)
			return self->parent_candidates[i];
	}
	return self->parent_candidates[0];
}

static size_t
same_zone_count(const membership_t *self, size_t before)
{
	size_t count = 0;

	for (size_t i = 1; i < before; i++)
		count += in_same_zone(self, self->parent_candidates[i]);
	return count;
}

/* The first daemons of each zone follow the first of all, and the others follow
 * one of these in their own zone: what is sent to all daemons crosses between
 * zones a few times, not once for each daemon. */
const member_t *
membership_parent(membership_t *self)
{
	size_t before = candidates_collect(self);
	size_t followers = followers_per_parent(membership_alive_count(self));
	size_t zones, same_zone, relays_per_zone;

	if (before == 0)
		return first_silent(self);
	if (before <= FOLLOWERS_MIN)
		return self->parent_candidates[0];
	zones = zones_count(self);
	relays_per_zone = (followers + zones - 1) / zones;
	same_zone = same_zone_count(self, before);
	return same_zone < relays_per_zone
	    ? self->parent_candidates[0]
	    : same_zone_candidate(self, before, same_zone % relays_per_zone);
}

bool
membership_near_root(membership_t *self)
{
	const member_t *parent;

	if (candidates_collect(self) <= FOLLOWERS_MIN)
		return true;
	parent = membership_parent(self);
	return parent == self->parent_candidates[0];
}

const member_t *
membership_next_member(const membership_t *self)
{
	const member_t *next = NULL;

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (is_before(self, member) || !may_follow(self, member))
			continue;
		if (next == NULL || member->sort_key < next->sort_key)
			next = member;
	}
	return next;
}
