#include "moortack/route/balance.h"

#include <string.h>

#define CANDIDATES_MAX 1024
/* Of its slots; what exceeds the slots queues at the endpoint. */
#define OVERCOMMIT_PERCENT 150
#define REMOTE_FACTOR 1.3 /* another place costs a round trip */
#define PREFIX_FACTOR 0.6 /* a cached prefix saves the prefill */
#define DEFAULT_FIRST_TOKEN_MS 20.0
#define SMOOTHING 0.2
#define SLOW_START_MS 5000
#define SLOW_START_FACTOR 4.0
#define EJECT_FAILURES 3
#define EJECT_BASE_MS 1000
#define EJECT_MAX_MS 30000
#define EJECT_POOL_PERCENT 50 /* at most this share of a pool is ejected */
#define ALL_PERCENT 100

bool
balance_allows(const endpoint_t *endpoint, const balance_query_t *query)
{
	const organisation_t *organisation =
	    config_organisation_at(query->config, query->organisation);
	const version_t *version =
	    config_version_at(query->config, query->version);

	return endpoint->state == ENDPOINT_LIVE && organisation != NULL &&
	    version != NULL && version->state != VERSION_WITHDRAWN &&
	    version->state != VERSION_STAGED &&
	    endpoint_serves(endpoint, query->version) &&
	    organisation_allows_version(organisation, query->version) &&
	    organisation_allows_place(organisation, endpoint->place);
}

/* Requests at the endpoint: of other daemons as of the last report, and those
 * in flight from this daemon. */
static uint32_t
endpoint_load(const endpoint_t *endpoint)
{
	uint32_t others =
	    endpoint->reported_load > endpoint->in_flight_at_report
	    ? endpoint->reported_load - endpoint->in_flight_at_report
	    : 0;

	return others + endpoint->in_flight;
}

static bool
endpoint_full(const endpoint_t *endpoint)
{
	return endpoint_load(endpoint) * ALL_PERCENT >=
	    endpoint->slots * OVERCOMMIT_PERCENT;
}

static bool
ejection_in_effect(const endpoint_t *endpoint, struct timespec now)
{
	if (!endpoint->ejected)
		return false;
	return endpoint->probing ||
	    timespec_ms_between(endpoint->ejected_until, now) < 0;
}

static bool
endpoint_was_tried(const balance_query_t *query, handle_t handle)
{
	for (uint32_t i = 0; i < query->tried_count; i++) {
		if (query->tried_endpoints[i] == handle)
			return true;
	}
	return false;
}

static double
slow_start_factor(const endpoint_t *endpoint, struct timespec now)
{
	int64_t age = timespec_ms_between(endpoint->slow_start_at, now);

	if (age >= SLOW_START_MS || age < 0)
		return 1.0;
	return 1.0 +
	    (SLOW_START_FACTOR - 1.0) * (double)(SLOW_START_MS - age) /
	    SLOW_START_MS;
}

/* Expected wait, from the requests that this daemon has in flight. The load of
 * other daemons is left out: reports of it are as old as a request is long, and
 * all daemons would act on the same ones (docs/MEASUREMENTS.md, balance). */
static double
endpoint_cost(const endpoint_table_t *table, handle_t handle,
    const balance_query_t *query)
{
	const endpoint_t *endpoint = endpoint_table_at(table, handle);
	double first = endpoint->first_token_ms > 0 ? endpoint->first_token_ms
						    : DEFAULT_FIRST_TOKEN_MS;
	double cost =
	    first * (endpoint->in_flight + 1) / (double)endpoint->slots;

	if (endpoint->place != query->preferred_place &&
	    query->preferred_place != HANDLE_NONE)
		cost *= REMOTE_FACTOR;
	if (handle == query->prefix_endpoint)
		cost *= PREFIX_FACTOR;
	return cost * slow_start_factor(endpoint, query->now);
}

static bool
prefix_endpoint_usable(const endpoint_table_t *table,
    const handle_t *candidates, uint32_t count, const balance_query_t *query)
{
	const endpoint_t *endpoint =
	    endpoint_table_at(table, query->prefix_endpoint);

	/* A cached prefix isn't worth a wait for a slot, so a loaded endpoint
	 * loses its sessions to others. */
	if (endpoint == NULL || endpoint_load(endpoint) >= endpoint->slots)
		return false;
	for (uint32_t i = 0; i < count; i++) {
		if (candidates[i] == query->prefix_endpoint)
			return true;
	}
	return false;
}

/* The endpoint with the prompt's prefix is only a third candidate: choosing it
 * whenever it isn't full doubled the 99th percentile. */
static handle_t
two_choices(const endpoint_table_t *table, const handle_t *candidates,
    uint32_t count, const balance_query_t *query, rng_t *rng)
{
	handle_t best = candidates[rng_below(rng, count)];
	handle_t other = candidates[rng_below(rng, count)];

	if (endpoint_cost(table, other, query) <
	    endpoint_cost(table, best, query))
		best = other;
	if (prefix_endpoint_usable(table, candidates, count, query) &&
	    endpoint_cost(table, query->prefix_endpoint, query) <=
		endpoint_cost(table, best, query))
		best = query->prefix_endpoint;
	return best;
}

static handle_t
random_choice(const endpoint_table_t *table, const handle_t *candidates,
    uint32_t count, const balance_query_t *query, rng_t *rng)
{
	(void)table;
	(void)query;
	return candidates[rng_below(rng, count)];
}

static handle_t
least_reported(const endpoint_table_t *table, const handle_t *candidates,
    uint32_t count, const balance_query_t *query, rng_t *rng)
{
	handle_t best = candidates[0];

	(void)query;
	(void)rng;
	for (uint32_t i = 1; i < count; i++) {
		if (endpoint_table_at(table, candidates[i])->reported_load <
		    endpoint_table_at(table, best)->reported_load)
			best = candidates[i];
	}
	return best;
}

/* The state of the random number generator serves as the counter;
 * bench/balance.c has a generator for each daemon. */
static handle_t
round_robin(const endpoint_table_t *table, const handle_t *candidates,
    uint32_t count, const balance_query_t *query, rng_t *rng)
{
	(void)table;
	(void)query;
	return candidates[rng->state++ % count];
}

const balance_policy_t balance_two_choices = {"two choices", two_choices};
const balance_policy_t balance_random = {"random", random_choice};
const balance_policy_t balance_least_reported = {
    "least reported", least_reported};
const balance_policy_t balance_round_robin = {"round robin", round_robin};

/* Collects the allowed endpoints that are neither full nor ejected.
 * @param include_tried also those that the request has tried
 * @param any_allowed set if an endpoint is allowed, even if it can't be used */
static uint32_t
candidates_collect(const endpoint_table_t *table, const balance_query_t *query,
    bool include_tried, handle_t *candidates, bool *any_allowed)
{
	uint32_t count = 0;

	for (handle_t h = 0; h < table->endpoints.len && count < CANDIDATES_MAX;
	     h++) {
		const endpoint_t *endpoint = endpoint_table_at(table, h);

		if (!balance_allows(endpoint, query) ||
		    (!include_tried && endpoint_was_tried(query, h)))
			continue;
		*any_allowed = true;
		if (!ejection_in_effect(endpoint, query->now) &&
		    !endpoint_full(endpoint))
			candidates[count++] = h;
	}
	return count;
}

balance_result_t
balance_pick(const endpoint_table_t *table, const balance_policy_t *policy,
    const balance_query_t *query, rng_t *rng, handle_t *out)
{
	handle_t candidates[CANDIDATES_MAX];
	bool any_allowed = false;
	uint32_t count =
	    candidates_collect(table, query, false, candidates, &any_allowed);

	if (!any_allowed && query->tried_count > 0)
		count = candidates_collect(
		    table, query, true, candidates, &any_allowed);
	if (count == 0)
		return any_allowed ? BALANCE_NO_CAPACITY : BALANCE_NO_ENDPOINT;
	*out = policy->choose(table, candidates, count, query, rng);
	return BALANCE_PICKED;
}

void
endpoint_attempt_started(endpoint_t *endpoint)
{
	endpoint->in_flight++;
	if (endpoint->ejected)
		endpoint->probing = true;
}

void
endpoint_attempt_ended(endpoint_t *endpoint)
{
	if (endpoint->in_flight > 0)
		endpoint->in_flight--;
	endpoint->probing = false;
}

void
endpoint_attempt_succeeded(
    endpoint_t *endpoint, double first_token_ms, struct timespec now)
{
	endpoint_attempt_ended(endpoint);
	if (endpoint->ejected)
		endpoint->slow_start_at = now;
	endpoint->ejected = false;
	endpoint->failures = 0;
	endpoint->ejections = 0;
	if (first_token_ms <= 0)
		return;
	if (endpoint->first_token_ms <= 0)
		endpoint->first_token_ms = first_token_ms;
	endpoint->first_token_ms +=
	    SMOOTHING * (first_token_ms - endpoint->first_token_ms);
}

/* Whether one more endpoint of the pool may be ejected; a pool is the live
 * endpoints that serve the same versions. */
static bool
pool_may_eject(const endpoint_table_t *table, const endpoint_t *endpoint)
{
	uint32_t pool_size = 0;
	uint32_t ejected = 0;

	for (handle_t h = 0; h < table->endpoints.len; h++) {
		const endpoint_t *other = endpoint_table_at(table, h);

		if (other->state != ENDPOINT_LIVE ||
		    memcmp(&other->versions, &endpoint->versions,
			sizeof(other->versions)) != 0)
			continue;
		pool_size++;
		ejected += other->ejected;
	}
	return (ejected + 1) * ALL_PERCENT <= pool_size * EJECT_POOL_PERCENT;
}

bool
endpoint_attempt_failed(
    endpoint_table_t *table, handle_t handle, struct timespec now)
{
	endpoint_t *endpoint = endpoint_table_at(table, handle);
	bool was_ejected = endpoint->ejected;
	int64_t duration_ms;

	endpoint_attempt_ended(endpoint);
	if (++endpoint->failures < EJECT_FAILURES)
		return false;
	if (!was_ejected && !pool_may_eject(table, endpoint))
		return false;
	duration_ms = EJECT_BASE_MS
	    << (endpoint->ejections < 5 ? endpoint->ejections : 5);
	endpoint->ejections++;
	endpoint->ejected = true;
	endpoint->ejected_until = timespec_add_ms(
	    now, duration_ms < EJECT_MAX_MS ? duration_ms : EJECT_MAX_MS);
	return !was_ejected;
}
