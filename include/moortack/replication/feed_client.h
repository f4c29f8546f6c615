/**
 * @file
 * Asks another daemon for the rows that it knows, one question at a time.
 */
#ifndef MOORTACK_REPLICATION_FEED_CLIENT_H
#define MOORTACK_REPLICATION_FEED_CLIENT_H

#include <event2/event.h>

#include "moortack/member/peer_auth.h"
#include "moortack/member/peer_socket.h"
#include "moortack/replication/feed_wire.h"

typedef struct feed_client_ops {
	/** Fill in what the question says besides its number. */
	void (*prepare)(void *arg, feed_request_t *);
	/** An answer to a question that was asked at @p asked. */
	/** The answer may be changed; it is given back by the client. */
	void (*response)(void *arg, feed_response_t *, struct timespec asked);
	/** The answer takes longer than answers do. */
	void (*slow)(void *arg);
	/** No answer came in time. */
	void (*timeout)(void *arg);
} feed_client_ops_t;

typedef struct feed_client {
	struct event_base *base;
	const clock_source_t *clock;
	void *context;
	const peer_auth_t *auth;
	const feed_client_ops_t *ops;
	void *arg;
	peer_socket_t dealer; /**< closed: nobody is asked */
	struct event *timer;  /**< until the answer is late */
	bool slow;	      /**< told as slow */
	uint64_t request_id;  /**< of the question that is out */
	struct timespec sent_at;
} feed_client_t;

bool
feed_client_init(feed_client_t *, struct event_base *, const clock_source_t *,
    void *context, const peer_auth_t *, const feed_client_ops_t *, void *arg);
void feed_client_finish(feed_client_t *);

/** Ask the daemon at @p address (tcp://IP:PORT) from now on. */
bool feed_client_connect(feed_client_t *, const char *address);
void feed_client_disconnect(feed_client_t *);

#endif
