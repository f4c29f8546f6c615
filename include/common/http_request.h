/**
 * @file
 * Server of requests that are responded to later: a request outlives the
 * connection that it came on, until it is responded to or the server is freed.
 */
#ifndef COMMON_HTTP_REQUEST_H
#define COMMON_HTTP_REQUEST_H

#include <jansson.h>

#include "common/http_inbound.h"
#include "common/tls.h"

typedef struct http_request http_request_t;

/** Called for a request that is to be responded to. */
typedef void (*http_request_handler_t)(void *arg, http_request_t *);
/** Called for a message that was refused, which has neither head nor body. */
typedef void (*http_refusal_handler_t)(
    void *arg, http_request_t *, const err_t *);
/** Called when the caller has closed the connection; the request is freed after
 * this call. */
typedef void (*http_closed_handler_t)(void *arg);

typedef struct http_request_server {
	http_inbound_server_t *inbound; /**< NULL: it does not listen */
	const inbound_budget_t *budget;
	http_request_handler_t on_request;
	http_refusal_handler_t on_refused;
	void *arg;
	http_request_t *requests; /**< a linked list */
} http_request_server_t;

/** Listen for requests. The handlers are set, and the server does not move.
 * @param budget of the process
 * @param tls NULL: plain HTTP */
bool http_request_listen(http_request_server_t *, struct event_base *,
    inbound_budget_t *budget, const http_address_t *, tls_t *,
    const http_inbound_limits_t *, err_t *);
/** Close all connections, and free all requests without further calls. */
void http_request_server_finish(http_request_server_t *);

/** Whether the request has this method. */
bool http_request_has_method(const http_request_t *, const char *method);

/** The path of the target, not decoded. */
const char *http_request_path(const http_request_t *);

/** The value of a request header, or NULL. */
const char *http_request_header(const http_request_t *, const char *name);

/** Copy a query parameter of the request to @p out. @return false if absent */
bool http_request_query_param(
    const http_request_t *, const char *name, char *out, size_t size);

/** The request body as a JSON object, or NULL with @p err set. The body is
 * released. */
json_t *http_request_json(http_request_t *, err_t *err);

/** Call @p closed when the caller closes the connection before the response is
 * complete; NULL: no more. */
void
http_request_set_closed(http_request_t *, http_closed_handler_t, void *arg);

/** Add a header to the response, unless its value has a line break. */
void
http_response_add_header(http_request_t *, const char *name, const char *value);

/** Send a complete response, which ends the request.
 * @param body may be NULL; drained */
void http_request_respond(http_request_t *, int status, struct evbuffer *body);

/** The same with a JSON value; takes over its reference. */
void http_respond_json(http_request_t *, int status, json_t *value);

/** Start a response of unknown length. */
void http_request_stream_begin(http_request_t *, int status);
/** Send a chunk. When the memory of all callers is full, the connection of one
 * that does not read ends. @param bytes drained */
void http_request_stream_write(http_request_t *, struct evbuffer *bytes);
/** Complete the response, which ends the request. */
void http_request_stream_end(http_request_t *);

#endif
