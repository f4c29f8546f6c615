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

typedef struct feed_waiting feed_waiting_t;

typedef struct feed_server_ops {
	/** Fill in how far each table is known, now. */
	void (*state)(void *arg, feed_answer_t *);
	/** Another daemon asked. */
	void (*heard)(void *arg, const feed_question_t *);
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
	feed_waiting_t *waiting;
	uint32_t waiting_len;
	bool refresh; /**< what is known has become newer at once */
	bool lost;    /**< the store does not answer this daemon */
	bool leaving; /**< those who ask are to go elsewhere */
	feed_bodies_t bodies;
	uint64_t answers;
	uint64_t bytes;
} feed_server_t;

/** @param context of ZeroMQ @param address tcp://IP:PORT to bind */
bool feed_server_init(feed_server_t *, struct event_base *,
    const clock_source_t *, void *context, const peer_auth_t *,
    const char *address, const row_cache_t *, const feed_server_ops_t *,
    void *arg, uint64_t incarnation, int64_t hold_ms);
void feed_server_finish(feed_server_t *);

/** Tell those who ask at once that the store does not answer this daemon. */
void feed_server_set_lost(feed_server_t *, bool lost, bool leaving);

/** What is known is suddenly much newer: tell those who wait. */
void feed_server_refresh(feed_server_t *);

/** The cache has changed: answer those who wait. */
void feed_server_changed(feed_server_t *);

#endif
