/**
 * @file
 * One HTTP call by evhttp: small bodies, one connection a call.
 */
#ifndef COMMON_HTTP_CALL_H
#define COMMON_HTTP_CALL_H

#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/tls.h"

#define HTTP_HOST_SIZE 64

/** An IP number and port. */
typedef struct http_address {
	char host[HTTP_HOST_SIZE];
	uint16_t port;
} http_address_t;

/** A header of a call. */
typedef struct http_header {
	const char *name;
	const char *value;
} http_header_t;

/** One call. What it points to is copied. */
typedef struct http_call {
	const http_address_t *address;
	enum evhttp_cmd_type method;
	const char *path;
	const http_header_t *headers; /**< ended by a NULL name; may be NULL */
	const char *body;	      /**< may be NULL */
	size_t body_len;	      /**< bytes */
	int timeout_ms;
	tls_t *tls; /**< NULL: plain */
} http_call_t;

/** The reply; valid only inside the callback. */
typedef struct http_response {
	int status;		   /**< 0: no reply came */
	const char *body;	   /**< ended by a zero */
	size_t body_len;	   /**< bytes */
	struct evkeyvalq *headers; /**< NULL when no reply came */
} http_response_t;

typedef void (*http_call_done_t)(void *arg, const http_response_t *response);

/** "HOST:PORT" to an address. @return false: it is none */
bool http_address_parse(const char *text, http_address_t *address);
/** Whether the host is an IPv4 number: no name has to be looked up. */
bool http_address_is_ipv4(const http_address_t *address);

/**
 * Start a call. @p done is called exactly once, from the loop, unless false is
 * returned.
 */
bool http_call_start(
    struct event_base *, const http_call_t *, http_call_done_t done, void *arg);

/** End the calls of a loop that are under way, each with "no reply": before the
 * loop is freed. */
void http_calls_cancel(struct event_base *);

/** Make the call and wait for it on a loop of its own; for command lines.
 * @param done called once before the return, or not at all on false */
bool http_call_sync(const http_call_t *, http_call_done_t done, void *arg);

/** The reply's body as JSON, or NULL. The caller gives the reference back. */
json_t *http_response_json(const http_response_t *);

#endif
