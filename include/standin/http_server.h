/**
 * @file
 * Helpers for requests that evhttp serves.
 */
#ifndef STANDIN_HTTP_SERVER_H
#define STANDIN_HTTP_SERVER_H

#include <event2/http.h>
#include <jansson.h>

#include "common/err.h"

/** The value of a request header, or NULL. */
const char *standin_request_header(struct evhttp_request *, const char *name);

/** Copy a query parameter of the request to @p out. @return false if absent */
bool standin_request_query_param(
    struct evhttp_request *, const char *name, char *out, size_t size);

/** The request body as a JSON object, or NULL with @p err set. */
json_t *standin_request_json(struct evhttp_request *, err_t *err);

/** Respond with a JSON value; takes over its reference. */
void standin_respond_json(struct evhttp_request *, int status, json_t *value);

/**
 * Call @p closed when the caller closes the connection while its request is
 * being handled.
 *
 * libevent 2.1 stops reading while a request is handled. If reading were
 * enabled with its own read callback in place, the process would abort as soon
 * as the caller sends more ("illegal connection state"), so that callback is
 * removed until the response is sent.
 */
void standin_watch_close(struct evhttp_request *,
    void (*closed)(struct evhttp_connection *, void *), void *arg);

/** Stop watching the connection. */
void standin_unwatch_close(struct evhttp_request *);

/** Add a header to the response. */
void standin_response_add_header(
    struct evhttp_request *, const char *name, const char *value);

#endif
