/**
 * @file
 * When to request an endpoint's list and when its events: a state machine
 * without a clock or I/O. Times are in milliseconds; random numbers are passed
 * in.
 */
#ifndef MOORTACK_KV_CACHE_CONTENTS_FOLLOW_H
#define MOORTACK_KV_CACHE_CONTENTS_FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "moortack/kv_cache/endpoint_contents.h"

/** For how long an endpoint holds a call for events without any. */
#define FOLLOW_EVENTS_WAIT_MS 1000
/** How long after the last successful call contents are used. It exceeds the
 * time between two calls, so that one that fails is repeated within it. */
#define FOLLOW_FRESH_MS 3000
/** First lists are spread over this time, since a list delays the work of its
 * endpoint. */
#define FOLLOW_SPREAD_MS 1000
/** The same after a start of this daemon: after a power loss all endpoints are
 * to be known within a second. */
#define FOLLOW_START_SPREAD_MS 500

typedef enum follow_action {
	FOLLOW_WAIT,   /**< do nothing until at_ms */
	FOLLOW_LIST,   /**< request the list now */
	FOLLOW_EVENTS, /**< request the events since a number now */
	FOLLOW_STOP,   /**< the endpoint does not offer the calls */
} follow_action_t;

/** The next step. */
typedef struct follow_step {
	follow_action_t action;
	int64_t at_ms;	/**< wait: until then; INT64_MAX: a call is in
			   progress */
	uint64_t since; /**< events: number of the first one */
} follow_step_t;

/** How a call failed. */
typedef enum follow_failure {
	FOLLOW_REFUSED,	    /**< the endpoint did not run it: it has too many
			       calls, or is busy */
	FOLLOW_NO_RESPONSE, /**< none, or none that can be used */
	FOLLOW_INVALID,	    /**< the response can't be decoded */
	FOLLOW_NOT_OFFERED, /**< the endpoint does not know the call */
} follow_failure_t;

typedef struct contents_follow {
	bool calling; /**< a call is in progress */
	bool listing; /**< the last call was a list */
	bool needs_list;
	bool not_offered;
	uint32_t failures; /**< consecutive */
	int64_t next_ms;   /**< earliest time of the next call */
	int64_t sent_ms;   /**< last call */
	int64_t list_ms; /**< earliest time of the next list, since the last one
			    delayed the endpoint */
	int64_t success_ms;	/**< last successful call; negative: none */
	int64_t gap_ms;		/**< since when a list is needed though calls
				   succeed; negative: none is */
	uint32_t list_failures; /**< consecutive */
	uint64_t since;
} contents_follow_t;

/** @param spread_ms the first list is requested within this time */
void contents_follow_init(
    contents_follow_t *, int64_t now_ms, int64_t spread_ms, uint64_t random);
/** The action to take now. */
follow_step_t contents_follow_next(const contents_follow_t *, int64_t now_ms);
/** The call that contents_follow_next() named is sent. */
void contents_follow_sent(contents_follow_t *, int64_t now_ms);
/** It succeeded, and its report is applied.
 * @param result of a list CONTENTS_COMPLETE
 * @param next number from which events are requested next */
void contents_follow_succeeded(contents_follow_t *, contents_result_t result,
    uint64_t next, int64_t now_ms);
/** It failed. */
void contents_follow_failed(
    contents_follow_t *, follow_failure_t, int64_t now_ms, uint64_t random);
/** Whether the contents are recent enough to be used. */
bool contents_follow_is_fresh(const contents_follow_t *, int64_t now_ms);

#endif
