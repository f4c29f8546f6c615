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
relay_gossip_prefixes(gossip_message_t *message, const prefix_list_t *prefixes)
{
	while (message->prefixes_len + 1 < prefixes->len &&
	    message->prefixes_len < GOSSIP_MESSAGE_PREFIXES_MAX) {
		message->prefixes[message->prefixes_len] =
		    prefixes->hashes[message->prefixes_len];
		message->prefixes_len++;
	}
}

void
relay_ask_end(relay_request_t *req)
{
	if (req->question.limit != NULL)
		event_free(req->question.limit);
	req->question = (placing_question_t){0};
}

const asked_endpoint_t *
relay_ask_told(const relay_request_t *req, size_t model, uint64_t endpoint)
{
	const placing_question_t *question = &req->question;

	if (question->number == 0 || question->model != model)
		return NULL;
	for (size_t i = 0; i < question->len; i++) {
		if (question->of[i].hash == endpoint && question->of[i].told)
			return &question->of[i];
	}
	return NULL;
}

static void
on_limit(evutil_socket_t fd, short what, void *arg)
{
	relay_request_t *req = arg;

	(void)fd;
	(void)what;
	req->question.open = 0;
	attempt_begin(req);
}

/* Ask one owner; what this daemon keeps itself is told at once. */
static void
one_ask(relay_request_t *req, const endpoint_t *endpoint,
    const prefix_list_t *prefixes)
{
	placing_question_t *question = &req->question;
	asked_endpoint_t *asked = &question->of[question->len++];
	gossip_message_t message = {.kind = GOSSIP_QUESTION,
	    .endpoint = endpoint->short_hash,
	    .number = question->number};

	relay_gossip_prefixes(&message, prefixes);
	*asked = (asked_endpoint_t){.hash = endpoint->hash};
	if (gossip_ask(req->relay->gossip, endpoint->facts.zone, &message))
		question->open++;
	else
		asked->told = true;
}

static bool
answers_wait(relay_request_t *req)
{
	struct timeval time = {0, ANSWER_MS * US_PER_MS};
	placing_question_t *question = &req->question;

	if (question->open == 0)
		return false;
	question->limit = event_new(req->relay->base, -1, 0, on_limit, req);
	if (question->limit != NULL && event_add(question->limit, &time) == 0)
		return true;
	question->open = 0;
	return false;
}

static uint32_t
number_next(relay_t *relay)
{
	if (++relay->questions == 0)
		relay->questions++;
	return relay->questions;
}

bool
relay_ask(relay_request_t *req)
{
	static candidates_t candidates;
	static prefix_list_t prefixes;
	relay_t *relay = req->relay;
	const char *model = relay_model_name(req, req->model_index);
	uint64_t model_hash = XXH3_64bits(model, strlen(model));
	const choose_wish_t wish = {.affinity = req->shared ^ model_hash};
	size_t first[ASKED_MAX];
	const char *why;
	size_t len;

	/* Asked already: the answers came, or are not waited for any longer. */
	if (req->question.number != 0 || req->arrival.parts_len == 0 ||
	    !gossip_may_ask(relay->gossip, relay_read_ms(req)) ||
	    !candidates_of(req, &candidates, &why))
		return false;
	prefix_list_fill(&prefixes, &req->arrival, model_hash);
	req->question = (placing_question_t){
	    .number = number_next(relay), .model = req->model_index};
	len = choose_first(
	    candidates.seen, candidates.len, &wish, first, ASKED_MAX);
	for (size_t i = 0; i < len; i++)
		one_ask(req, candidates.endpoints[first[i]], &prefixes);
	return answers_wait(req);
}

/* Another daemon has sent a prompt. */
static void
on_sent(void *arg, const gossip_message_t *message)
{
	relay_t *relay = arg;
	int64_t now_ms = timespec_to_ms(clock_boottime(relay->clock));
	endpoint_t *endpoint =
	    endpoint_set_find_short(relay->endpoints, message->endpoint);
	prefix_list_t prefixes = {.len = message->prefixes_len};

	if (endpoint == NULL)
		return;
	memcpy(prefixes.hashes, message->prefixes,
	    message->prefixes_len * sizeof(message->prefixes[0]));
	prefix_memory_note(&relay->prefixes, &prefixes, endpoint->hash, now_ms);
	prefill_queue_extend(
	    &endpoint->unread, message->read_ms, (double)now_ms);
}

static bool
on_asked(void *arg, const gossip_message_t *question, gossip_message_t *answer)
{
	relay_t *relay = arg;
	int64_t now_ms = timespec_to_ms(clock_boottime(relay->clock));
	const endpoint_t *endpoint =
	    endpoint_set_find_short(relay->endpoints, question->endpoint);
	prefix_list_t prefixes = {.len = question->prefixes_len};

	if (endpoint == NULL)
		return false;
	memcpy(prefixes.hashes, question->prefixes,
	    question->prefixes_len * sizeof(question->prefixes[0]));
	answer->kept = (uint32_t)prefix_memory_count(
	    &relay->prefixes, &prefixes, endpoint->hash, now_ms);
	answer->wait_ms =
	    (uint32_t)prefill_queue_wait_ms(&endpoint->unread, (double)now_ms);
	return true;
}

static relay_request_t *
asking_find(const relay_t *relay, uint32_t number)
{
	for (relay_request_t *req = relay->first; req != NULL;
	     req = req->next) {
		if (req->question.open > 0 && req->question.number == number)
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
	for (size_t i = 0; i < req->question.len; i++) {
		asked_endpoint_t *asked = &req->question.of[i];

		if ((uint32_t)asked->hash != answer->endpoint || asked->told)
			continue;
		asked->told = true;
		asked->wait_ms = answer->wait_ms;
		asked->kept = answer->kept;
		req->question.open--;
	}
	if (req->question.open == 0)
		attempt_begin(req);
}

const gossip_ops_t relay_gossip_ops = {
    on_sent, on_asked, on_answered, relay_quarantine_told};
