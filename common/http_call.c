#include "common/http_call.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "common/http_guard.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000
#define HEAD_MAX 65536 /* bytes */
#define RESPONSE_MAX (64L << 20)
/* Each piece of a response starts the time limit anew; all of it may take this
 * many times as long. */
#define TOTAL_FACTOR 4

/** A call in flight. It owns its connection, since libevent frees connections
 * by itself only after a response and leaks those that never connected. */
typedef struct pending_call {
	struct event_base *base;
	struct evhttp_connection *conn;
	http_guard_t guard;
	http_call_done_t done;
	void *arg;
	struct event *cleanup; /**< frees the call outside evhttp's callback */
	struct event *limit;   /**< ends a response that only trickles in */
	struct pending_call *next;
	struct pending_call *prev;
} pending_call_t;

/* All calls in flight, so that they can be cancelled with their event loop. */
static pending_call_t *pending_calls;

static bool
port_parse(const char *text, uint16_t *port)
{
	unsigned long number;
	char *end;

	if (!isdigit((unsigned char)text[0]))
		return false;
	number = strtoul(text, &end, 10);
	if (*end != '\0' || number == 0 || number > UINT16_MAX)
		return false;
	*port = (uint16_t)number;
	return true;
}

bool
http_address_parse(const char *text, http_address_t *address)
{
	const char *colon = strrchr(text, ':');
	size_t len;

	if (colon == NULL)
		return false;
	len = (size_t)(colon - text);
	if (len >= sizeof(address->host))
		return false;
	memcpy(address->host, text, len);
	address->host[len] = '\0';
	return len > 0 && port_parse(colon + 1, &address->port);
}

bool
http_address_is_ipv4(const http_address_t *address)
{
	struct in_addr ip;

	return inet_pton(AF_INET, address->host, &ip) == 1;
}

static void
pending_free(pending_call_t *call)
{
	if (call->prev != NULL)
		call->prev->next = call->next;
	else if (pending_calls == call)
		pending_calls = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	if (call->conn != NULL)
		evhttp_connection_free(call->conn);
	if (call->cleanup != NULL)
		event_free(call->cleanup);
	if (call->limit != NULL)
		event_free(call->limit);
	free(call);
}

/* Ends a call without a response. */
static void
pending_cancel(pending_call_t *call)
{
	const http_response_t no_response = {0};
	http_call_done_t done = call->done;
	void *arg = call->arg;

	pending_free(call);
	if (done != NULL)
		done(arg, &no_response);
}

static void
on_cleanup(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	pending_free(arg);
}

static void
on_limit(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	pending_cancel(arg);
}

/* Outside evhttp's callbacks, and at once: the end of a broken response may
 * never come. */
static void
on_defect(void *arg)
{
	pending_call_t *call = arg;

	event_active(call->limit, EV_TIMEOUT, 0);
}

static void
on_response(struct evhttp_request *req, void *arg)
{
	pending_call_t *call = arg;
	http_call_done_t done = call->done;
	http_response_t response = {0};
	struct evbuffer *input;

	if (req != NULL && evhttp_request_get_response_code(req) != 0 &&
	    !http_guard_has_defect(&call->guard)) {
		input = evhttp_request_get_input_buffer(req);
		evbuffer_add(input, "", 1);
		response.status = evhttp_request_get_response_code(req);
		response.body_len = evbuffer_get_length(input) - 1;
		response.body = (const char *)evbuffer_pullup(input, -1);
		response.headers = evhttp_request_get_input_headers(req);
	}
	call->done = NULL;
	event_active(call->cleanup, EV_TIMEOUT, 0);
	done(call->arg, &response);
}

static struct evhttp_request *
request_new(const http_call_t *call, pending_call_t *pending)
{
	struct evhttp_request *req = evhttp_request_new(on_response, pending);
	struct evkeyvalq *headers;

	if (req == NULL)
		return NULL;
	headers = evhttp_request_get_output_headers(req);
	evhttp_add_header(headers, "Host", call->address->host);
	evhttp_add_header(headers, "Connection", "close");
	for (const http_header_t *h = call->headers;
	     h != NULL && h->name != NULL; h++)
		evhttp_add_header(headers, h->name, h->value);
	if (call->body != NULL) {
		evbuffer_add(evhttp_request_get_output_buffer(req), call->body,
		    call->body_len);
	}
	return req;
}

static pending_call_t *
pending_new(struct event_base *base, const http_call_t *call,
    http_call_done_t done, void *arg)
{
	pending_call_t *pending = calloc(1, sizeof(*pending));
	const http_address_t *address = call->address;

	if (pending == NULL)
		return NULL;
	pending->base = base;
	pending->done = done;
	pending->arg = arg;
	pending->cleanup = event_new(base, -1, 0, on_cleanup, pending);
	pending->limit = event_new(base, -1, 0, on_limit, pending);
	pending->conn = call->tls != NULL
	    ? tls_connection_new(call->tls, base, address->host, address->port)
	    : evhttp_connection_base_new(
		  base, NULL, address->host, address->port);
	pending->next = pending_calls;
	if (pending_calls != NULL)
		pending_calls->prev = pending;
	pending_calls = pending;
	if (pending->conn != NULL && pending->cleanup != NULL &&
	    pending->limit != NULL &&
	    http_guard_attach(
		&pending->guard, pending->conn, on_defect, pending))
		return pending;
	pending_free(pending);
	return NULL;
}

static struct timeval
timeval_from_ms(int64_t ms)
{
	return (struct timeval){ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};
}

bool
http_call_start(struct event_base *base, const http_call_t *call,
    http_call_done_t done, void *arg)
{
	const struct timeval timeout = timeval_from_ms(call->timeout_ms);
	const struct timeval limit =
	    timeval_from_ms((int64_t)call->timeout_ms * TOTAL_FACTOR);
	pending_call_t *pending = pending_new(base, call, done, arg);
	struct evhttp_request *req =
	    pending != NULL ? request_new(call, pending) : NULL;

	if (req == NULL) {
		if (pending != NULL)
			pending_free(pending);
		return false;
	}
	evhttp_connection_set_timeout_tv(pending->conn, &timeout);
	evhttp_connection_set_max_headers_size(pending->conn, HEAD_MAX);
	evhttp_connection_set_max_body_size(pending->conn, RESPONSE_MAX);
	/* evhttp frees the request also on failure. */
	if (evhttp_make_request(pending->conn, req, call->method, call->path) !=
	    0) {
		pending_free(pending);
		return false;
	}
	event_add(pending->limit, &limit);
	return true;
}

void
http_calls_cancel(struct event_base *base)
{
	pending_call_t *call = pending_calls;

	while (call != NULL) {
		if (call->base != base) {
			call = call->next;
			continue;
		}
		pending_cancel(call);
		call = pending_calls;
	}
}

bool
http_call_sync(const http_call_t *call, http_call_done_t done, void *arg)
{
	struct event_base *base = event_base_new();
	bool started;

	if (base == NULL)
		return false;
	started = http_call_start(base, call, done, arg);
	if (started)
		event_base_dispatch(base);
	event_base_free(base);
	return started;
}

json_t *
http_response_json(const http_response_t *response)
{
	if (response->body == NULL)
		return NULL;
	return json_loadb(response->body, response->body_len, 0, NULL);
}
