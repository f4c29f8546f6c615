#include <string.h>
#include <xxhash.h>

#include "membership_priv.h"

/* The tree gets a second level only if one daemon would have more followers
 * than this. */
#define FOLLOWERS_MIN 8
/* Zones that are counted; further ones are ignored. */
#define ZONES_MAX 16

/* Daemons of one zone that others in it follow, at the most. */
#define RELAYS_MAX 64

/** The members before this daemon that may be followed. */
typedef struct tree_view {
	size_t before;
	const member_t *first; /**< of all; NULL: there is none */
	/** The first ones in this daemon's zone, without the first of all, in
	 * the order. */
	const member_t *relays[RELAYS_MAX];
	size_t relays_len;
} tree_view_t;

static bool
may_request(const member_t *member, struct timespec now)
{
	return member->state != MEMBER_LEAVING &&
	    member->peer_address[0] != '\0' &&
	    timespec_ms_between(now, member->backoff_until) <= 0;
}

static bool
may_follow(
    const membership_t *self, const member_t *member, struct timespec now)
{
	return may_request(member, now) &&
	    liveness_is_responsive(&self->liveness, &member->liveness, now);
}

/* Whether the member is before this daemon in the order; all are before one
 * that is leaving. */
static bool
is_before(const membership_t *self, const member_t *member)
{
	return member->sort_key < self->sort_key ||
	    self->state == MEMBER_LEAVING;
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

/* The first of the members before this daemon, when all are silent. They send
 * no requests to daemons after them, so only a request of this one shows that
 * one of them responds again. */
static const member_t *
first_silent(const membership_t *self)
{
	struct timespec now = clock_boottime(self->clock);
	const member_t *first = NULL;

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (is_before(self, member) && may_request(member, now) &&
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

/* The number of daemons of each zone that others in it follow. */
static size_t
relays_per_zone(const membership_t *self)
{
	size_t zones = zones_count(self);
	size_t relays =
	    (followers_per_parent(membership_alive_count(self)) + zones - 1) /
	    zones;

	return relays < RELAYS_MAX ? relays : RELAYS_MAX;
}

static void
first_find(const membership_t *self, struct timespec now, tree_view_t *view)
{
	*view = (tree_view_t){0};
	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (!is_before(self, member) || !may_follow(self, member, now))
			continue;
		view->before++;
		if (view->first == NULL ||
		    member->sort_key < view->first->sort_key)
			view->first = member;
	}
}

/* Inserts the member into the first @p max relays, if it is one of them. */
static void
relay_insert(tree_view_t *view, size_t max, const member_t *member)
{
	size_t at = view->relays_len;

	while (at > 0 && view->relays[at - 1]->sort_key > member->sort_key)
		at--;
	if (at == max)
		return;
	if (view->relays_len < max)
		view->relays_len++;
	memmove(&view->relays[at + 1], &view->relays[at],
	    (view->relays_len - at - 1) * sizeof(view->relays[0]));
	view->relays[at] = member;
}

static void
relays_find(const membership_t *self, struct timespec now, size_t max,
    tree_view_t *view)
{
	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (member != view->first && is_before(self, member) &&
		    in_same_zone(self, member) && may_follow(self, member, now))
			relay_insert(view, max, member);
	}
}

/* Rendezvous hashing: another daemon's departure or start moves no more than
 * the share of the daemons that followed it, or will. */
static const member_t *
relay_choose(const membership_t *self, const tree_view_t *view)
{
	const char *name = self->settings.name;
	uint64_t own = XXH3_64bits(name, strlen(name));
	const member_t *chosen = NULL;
	uint64_t best = 0;

	for (size_t i = 0; i < view->relays_len; i++) {
		const member_t *relay = view->relays[i];
		uint64_t weight =
		    XXH3_64bits_withSeed(relay->name, strlen(relay->name), own);

		if (chosen == NULL || weight > best) {
			chosen = relay;
			best = weight;
		}
	}
	return chosen;
}

/* The first daemons of each zone follow the first of all, and the others follow
 * one of these in their own zone: what is sent to all daemons crosses between
 * zones a few times, not once for each daemon. */
static const member_t *
parent_choose(const membership_t *self, tree_view_t *view)
{
	struct timespec now = clock_boottime(self->clock);
	size_t relays;

	first_find(self, now, view);
	if (view->before <= FOLLOWERS_MIN)
		return view->first;
	relays = relays_per_zone(self);
	relays_find(self, now, relays, view);
	return view->relays_len < relays ? view->first
					 : relay_choose(self, view);
}

bool
membership_follows_another(const membership_t *self)
{
	tree_view_t view;

	first_find(self, clock_boottime(self->clock), &view);
	return view.before > 0;
}

const member_t *
membership_parent(const membership_t *self)
{
	tree_view_t view;
	const member_t *parent = parent_choose(self, &view);

	return parent != NULL ? parent : first_silent(self);
}

bool
membership_near_root(const membership_t *self)
{
	tree_view_t view;

	return parent_choose(self, &view) == view.first;
}

const member_t *
membership_next_member(const membership_t *self)
{
	struct timespec now = clock_boottime(self->clock);
	const member_t *next = NULL;

	for (const member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		if (is_before(self, member) || !may_follow(self, member, now))
			continue;
		if (next == NULL || member->sort_key < next->sort_key)
			next = member;
	}
	return next;
}
