/**
 * @file
 * Limits how many requests this daemon sends to an endpoint that tolerates few
 * requests a second from all daemons together, since it is cold or has named a
 * rate limit. Time is divided into slots by the store's clock, and the quota of
 * each slot is divided among the daemons by rendezvous hashing. All daemons
 * compute the same shares without coordination, so the limit also holds while
 * some are unreachable or learn of the endpoint late.
 */
#ifndef MOORTACK_RELAY_WARMUP_SHARE_H
#define MOORTACK_RELAY_WARMUP_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include <uthash.h>

/** Length of a slot. Any one second overlaps at most two slots. */
#define WARMUP_SLOT_MS 1000

/** By how much the deployment lets requests exceed the endpoint's rate. */
typedef struct warmup_bounds {
	double overshoot; /**< factor applied to the rate */
	double tolerance; /**< requests added to it in any second */
} warmup_bounds_t;

/** Another daemon that may send requests to the same endpoints. */
typedef struct warmup_daemon {
	uint64_t hash; /**< of its name */
	struct timespec last_seen;
	UT_hash_handle hh;
} warmup_daemon_t;

/** The daemons among which a quota is divided. */
typedef struct warmup_daemons {
	warmup_daemon_t *others;
	uint64_t own_hash;	       /**< of this daemon's name */
	bool own_counted;	       /**< the others know of this daemon */
	struct timespec own_stored_at; /**< 0: its row is not in the store */
} warmup_daemons_t;

/** Requests that all daemons together may send to an endpoint in a slot.
 * @param rate_per_s requests a second that it tolerates while it is cold */
uint32_t warmup_slot_quota(const warmup_bounds_t *, double rate_per_s);

void warmup_daemons_init(warmup_daemons_t *, const char *own_name);
void warmup_daemons_finish(warmup_daemons_t *);
/** Add a daemon, or update when it was last seen. */
void warmup_daemons_mark_seen(
    warmup_daemons_t *, const char *name, struct timespec now);
/** Update whether this daemon's row is in the store.
 * @param at_start the row was there when this daemon started, so the others
 * know of it already */
void warmup_daemons_update_own(
    warmup_daemons_t *, bool in_store, bool at_start, struct timespec now);
/** Remove daemons that were last seen long ago. A daemon that is partitioned
 * may go on sending, so its share is not reassigned at once. */
void warmup_daemons_expire(warmup_daemons_t *, struct timespec now);

/** This daemon's place among all daemons for an endpoint in a slot, by
 * rendezvous hashing.
 * @param rank from 0
 * @param count of all daemons
 * @return false: the others don't know of this daemon yet */
bool warmup_rank(const warmup_daemons_t *, uint64_t endpoint_hash, int64_t slot,
    uint32_t *rank, uint32_t *count);
/** This daemon's part of an endpoint's quota in a slot; 0 until the others know
 * of this daemon.
 * @param endpoint_hash of its incarnation */
uint32_t warmup_share(const warmup_daemons_t *, uint64_t endpoint_hash,
    int64_t slot, uint32_t quota);

#endif
