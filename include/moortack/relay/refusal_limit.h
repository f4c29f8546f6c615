/**
 * @file
 * Limits how many requests a brittle endpoint has to refuse for want of room,
 * from all daemons together: it names how many a second it bears, and falls
 * under more. A daemon has at most as many requests there that may still be
 * refused as its share of that and of the room that is known to be free. No
 * I/O, no clock.
 */
#ifndef MOORTACK_RELAY_REFUSAL_LIMIT_H
#define MOORTACK_RELAY_REFUSAL_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/** The latest notice of a service whose endpoints are brittle. */
typedef struct brittle_notice {
	int64_t milli;		  /**< refusals in 1,000 s that one bears */
	struct timespec at;	  /**< when it was last named; 0: never */
	struct timespec told_at;  /**< the same, when it was news last */
	struct timespec ended_at; /**< when a request was sent whose response
				     did not say so; 0: never */
} brittle_notice_t;

/** This daemon's place among all for one endpoint in one slot, and what it has
 * used. */
typedef struct refusal_share {
	int64_t slot;
	uint32_t rank;	  /**< by rendezvous hashing, from 0 */
	uint32_t daemons; /**< 0: the others don't know of this daemon yet */
	uint32_t refused; /**< requests of this daemon in the slot */
} refusal_share_t;

/** Whether what was named still holds. A service is brittle for some time after
 * any of its endpoints said so. */
bool brittle_notice_holds(const brittle_notice_t *, struct timespec now);

/** An endpoint has named what it bears. Of several figures the lowest counts as
 * long as it holds.
 * @return whether it is news, and other daemons are to be told: once in a while
 * for a service, whatever the number of its endpoints */
bool
brittle_notice_apply(brittle_notice_t *, int64_t milli, struct timespec at);
/** An endpoint has responded without naming it. All of a service that is
 * brittle do.
 * @param sent_at when the request was sent
 * @return whether that ends it */
bool brittle_notice_end(brittle_notice_t *, struct timespec sent_at);

/** Requests that all daemons together may have at the endpoint that it may
 * still refuse, in a slot of one second.
 * @param milli as it names it
 * @param hash of the endpoint's incarnation
 * @param room requests that it can take beside those that it holds */
uint32_t
refusal_quota(int64_t milli, uint64_t hash, int64_t slot, uint32_t room);

/** This daemon's part of a quota. */
uint32_t refusal_share_of(const refusal_share_t *, uint32_t quota);

/** Requests that this daemon has used of its share.
 * @param unresolved requests of this daemon without a response so far */
uint32_t refusal_share_used(const refusal_share_t *, uint32_t unresolved);

#endif
