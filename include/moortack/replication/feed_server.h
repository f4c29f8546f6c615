/**
 * @file
 * Serves the rows that this daemon knows to other daemons, over ZeroMQ: a
 * question is held until something changes, or for a short time.
 */
#ifndef MOORTACK_REPLICATION_FEED_SERVER_H
#define MOORTACK_REPLICATION_FEED_SERVER_H

#include <event2/event.h>

#include "moortack/member/peer_auth.h"
#include "moortack/member/peer_socket.h"
#include "moortack/replication/feed_body.h"

typedef struct feed_pending feed_pending_t;

typedef struct feed_server_ops {
	/** Fill in how far each table is known, now. */
	void (*fill_state)(void *arg, feed_response_t *);
	/** Another daemon asked. */
	void (*request)(void *arg, const feed_request_t *);
} feed_server_ops_t;

typedef struct feed_server {
	const clock_source_t *clock;
	const row_cache_t *cache;
	const feed_server_ops_t *ops;
	void *arg;
	uint64_t incarnation;
	int64_t hold_ms; /**< a question is held this long: the time by which
			    what others know is older than what this daemon
			    knows */
	void *context;
	const peer_auth_t *auth;
	peer_socket_t router;
	peer_socket_t zap;
	struct event *flush; /**< answers those who wait */
	feed_pending_t *pending;
	uint32_t pending_len;
	bool respond_all;	/**< what is known has become newer at once */
	bool store_unavailable; /**< the store does not answer this daemon */
	bool leaving;		/**< those who ask are to go elsewhere */
	feed_body_cache_t body_cache;
	uint64_t responses;
	uint64_t bytes_sent;
} feed_server_t;

/** @param context of ZeroMQ @param address tcp://IP:PORT to bind */
bool feed_server_init(feed_server_t *, struct event_base *,
    const clock_source_t *, void *context, const peer_auth_t *,
    const char *address, const row_cache_t *, const feed_server_ops_t *,
    void *arg, uint64_t incarnation, int64_t hold_ms);
void feed_server_finish(feed_server_t *);

/** Tell those who ask at once that the store does not answer this daemon. */
void feed_server_set_status(feed_server_t *, bool lost, bool leaving);

/** What is known is suddenly much newer: tell those who wait. */
void feed_server_respond_all(feed_server_t *);

/** The cache has changed: answer those who wait. */
void feed_server_cache_changed(feed_server_t *);

#endif
