#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "relay_candidates.h"

/* An endpoint in another zone costs priced bytes and time: as much as this
 * share of its slots being taken. */
#define ZONE_BONUS 0.12
/* What a KB to another zone is worth, in milliseconds of an endpoint's time.
 * With 4, the worth of the users' sheet where bytes are dear is 0.006 less;
 * where they are cheap nothing shows (20 days each). */
#define FAR_MS_PER_KB 8.0
#define BYTES_PER_KB 1024.0
/* Until a model's pace is measured: milliseconds for a token of the largest
 * one; the others by their price. */
#define SLOPE_UNKNOWN 0.06

/* Milliseconds that a token takes to be read by the model. */
static double
slope_of(const relay_request_t *req, size_t index)
{
	const relay_route_t *route = req->route;
	const relay_model_t *known =
	    relay_model_known(req, relay_model_name(req, index));
	double slope = known != NULL ? prefill_rate_slope(&known->pace) : -1;
	double most;

	if (slope >= 0)
		return slope;
	if (!req->arrival.any_model || route->models_len == 0)
		return SLOPE_UNKNOWN;
	most = route->models[route->models_len - 1].cost;
	return most > 0 ? SLOPE_UNKNOWN * route->models[index].cost / most
			: SLOPE_UNKNOWN;
}

/* What it costs that a shared token is read again, beyond the time of this
 * request's model: what moves to another endpoint is read there by the larger
 * models too, and what was read before was read for nothing. Without it the
 * worth of two of the users' sheets is 0.012 and 0.013 less (20 days each). */
static double
again_of(const relay_request_t *req)
{
	size_t models = req->arrival.any_model ? req->route->models_len : 0;

	return slope_of(req, models > 0 ? models - 1 : 0);
}

/* What the prompt shares with others: all but its last part. The caller's two
 * accounts of its tokens need not agree. */
static uint32_t
shared_tokens(const prefix_list_t *prefixes, uint32_t all)
{
	uint32_t shared =
	    prefixes->len > 1 ? prefixes->tokens[prefixes->len - 2] : 0;

	return shared < all ? shared : all;
}

static uint32_t
tokens_beyond(const arrival_t *arrival, uint32_t kept)
{
	return arrival->tokens_in > kept ? arrival->tokens_in - kept : 0;
}

/* Tokens that the endpoint keeps, as this daemon and the owner know. */
static uint32_t
told_kept(
    const prefix_list_t *prefixes, const asked_endpoint_t *told, uint32_t known)
{
	size_t count = told->kept < prefixes->len ? told->kept : prefixes->len;
	uint32_t tokens = count > 0 ? prefixes->tokens[count - 1] : 0;

	return tokens > known ? tokens : known;
}

/* Of what an owner told, more is known than of the others: those alone are
 * weighed.
 * @return how many there are */
static size_t
told_keep(const relay_request_t *req, size_t index, candidates_t *set)
{
	static bool kept[CANDIDATES_MAX];
	size_t count = 0;

	for (size_t i = 0; i < set->len; i++) {
		kept[i] = relay_ask_told(req, index, set->seen[i].hash) != NULL;
		count += kept[i];
	}
	if (count > 0)
		candidates_keep(set, kept);
	return count;
}

static void
prompt_see(const relay_request_t *req, const prefix_list_t *prefixes,
    size_t index, candidates_t *set)
{
	const relay_t *relay = req->relay;
	int64_t now_ms = timespec_to_ms(clock_boottime(relay->clock));
	double far_ms = (double)evbuffer_get_length(req->body) / BYTES_PER_KB *
	    FAR_MS_PER_KB;
	uint32_t shared = shared_tokens(prefixes, req->arrival.tokens_in);
	double slope = slope_of(req, index);
	double again = again_of(req);

	for (size_t i = 0; i < set->len; i++) {
		choose_candidate_t *one = &set->seen[i];
		const asked_endpoint_t *told =
		    relay_ask_told(req, index, one->hash);
		uint32_t kept = prefix_memory_kept(
		    &relay->prefixes, prefixes, one->hash, now_ms);
		uint32_t shared_unread;

		one->wait_ms = prefill_queue_wait_ms(
		    &set->endpoints[i]->unread, (double)now_ms);
		if (told != NULL) {
			one->wait_ms = fmax(one->wait_ms, told->wait_ms);
			kept = told_kept(prefixes, told, kept);
		}
		shared_unread = shared > kept ? shared - kept : 0;
		one->unread = tokens_beyond(&req->arrival, kept);
		one->own_ms = slope * (one->unread - shared_unread);
		one->shared_ms = (slope + again) * shared_unread;
		one->far_ms = one->same_zone ? 0 : far_ms;
	}
}

double
relay_read_ms(const relay_request_t *req)
{
	return slope_of(req, req->model_index) * req->arrival.tokens_in;
}

bool
relay_place(
    relay_request_t *req, size_t index, placement_t *out, const char **why)
{
	static candidates_t candidates;
	static prefix_list_t prefixes;
	const char *model = relay_model_name(req, index);
	uint64_t model_hash = XXH3_64bits(model, strlen(model));
	choose_wish_t wish = {.prompt = req->arrival.parts_len > 0,
	    .affinity = req->shared ^ model_hash,
	    .first_keeps = req->relay->gossip->unheard,
	    .dice = req->relay->rng->next(req->relay->rng),
	    .zone_bonus = ZONE_BONUS};
	const relay_model_t *known = relay_model_known(req, model);
	size_t chosen;

	*out = (placement_t){.first_ms = -1};
	if (!candidates_of(req, &candidates, why)) {
		out->cold = candidates.cold;
		return false;
	}
	if (wish.prompt) {
		prefix_list_fill(&prefixes, &req->arrival, model_hash);
		out->told = told_keep(req, index, &candidates);
		if (out->told > 0)
			wish.first_keeps = 0;
		prompt_see(req, &prefixes, index, &candidates);
	}
	/* What may crash it is kept from where most others run. */
	if (relay_suspected(req))
		wish.prompt = false;
	chosen = choose_endpoint(candidates.seen, candidates.len, &wish);
	if (chosen == SIZE_MAX)
		return false;
	out->endpoint = candidates.endpoints[chosen];
	out->candidates = candidates.len;
	out->cold = candidates.cold;
	out->load = candidates.seen[chosen].load;
	out->wait_ms = candidates.seen[chosen].wait_ms;
	out->read_ms =
	    fmin(slope_of(req, index) * candidates.seen[chosen].unread,
		PREFILL_QUEUE_PROMPT_MAX_MS);
	out->unread = candidates.seen[chosen].unread;
	if (known != NULL)
		out->first_ms = prefill_rate_ms(&known->pace, out->unread);
	if (out->first_ms >= 0)
		out->first_ms += out->wait_ms;
	return true;
}

static void
message_tell(
    relay_t *relay, const placement_t *place, const prefix_list_t *prefixes)
{
	gossip_message_t message = {.kind = GOSSIP_SENT,
	    .endpoint = place->endpoint->short_hash,
	    .read_ms = (uint32_t)place->read_ms};

	if (!gossip_worth(relay->gossip, place->read_ms))
		return;
	relay_gossip_prefixes(&message, prefixes);
	gossip_tell(relay->gossip, place->endpoint->facts.zone, &message);
}

void
relay_place_note(relay_request_t *req, const placement_t *place, size_t index)
{
	static prefix_list_t prefixes;
	const char *model = relay_model_name(req, index);
	relay_t *relay = req->relay;
	int64_t now_ms = timespec_to_ms(clock_boottime(relay->clock));

	if (req->arrival.parts_len == 0)
		return;
	prefix_list_fill(
	    &prefixes, &req->arrival, XXH3_64bits(model, strlen(model)));
	prefix_memory_note(
	    &relay->prefixes, &prefixes, place->endpoint->hash, now_ms);
	prefill_queue_add(&place->endpoint->unread, &req->attempt.ticket,
	    place->read_ms, (double)now_ms);
	message_tell(relay, place, &prefixes);
}
