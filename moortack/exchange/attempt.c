#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../front/front_priv.h"
#include "common/http_call.h"
#include "common/http_request.h"
#include "common/log.h"

#define RESPONSE_MAX (32 << 20)
#define STATUS_OK 200
#define STATUS_SERVER_ERROR 500
#define STATUS_UNAVAILABLE 503
#define RESUMES_MAX 4
#define RESUME_DELAY_MS 50
#define UPSTREAM_REQUEST_ID_SIZE (EXCHANGE_ID_SIZE + 12)
#define NOT_RUN_HEADER "X-Not-Run"
/* An interrupted attempt may mean that the request crashed its endpoint: after
 * so many it is not retried automatically, so that it doesn't crash one more.
 */
#define INTERRUPTED_ATTEMPTS_MAX 2

static void
first_byte_record(exchange_t *exchange)
{
	struct timespec now = clock_boottime(exchange->front->process.clock);

	if (exchange->first_byte_ms < 0)
		exchange->first_byte_ms =
		    timespec_ms_between(exchange->sent_at, now);
}

static void
session_header_add(exchange_t *exchange)
{
	front_t *front = exchange->front;
	char sealed[TOKEN_TEXT_MAX];

	memcpy(exchange->session.version, exchange->version,
	    sizeof(exchange->version));
	memcpy(exchange->session.endpoint, exchange->endpoint_address,
	    sizeof(exchange->endpoint_address));
	exchange->session.expires_ms =
	    timespec_to_ms(clock_wall(front->process.clock)) +
	    front->options->session_ttl_ms;
	if (session_seal(&front->keyring, &exchange->session, sealed))
		http_response_add_header(exchange->req, SESSION_HEADER, sealed);
}

void
exchange_response_headers_add(exchange_t *exchange)
{
	http_request_t *req = exchange->req;

	session_header_add(exchange);
	http_response_add_header(req, "Moortack-Version", exchange->version);
	http_response_add_header(
	    req, "Moortack-Place", exchange->endpoint_place);
	http_response_add_header(req, "Moortack-Request", exchange->id);
}

static void
events_forward(exchange_t *exchange, struct evbuffer *in)
{
	struct evbuffer *out = evbuffer_new();

	if (out == NULL)
		return;
	sse_feed(&exchange->sse, in, out);
	if (evbuffer_get_length(out) > 0 && exchange->req != NULL) {
		if (!exchange->response_started) {
			exchange->response_started = true;
			exchange_response_headers_add(exchange);
			http_response_add_header(
			    exchange->req, "Content-Type", "text/event-stream");
			http_request_stream_begin(exchange->req, STATUS_OK);
		}
		http_request_stream_write(exchange->req, out);
	}
	evbuffer_free(out);
}

static void
upstream_data_received(struct evhttp_request *upstream_req, void *arg)
{
	exchange_t *exchange = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(upstream_req);

	if (evhttp_request_get_response_code(upstream_req) != STATUS_OK ||
	    http_guard_has_defect(&exchange->upstream->guard))
		return;
	first_byte_record(exchange);
	if (exchange->streaming) {
		events_forward(exchange, in);
		return;
	}
	if (exchange->response_body == NULL)
		exchange->response_body = evbuffer_new();
	if (exchange->response_body != NULL &&
	    evbuffer_get_length(exchange->response_body) < RESPONSE_MAX)
		evbuffer_add_buffer(exchange->response_body, in);
}

static void
upstream_stream_ended(exchange_t *exchange)
{
	if (exchange->sse.done) {
		exchange_response_completed(exchange);
		return;
	}
	if (!exchange_stream_resume(exchange))
		exchange_attempt_failed(exchange, true, true,
		    "the stream ended without its end marker");
}

/* A plain response is complete when its body parses as JSON; that of an engine
 * also has "usage". */
static void
upstream_plain_ended(exchange_t *exchange)
{
	size_t len = exchange->response_body != NULL
	    ? evbuffer_get_length(exchange->response_body)
	    : 0;
	json_t *body = len > 0
	    ? json_loadb((char *)evbuffer_pullup(exchange->response_body, -1),
		  len, 0, NULL)
	    : NULL;
	json_t *usage = json_object_get(body, "usage");

	if (body == NULL || (exchange->is_engine && usage == NULL)) {
		json_decref(body);
		exchange_attempt_failed(
		    exchange, true, true, "the response was incomplete");
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
	exchange_response_completed(exchange);
}

static bool
upstream_not_run(struct evhttp_request *upstream_req, int status)
{
	const char *not_run = evhttp_find_header(
	    evhttp_request_get_input_headers(upstream_req), NOT_RUN_HEADER);

	return status == STATUS_UNAVAILABLE && not_run != NULL;
}

static void
upstream_response_ended(
    exchange_t *exchange, struct evhttp_request *upstream_req)
{
	int status = evhttp_request_get_response_code(upstream_req);
	char reason[64];

	snprintf(reason, sizeof(reason),
	    "the endpoint responded with status %d", status);
	exchange->status = status;
	if (status == STATUS_OK) {
		if (exchange->streaming)
			upstream_stream_ended(exchange);
		else
			upstream_plain_ended(exchange);
		return;
	}
	if (exchange->phase == PHASE_RESUME) {
		exchange->phase = PHASE_SENT;
		exchange_attempt_failed(exchange, true, true,
		    "the interrupted stream could not be resumed");
		return;
	}
	exchange_attempt_failed(exchange,
	    !upstream_not_run(upstream_req, status),
	    status >= STATUS_SERVER_ERROR, reason);
}

/* libevent calls this with NULL when the connection was lost, and with status 0
 * when it could not be established. */
static void
upstream_ended(struct evhttp_request *upstream_req, void *arg)
{
	exchange_t *exchange = arg;
	front_t *front = exchange->front;
	upstream_t *upstream = exchange->upstream;
	bool connected = upstream_req == NULL ||
	    evhttp_request_get_response_code(upstream_req) != 0;
	bool broken = http_guard_has_defect(&upstream->guard);

	exchange->upstream = NULL;
	exchange->upstream_req = NULL;
	if (upstream_req == NULL || !connected || broken) {
		upstream_close(front, upstream);
		if (!connected && exchange->phase != PHASE_RESUME)
			exchange_attempt_failed(exchange, false, true,
			    "the endpoint could not be reached");
		else if (!exchange_stream_resume(exchange))
			exchange_attempt_failed(exchange, true, true,
			    broken ? "the response is not valid HTTP"
				   : "the connection to the endpoint was "
				     "lost");
		return;
	}
	if (exchange->idempotent)
		upstream_release(front, upstream);
	else
		upstream_close(front, upstream);
	upstream_response_ended(exchange, upstream_req);
}

static char *
upstream_body_encode(const exchange_t *exchange)
{
	json_t *body = json_copy(exchange->body);
	char *text;

	if (exchange->is_engine)
		json_object_set_new(
		    body, "model", json_string(exchange->version));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

/* Each attempt has its own request id at the endpoint. */
static void
upstream_request_id(
    const exchange_t *exchange, char out[UPSTREAM_REQUEST_ID_SIZE])
{
	snprintf(out, UPSTREAM_REQUEST_ID_SIZE, "%s.%u", exchange->id,
	    exchange->attempts);
}

static struct evhttp_request *
upstream_request(exchange_t *exchange)
{
	struct evhttp_request *req =
	    evhttp_request_new(upstream_ended, exchange);
	struct evkeyvalq *headers;
	char request_id[UPSTREAM_REQUEST_ID_SIZE];

	if (req == NULL)
		return NULL;
	upstream_request_id(exchange, request_id);
	evhttp_request_set_chunked_cb(req, upstream_data_received);
	headers = evhttp_request_get_output_headers(req);
	evhttp_add_header(headers, "Host", exchange->endpoint_address);
	evhttp_add_header(headers, "X-Request-Id", request_id);
	evhttp_add_header(headers, "X-Organisation", exchange->organisation);
	return req;
}

static bool
upstream_start(exchange_t *exchange, enum evhttp_cmd_type method,
    const char *path, const char *body)
{
	front_t *front = exchange->front;
	struct evhttp_request *req = upstream_request(exchange);
	upstream_t *upstream = upstream_acquire(
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
	http_guard_begin(&upstream->guard);
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
	char *body = upstream_body_encode(exchange);
	bool started;

	if (body == NULL)
		return false;
	exchange->may_have_run = true;
	started =
	    upstream_start(exchange, EVHTTP_REQ_POST, exchange->path, body);
	if (!started)
		exchange->may_have_run = false;
	free(body);
	return started;
}

/** Resumes a stream after a delay, if its exchange still exists then. */
typedef struct resume_timer {
	front_t *front;
	uint64_t tag;
} resume_timer_t;

static void
resume_timer_expired(evutil_socket_t fd, short what, void *arg)
{
	const resume_timer_t timer = *(resume_timer_t *)arg;
	exchange_t *exchange = front_exchange_find(timer.front, timer.tag);
	char request_id[UPSTREAM_REQUEST_ID_SIZE];
	char path[128];

	(void)fd;
	(void)what;
	free(arg);
	if (exchange == NULL || exchange->phase != PHASE_RESUME ||
	    exchange->upstream_req != NULL)
		return;
	upstream_request_id(exchange, request_id);
	snprintf(path, sizeof(path), "/v1/streams/%s?from=%" PRIu64, request_id,
	    exchange->sse.tokens);
	if (!upstream_start(exchange, EVHTTP_REQ_GET, path, NULL))
		exchange_attempt_failed(exchange, true, false,
		    "out of memory while resuming the stream");
}

bool
exchange_stream_resume(exchange_t *exchange)
{
	static const struct timeval delay = {0, RESUME_DELAY_MS * 1000};
	front_t *front = exchange->front;
	resume_timer_t *timer;

	if (!exchange->is_engine || !exchange->streaming ||
	    exchange->resumes >= RESUMES_MAX)
		return false;
	timer = malloc(sizeof(*timer));
	if (timer == NULL)
		return false;
	*timer = (resume_timer_t){front, exchange->tag};
	exchange->resumes++;
	exchange->phase = PHASE_RESUME;
	sse_partial_discard(&exchange->sse);
	counter_add(front->process.counters, COUNTER_RESUMES, 1);
	timeline_add(front->process.timeline, EVENT_STREAM_RESUMED,
	    exchange->id, "after %" PRIu64 " tokens", exchange->sse.tokens);
	event_base_once(front->process.base, -1, EV_TIMEOUT,
	    resume_timer_expired, timer, &delay);
	return true;
}

static void
cancel_completed(void *arg, const http_response_t *response)
{
	(void)arg;
	(void)response;
}

/* Cancel the stream at the engine, which frees its slot: nobody receives it any
 * more. */
static void
engine_stream_cancel(exchange_t *exchange)
{
	http_address_t address;
	char request_id[UPSTREAM_REQUEST_ID_SIZE];
	char path[96];
	const http_call_t call = {.address = &address,
	    .method = EVHTTP_REQ_DELETE,
	    .path = path,
	    .timeout_ms = (int)exchange->front->options->store_timeout_ms};

	if (!exchange->is_engine ||
	    !http_address_parse(exchange->endpoint_address, &address))
		return;
	upstream_request_id(exchange, request_id);
	snprintf(path, sizeof(path), "/v1/streams/%s", request_id);
	http_call_start(
	    exchange->front->process.base, &call, cancel_completed, NULL);
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
	engine_stream_cancel(exchange);
}

static bool
retry_acquire(exchange_t *exchange, bool may_have_run)
{
	if (exchange->response_started || !exchange_has_recipient(exchange) ||
	    exchange->attempts >= EXCHANGE_ATTEMPTS_MAX ||
	    exchange->front->stopping)
		return false;
	if (may_have_run &&
	    (!exchange->idempotent || exchange->at_most_once ||
		exchange->interrupted_attempts >= INTERRUPTED_ATTEMPTS_MAX))
		return false;
	return retry_budget_acquire(&exchange->front->retry_budget);
}

void
exchange_attempt_failed(exchange_t *exchange, bool may_have_run,
    bool endpoint_at_fault, const char *reason)
{
	front_t *front = exchange->front;
	struct timespec now = clock_boottime(front->process.clock);

	timeline_add(front->process.timeline, EVENT_ATTEMPT_FAILED,
	    exchange->id, "%.47s", reason);
	if (may_have_run && endpoint_at_fault)
		exchange_failure_record(exchange);
	if (endpoint_at_fault && exchange->endpoint != HANDLE_NONE) {
		if (endpoint_attempt_failed(
			&front->fleet, exchange->endpoint, now)) {
			counter_add(
			    front->process.counters, COUNTER_EJECTIONS, 1);
			timeline_add(front->process.timeline,
			    EVENT_ENDPOINT_EJECTED, exchange->endpoint_address,
			    "%s", reason);
		}
		exchange->endpoint = HANDLE_NONE;
	}
	exchange_endpoint_release(exchange);
	exchange->may_have_run = may_have_run;
	exchange->interrupted_attempts += may_have_run;
	if (exchange->response_body != NULL)
		evbuffer_drain(exchange->response_body,
		    evbuffer_get_length(exchange->response_body));
	if (retry_acquire(exchange, may_have_run)) {
		exchange->may_have_run = false;
		exchange_dispatch(exchange);
		return;
	}
	exchange_fail(exchange,
	    !may_have_run		     ? ERR_NO_ENDPOINT
		: exchange->response_started ? ERR_STREAM_TRUNCATED
		: exchange->at_most_once     ? ERR_UNKNOWN_OUTCOME
					     : ERR_ENDPOINT_FAILED,
	    reason);
}
