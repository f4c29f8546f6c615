/**
 * @file
 * Requests rows from another daemon, one request at a time.
 */
#ifndef MOORTACK_REPLICATION_FEED_CLIENT_H
#define MOORTACK_REPLICATION_FEED_CLIENT_H

#include <event2/event.h>

#include "common/work_meter.h"
#include "moortack/member/peer_auth.h"
#include "moortack/member/peer_socket.h"
#include "moortack/replication/feed_wire.h"

typedef struct feed_client_ops {
	/** Fills in the request, except for its id. */
	void (*prepare)(void *arg, feed_request_t *);
	/** Handles the response to a request that was sent at @p sent_at. The
	 * response may be modified; the client releases it.
	 * @return whether to send the next request now; otherwise
	 * feed_client_request_next() does */
	bool (*response)(void *arg, feed_response_t *, struct timespec sent_at);
	/** The response takes longer than responses usually do. */
	void (*slow)(void *arg);
	/** No response arrived in time. */
	void (*timeout)(void *arg);
} feed_client_ops_t;

typedef struct feed_client {
	struct event_base *base;
	const clock_source_t *clock;
	void *context;
	const peer_auth_t *auth;
	const feed_client_ops_t *ops;
	void *arg;
	peer_socket_t dealer; /**< closed while no daemon is followed */
	struct event *timer;  /**< until the response is slow, or times out */
	bool slow;	      /**< the slow callback has been called */
	bool in_flight;	      /**< a response is awaited */
	uint64_t request_id;  /**< of the request in flight */
	struct timespec sent_at;
	work_meter_t *meter; /**< NULL: none */
} feed_client_t;

bool
feed_client_init(feed_client_t *, struct event_base *, const clock_source_t *,
    void *context, const peer_auth_t *, const feed_client_ops_t *, void *arg);
void feed_client_finish(feed_client_t *);

/** Starts requesting rows from the daemon at @p address (tcp://IP:PORT). */
bool feed_client_connect(feed_client_t *, const char *address);
void feed_client_disconnect(feed_client_t *);
/** Sends the next request, unless one is in flight or no daemon is followed. */
void feed_client_request_next(feed_client_t *);

#endif
