/**
 * @file
 * Rate limits, drain notices and back-offs that an endpoint sends in the
 * headers of its responses, and which of them are in force. No I/O, no clock.
 */
#ifndef MOORTACK_RELAY_ENDPOINT_RESTRICTIONS_H
#define MOORTACK_RELAY_ENDPOINT_RESTRICTIONS_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/** Requests a second are counted in thousandths. */
#define RATE_MILLI 1000

/** The rate limit in a response. */
typedef enum rate_notice {
	RATE_NOT_LIMITED,
	RATE_LIMITED,
	RATE_UNREADABLE, /**< a limit is named, but not by a number */
} rate_notice_t;

/** The restrictions in one response. */
typedef struct endpoint_notice {
	bool draining; /**< it leaves, and takes no new requests */
	rate_notice_t rate;
	int64_t rate_milli; /**< requests in 1,000 s, from all daemons together;
			       if limited */
	int64_t backoff_ms; /**< for how long it wants no requests of this
			       daemon; 0: not said */
	rate_notice_t brittle; /**< limited: it falls if it has to refuse more
				  than brittle_milli */
	int64_t brittle_milli; /**< refusals in 1,000 s for want of room */
	bool unreadable; /**< a header is not in the form that it has to be */
} endpoint_notice_t;

/** The restrictions in force. */
typedef struct endpoint_restrictions {
	bool draining; /**< until the endpoint ends */
	bool rate_limited;
	int64_t rate_milli;		 /**< as in the notice */
	int64_t rate_reported_milli;	 /**< when a change was last reported */
	struct timespec rate_limited_at; /**< when it was last named */
	struct timespec rate_freed_at;	 /**< when the request was sent whose
					    response named none */
	struct timespec backoff_until;
} endpoint_restrictions_t;

/** This daemon's share of a rate limit in one slot. */
typedef struct rate_share {
	int64_t slot;
	int64_t rate_milli; /**< limit that it was computed from */
	uint32_t requests;  /**< that this daemon may send in the slot */
	uint32_t used;	    /**< of these */
	int64_t
	    next_slot; /**< next one with a share; not after slot: unknown */
	int64_t next_rate_milli; /**< limit that next_slot was computed from */
} rate_share_t;

/** Changes that a notice makes, as flags. */
typedef enum restriction_change {
	RESTRICTION_RATE_LIMITED = 1 << 0, /**< a new limit, or one that differs
					      clearly from the last reported */
	RESTRICTION_RATE_FREED = 1 << 1,   /**< the limit is over */
	RESTRICTION_DRAINING = 1 << 2,	   /**< it begins to drain */
	RESTRICTION_BACKOFF = 1 << 3,	   /**< a back-off begins */
} restriction_change_t;

/** A response, as far as it matters for restrictions. */
typedef struct notice_context {
	bool ran;		 /**< the endpoint ran the request */
	struct timespec sent_at; /**< when the request was sent */
	struct timespec now;
} notice_context_t;

/** Apply the restrictions in a response.
 * @return flags of restriction_change_t */
unsigned int endpoint_restrictions_apply(endpoint_restrictions_t *,
    const endpoint_notice_t *, const notice_context_t *);

/** A change of an endpoint's rate limit, reported by another daemon. */
typedef struct rate_report {
	bool limited;
	int64_t rate_milli;
	struct timespec at; /**< when the limit was named, or the request sent
			       whose response named none; its clock may differ
			       a little */
} rate_report_t;

/** Apply it.
 * @return flags of restriction_change_t */
unsigned int endpoint_restrictions_apply_report(
    endpoint_restrictions_t *, const rate_report_t *);

/** Milliseconds until the end of a back-off; 0: there is none. */
int64_t endpoint_restrictions_backoff_ms(
    const endpoint_restrictions_t *, struct timespec now);

/** Whether any is in force. */
bool
endpoint_restrictions_any(const endpoint_restrictions_t *, struct timespec now);

/** Requests that all daemons together may send to an endpoint in a slot of one
 * second. Over consecutive slots they add up to the rate. Below a minimum rate,
 * the quota is that of the minimum: responses to a few requests tell when the
 * limit ends.
 * @param endpoint_hash of its incarnation, so that the quotas of several
 * endpoints with rates below one fall into different slots */
uint32_t
rate_slot_quota(int64_t rate_milli, uint64_t endpoint_hash, int64_t slot);

#endif
