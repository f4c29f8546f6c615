/**
 * @file
 * The server's side of HTTP/1.1 on bufferevents: one request at a time on each
 * connection, read whole, answered whole or as a stream.
 */
#ifndef COMMON_HTTP_INBOUND_H
#define COMMON_HTTP_INBOUND_H

#include <event2/event.h>
#include <stdint.h>

#include "common/http_call.h"
#include "common/http_msg.h"

typedef struct http_inbound http_inbound_t;
typedef struct http_inbound_server http_inbound_server_t;

/** Bounds of what a caller may send; all from the configuration in force. */
typedef struct http_inbound_limits {
	size_t head_max;	 /**< bytes */
	size_t body_max;	 /**< bytes */
	int64_t read_timeout_ms; /**< for a head, and between reads of a body */
	int64_t idle_timeout_ms; /**< between requests */
	uint32_t connections_max; /**< open at the same time */
} http_inbound_limits_t;

typedef struct http_inbound_ops {
	/** A request is whole. It is answered by http_inbound_respond(), or by
	 * http_inbound_stream_begin(), _write() and _end(), or broken off. */
	void (*on_request)(void *arg, http_inbound_t *);
	/** The caller has gone before its answer was whole; the connection is
	 * freed after the call. */
	void (*on_closed)(void *arg, http_inbound_t *);
	/** What was written has left; called while an answer is under way. */
	void (*on_drained)(void *arg, http_inbound_t *);
	/** A message was refused before it became a request. */
	void (*on_refused)(void *arg, const err_t *);
} http_inbound_ops_t;

http_inbound_server_t *http_inbound_listen(struct event_base *,
    const http_address_t *, const http_inbound_ops_t *, void *arg, err_t *);
void http_inbound_server_free(http_inbound_server_t *);
void
http_inbound_set_limits(http_inbound_server_t *, const http_inbound_limits_t *);

/** New connections wait, or are taken again. */
void http_inbound_pause_accepting(http_inbound_server_t *, bool hold);
/** From now on each answer closes its connection. */
void http_inbound_drain(http_inbound_server_t *);
/** Take no new connections, and close those without a request. */
void http_inbound_stop_accepting(http_inbound_server_t *);
uint32_t http_inbound_connection_count(const http_inbound_server_t *);

const http_msg_t *http_inbound_request(const http_inbound_t *);
void http_inbound_set_user_data(http_inbound_t *, void *user_data);
void *http_inbound_user_data(const http_inbound_t *);

/** Answer at once. @param head further header lines, each ended by CRLF; may
 * be NULL @param body may be NULL; drained */
void http_inbound_respond(
    http_inbound_t *, int status, const char *head, struct evbuffer *body);

/** Begin an answer whose end is not known yet. */
void http_inbound_stream_begin(http_inbound_t *, int status, const char *head);
void http_inbound_stream_write(http_inbound_t *, struct evbuffer *bytes);
void http_inbound_stream_end(http_inbound_t *);

/** Break the connection off, so that the answer shows as not whole. */
void http_inbound_abort(http_inbound_t *);

/** Bytes of the answer that the caller has not taken yet. */
size_t http_inbound_unsent_bytes(const http_inbound_t *);

#endif
