/**
 * @file
 * Until when a daemon may take it that the configuration it holds is in force.
 *
 * Evidence is a read of the store's head that it has caught up with, or answers
 * to its own heartbeats from more than half of the members, itself counted,
 * that hold no later revision. A plan is confirmed only by a daemon that hears
 * at least half of the members, so one of those that answered either knows of
 * the plan or will by its next heartbeat.
 *
 * In a large fleet nobody asks everyone. An answer then brings along what its
 * sender knows of the others, as ages; such evidence is dated by the question
 * minus the age, which is never later than the truth, since ages are durations
 * on one clock each and are rounded up.
 *
 * Each piece of evidence is dated by when it was asked for, on a clock that
 * counts suspended time: an answer that waited in a socket while the process
 * was stopped proves nothing new.
 */
#ifndef MOORTACK_MEMBER_FRESHNESS_H
#define MOORTACK_MEMBER_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock_source.h"
#include "common/table.h"

/** What the last answered heartbeat to one peer proved. */
typedef struct peer_evidence {
	uint64_t incarnation;
	struct timespec queried_at;
	struct timespec
	    store_read_at; /**< the peer's own last read of the head */
	uint64_t revision;
	uint64_t epoch;
	bool store_read;
} peer_evidence_t;

typedef struct freshness {
	int64_t window_ms;	     /**< how long evidence counts */
	int64_t store_outage_max_ms; /**< how long peers may vouch without any
			      having read the store */
	uint64_t revision;	     /**< held */
	uint64_t epoch;		     /**< of the membership held */
	uint32_t member_count;	     /**< listed, with this one */
	bool store_read;
	struct timespec store_read_at;
	table_t peers; /**< peer_evidence_t */
} freshness_t;

void freshness_init(freshness_t *, int64_t window_ms, int64_t outage_ms);
void freshness_finish(freshness_t *);

/** The store's head was read by a call made at @p asked_at.
 * @param head counts only once this daemon holds it */
void
freshness_store_read(freshness_t *, uint64_t head, struct timespec asked_at);

/** A peer answered a heartbeat. @return false when memory is out */
bool freshness_peer_responded(freshness_t *, const peer_evidence_t *);

/** One unit of an age, milliseconds, and the age that says nothing. */
#define FRESHNESS_AGE_UNIT_MS 100
#define FRESHNESS_AGE_UNKNOWN 255

/**
 * What this daemon knows, to pass on: for each member, how long ago it is known
 * to have held no later revision than this daemon does now.
 * @param members incarnations in order, this daemon's too
 * @param ages receives @p count units, rounded up
 */
void freshness_ages_encode(const freshness_t *, const uint64_t *members,
    uint32_t count, uint64_t self, struct timespec now, uint8_t *ages);

/**
 * Take over what came with a peer's answer.
 * @param from the answer itself: when it was asked for, revision, epoch
 */
void freshness_ages_merge(freshness_t *, const peer_evidence_t *from,
    const uint64_t *members, uint32_t count, uint64_t self,
    const uint8_t *ages);

/** When a peer is last known to have answered anybody; 0: never. */
struct timespec
freshness_last_response_at(const freshness_t *, uint64_t incarnation);

/** A peer is no longer a member. */
void freshness_peer_remove(freshness_t *, uint64_t incarnation);

/** Until when new work may be taken; in the past when it may not. */
struct timespec freshness_expires_at(const freshness_t *);

/** Whether at least half of the members, with this one, have answered a
 * heartbeat sent within the window: those that vouch for each other without the
 * table are more than half, so one of them is among these. */
bool freshness_half_responded(const freshness_t *, struct timespec now);

#endif
