#include <string.h>
#include <xxhash.h>

#include "relay_candidates.h"

/* Timeout for responses: a round trip between zones, and a VM that is busy for
 * a moment; short compared with the objectives of streams. If an owner is down,
 * the request waits for as long, and the endpoint is then chosen by what this
 * daemon knows itself. */
#define RESPONSE_TIMEOUT_MS 20
#define US_PER_MS 1000

void
relay_gossip_add_parts(gossip_message_t *message, const prefix_list_t *prefixes)
{
	while (message->parts_len + 1 < prefixes->len &&
	    message->parts_len < GOSSIP_MESSAGE_PARTS_MAX) {
		message->parts[message->parts_len] =
		    prefixes->parts[message->parts_len];
		message->parts_len++;
	}
}

void
relay_query_end(relay_request_t *req)
{
	if (req->owner_query.timer != NULL)
		event_free(req->owner_query.timer);
	req->owner_query = (owner_query_t){0};
}

const queried_endpoint_t *
relay_query_result(const relay_request_t *req, size_t model, uint64_t endpoint)
{
	const owner_query_t *query = &req->owner_query;

	if (query->number == 0 || query->model_index != model)
		return NULL;
	for (size_t i = 0; i < query->len; i++) {
		if (query->endpoints[i].hash == endpoint &&
		    query->endpoints[i].responded)
			return &query->endpoints[i];
	}
	return NULL;
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	relay_request_t *req = arg;

	(void)fd;
	(void)what;
	req->owner_query.pending = 0;
	attempt_begin(req);
}

/* This daemon is the owner. The prompts that it knows of are considered with
 * all endpoints. */
static void
own_estimate(const relay_t *relay, const endpoint_t *endpoint,
    const prefix_list_t *prefixes, queried_endpoint_t *queried)
{
	queried->responded = true;
	queried->listed = relay_contents_match(
	    relay, endpoint, prefixes, &queried->cached_prefixes);
}

/* Queries the owner of one endpoint. If this daemon is the owner itself, its
 * own estimates count as the response. */
static void
owner_query(
    relay_request_t *req, endpoint_t *endpoint, const prefix_list_t *prefixes)
{
	owner_query_t *query = &req->owner_query;
	queried_endpoint_t *queried = &query->endpoints[query->len++];
	gossip_message_t message = {.kind = GOSSIP_QUERY,
	    .endpoint_hash = endpoint->short_hash,
	    .query_id = query->number};

	relay_gossip_add_parts(&message, prefixes);
	*queried = (queried_endpoint_t){.hash = endpoint->hash};
	if (gossip_query(req->relay->gossip, endpoint->info.zone, &message)) {
		query->pending++;
		return;
	}
	own_estimate(req->relay, endpoint, prefixes, queried);
	relay_price_observe_response(req->relay, endpoint);
}

static bool
responses_wait(relay_request_t *req)
{
	struct timeval time = {0, RESPONSE_TIMEOUT_MS * US_PER_MS};
	owner_query_t *query = &req->owner_query;

	if (query->pending == 0)
		return false;
	query->timer = event_new(req->relay->base, -1, 0, on_timeout, req);
	if (query->timer != NULL && event_add(query->timer, &time) == 0)
		return true;
	query->pending = 0;
	return false;
}

static uint32_t
next_query_id(relay_t *relay)
{
	if (++relay->last_query_number == 0)
		relay->last_query_number++;
	return relay->last_query_number;
}

bool
relay_query_owners(relay_request_t *req)
{
	static candidates_t candidates;
	static prefix_list_t prefixes;
	relay_t *relay = req->relay;
	const char *model = relay_model_name(req, req->model_index);
	uint64_t model_hash = XXH3_64bits(model, strlen(model));
	const choice_criteria_t criteria = {
	    .affinity = req->shared_prefix_hash ^ model_hash};
	size_t ranked[OWNERS_QUERIED_MAX];
	const char *why;
	size_t len;

	/* The owners were queried before: they have responded, or the timeout
	 * has passed. */
	if (req->owner_query.number != 0 || req->arrival.parts_len == 0 ||
	    !gossip_may_query(relay->gossip, relay_prefill_ms(req)) ||
	    !candidates_collect(req, &candidates, &why))
		return false;
	prefix_list_fill(&prefixes, &req->arrival, model_hash);
	req->owner_query = (owner_query_t){
	    .number = next_query_id(relay), .model_index = req->model_index};
	len = endpoint_rank_by_affinity(candidates.inputs, candidates.len,
	    &criteria, ranked, OWNERS_QUERIED_MAX);
	for (size_t i = 0; i < len; i++)
		owner_query(req, candidates.endpoints[ranked[i]], &prefixes);
	return responses_wait(req);
}

/* Another daemon has sent a prompt to an endpoint. */
static void
on_prompt_sent(void *arg, const gossip_message_t *message)
{
	relay_t *relay = arg;
	int64_t now_ms = timespec_to_ms(clock_boottime(relay->clock));
	endpoint_t *endpoint = endpoint_set_find_by_short_hash(
	    relay->endpoints, message->endpoint_hash);
	prefix_list_t prefixes;

	if (endpoint == NULL)
		return;
	prefix_list_fill_hashes(&prefixes, message->parts, message->parts_len);
	prefix_index_add(
	    &relay->prefix_index, &prefixes, endpoint->hash, now_ms);
	/* Before the prompt is added: its own prefill is no wait. */
	relay_price_observe_endpoint(relay, endpoint);
	prefill_queue_add_remote(
	    &endpoint->prefill_queue, message->prefill_ms, (double)now_ms);
}

static bool
on_query(void *arg, const gossip_message_t *query, gossip_message_t *response)
{
	relay_t *relay = arg;
	int64_t now_ms = timespec_to_ms(clock_boottime(relay->clock));
	endpoint_t *endpoint = endpoint_set_find_by_short_hash(
	    relay->endpoints, query->endpoint_hash);
	prefix_list_t prefixes;

	if (endpoint == NULL)
		return false;
	prefix_list_fill_hashes(&prefixes, query->parts, query->parts_len);
	response->listed = relay_contents_match(
	    relay, endpoint, &prefixes, &response->cached_prefixes);
	if (response->listed)
		stats_add(&relay->stats, STAT_CONTENTS_ANSWERS, 1);
	else
		response->cached_prefixes = (uint32_t)prefix_index_match_count(
		    &relay->prefix_index, &prefixes, endpoint->hash, now_ms);
	response->queue_wait_ms = (uint32_t)prefill_queue_wait_ms(
	    &endpoint->prefill_queue, (double)now_ms);
	relay_price_observe_endpoint(relay, endpoint);
	response->price_milli = relay_price_milli(relay, endpoint);
	return true;
}

static relay_request_t *
querying_request_find(const relay_t *relay, uint32_t query_id)
{
	for (relay_request_t *req = relay->requests; req != NULL;
	     req = req->next) {
		if (req->owner_query.pending > 0 &&
		    req->owner_query.number == query_id)
			return req;
	}
	return NULL;
}

static void
on_response(void *arg, const gossip_message_t *response)
{
	relay_request_t *req = querying_request_find(arg, response->query_id);

	relay_price_receive(
	    arg, response->endpoint_hash, response->price_milli);
	if (req == NULL)
		return;
	for (size_t i = 0; i < req->owner_query.len; i++) {
		queried_endpoint_t *queried = &req->owner_query.endpoints[i];

		if ((uint32_t)queried->hash != response->endpoint_hash ||
		    queried->responded)
			continue;
		queried->responded = true;
		queried->queue_wait_ms = response->queue_wait_ms;
		queried->cached_prefixes = response->cached_prefixes;
		queried->listed = response->listed;
		req->owner_query.pending--;
	}
	if (req->owner_query.pending == 0)
		attempt_begin(req);
}

const gossip_ops_t relay_gossip_ops = {on_prompt_sent, on_query, on_response,
    relay_quarantine_receive, relay_rate_limit_receive, relay_brittle_receive,
    relay_reach_query, relay_reach_report};
