/**
 * @file
 * What an endpoint asks of its callers in the headers of its responses, and
 * what of it is in force. It knows no I/O and no clock.
 */
#ifndef MOORTACK_RELAY_ENDPOINT_RESTRICTIONS_H
#define MOORTACK_RELAY_ENDPOINT_RESTRICTIONS_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/** Requests a second are counted in thousandths. */
#define RATE_MILLI 1000

/** What a response says about the rate of requests. */
typedef enum rate_notice {
	RATE_NOT_LIMITED,
	RATE_LIMITED,
	RATE_UNREADABLE, /**< a limit is named, but not by a number */
} rate_notice_t;

/** What an endpoint says in one response. */
typedef struct endpoint_notice {
	rate_notice_t rate;
	int64_t rate_milli; /**< requests in 1,000 s, from all daemons together;
			       if limited */
} endpoint_notice_t;

/** What is in force. */
typedef struct endpoint_restrictions {
	bool rate_limited;
	int64_t rate_milli;		 /**< as in the notice */
	struct timespec rate_limited_at; /**< when it was last named */
} endpoint_restrictions_t;

/** Changes that a notice makes, as flags. */
typedef enum restriction_change {
	RESTRICTION_RATE_LIMITED = 1 << 0, /**< a new limit, or another one */
	RESTRICTION_RATE_FREED = 1 << 1,   /**< the limit is over */
} restriction_change_t;

/** A response, as far as it matters for restrictions. */
typedef struct notice_context {
	bool ran;		 /**< the endpoint ran the request */
	struct timespec sent_at; /**< when the request was sent */
	struct timespec now;
} notice_context_t;

/** Apply what a response of the endpoint says.
 * @return flags of restriction_change_t */
unsigned int endpoint_restrictions_apply(endpoint_restrictions_t *,
    const endpoint_notice_t *, const notice_context_t *);

#endif
