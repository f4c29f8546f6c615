/**
 * @file
 * Until when a daemon may treat the configuration it holds as being in force.
 *
 * There are two kinds of evidence: a read of the store's head, once the daemon
 * holds that revision; and responses to its own heartbeats from members that
 * hold no later revision, if these members and the daemon itself are more than
 * half of all. A plan is confirmed only by a daemon that receives responses
 * from at least half of the members, so at least one of the responders knows of
 * the plan or learns of it by its next heartbeat.
 *
 * In a large fleet a daemon does not query every member. A response therefore
 * also carries, as ages, what its sender knows of the others. Such evidence is
 * dated by the time of the query minus the age. This is never later than the
 * true time: each age is a duration on a single clock, and is rounded up.
 *
 * Each piece of evidence is dated by the time of its request, on a clock that
 * counts suspended time: a response that waited in a socket while the process
 * was stopped proves nothing new.
 */
#ifndef MOORTACK_MEMBER_FRESHNESS_H
#define MOORTACK_MEMBER_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock_source.h"
#include "common/table.h"

/** What the last heartbeat to which a peer responded proved. */
typedef struct peer_evidence {
	uint64_t incarnation;
	struct timespec queried_at;
	struct timespec
	    store_read_at; /**< when the peer itself last read the head */
	uint64_t revision;
	uint64_t epoch;
	bool store_read;
} peer_evidence_t;

typedef struct freshness {
	int64_t window_ms;	     /**< how long evidence is valid */
	int64_t store_outage_max_ms; /**< how long responses of peers are
					evidence after the last read of the
					store by any of them */
	uint64_t revision;	     /**< of the configuration held */
	uint64_t epoch;		     /**< of the membership held */
	uint32_t member_count;	     /**< listed, including this daemon */
	bool store_read;
	struct timespec store_read_at;
	table_t peers; /**< peer_evidence_t */
} freshness_t;

void freshness_init(freshness_t *, int64_t window_ms, int64_t outage_ms);
void freshness_finish(freshness_t *);

/** Records that a call made at @p requested_at read the store's head.
 * @param head is evidence only if this daemon already holds this revision */
void freshness_store_read(
    freshness_t *, uint64_t head, struct timespec requested_at);

/** Records a peer's response to a heartbeat. @return false: out of memory */
bool freshness_peer_responded(freshness_t *, const peer_evidence_t *);

/** The unit of an age, milliseconds, and the value for an unknown age. */
#define FRESHNESS_AGE_UNIT_MS 100
#define FRESHNESS_AGE_UNKNOWN 255

/**
 * Encodes what this daemon knows of the members, for a response: how long ago
 * each is known to have held no later revision than this daemon holds now.
 * @param members incarnations in ascending order, including this daemon's
 * @param ages receives @p count ages in units, rounded up
 */
void freshness_ages_encode(const freshness_t *, const uint64_t *members,
    uint32_t count, uint64_t self, struct timespec now, uint8_t *ages);

/**
 * Merges the ages that came with a peer's response.
 * @param from the evidence of the response itself: time of the query,
 * revision, epoch
 */
void freshness_ages_merge(freshness_t *, const peer_evidence_t *from,
    const uint64_t *members, uint32_t count, uint64_t self,
    const uint8_t *ages);

/** The time of the last query to which a peer is known to have responded, of
 * this daemon or another; 0: none. */
struct timespec
freshness_last_response_at(const freshness_t *, uint64_t incarnation);

/** Removes the evidence of a peer that is no longer a member. */
void freshness_peer_remove(freshness_t *, uint64_t incarnation);

/** Until when new work may be accepted; in the past if it may not. */
struct timespec freshness_expires_at(const freshness_t *);

/** Whether at least half of the members, counting this daemon, have responded
 * to a heartbeat sent within the window. To stay fresh
 * without the store, a daemon needs responses from more than half of the
 * members, so at least one of those is among the ones counted here. */
bool freshness_half_responded(const freshness_t *, struct timespec now);

#endif
