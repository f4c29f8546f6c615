#include "common/http_request.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STATUS_ERROR 500
/* Of a stream, from which on its caller counts as slow, once the memory of all
 * callers is full. */
#define SLOW_UNSENT_BYTES 65536
/* Bytes of a parsed body beside its text, by the characters that begin a value
 * or end one. */
#define JSON_OBJECT_BYTES 192
#define JSON_ARRAY_BYTES 144
#define JSON_VALUE_BYTES 48
#define JSON_QUOTE_BYTES 32

struct http_request {
	http_request_server_t *server;
	http_inbound_t *caller; /**< NULL: its connection was closed */
	char *path;
	struct evbuffer *head; /**< lines of the response's head */
	bool hung_up;	       /**< its caller does not read */
	http_closed_handler_t closed;
	void *closed_arg;
	http_request_t *next;
	http_request_t *prev;
};

static void
request_free(http_request_t *req)
{
	if (req->prev != NULL)
		req->prev->next = req->next;
	else
		req->server->requests = req->next;
	if (req->next != NULL)
		req->next->prev = req->prev;
	if (req->head != NULL)
		evbuffer_free(req->head);
	free(req->path);
	free(req);
}

static http_request_t *
request_new(http_request_server_t *server, http_inbound_t *caller)
{
	const char *target = http_inbound_request(caller)->target;
	http_request_t *req = calloc(1, sizeof(*req));

	if (req == NULL)
		return NULL;
	req->server = server;
	req->next = server->requests;
	if (req->next != NULL)
		req->next->prev = req;
	server->requests = req;
	if (target == NULL)
		target = "";
	req->path = strndup(target, strcspn(target, "?"));
	req->head = evbuffer_new();
	if (req->path == NULL || req->head == NULL) {
		request_free(req);
		return NULL;
	}
	req->caller = caller;
	http_inbound_set_user_data(caller, req);
	return req;
}

static void
on_request(void *arg, http_inbound_t *caller)
{
	http_request_server_t *server = arg;
	http_request_t *req = request_new(server, caller);

	if (req != NULL)
		server->on_request(server->arg, req);
	else
		http_inbound_abort(caller);
}

static void
on_refused(void *arg, http_inbound_t *caller, const err_t *err)
{
	http_request_server_t *server = arg;
	http_request_t *req = request_new(server, caller);

	if (req != NULL)
		server->on_refused(server->arg, req, err);
	else
		http_inbound_abort(caller);
}

static void
on_closed(void *arg, http_inbound_t *caller)
{
	http_request_t *req = http_inbound_user_data(caller);

	(void)arg;
	if (req == NULL)
		return;
	req->caller = NULL;
	/* Without a handler, the owner of the request still responds. */
	if (req->closed == NULL)
		return;
	req->closed(req->closed_arg);
	request_free(req);
}

static void
on_drained(void *arg, http_inbound_t *caller)
{
	(void)arg;
	(void)caller;
}

static const http_inbound_ops_t inbound_ops = {
    .on_request = on_request,
    .on_closed = on_closed,
    .on_drained = on_drained,
    .on_refused = on_refused,
    .host_optional = true,
};

bool
http_request_listen(http_request_server_t *server, struct event_base *base,
    inbound_budget_t *budget, const http_address_t *address, tls_t *tls,
    const http_inbound_limits_t *limits, err_t *err)
{
	server->budget = budget;
	server->inbound = http_inbound_listen(
	    base, budget, address, &inbound_ops, server, err);
	if (server->inbound == NULL)
		return false;
	http_inbound_set_tls(server->inbound, tls);
	http_inbound_set_limits(server->inbound, limits);
	return true;
}

void
http_request_server_finish(http_request_server_t *server)
{
	if (server->inbound != NULL)
		http_inbound_server_free(server->inbound);
	server->inbound = NULL;
	while (server->requests != NULL)
		request_free(server->requests);
}

bool
http_request_has_method(const http_request_t *req, const char *method)
{
	const char *own = req->caller != NULL
	    ? http_inbound_request(req->caller)->method
	    : NULL;

	return own != NULL && strcmp(own, method) == 0;
}

const char *
http_request_path(const http_request_t *req)
{
	return req->path;
}

const char *
http_request_header(const http_request_t *req, const char *name)
{
	return req->caller != NULL
	    ? http_msg_field(http_inbound_request(req->caller), name)
	    : NULL;
}

bool
http_request_query_param(
    const http_request_t *req, const char *name, char *out, size_t size)
{
	const char *target = req->caller != NULL
	    ? http_inbound_request(req->caller)->target
	    : NULL;
	const char *query = target != NULL ? strchr(target, '?') : NULL;
	struct evkeyvalq params;
	const char *value;

	if (query == NULL || evhttp_parse_query_str(query + 1, &params) != 0)
		return false;
	value = evhttp_find_header(&params, name);
	if (value != NULL)
		snprintf(out, size, "%s", value);
	evhttp_clear_headers(&params);
	return value != NULL;
}

/* At least what the parsed value takes in memory. */
static size_t
json_bytes(const char *text, size_t len)
{
	size_t bytes = len;

	for (size_t i = 0; i < len; i++) {
		if (text[i] == '{')
			bytes += JSON_OBJECT_BYTES;
		else if (text[i] == '[')
			bytes += JSON_ARRAY_BYTES;
		else if (text[i] == ',' || text[i] == ':')
			bytes += JSON_VALUE_BYTES;
		else if (text[i] == '"')
			bytes += JSON_QUOTE_BYTES;
	}
	return bytes;
}

static json_t *
body_parse(http_request_t *req, const char *text, size_t len, err_t *err)
{
	json_error_t json_error;
	json_t *value;

	if (!http_inbound_reserve(req->caller, json_bytes(text, len))) {
		err_set(err, ERR_MEMORY, "no memory is left for the request");
		return NULL;
	}
	value = json_loadb(text, len, JSON_REJECT_DUPLICATES, &json_error);
	if (json_is_object(value))
		return value;
	if (value == NULL)
		err_set(err, ERR_BAD_REQUEST,
		    "the body is not valid JSON: %.80s", json_error.text);
	else
		err_set(err, ERR_BAD_REQUEST, "the body is not a JSON object");
	json_decref(value);
	return NULL;
}

json_t *
http_request_json(http_request_t *req, err_t *err)
{
	struct evbuffer *body;
	json_t *value;
	size_t len;

	body = req->caller != NULL ? http_inbound_request(req->caller)->body
				   : NULL;
	len = body != NULL ? evbuffer_get_length(body) : 0;
	if (len == 0) {
		err_set(err, ERR_BAD_REQUEST, "the body is empty");
		return NULL;
	}
	value =
	    body_parse(req, (const char *)evbuffer_pullup(body, -1), len, err);
	http_inbound_release_body(req->caller);
	return value;
}

void
http_request_set_closed(
    http_request_t *req, http_closed_handler_t closed, void *arg)
{
	req->closed = closed;
	req->closed_arg = arg;
}

void
http_response_add_header(
    http_request_t *req, const char *name, const char *value)
{
	if (strpbrk(value, "\r\n") == NULL)
		evbuffer_add_printf(req->head, "%s: %s\r\n", name, value);
}

/* The lines of the response's head, terminated. */
static const char *
head_text(http_request_t *req)
{
	evbuffer_add(req->head, "", 1);
	return (const char *)evbuffer_pullup(req->head, -1);
}

void
http_request_respond(http_request_t *req, int status, struct evbuffer *body)
{
	http_inbound_t *caller = req->caller;

	if (caller != NULL) {
		http_inbound_set_user_data(caller, NULL);
		http_inbound_respond(caller, status, head_text(req), body);
	}
	request_free(req);
}

void
http_respond_json(http_request_t *req, int status, json_t *value)
{
	struct evbuffer *out = evbuffer_new();
	char *text = json_dumps(value, JSON_COMPACT);

	json_decref(value);
	if (out == NULL || text == NULL) {
		http_request_respond(req, STATUS_ERROR, NULL);
	} else {
		evbuffer_add_printf(out, "%s\n", text);
		http_response_add_header(
		    req, "Content-Type", "application/json");
		http_request_respond(req, status, out);
	}
	free(text);
	if (out != NULL)
		evbuffer_free(out);
}

void
http_request_stream_begin(http_request_t *req, int status)
{
	if (req->caller != NULL)
		http_inbound_stream_begin(req->caller, status, head_text(req));
}

void
http_request_stream_write(http_request_t *req, struct evbuffer *bytes)
{
	const http_inbound_t *caller = req->caller;

	if (caller == NULL || req->hung_up) {
		evbuffer_drain(bytes, evbuffer_get_length(bytes));
		return;
	}
	http_inbound_stream_write(req->caller, bytes);
	if (inbound_budget_has_room(req->server->budget, 0, false) ||
	    http_inbound_unsent_bytes(caller) < SLOW_UNSENT_BYTES)
		return;
	req->hung_up = true;
	http_inbound_hang_up(req->caller);
}

void
http_request_stream_end(http_request_t *req)
{
	http_inbound_t *caller = req->caller;

	if (caller != NULL) {
		http_inbound_set_user_data(caller, NULL);
		http_inbound_stream_end(caller);
	}
	request_free(req);
}
