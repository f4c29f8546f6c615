/**
 * @file
 * The client's side of HTTP/1.1 on a bufferevent: one connection to one
 * server, one request at a time, its answer told as it arrives.
 *
 * A failure says whether a byte of the request may have left, since only then
 * may the server have run it.
 */
#ifndef COMMON_HTTP_OUTBOUND_H
#define COMMON_HTTP_OUTBOUND_H

#include <event2/event.h>
#include <stdint.h>

#include "common/http_call.h"
#include "common/http_msg.h"

typedef struct http_outbound http_outbound_t;

/** How a request failed on its connection. */
typedef enum http_outbound_failure {
	HTTP_OUTBOUND_NOT_SENT,		  /**< never connected: no byte left */
	HTTP_OUTBOUND_CONNECTION_REFUSED, /**< the same: nothing listens there
					   */
	HTTP_OUTBOUND_NO_RESPONSE,  /**< sent; no byte of an answer came */
	HTTP_OUTBOUND_BAD_RESPONSE, /**< the answer broke off, or is none */
} http_outbound_failure_t;

/** What a connection tells the owner of its request. The connection may be
 * freed inside any of them. */
typedef struct http_outbound_ops {
	/** A connection that had to be made is up. @return false: the request
	 * was given up, and none of it leaves */
	bool (*on_connected)(void *arg);
	void (*on_sent)(void *arg); /**< the request leaves now */
	void (*on_head)(void *arg, const http_msg_t *);
	void (*on_body)(void *arg, const char *bytes, size_t len);
	void (*on_complete)(void *arg); /**< the answer is whole */
	void (*on_failed)(void *arg, http_outbound_failure_t);
} http_outbound_ops_t;

/** An idle connection ended, or said something unasked: forget it. */
typedef void (*http_outbound_idle_closed_t)(void *arg, http_outbound_t *);

/** Start to connect.
 * @param silence_timeout_ms how long the other end may be silent, while bytes
 * are on their way to it or the connection idles, before the connection is
 * given up
 * @return NULL: no socket could be had */
http_outbound_t *http_outbound_new(struct event_base *, const http_address_t *,
    int64_t connect_timeout_ms, int64_t silence_timeout_ms);

/** Change how long sent bytes may be unacknowledged. */
void http_outbound_set_silence_timeout(
    http_outbound_t *, int64_t silence_timeout_ms);

/** Close; a request under way is given up without a further word. */
void http_outbound_free(http_outbound_t *);

/** Send a request. @param head the whole head; drained @param body may be
 * NULL; drained @param no_body the answer has no body (HEAD) */
void http_outbound_send(http_outbound_t *, const http_outbound_ops_t *,
    void *arg, struct evbuffer *head, struct evbuffer *body, bool no_body);

/** Whether another request may be sent: after done, and only if nothing else
 * came and all was sent. */
bool http_outbound_reusable(const http_outbound_t *);

/** Keep the connection without a request. */
void http_outbound_set_idle(
    http_outbound_t *, http_outbound_idle_closed_t closed, void *arg);

/** Read no more for now, or go on: the caller is slow. */
void http_outbound_pause_reading(http_outbound_t *, bool pause);

#endif
