#include "moortack/member/freshness.h"

#include <stdlib.h>

#define MEMBERS_MAX 1024

void
freshness_init(freshness_t *freshness, int64_t window_ms, int64_t outage_ms)
{
	*freshness = (freshness_t){.window_ms = window_ms,
	    .store_outage_max_ms = outage_ms,
	    .member_count = 1};
	table_init(&freshness->peers, sizeof(peer_evidence_t));
}

void
freshness_finish(freshness_t *freshness)
{
	table_finish(&freshness->peers);
}

void
freshness_store_read(
    freshness_t *freshness, uint64_t head, struct timespec requested_at)
{
	if (head > freshness->revision)
		return;
	if (freshness->store_read &&
	    timespec_ms_between(freshness->store_read_at, requested_at) < 0)
		return;
	freshness->store_read = true;
	freshness->store_read_at = requested_at;
}

static peer_evidence_t *
peer_find(const freshness_t *freshness, uint64_t incarnation)
{
	for (handle_t h = 0; h < freshness->peers.len; h++) {
		peer_evidence_t *peer = table_at(&freshness->peers, h);

		if (peer->incarnation == incarnation)
			return peer;
	}
	return NULL;
}

bool
freshness_peer_responded(
    freshness_t *freshness, const peer_evidence_t *evidence)
{
	peer_evidence_t *peer = peer_find(freshness, evidence->incarnation);

	if (peer == NULL)
		peer = table_add(&freshness->peers);
	if (peer == NULL)
		return false;
	*peer = *evidence;
	return true;
}

/* Merges indirect evidence, which never replaces newer evidence. */
static void
peer_merge_indirect(freshness_t *freshness, const peer_evidence_t *evidence)
{
	peer_evidence_t *peer = peer_find(freshness, evidence->incarnation);

	if (peer == NULL) {
		freshness_peer_responded(freshness, evidence);
		return;
	}
	if (timespec_us_between(peer->queried_at, evidence->queried_at) <= 0)
		return;
	peer->queried_at = evidence->queried_at;
	peer->revision = evidence->revision;
	peer->epoch = evidence->epoch;
}

static uint8_t
age_encode(int64_t ms)
{
	int64_t units =
	    (ms + FRESHNESS_AGE_UNIT_MS - 1) / FRESHNESS_AGE_UNIT_MS;

	if (units < 0)
		return 0;
	return units < FRESHNESS_AGE_UNKNOWN ? (uint8_t)units
					     : FRESHNESS_AGE_UNKNOWN;
}

static bool
evidence_is_valid(const freshness_t *freshness, const peer_evidence_t *peer)
{
	return peer->revision <= freshness->revision &&
	    peer->epoch == freshness->epoch;
}

void
freshness_ages_encode(const freshness_t *freshness, const uint64_t *members,
    uint32_t count, uint64_t self, struct timespec now, uint8_t *ages)
{
	for (uint32_t i = 0; i < count; i++) {
		const peer_evidence_t *peer = peer_find(freshness, members[i]);

		ages[i] = FRESHNESS_AGE_UNKNOWN;
		if (members[i] == self)
			ages[i] = 0;
		else if (peer != NULL && evidence_is_valid(freshness, peer))
			ages[i] = age_encode(
			    timespec_ms_between(peer->queried_at, now));
	}
}

void
freshness_ages_merge(freshness_t *freshness, const peer_evidence_t *from,
    const uint64_t *members, uint32_t count, uint64_t self, const uint8_t *ages)
{
	if (from->epoch != freshness->epoch)
		return;
	for (uint32_t i = 0; i < count; i++) {
		peer_evidence_t evidence = *from;

		if (members[i] == self || members[i] == from->incarnation ||
		    ages[i] == FRESHNESS_AGE_UNKNOWN)
			continue;
		evidence.incarnation = members[i];
		evidence.queried_at = timespec_add_ms(from->queried_at,
		    -(int64_t)ages[i] * FRESHNESS_AGE_UNIT_MS);
		evidence.store_read = false;
		peer_merge_indirect(freshness, &evidence);
	}
}

struct timespec
freshness_last_response_at(const freshness_t *freshness, uint64_t incarnation)
{
	const peer_evidence_t *peer = peer_find(freshness, incarnation);

	return peer != NULL ? peer->queried_at : (struct timespec){0};
}

void
freshness_peer_remove(freshness_t *freshness, uint64_t incarnation)
{
	peer_evidence_t *peer = peer_find(freshness, incarnation);

	if (peer == NULL)
		return;
	*peer = *(peer_evidence_t *)table_at(
	    &freshness->peers, freshness->peers.len - 1);
	freshness->peers.len--;
}

static int
latest_first(const void *a, const void *b)
{
	int64_t us = timespec_us_between(
	    *(const struct timespec *)a, *(const struct timespec *)b);

	return us > 0 ? 1 : us < 0 ? -1 : 0;
}

/* The number of peers that must have responded so that, with this daemon, they
 * are more than half of the members. */
static uint32_t
majority_peer_count(const freshness_t *freshness)
{
	return freshness->member_count / 2;
}

/* The last read of the store by this daemon or by a peer whose evidence is
 * valid. */
static struct timespec
last_store_read(const freshness_t *freshness)
{
	struct timespec last = freshness->store_read_at;

	for (handle_t h = 0; h < freshness->peers.len; h++) {
		const peer_evidence_t *peer = table_at(&freshness->peers, h);

		if (evidence_is_valid(freshness, peer) && peer->store_read &&
		    timespec_ms_between(last, peer->store_read_at) > 0)
			last = peer->store_read_at;
	}
	return last;
}

/* When the majority was last complete: the time of the oldest query that it
 * needs, or 0 if there is no majority. */
static struct timespec
majority_queried_at(const freshness_t *freshness)
{
	struct timespec times[MEMBERS_MAX];
	uint32_t needed = majority_peer_count(freshness);
	uint32_t n = 0;

	for (handle_t h = 0; h < freshness->peers.len && n < MEMBERS_MAX; h++) {
		const peer_evidence_t *peer = table_at(&freshness->peers, h);

		if (evidence_is_valid(freshness, peer))
			times[n++] = peer->queried_at;
	}
	if (needed == 0 || n < needed)
		return (struct timespec){0};
	qsort(times, n, sizeof(*times), latest_first);
	return times[needed - 1];
}

static struct timespec
timespec_earlier(struct timespec a, struct timespec b)
{
	return timespec_us_between(a, b) > 0 ? a : b;
}

static struct timespec
timespec_later(struct timespec a, struct timespec b)
{
	return timespec_us_between(a, b) > 0 ? b : a;
}

struct timespec
freshness_expires_at(const freshness_t *freshness)
{
	struct timespec by_store = {0};
	struct timespec by_peers;
	struct timespec bound;

	if (!freshness->store_read)
		return by_store;
	by_store =
	    timespec_add_ms(freshness->store_read_at, freshness->window_ms);
	by_peers = timespec_add_ms(
	    majority_queried_at(freshness), freshness->window_ms);
	bound = timespec_add_ms(
	    last_store_read(freshness), freshness->store_outage_max_ms);
	return timespec_later(by_store, timespec_earlier(by_peers, bound));
}

bool
freshness_half_responded(const freshness_t *freshness, struct timespec now)
{
	uint32_t responded = 0;

	for (handle_t h = 0; h < freshness->peers.len; h++) {
		const peer_evidence_t *peer = table_at(&freshness->peers, h);

		if (timespec_ms_between(peer->queried_at, now) <
		    freshness->window_ms)
			responded++;
	}
	return 2 * (responded + 1) >= freshness->member_count;
}
