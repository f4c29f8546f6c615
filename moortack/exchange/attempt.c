#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../front/front_priv.h"
#include "common/http_call.h"
#include "common/http_server.h"
#include "common/log.h"

#define ANSWER_MAX (32 << 20)
#define STATUS_OK 200
#define STATUS_SERVER_ERROR 500
#define STATUS_UNAVAILABLE 503
#define RESUMES_MAX 4
#define RESUME_WAIT_MS 50
#define ATTEMPT_NAME_SIZE (EXCHANGE_ID_SIZE + 12)
#define NOT_RUN_HEADER "X-Not-Run"
/* Endpoints may have crashed under a request whose attempts broke off: after so
 * many it is not sent to one more by itself. */
#define BROKEN_MAX 2

static void
first_byte_note(exchange_t *exchange)
{
	struct timespec now = clock_elapsed(exchange->front->process.clock);

	if (exchange->first_ms < 0)
		exchange->first_ms =
		    timespec_ms_between(exchange->sent_at, now);
}

static void
session_header(exchange_t *exchange)
{
	front_t *front = exchange->front;
	char sealed[TOKEN_TEXT_MAX];

	memcpy(exchange->session.version, exchange->version,
	    sizeof(exchange->version));
	memcpy(exchange->session.endpoint, exchange->endpoint_address,
	    sizeof(exchange->endpoint_address));
	exchange->session.expires_ms =
	    timespec_ms(clock_wall(front->process.clock)) +
	    front->options->session_ttl_ms;
	if (session_seal(&front->keyring, &exchange->session, sealed))
		http_answer_header(exchange->req, SESSION_HEADER, sealed);
}

void
exchange_answer_headers(exchange_t *exchange)
{
	struct evhttp_request *req = exchange->req;

	session_header(exchange);
	http_answer_header(req, "Moortack-Version", exchange->version);
	http_answer_header(req, "Moortack-Place", exchange->endpoint_place);
	http_answer_header(req, "Moortack-Request", exchange->id);
	if (exchange->front->draining)
		http_answer_header(req, "Connection", "close");
}

static void
events_pass(exchange_t *exchange, struct evbuffer *in)
{
	struct evbuffer *out = evbuffer_new();

	if (out == NULL)
		return;
	sse_feed(&exchange->sse, in, out);
	if (evbuffer_get_length(out) > 0 && exchange->req != NULL) {
		if (!exchange->reply_started) {
			exchange->reply_started = true;
			exchange_answer_headers(exchange);
			http_answer_header(
			    exchange->req, "Content-Type", "text/event-stream");
			evhttp_send_reply_start(exchange->req, STATUS_OK, "OK");
		}
		evhttp_send_reply_chunk(exchange->req, out);
	}
	evbuffer_free(out);
}

static void
upstream_data(struct evhttp_request *upstream_req, void *arg)
{
	exchange_t *exchange = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(upstream_req);

	if (evhttp_request_get_response_code(upstream_req) != STATUS_OK)
		return;
	first_byte_note(exchange);
	if (exchange->stream) {
		events_pass(exchange, in);
		return;
	}
	if (exchange->answer == NULL)
		exchange->answer = evbuffer_new();
	if (exchange->answer != NULL &&
	    evbuffer_get_length(exchange->answer) < ANSWER_MAX)
		evbuffer_add_buffer(exchange->answer, in);
}

static void
upstream_done_stream(exchange_t *exchange)
{
	if (exchange->sse.done) {
		exchange_whole(exchange);
		return;
	}
	if (!exchange_resume(exchange))
		exchange_attempt_failed(
		    exchange, true, true, "the stream ended before its end");
}

/* A plain answer is whole when it parses to its end. */
static void
upstream_done_plain(exchange_t *exchange)
{
	size_t len = exchange->answer != NULL
	    ? evbuffer_get_length(exchange->answer)
	    : 0;
	json_t *body = len > 0
	    ? json_loadb(
		  (char *)evbuffer_pullup(exchange->answer, -1), len, 0, NULL)
	    : NULL;
	json_t *usage = json_object_get(body, "usage");

	if (body == NULL || (exchange->engine && usage == NULL)) {
		json_decref(body);
		exchange_attempt_failed(
		    exchange, true, true, "the answer was not whole");
		return;
	}
	exchange->tokens_in = (uint64_t)json_integer_value(
	    json_object_get(usage, "prompt_tokens"));
	exchange->sse.tokens = (uint64_t)json_integer_value(
	    json_object_get(usage, "completion_tokens"));
	if (json_is_number(json_object_get(usage, "confidence")))
		exchange->confidence =
		    json_number_value(json_object_get(usage, "confidence"));
	json_decref(body);
	exchange_whole(exchange);
}

static bool
upstream_refused(struct evhttp_request *upstream_req, int status)
{
	const char *not_run = evhttp_find_header(
	    evhttp_request_get_input_headers(upstream_req), NOT_RUN_HEADER);

	return status == STATUS_UNAVAILABLE && not_run != NULL;
}

static void
upstream_status(exchange_t *exchange, struct evhttp_request *upstream_req)
{
	int status = evhttp_request_get_response_code(upstream_req);
	char why[64];

	snprintf(why, sizeof(why), "the endpoint answered %d", status);
	exchange->status = status;
	if (status == STATUS_OK) {
		if (exchange->stream)
			upstream_done_stream(exchange);
		else
			upstream_done_plain(exchange);
		return;
	}
	if (exchange->phase == PHASE_RESUME) {
		exchange->phase = PHASE_SENT;
		exchange_attempt_failed(
		    exchange, true, true, "the cut stream is gone");
		return;
	}
	exchange_attempt_failed(exchange,
	    !upstream_refused(upstream_req, status),
	    status >= STATUS_SERVER_ERROR, why);
}

/* libevent calls this with NULL when the connection broke, and with status 0
 * when it never came about. */
static void
upstream_done(struct evhttp_request *upstream_req, void *arg)
{
	exchange_t *exchange = arg;
	front_t *front = exchange->front;
	upstream_t *upstream = exchange->upstream;
	bool connected = upstream_req == NULL ||
	    evhttp_request_get_response_code(upstream_req) != 0;

	exchange->upstream = NULL;
	exchange->upstream_req = NULL;
	if (upstream_req == NULL || !connected) {
		upstream_close(front, upstream);
		if (!connected && exchange->phase != PHASE_RESUME)
			exchange_attempt_failed(
			    exchange, false, true, "it cannot be reached");
		else if (!exchange_resume(exchange))
			exchange_attempt_failed(
			    exchange, true, true, "the connection broke");
		return;
	}
	if (exchange->idempotent)
		upstream_give(front, upstream);
	else
		upstream_close(front, upstream);
	upstream_status(exchange, upstream_req);
}

static char *
upstream_body(const exchange_t *exchange)
{
	json_t *body = json_copy(exchange->body);
	char *text;

	if (exchange->engine)
		json_object_set_new(
		    body, "model", json_string(exchange->version));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

/* Each attempt has a name of its own at the endpoint. */
static void
attempt_name(const exchange_t *exchange, char out[ATTEMPT_NAME_SIZE])
{
	snprintf(
	    out, ATTEMPT_NAME_SIZE, "%s.%u", exchange->id, exchange->attempts);
}

static struct evhttp_request *
upstream_request(exchange_t *exchange)
{
	struct evhttp_request *req =
	    evhttp_request_new(upstream_done, exchange);
	struct evkeyvalq *headers;
	char name[ATTEMPT_NAME_SIZE];

	if (req == NULL)
		return NULL;
	attempt_name(exchange, name);
	evhttp_request_set_chunked_cb(req, upstream_data);
	headers = evhttp_request_get_output_headers(req);
	evhttp_add_header(headers, "Host", exchange->endpoint_address);
	evhttp_add_header(headers, "X-Request-Id", name);
	evhttp_add_header(headers, "X-Organisation", exchange->organisation);
	return req;
}

static bool
upstream_start(exchange_t *exchange, enum evhttp_cmd_type method,
    const char *path, const char *body)
{
	front_t *front = exchange->front;
	struct evhttp_request *req = upstream_request(exchange);
	upstream_t *upstream = upstream_take(
	    front, exchange->endpoint_address, !exchange->idempotent);

	if (req == NULL || upstream == NULL) {
		if (req != NULL)
			evhttp_request_free(req);
		if (upstream != NULL)
			upstream_close(front, upstream);
		return false;
	}
	if (body != NULL) {
		evhttp_add_header(evhttp_request_get_output_headers(req),
		    "Content-Type", "application/json");
		evbuffer_add(
		    evhttp_request_get_output_buffer(req), body, strlen(body));
	}
	exchange->upstream = upstream;
	exchange->upstream_req = req;
	if (evhttp_make_request(upstream->conn, req, method, path) == 0)
		return true;
	exchange->upstream = NULL;
	exchange->upstream_req = NULL;
	upstream_close(front, upstream);
	return false;
}

bool
exchange_upstream_start(exchange_t *exchange)
{
	char *body = upstream_body(exchange);
	bool started;

	if (body == NULL)
		return false;
	exchange->ran = true;
	started =
	    upstream_start(exchange, EVHTTP_REQ_POST, exchange->path, body);
	if (!started)
		exchange->ran = false;
	free(body);
	return started;
}

/** A stream that is to be taken up after a while, if it still lives then. */
typedef struct resume_call {
	front_t *front;
	uint64_t tag;
} resume_call_t;

static void
resume_now(evutil_socket_t fd, short what, void *arg)
{
	const resume_call_t call = *(resume_call_t *)arg;
	exchange_t *exchange = front_exchange(call.front, call.tag);
	char name[ATTEMPT_NAME_SIZE];
	char path[128];

	(void)fd;
	(void)what;
	free(arg);
	if (exchange == NULL || exchange->phase != PHASE_RESUME ||
	    exchange->upstream_req != NULL)
		return;
	attempt_name(exchange, name);
	snprintf(path, sizeof(path), "/v1/streams/%s?from=%" PRIu64, name,
	    exchange->sse.tokens);
	if (!upstream_start(exchange, EVHTTP_REQ_GET, path, NULL))
		exchange_attempt_failed(
		    exchange, true, false, "no memory to resume it");
}

bool
exchange_resume(exchange_t *exchange)
{
	static const struct timeval wait = {0, RESUME_WAIT_MS * 1000};
	front_t *front = exchange->front;
	resume_call_t *call;

	if (!exchange->engine || !exchange->stream ||
	    exchange->resumes >= RESUMES_MAX)
		return false;
	call = malloc(sizeof(*call));
	if (call == NULL)
		return false;
	*call = (resume_call_t){front, exchange->tag};
	exchange->resumes++;
	exchange->phase = PHASE_RESUME;
	sse_restart(&exchange->sse);
	counter_add(front->process.counters, COUNTER_RESUMES, 1);
	timeline_add(front->process.timeline, EVENT_STREAM_RESUMED,
	    exchange->id, "after %" PRIu64 " tokens", exchange->sse.tokens);
	event_base_once(
	    front->process.base, -1, EV_TIMEOUT, resume_now, call, &wait);
	return true;
}

static void
cancel_done(void *arg, const http_reply_t *reply)
{
	(void)arg;
	(void)reply;
}

/* Free the engine's slot: nobody listens any more. */
static void
engine_cancel(exchange_t *exchange)
{
	http_address_t address;
	char name[ATTEMPT_NAME_SIZE];
	char path[96];
	const http_call_t call = {.address = &address,
	    .method = EVHTTP_REQ_DELETE,
	    .path = path,
	    .timeout_ms = (int)exchange->front->options->store_timeout_ms};

	if (!exchange->engine ||
	    !http_address_parse(exchange->endpoint_address, &address))
		return;
	attempt_name(exchange, name);
	snprintf(path, sizeof(path), "/v1/streams/%s", name);
	http_call_start(
	    exchange->front->process.base, &call, cancel_done, NULL);
}

void
exchange_upstream_cancel(exchange_t *exchange)
{
	upstream_t *upstream = exchange->upstream;

	if (exchange->upstream_req == NULL)
		return;
	evhttp_cancel_request(exchange->upstream_req);
	exchange->upstream_req = NULL;
	exchange->upstream = NULL;
	upstream_close(exchange->front, upstream);
	engine_cancel(exchange);
}

static bool
may_retry(exchange_t *exchange, bool ran)
{
	if (exchange->reply_started || !exchange_wanted(exchange) ||
	    exchange->attempts >= EXCHANGE_ATTEMPTS_MAX ||
	    exchange->front->stopping)
		return false;
	if (ran &&
	    (!exchange->idempotent || exchange->keyed ||
		exchange->broken >= BROKEN_MAX))
		return false;
	return retry_budget_acquire(&exchange->front->retries);
}

void
exchange_attempt_failed(
    exchange_t *exchange, bool ran, bool health, const char *why)
{
	front_t *front = exchange->front;
	struct timespec now = clock_elapsed(front->process.clock);

	timeline_add(front->process.timeline, EVENT_ATTEMPT_FAILED,
	    exchange->id, "%.47s", why);
	if (ran && health)
		exchange_learn_failure(exchange);
	if (health && exchange->endpoint != HANDLE_NONE) {
		if (endpoint_attempt_failed(
			&front->fleet, exchange->endpoint, now)) {
			counter_add(
			    front->process.counters, COUNTER_EJECTIONS, 1);
			timeline_add(front->process.timeline,
			    EVENT_ENDPOINT_EJECTED, exchange->endpoint_address,
			    "%s", why);
		}
		exchange->endpoint = HANDLE_NONE;
	}
	exchange_endpoint_release(exchange);
	exchange->ran = ran;
	exchange->broken += ran;
	if (exchange->answer != NULL)
		evbuffer_drain(
		    exchange->answer, evbuffer_get_length(exchange->answer));
	if (may_retry(exchange, ran)) {
		exchange->ran = false;
		exchange_try(exchange);
		return;
	}
	exchange_fail(exchange,
	    !ran			  ? ERR_NO_ENDPOINT
		: exchange->reply_started ? ERR_STREAM_CUT
		: exchange->keyed	  ? ERR_UNKNOWN_OUTCOME
					  : ERR_ENDPOINT_FAILED,
	    why);
}
