#include "common/http_call.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_SEC 1000
#define US_PER_MS 1000
#define REPLY_MAX (64L << 20)

typedef struct pending_call {
	http_done_t done;
	void *arg;
} pending_call_t;

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
	address->port = (uint16_t)strtoul(colon + 1, NULL, 10);
	return address->port != 0;
}

static void
call_done(struct evhttp_request *req, void *arg)
{
	pending_call_t *call = arg;
	http_reply_t reply = {0};
	struct evbuffer *input;

	if (req != NULL && evhttp_request_get_response_code(req) != 0) {
		input = evhttp_request_get_input_buffer(req);
		evbuffer_add(input, "", 1);
		reply.status = evhttp_request_get_response_code(req);
		reply.body_len = evbuffer_get_length(input) - 1;
		reply.body = (const char *)evbuffer_pullup(input, -1);
		reply.headers = evhttp_request_get_input_headers(req);
	}
	call->done(call->arg, &reply);
	free(call);
}

static struct evhttp_request *
request_new(const http_call_t *call, pending_call_t *pending)
{
	struct evhttp_request *req = evhttp_request_new(call_done, pending);
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

bool
http_call_start(struct event_base *base, const http_call_t *call,
    http_done_t done, void *arg)
{
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	pending_call_t *pending;
	struct timeval timeout = {call->timeout_ms / MS_PER_SEC,
	    (call->timeout_ms % MS_PER_SEC) * US_PER_MS};

	pending = malloc(sizeof(*pending));
	conn = call->tls != NULL
	    ? tls_connection_new(
		  call->tls, base, call->address->host, call->address->port)
	    : evhttp_connection_base_new(
		  base, NULL, call->address->host, call->address->port);
	if (pending == NULL || conn == NULL)
		goto fail;
	*pending = (pending_call_t){done, arg};
	req = request_new(call, pending);
	if (req == NULL)
		goto fail;
	evhttp_connection_set_timeout_tv(conn, &timeout);
	evhttp_connection_set_max_body_size(conn, REPLY_MAX);
	evhttp_connection_free_on_completion(conn);
	/* evhttp frees the request on failure too. */
	if (evhttp_make_request(conn, req, call->method, call->path) != 0) {
		free(pending);
		return false;
	}
	return true;
fail:
	if (conn != NULL)
		evhttp_connection_free(conn);
	free(pending);
	return false;
}

bool
http_call_wait(const http_call_t *call, http_done_t done, void *arg)
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
http_reply_json(const http_reply_t *reply)
{
	if (reply->body == NULL)
		return NULL;
	return json_loadb(reply->body, reply->body_len, 0, NULL);
}
