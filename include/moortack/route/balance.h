/**
 * @file
 * Which endpoint an attempt goes to: the allowed set first, then two choices by
 * expected wait, from reports that lag and this daemon's own counts.
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
	handle_t preferred_place; /**< preferred; HANDLE_NONE: all alike */
	handle_t prefix_endpoint; /**< likely holds the prompt's prefix */
	handle_t tried_endpoints[BALANCE_TRIED_MAX]; /**< already tried */
	uint32_t tried_count;
	struct timespec now;
} balance_query_t;

typedef enum balance_result {
	BALANCE_PICKED,
	BALANCE_NO_ENDPOINT, /**< no allowed endpoint serves the version */
	BALANCE_NO_CAPACITY, /**< all of them have as much as they can take */
} balance_result_t;

/** How an endpoint is chosen among those that are allowed and have room. */
typedef struct balance_policy {
	const char *name;
	handle_t (*choose)(const endpoint_table_t *, const handle_t *candidates,
	    uint32_t count, const balance_query_t *, rng_t *);
} balance_policy_t;

/** Two choices by expected wait, place-aware, with prefix locality. */
extern const balance_policy_t balance_two_choices;

/** Baselines to measure against. */
extern const balance_policy_t balance_random;
extern const balance_policy_t balance_least_reported;
extern const balance_policy_t balance_round_robin;

/** Pick an endpoint. @param out receives it with BALANCE_PICKED */
balance_result_t balance_pick(const endpoint_table_t *,
    const balance_policy_t *, const balance_query_t *, rng_t *, handle_t *out);

/** Whether the endpoint may be given new work of this kind at all. */
bool balance_allows(const endpoint_t *, const balance_query_t *);

/** An attempt was sent to the endpoint. */
void endpoint_attempt_started(endpoint_t *);

/** An attempt ended well. @param first_token_ms 0: not measured */
void endpoint_attempt_succeeded(
    endpoint_t *, double first_token_ms, struct timespec now);

/** An attempt ended without saying anything of the endpoint's health. */
void endpoint_attempt_ended(endpoint_t *);

/** An attempt failed. @return true when the endpoint is ejected for it */
bool endpoint_attempt_failed(endpoint_table_t *, handle_t, struct timespec now);

#endif
