/**
 * @file
 * HTTP/1.1 client on a bufferevent: a connection to one server with one request
 * at a time, whose response is passed on as it arrives.
 *
 * Failures distinguish whether a byte of the request may have been sent, since
 * only then may the server have executed it.
 */
#ifndef COMMON_HTTP_OUTBOUND_H
#define COMMON_HTTP_OUTBOUND_H

#include <event2/event.h>
#include <stdint.h>

#include "common/http_call.h"
#include "common/http_msg.h"

typedef struct http_outbound http_outbound_t;

/** How a request failed. */
typedef enum http_outbound_failure {
	/** Never connected: no byte was sent. */
	HTTP_OUTBOUND_NOT_SENT,
	/** The same, since nothing listens on the port. */
	HTTP_OUTBOUND_CONNECTION_REFUSED,
	/** Sent, but no byte of a response was received. */
	HTTP_OUTBOUND_NO_RESPONSE,
	/** The response is truncated or not valid HTTP. */
	HTTP_OUTBOUND_BAD_RESPONSE,
} http_outbound_failure_t;

/** Callbacks for a request. Each of them may free the connection. */
typedef struct http_outbound_ops {
	/** A new connection is established. @return false: the request was
	 * abandoned, and none of it is sent */
	bool (*on_connected)(void *arg);
	void (*on_sent)(void *arg); /**< the request is being sent */
	void (*on_head)(void *arg, const http_msg_t *);
	void (*on_body)(void *arg, const char *bytes, size_t len);
	void (*on_complete)(void *arg); /**< the response is complete */
	void (*on_failed)(void *arg, http_outbound_failure_t);
} http_outbound_ops_t;

/** An idle connection was closed or received unexpected bytes; the owner must
 * not use it any more. */
typedef void (*http_outbound_idle_closed_t)(void *arg, http_outbound_t *);

/** Start to connect.
 * @param source local IP address; NULL: the system chooses it
 * @param silence_timeout_ms how long the peer may be silent, while sent bytes
 * are unacknowledged or the connection is idle, before the connection fails; it
 * does up to two seconds later
 * @return NULL if no socket could be created */
http_outbound_t *http_outbound_new(struct event_base *, const http_address_t *,
    const char *source, int64_t connect_timeout_ms, int64_t silence_timeout_ms);

/** Until the first byte of the next response, fail once sent bytes are
 * unacknowledged for this long. */
void http_outbound_limit_silence(http_outbound_t *, int64_t ms);

/** Close. A request in flight is abandoned, and no callback is called. */
void http_outbound_free(http_outbound_t *);

/** The same, with a reset: bytes that are still on their way are not delivered
 * if the peer does not have them yet. */
void http_outbound_reset(http_outbound_t *);

/** Send a request.
 * @param head the complete head; drained
 * @param body may be NULL; drained
 * @param no_body the response has no body (HEAD) */
void http_outbound_send(http_outbound_t *, const http_outbound_ops_t *,
    void *arg, struct evbuffer *head, struct evbuffer *body, bool no_body);

/** Whether another request may be sent: after on_complete, and only if no
 * further bytes were received and the request was sent completely. */
bool http_outbound_reusable(const http_outbound_t *);

/** Whether the last response had neither a length nor chunks, so that the end
 * of the connection was taken for its end. */
bool http_outbound_ended_by_close(const http_outbound_t *);

/** Why a response is bad (HTTP_OUTBOUND_BAD_RESPONSE), while on_failed is
 * called. */
http_defect_t http_outbound_defect(const http_outbound_t *);

/** Keep the connection open without a request.
 * @param closed called when the connection can no longer be used */
void http_outbound_set_idle(
    http_outbound_t *, http_outbound_idle_closed_t closed, void *arg);

/** Pause or resume reading, for back-pressure from a slow caller. */
void http_outbound_pause_reading(http_outbound_t *, bool pause);

#endif
