/**
 * @file
 * HTTP client calls with small bodies over evhttp, one connection per call.
 */
#ifndef COMMON_HTTP_CALL_H
#define COMMON_HTTP_CALL_H

#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/tls.h"

#define HTTP_HOST_SIZE 64

/** An IP address and port. */
typedef struct http_address {
	char host[HTTP_HOST_SIZE];
	uint16_t port;
} http_address_t;

/** A request header. */
typedef struct http_header {
	const char *name;
	const char *value;
} http_header_t;

/** A call. What it points to is copied when the call starts. */
typedef struct http_call {
	const http_address_t *address;
	enum evhttp_cmd_type method;
	const char *path;
	const http_header_t *headers; /**< up to a NULL name; may be NULL */
	const char *body;	      /**< may be NULL */
	size_t body_len;	      /**< bytes */
	int timeout_ms;
	tls_t *tls; /**< NULL: plain HTTP */
} http_call_t;

/** A response; valid only during the callback. */
typedef struct http_response {
	int status;	  /**< 0: no response was received, or a broken one */
	const char *body; /**< terminated by a zero byte */
	size_t body_len;  /**< bytes */
	struct evkeyvalq *headers; /**< NULL if no response was received */
} http_response_t;

typedef void (*http_call_done_t)(void *arg, const http_response_t *response);

/** Parse "HOST:PORT". @return false if the text is not of this form */
bool http_address_parse(const char *text, http_address_t *address);
/** Whether the host is an IPv4 address, so that no name has to be resolved. */
bool http_address_is_ipv4(const http_address_t *address);

/**
 * Start a call. @p done is called exactly once, from the event loop, unless
 * false is returned.
 */
bool http_call_start(
    struct event_base *, const http_call_t *, http_call_done_t done, void *arg);

/** Cancel the calls in flight on an event loop; each ends without a response.
 * Needed before the loop is freed. */
void http_calls_cancel(struct event_base *);

/** Make a call and wait for it on an event loop of its own; for command-line
 * programs.
 * @param done called once before the return, unless false is returned */
bool http_call_sync(const http_call_t *, http_call_done_t done, void *arg);

/** The response's body as JSON, or NULL if it is missing or not JSON. The
 * caller owns the reference. */
json_t *http_response_json(const http_response_t *);

#endif
