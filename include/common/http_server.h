/**
 * @file
 * Small helpers over evhttp's server side.
 */
#ifndef COMMON_HTTP_SERVER_H
#define COMMON_HTTP_SERVER_H

#include <event2/http.h>
#include <jansson.h>

#include "common/err.h"

/** A header of the request, or NULL. */
const char *http_request_header(struct evhttp_request *, const char *name);

/** A query parameter of the request, copied to @p out; false if absent. */
bool http_request_query_param(
    struct evhttp_request *, const char *name, char *out, size_t size);

/** The body of the request as a JSON object; NULL fills @p err. */
json_t *http_request_json(struct evhttp_request *, err_t *err);

/** Answer with a JSON value, whose reference is taken. */
void http_respond_json(struct evhttp_request *, int status, json_t *value);

/**
 * Notice when the caller goes away while its request is being handled.
 *
 * libevent 2.1 stops reading meanwhile, and reading again with its own read
 * callback in place ends the process when the caller sends more (an "illegal
 * connection state"); so that callback is taken out until the answer is sent.
 */
void http_request_watch_close(struct evhttp_request *,
    void (*closed)(struct evhttp_connection *, void *), void *arg);

/** Stop noticing. */
void http_request_unwatch_close(struct evhttp_request *);

/** Add a header to the answer. */
void http_response_add_header(
    struct evhttp_request *, const char *name, const char *value);

#endif
