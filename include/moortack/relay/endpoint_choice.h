/**
 * @file
 * The choice of an endpoint among those that may take a request: a pure
 * decision, without I/O and clock.
 *
 * Prompts go where they cost least, in milliseconds of an endpoint's time: what
 * waits there, what has to be read, what the way is worth. Plain work goes
 * where the smallest part of the slots is taken.
 */
#ifndef MOORTACK_RELAY_ENDPOINT_CHOICE_H
#define MOORTACK_RELAY_ENDPOINT_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One endpoint that may be chosen. */
typedef struct endpoint_candidate {
	uint64_t hash; /**< of its id */
	double load;   /**< requests that it likely holds */
	uint32_t slots;
	bool same_zone;
	bool ejected;		  /**< taken only if all are */
	uint32_t uncached_tokens; /**< tokens that it isn't known to keep */
	double queue_wait_ms; /**< until it begins to read one more prompt */
	double
	    own_prefill_ms; /**< reading what is the request's own of these */
	double
	    shared_prefill_ms; /**< reading what others share, and its price */
	double cross_zone_ms;  /**< what the way there is worth */
} endpoint_candidate_t;

/** What the choice weighs. */
typedef struct choice_criteria {
	bool has_prompt;     /**< it has one; else it is plain work */
	uint64_t affinity;   /**< hash of what the prompt shares */
	double first_cached; /**< how likely the first endpoint in the order for
			       that keeps it, by the sends of others */
	uint32_t tie_breaker;	   /**< random, to break ties */
	double cross_zone_penalty; /**< of a slot share, for the same zone */
} choice_criteria_t;

/** The first ones in the order for what is shared, which all daemons see alike:
 * of those that are not ejected, if there are any.
 * @param out room for @p most indexes
 * @return how many were filled in */
size_t endpoint_rank_by_affinity(const endpoint_candidate_t *, size_t len,
    const choice_criteria_t *, size_t *out, size_t most);

/** @return the chosen index, or SIZE_MAX when there is none */
size_t endpoint_choose(
    const endpoint_candidate_t *, size_t len, const choice_criteria_t *);

#endif
