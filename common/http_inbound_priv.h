/**
 * @file
 * What the files of http_inbound share: connections (http_inbound.c) and the
 * server that takes them (http_inbound_server.c).
 */
#ifndef COMMON_HTTP_INBOUND_PRIV_H
#define COMMON_HTTP_INBOUND_PRIV_H

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "common/http_inbound.h"

typedef enum inbound_state {
	INBOUND_READING,
	INBOUND_HANDLING,  /**< the request is with its handler */
	INBOUND_STREAMING, /**< its answer is under way */
	INBOUND_LINGERING, /**< the answer is written; the connection closes */
} inbound_state_t;

struct http_inbound {
	http_inbound_server_t *server;
	struct bufferevent *bev;
	http_reader_t reader;
	inbound_state_t state;
	bool close_after_response;
	bool body_too_large;
	uint64_t
	    wait_seq; /**< counted on when it began to wait for a request */
	void *user_data;
	http_inbound_t *next;
	http_inbound_t *prev;
};

struct http_inbound_server {
	struct event_base *base;
	struct evconnlistener *listener;
	const http_inbound_ops_t *ops;
	void *arg;
	http_inbound_limits_t limits;
	http_inbound_t *connections;
	uint32_t connections_len;
	uint64_t next_wait_seq;
	bool draining;
};

/** Begin to read requests of a new connection; its socket is taken over, also
 * on failure. */
void inbound_open(http_inbound_server_t *, evutil_socket_t fd);
/** Close; its handler is not told. */
void inbound_free(http_inbound_t *);
/** Whether a request has begun to come in. */
bool inbound_request_started(const http_inbound_t *);

#endif
