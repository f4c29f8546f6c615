#include <string.h>
#include <xxhash.h>

#include "relay_candidates.h"

/* How long an answer is waited for: the way between zones and back, and a VM
 * that is busy for a moment; little against the objectives of streams. An owner
 * that is gone costs as much, and the choice is then made by what this daemon
 * knows itself. */
#define ANSWER_MS 20
#define US_PER_MS 1000

void
relay_gossip_add_prefixes(
    gossip_message_t *message, const prefix_list_t *prefixes)
{
	while (message->prefixes_len + 1 < prefixes->len &&
	    message->prefixes_len < GOSSIP_MESSAGE_PREFIXES_MAX) {
		message->prefixes[message->prefixes_len] =
		    prefixes->hashes[message->prefixes_len];
		message->prefixes_len++;
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
	const owner_query_t *question = &req->owner_query;

	if (question->number == 0 || question->model_index != model)
		return NULL;
	for (size_t i = 0; i < question->len; i++) {
		if (question->endpoints[i].hash == endpoint &&
		    question->endpoints[i].responded)
			return &question->endpoints[i];
	}
	return NULL;
}

static void
on_limit(evutil_socket_t fd, short what, void *arg)
{
	relay_request_t *req = arg;

	(void)fd;
	(void)what;
	req->owner_query.pending = 0;
	attempt_begin(req);
}

/* Ask one owner; what this daemon keeps itself is told at once. */
static void
one_ask(relay_request_t *req, const endpoint_t *endpoint,
    const prefix_list_t *prefixes)
{
	owner_query_t *question = &req->owner_query;
	queried_endpoint_t *asked = &question->endpoints[question->len++];
	gossip_message_t message = {.kind = GOSSIP_QUESTION,
	    .endpoint = endpoint->short_hash,
	    .number = question->number};

	relay_gossip_add_prefixes(&message, prefixes);
	*asked = (queried_endpoint_t){.hash = endpoint->hash};
	if (gossip_ask(req->relay->gossip, endpoint->facts.zone, &message))
		question->pending++;
	else
		asked->responded = true;
}

static bool
answers_wait(relay_request_t *req)
{
	struct timeval time = {0, ANSWER_MS * US_PER_MS};
	owner_query_t *question = &req->owner_query;

	if (question->pending == 0)
		return false;
	question->timer = event_new(req->relay->base, -1, 0, on_limit, req);
	if (question->timer != NULL && event_add(question->timer, &time) == 0)
		return true;
	question->pending = 0;
	return false;
}

static uint32_t
number_next(relay_t *relay)
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
	const choose_wish_t wish = {
	    .affinity = req->shared_prefix_hash ^ model_hash};
	size_t first[OWNERS_QUERIED_MAX];
	const char *why;
	size_t len;

	/* Asked already: the answers came, or are not waited for any longer. */
	if (req->owner_query.number != 0 || req->arrival.parts_len == 0 ||
	    !gossip_may_ask(relay->gossip, relay_prefill_ms(req)) ||
	    !candidates_of(req, &candidates, &why))
		return false;
	prefix_list_fill(&prefixes, &req->arrival, model_hash);
	req->owner_query = (owner_query_t){
	    .number = number_next(relay), .model_index = req->model_index};
	len = choose_first(
	    candidates.seen, candidates.len, &wish, first, OWNERS_QUERIED_MAX);
	for (size_t i = 0; i < len; i++)
		one_ask(req, candidates.endpoints[first[i]], &prefixes);
	return answers_wait(req);
}

/* Another daemon has sent a prompt. */
static void
on_sent(void *arg, const gossip_message_t *message)
{
	relay_t *relay = arg;
	int64_t now_ms = timespec_ms(clock_elapsed(relay->clock));
	endpoint_t *endpoint =
	    endpoint_set_find_short(relay->endpoints, message->endpoint);
	prefix_list_t prefixes = {.len = message->prefixes_len};

	if (endpoint == NULL)
		return;
	memcpy(prefixes.hashes, message->prefixes,
	    message->prefixes_len * sizeof(message->prefixes[0]));
	prefix_memory_note(
	    &relay->prefix_index, &prefixes, endpoint->hash, now_ms);
	prefill_queue_extend(
	    &endpoint->unread, message->read_ms, (double)now_ms);
}

static bool
on_asked(void *arg, const gossip_message_t *question, gossip_message_t *answer)
{
	relay_t *relay = arg;
	int64_t now_ms = timespec_ms(clock_elapsed(relay->clock));
	const endpoint_t *endpoint =
	    endpoint_set_find_short(relay->endpoints, question->endpoint);
	prefix_list_t prefixes = {.len = question->prefixes_len};

	if (endpoint == NULL)
		return false;
	memcpy(prefixes.hashes, question->prefixes,
	    question->prefixes_len * sizeof(question->prefixes[0]));
	answer->kept = (uint32_t)prefix_memory_count(
	    &relay->prefix_index, &prefixes, endpoint->hash, now_ms);
	answer->wait_ms =
	    (uint32_t)prefill_queue_wait_ms(&endpoint->unread, (double)now_ms);
	return true;
}

static relay_request_t *
asking_find(const relay_t *relay, uint32_t number)
{
	for (relay_request_t *req = relay->requests; req != NULL;
	     req = req->next) {
		if (req->owner_query.pending > 0 &&
		    req->owner_query.number == number)
			return req;
	}
	return NULL;
}

static void
on_answered(void *arg, const gossip_message_t *answer)
{
	relay_request_t *req = asking_find(arg, answer->number);

	if (req == NULL)
		return;
	for (size_t i = 0; i < req->owner_query.len; i++) {
		queried_endpoint_t *asked = &req->owner_query.endpoints[i];

		if ((uint32_t)asked->hash != answer->endpoint ||
		    asked->responded)
			continue;
		asked->responded = true;
		asked->queue_wait_ms = answer->wait_ms;
		asked->cached_prefixes = answer->kept;
		req->owner_query.pending--;
	}
	if (req->owner_query.pending == 0)
		attempt_begin(req);
}

const gossip_ops_t relay_gossip_ops = {
    on_sent, on_asked, on_answered, relay_quarantine_told};
