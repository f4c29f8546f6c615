/**
 * @file
 * Serves the rows that this daemon has to other daemons, over ZeroMQ. A
 * request is held until something changes, or for a limited time (long
 * polling).
 */
#ifndef MOORTACK_REPLICATION_FEED_SERVER_H
#define MOORTACK_REPLICATION_FEED_SERVER_H

#include <event2/event.h>

#include "common/work_meter.h"
#include "moortack/member/peer_auth.h"
#include "moortack/member/peer_listener.h"
#include "moortack/member/peer_socket.h"
#include "moortack/replication/feed_body.h"

typedef struct feed_pending feed_pending_t;

typedef struct feed_server_ops {
	/** Fills in the current state of the tables. */
	void (*fill_state)(void *arg, feed_response_t *);
	/** A request of another daemon arrived. */
	void (*request)(void *arg, const feed_request_t *);
} feed_server_ops_t;

typedef struct feed_server {
	const clock_source_t *clock;
	const row_cache_t *cache;
	const feed_server_ops_t *ops;
	void *arg;
	uint64_t incarnation;
	/** A request is held for this long at most. By this time the rows of
	 * the followers are older than those of this daemon. */
	int64_t hold_ms;
	void *context;
	const peer_auth_t *auth;
	peer_socket_t router;
	peer_listener_t listener;
	peer_socket_t zap;
	struct event *flush; /**< responds to held requests */
	feed_pending_t *pending;
	uint32_t pending_len;
	bool paused;
	bool respond_all; /**< respond to all held requests at the next flush */
	bool store_unavailable; /**< to this daemon */
	bool leaving;		/**< followers have to follow another daemon */
	feed_body_cache_t body_cache;
	uint64_t responses;
	uint64_t bytes_sent;
	work_meter_t *meter; /**< NULL: none */
} feed_server_t;

/** Starts serving.
 * @param context of ZeroMQ
 * @param address tcp://IP:PORT to bind
 * @param connections_max of other daemons */
bool feed_server_init(feed_server_t *, struct event_base *,
    const clock_source_t *, void *context, const peer_auth_t *,
    const char *address, const row_cache_t *, const feed_server_ops_t *,
    void *arg, uint64_t incarnation, int64_t hold_ms, uint32_t connections_max);
void feed_server_finish(feed_server_t *);

/** Sets what responses say of this daemon: that the store is unavailable to it,
 * and that followers have to follow another one. If that changes, held
 * requests get their responses at once. */
void
feed_server_set_status(feed_server_t *, bool store_unavailable, bool leaving);

/** The rows are suddenly much more recent, even if none has changed: responds
 * to all held requests. */
void feed_server_respond_all(feed_server_t *);

/** While paused, changes are not sent at once, but with the next flush: more
 * changes follow within moments. */
void feed_server_pause(feed_server_t *, bool paused);

/** The cache has changed: responds to the held requests that this concerns. */
void feed_server_cache_changed(feed_server_t *);

#endif
