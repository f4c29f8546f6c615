/**
 * @file
 * HTTP/1.1 server on bufferevents. Each connection carries one request at a
 * time, which is read completely before it is handled; its response is sent at
 * once or as a stream.
 */
#ifndef COMMON_HTTP_INBOUND_H
#define COMMON_HTTP_INBOUND_H

#include <event2/event.h>
#include <stdint.h>

#include "common/http_call.h"
#include "common/http_msg.h"
#include "common/inbound_budget.h"

typedef struct http_inbound http_inbound_t;
typedef struct http_inbound_server http_inbound_server_t;

struct tls;

/** Limits on what callers may send, from the current configuration. */
typedef struct http_inbound_limits {
	size_t head_max;	  /**< bytes */
	size_t body_max;	  /**< bytes */
	int64_t read_timeout_ms;  /**< for a head from its first byte on, and
				     without new bytes of a body */
	int64_t idle_timeout_ms;  /**< before the first byte of a request */
	int64_t write_timeout_ms; /**< after which a caller that reads nothing
				     is disconnected, unless it may be idle for
				     longer; 0: 15 s */
	uint32_t connections_max; /**< open at the same time */
} http_inbound_limits_t;

typedef struct http_inbound_ops {
	/** A complete request was received. The handler responds by
	 * http_inbound_respond(), or by http_inbound_stream_begin(), _write()
	 * and _end(), or calls http_inbound_abort(). */
	void (*on_request)(void *arg, http_inbound_t *);
	/** The connection was closed before the response was complete; it is
	 * freed after this call. */
	void (*on_closed)(void *arg, http_inbound_t *);
	/** The output buffer was written out; called only while a response is
	 * streamed. */
	void (*on_drained)(void *arg, http_inbound_t *);
	/** A message was refused and not passed to on_request. The handler
	 * responds as to a request; the connection closes then. */
	void (*on_refused)(void *arg, http_inbound_t *, const err_t *);
	/** How long the caller waits for its response, by the head of its
	 * request, in ms: a body that takes longer is not received to its end.
	 * 0: not known. May be NULL. */
	int64_t (*caller_wait_ms)(void *arg, const http_msg_t *);
	bool host_optional;    /**< a request needs no Host header */
	bool bodies_discarded; /**< only their length is checked */
} http_inbound_ops_t;

/** @param budget of the process; the server's connections are a share of it */
http_inbound_server_t *
http_inbound_listen(struct event_base *, inbound_budget_t *budget,
    const http_address_t *, const http_inbound_ops_t *, void *arg, err_t *);
void http_inbound_server_free(http_inbound_server_t *);
void
http_inbound_set_limits(http_inbound_server_t *, const http_inbound_limits_t *);

/** Use TLS on new connections. @param tls NULL: plain HTTP */
void http_inbound_set_tls(http_inbound_server_t *, struct tls *tls);

/** Close connections until their number and what they hold are within the
 * limits, if these were lowered. */
void http_inbound_make_room(http_inbound_server_t *);

/** Leave new connections in the listen queue, or accept them again. */
void http_inbound_pause_accepting(http_inbound_server_t *, bool pause);
/** From now on, close each connection after its response. */
void http_inbound_drain(http_inbound_server_t *);
/** Close this part, 0 to 1, of the connections without a request or an unsent
 * response. */
void http_inbound_close_idle(http_inbound_server_t *, double part);
/** Close the listening socket, and the connections without a request or an
 * unsent response. */
void http_inbound_stop_accepting(http_inbound_server_t *);
/** Whether responses are awaited or unsent, or connections are being closed. */
bool http_inbound_has_responses(const http_inbound_server_t *);
/** Before the process ends: leave what is unsent of complete responses to the
 * system, which goes on to send it. The server can only be freed then. */
void http_inbound_flush(http_inbound_server_t *);
/** Bytes of responses that were not yet written to the sockets, on all
 * connections. */
size_t http_inbound_server_unsent_bytes(const http_inbound_server_t *);
uint32_t http_inbound_connection_count(const http_inbound_server_t *);

const http_msg_t *http_inbound_request(const http_inbound_t *);
/** Set how long the caller waits for its response: for as long, a minute at
 * most, it is not disconnected although it reads nothing. */
void http_inbound_set_caller_wait(http_inbound_t *, int64_t ms);
/** Account for bytes that the handler of the request holds beside its body. */
void http_inbound_set_handler_bytes(http_inbound_t *, size_t bytes);
/** The same, if there is room for them. @return false: there is none */
bool http_inbound_reserve(http_inbound_t *, size_t bytes);
/** Free the body of the request that is handled. */
void http_inbound_release_body(http_inbound_t *);
/** Write the metrics of a process. @param prefix of their names */
void http_inbound_write_metrics(
    const inbound_budget_t *, const char *prefix, struct evbuffer *out);
void http_inbound_set_user_data(http_inbound_t *, void *user_data);
void *http_inbound_user_data(const http_inbound_t *);

/** Send a complete response.
 * @param head additional header lines, each terminated by CRLF; may be NULL
 * @param body may be NULL; drained */
void http_inbound_respond(
    http_inbound_t *, int status, const char *head, struct evbuffer *body);

/** Start a response of unknown length, in chunked transfer encoding.
 * @param head as for http_inbound_respond() */
void http_inbound_stream_begin(http_inbound_t *, int status, const char *head);
/** Send a chunk. @param bytes drained */
void http_inbound_stream_write(http_inbound_t *, struct evbuffer *bytes);
void http_inbound_stream_end(http_inbound_t *);

/** Close the connection without completing the response, so that the caller
 * sees that it is truncated. */
void http_inbound_abort(http_inbound_t *);

/** End the connection of a caller that does not read its response; on_closed is
 * called from the event loop. */
void http_inbound_hang_up(http_inbound_t *);

/** Bytes of the response that were not yet written to the socket. */
size_t http_inbound_unsent_bytes(const http_inbound_t *);

#endif
