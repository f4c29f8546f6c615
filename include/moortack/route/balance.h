/**
 * @file
 * Chooses the endpoint of an attempt among those that are allowed and have
 * capacity: of two random candidates the one with the shorter expected wait.
 * Capacity is judged by load reports, which lag, and this daemon's own counts;
 * the expected wait by its own counts only.
 */
#ifndef MOORTACK_ROUTE_BALANCE_H
#define MOORTACK_ROUTE_BALANCE_H

#include "common/rng.h"
#include "moortack/route/fleet.h"

#define BALANCE_TRIED_MAX 4

typedef struct balance_query {
	const config_t *config;
	handle_t organisation;
	handle_t version;
	handle_t preferred_place; /**< HANDLE_NONE: no preference */
	handle_t prefix_endpoint; /**< likely has the prompt's prefix cached;
				     HANDLE_NONE: none */
	handle_t tried_endpoints[BALANCE_TRIED_MAX]; /**< by this request */
	uint32_t tried_count;
	struct timespec now;
} balance_query_t;

typedef enum balance_result {
	BALANCE_PICKED,
	BALANCE_NO_ENDPOINT, /**< no allowed endpoint serves the version */
	BALANCE_NO_CAPACITY, /**< all allowed endpoints are full or ejected */
} balance_result_t;

/** Chooses one of the candidates, which are allowed and have capacity. */
typedef struct balance_policy {
	const char *name;
	handle_t (*choose)(const endpoint_table_t *, const handle_t *candidates,
	    uint32_t count, const balance_query_t *, rng_t *);
} balance_policy_t;

/** The shorter expected wait of two random candidates and of the endpoint that
 * has the prompt's prefix cached. Prefers the caller's place. */
extern const balance_policy_t balance_two_choices;

/** Baselines that the benchmark compares with. */
extern const balance_policy_t balance_random;
extern const balance_policy_t balance_least_reported;
extern const balance_policy_t balance_round_robin;

/** Chooses an endpoint for an attempt. Endpoints already tried are chosen only
 * if no other is allowed. @param out receives it with BALANCE_PICKED */
balance_result_t balance_pick(const endpoint_table_t *,
    const balance_policy_t *, const balance_query_t *, rng_t *, handle_t *out);

/** Whether the endpoint is live, serves the version, and the organisation may
 * use both the version and the endpoint's place. Load and health don't count.
 */
bool balance_allows(const endpoint_t *, const balance_query_t *);

/** Records that an attempt was sent to the endpoint. */
void endpoint_attempt_started(endpoint_t *);

/** Records an attempt that succeeded, and ends an ejection.
 * @param first_token_ms milliseconds; 0: not measured */
void endpoint_attempt_succeeded(
    endpoint_t *, double first_token_ms, struct timespec now);

/** Records an attempt whose end says nothing about the endpoint's health. */
void endpoint_attempt_ended(endpoint_t *);

/** Records an attempt that failed.
 * @return true if it ejected an endpoint that wasn't ejected before */
bool endpoint_attempt_failed(endpoint_table_t *, handle_t, struct timespec now);

#endif
