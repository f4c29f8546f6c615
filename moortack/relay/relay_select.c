#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "relay_candidates.h"

/* Added to the share of slots in use for an endpoint in another zone, since
 * bytes to it cost money and time. */
#define CROSS_ZONE_PENALTY 0.12
/* Cost of a KB sent to another zone, in milliseconds of endpoint time. Compared
 * with 4, this raises the benchmark score of the deployment with expensive
 * bytes by 0.006; in the one with cheap bytes there is no difference (over 20
 * days each). */
#define CROSS_ZONE_MS_PER_KB 8.0
#define BYTES_PER_KB 1024.0
/* Used until a model's prefill rate is measured: milliseconds per token of the
 * largest model; smaller models are scaled by their price. */
#define DEFAULT_MS_PER_TOKEN 0.06

/* The same for a model whose rate is not known yet. */
static double
default_ms_per_token(const relay_request_t *req, size_t index)
{
	const relay_route_t *route = req->route;
	double max_cost;

	if (!req->arrival.any_model || route->models_len == 0)
		return DEFAULT_MS_PER_TOKEN;
	max_cost = route->models[route->models_len - 1].cost;
	return max_cost > 0
	    ? DEFAULT_MS_PER_TOKEN * route->models[index].cost / max_cost
	    : DEFAULT_MS_PER_TOKEN;
}

/* Milliseconds that the model takes per prefilled token. */
static double
prefill_ms_per_token(const relay_request_t *req, size_t index)
{
	const service_model_t *known_model =
	    relay_model_find(req, relay_model_name(req, index));
	double ms_per_token = known_model != NULL
	    ? prefill_rate_ms_per_token(&known_model->prefill_rate)
	    : -1;

	return ms_per_token >= 0 ? ms_per_token
				 : default_ms_per_token(req, index);
}

/* Milliseconds from the start of the prefill to the response. A model without
 * samples, for example right after the start of the daemon, is estimated too:
 * otherwise long prompts would be sent to the largest model although it starts
 * its response after their objective.
 * @return negative: not known, as the caller chose the model */
static double
first_byte_ms(const relay_request_t *req, size_t index, uint32_t uncached)
{
	const service_model_t *known_model =
	    relay_model_find(req, relay_model_name(req, index));
	double ms = known_model != NULL
	    ? prefill_rate_first_byte_ms(&known_model->prefill_rate,
		  prefill_work(req->arrival.tokens_in, uncached))
	    : -1;

	if (ms >= 0 || known_model == NULL)
		return ms;
	return default_ms_per_token(req, index) * uncached;
}

/* Additional cost of recomputing a shared token, beyond the time of this
 * request's model: a prefix that moves to another endpoint is prefilled there
 * by the larger models too, and its prefill at the previous endpoint is wasted.
 * Raises the benchmark score of two deployments by 0.012 and 0.013, over 20
 * days each. */
static double
recompute_ms_per_token(const relay_request_t *req)
{
	size_t models = req->arrival.any_model ? req->route->models_len : 0;

	return prefill_ms_per_token(req, models > 0 ? models - 1 : 0);
}

/* Tokens of all parts of the prompt but the last, which are shared with other
 * requests. The token counts of the parts and of the prompt come from the
 * caller and need not agree. */
static uint32_t
shared_tokens(const prefix_list_t *prefixes, uint32_t total)
{
	uint32_t shared =
	    prefixes->len > 1 ? prefixes->tokens[prefixes->len - 2] : 0;

	return shared < total ? shared : total;
}

static uint32_t
uncached_tokens(const arrival_t *arrival, uint32_t cached)
{
	return arrival->tokens_in > cached ? arrival->tokens_in - cached : 0;
}

/* Parts that the owner was asked for. */
static size_t
queried_parts(const prefix_list_t *prefixes)
{
	size_t shared = prefixes->len > 0 ? prefixes->len - 1 : 0;

	return shared < GOSSIP_MESSAGE_PARTS_MAX ? shared
						 : GOSSIP_MESSAGE_PARTS_MAX;
}

/* Tokens cached at the endpoint, by the greater of the owner's and this
 * daemon's estimate. What the endpoint itself reports outweighs the prompts
 * that this daemon sent, except for recent ones and for parts that the owner
 * was not asked for. */
static uint32_t
reported_cached_tokens(const relay_t *relay, const prefix_list_t *prefixes,
    const queried_endpoint_t *report, uint32_t known)
{
	size_t count = report->cached_prefixes < prefixes->len
	    ? report->cached_prefixes
	    : prefixes->len;
	bool all = count >= queried_parts(prefixes);
	uint32_t tokens;

	if (report->listed)
		count = relay_contents_add_recent(
		    relay, report->hash, prefixes, (uint32_t)count);
	tokens = count > 0 ? prefixes->tokens[count - 1] : 0;
	return tokens > known || (report->listed && !all) ? tokens : known;
}

/* Estimates of an owner are better than those of this daemon: if there are any,
 * only the endpoints they are of remain candidates.
 * @return how many there are */
static size_t
candidates_filter_reported(
    const relay_request_t *req, size_t index, candidates_t *set)
{
	static bool keep[CANDIDATES_MAX];
	size_t count = 0;

	for (size_t i = 0; i < set->len; i++) {
		keep[i] =
		    relay_query_result(req, index, set->inputs[i].hash) != NULL;
		count += keep[i];
	}
	if (count > 0)
		candidates_filter(set, keep);
	return count;
}

static void
candidates_estimate(const relay_request_t *req, const prefix_list_t *prefixes,
    size_t index, candidates_t *set)
{
	const relay_t *relay = req->relay;
	int64_t now_ms = timespec_to_ms(clock_boottime(relay->clock));
	double cross_zone_ms = (double)evbuffer_get_length(req->body) /
	    BYTES_PER_KB * CROSS_ZONE_MS_PER_KB;
	uint32_t shared = shared_tokens(prefixes, req->arrival.tokens_in);
	double ms_per_token = prefill_ms_per_token(req, index);
	double recompute_ms = recompute_ms_per_token(req);

	for (size_t i = 0; i < set->len; i++) {
		endpoint_candidate_t *candidate = &set->inputs[i];
		const queried_endpoint_t *report =
		    relay_query_result(req, index, candidate->hash);
		uint32_t cached = prefix_index_cached_tokens(
		    &relay->prefix_index, prefixes, candidate->hash, now_ms);
		uint32_t shared_uncached;

		candidate->queue_wait_ms = prefill_queue_wait_ms(
		    &set->endpoints[i]->prefill_queue, (double)now_ms);
		if (report != NULL) {
			candidate->queue_wait_ms = fmax(
			    candidate->queue_wait_ms, report->queue_wait_ms);
			cached = reported_cached_tokens(
			    relay, prefixes, report, cached);
		}
		shared_uncached = shared > cached ? shared - cached : 0;
		candidate->uncached_tokens =
		    uncached_tokens(&req->arrival, cached);
		candidate->own_prefill_ms = ms_per_token *
		    (candidate->uncached_tokens - shared_uncached);
		candidate->shared_prefill_ms =
		    (ms_per_token + recompute_ms) * shared_uncached;
		candidate->cross_zone_ms =
		    candidate->same_zone ? 0 : cross_zone_ms;
	}
}

double
relay_prefill_ms(const relay_request_t *req)
{
	return prefill_ms_per_token(req, req->model_index) *
	    req->arrival.tokens_in;
}

bool
relay_choose_endpoint(
    relay_request_t *req, size_t index, placement_t *out, const char **why)
{
	static candidates_t candidates;
	static prefix_list_t prefixes;
	const char *model = relay_model_name(req, index);
	uint64_t model_hash = XXH3_64bits(model, strlen(model));
	choice_criteria_t criteria = {.has_prompt = req->arrival.parts_len > 0,
	    .affinity = req->shared_prefix_hash ^ model_hash,
	    .first_cached = req->relay->gossip->unreported_share,
	    .tie_breaker = req->relay->rng->next(req->relay->rng),
	    .cross_zone_penalty = CROSS_ZONE_PENALTY};
	size_t chosen;

	*out = (placement_t){.first_byte_ms = -1, .refusal = ERR_NO_ENDPOINT};
	if (!candidates_collect(req, &candidates, why)) {
		out->cold_skipped = candidates.cold_skipped;
		out->limited_skipped = candidates.limited_skipped;
		out->backoff_skipped = candidates.backoff_skipped;
		out->brittle_skipped = candidates.brittle_skipped;
		out->refusal = candidates_refusal(&candidates);
		return false;
	}
	if (criteria.has_prompt) {
		prefix_list_fill(&prefixes, &req->arrival, model_hash);
		out->owner_reports =
		    candidates_filter_reported(req, index, &candidates);
		if (out->owner_reports > 0)
			criteria.first_cached = 0;
		candidates_estimate(req, &prefixes, index, &candidates);
	}
	/* A request suspected of crashing endpoints avoids those with the most
	 * requests. */
	if (relay_request_suspected(req))
		criteria.has_prompt = false;
	chosen = endpoint_choose(candidates.inputs, candidates.len, &criteria);
	if (chosen == SIZE_MAX)
		return false;
	out->endpoint = candidates.endpoints[chosen];
	out->candidates = candidates.len;
	out->cold_skipped = candidates.cold_skipped;
	out->limited_skipped = candidates.limited_skipped;
	out->brittle_skipped = candidates.brittle_skipped;
	out->load = candidates.inputs[chosen].load;
	out->queue_wait_ms = candidates.inputs[chosen].queue_wait_ms;
	out->prefill_ms = fmin(prefill_ms_per_token(req, index) *
		candidates.inputs[chosen].uncached_tokens,
	    PREFILL_QUEUE_PROMPT_MAX_MS);
	out->uncached_tokens = candidates.inputs[chosen].uncached_tokens;
	out->first_byte_ms = first_byte_ms(req, index, out->uncached_tokens);
	if (out->first_byte_ms >= 0)
		out->first_byte_ms += out->queue_wait_ms;
	return true;
}

static void
prompt_publish(
    relay_t *relay, const placement_t *placement, const prefix_list_t *prefixes)
{
	gossip_message_t message = {.kind = GOSSIP_PROMPT_SENT,
	    .endpoint_hash = placement->endpoint->short_hash,
	    .prefill_ms = (uint32_t)placement->prefill_ms};

	if (!gossip_should_send(relay->gossip, placement->prefill_ms))
		return;
	relay_gossip_add_parts(&message, prefixes);
	gossip_send(relay->gossip, placement->endpoint->info.zone, &message);
}

void
relay_placement_record(
    relay_request_t *req, const placement_t *placement, size_t index)
{
	static prefix_list_t prefixes;
	const char *model = relay_model_name(req, index);
	relay_t *relay = req->relay;
	int64_t now_ms = timespec_to_ms(clock_boottime(relay->clock));

	if (req->arrival.parts_len == 0)
		return;
	prefix_list_fill(
	    &prefixes, &req->arrival, XXH3_64bits(model, strlen(model)));
	prefix_index_add(
	    &relay->prefix_index, &prefixes, placement->endpoint->hash, now_ms);
	prefill_queue_add(&placement->endpoint->prefill_queue,
	    &req->attempt.prefill_entry, placement->prefill_ms, (double)now_ms);
	/* It will not arrive, as far as this daemon knows. */
	if (relay_reach_verdict(req) != REACH_OK)
		return;
	prompt_publish(relay, placement, &prefixes);
}
