/**
 * @file
 * Chooses an endpoint among those that may serve a request. Pure functions,
 * without I/O or a clock.
 *
 * Requests with a prompt go to the endpoint with the lowest cost in
 * milliseconds of endpoint time: queueing, prefill and cross-zone transfer.
 * Requests without one go to the endpoint with the smallest share of its slots
 * in use.
 */
#ifndef MOORTACK_RELAY_CHOOSE_H
#define MOORTACK_RELAY_CHOOSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One endpoint that may be chosen. */
typedef struct endpoint_candidate {
	uint64_t hash; /**< of the endpoint's incarnation */
	double load;   /**< estimated number of requests that it holds */
	uint32_t slots;
	bool same_zone;
	bool ejected; /**< chosen only if all candidates are ejected */
	uint32_t uncached_tokens; /**< tokens of the prompt that aren't known to
				     be cached there */
	double queue_wait_ms;  /**< until it starts to prefill another prompt */
	double own_prefill_ms; /**< prefill of the uncached tokens that only
				  this request has */
	double shared_prefill_ms; /**< prefill of the uncached tokens that other
				     requests share, including what their
				     recomputation costs */
	double cross_zone_ms; /**< cost of sending the prompt to another zone */
} endpoint_candidate_t;

/** What the request requires of an endpoint. */
typedef struct choice_criteria {
	bool has_prompt;      /**< false: choose by the share of slots in use */
	uint64_t affinity;    /**< hash of the prompt's shared prefix */
	double first_cached;  /**< probability that the first endpoint by
				 affinity has the shared prefix cached because
				 other daemons sent it there, 0 to 1 */
	uint32_t tie_breaker; /**< random */
	double cross_zone_penalty; /**< added to the share of slots in use for
				      endpoints in other zones */
} choice_criteria_t;

/** Ranks the candidates by rendezvous hashing of the affinity hash; all daemons
 * get the same order. Ejected candidates are left out unless all are ejected.
 * @param out room for @p max indexes, the first one first
 * @return how many were filled in */
size_t endpoint_rank_by_affinity(const endpoint_candidate_t *, size_t len,
    const choice_criteria_t *, size_t *out, size_t max);

/** @return the chosen index, or SIZE_MAX if there are no candidates */
size_t endpoint_choose(
    const endpoint_candidate_t *, size_t len, const choice_criteria_t *);

#endif
