/**
 * @file
 * Checks the syntax of responses that libevent's HTTP client reads. Its parser
 * accepts more than the grammar, and shows only what is left of it.
 */
#ifndef COMMON_HTTP_GUARD_H
#define COMMON_HTTP_GUARD_H

#include <event2/buffer.h>
#include <event2/http.h>

#include "common/http_syntax.h"

/** The check of the responses on one connection. Its owner ignores a response
 * with a defect, and closes the connection. */
typedef struct http_guard {
	http_syntax_t syntax; /**< of the response that is read */
	void (*on_defect)(void *arg);
	void *arg;
} http_guard_t;

/** Check all that is received on a connection, before it is parsed. The guard
 * does not move, and lasts as long as the connection or until it is detached.
 * @param on_defect called once for a response with a defect; must not change
 * the connection; may be NULL */
bool http_guard_attach(http_guard_t *, struct evhttp_connection *,
    void (*on_defect)(void *arg), void *arg);

/** Check no more on the connection. */
void http_guard_detach(http_guard_t *, struct evhttp_connection *);

/** A request is sent: what is received next is its response. */
void http_guard_begin(http_guard_t *);

/** Whether the response is not valid HTTP. */
bool http_guard_has_defect(const http_guard_t *);

#endif
