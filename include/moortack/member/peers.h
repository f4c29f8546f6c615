/**
 * @file
 * The task that exchanges messages with the other daemons: queries and
 * responses over ZeroMQ, encrypted and authenticated with the fleet's CURVE key
 * pair.
 */
#ifndef MOORTACK_MEMBER_PEERS_H
#define MOORTACK_MEMBER_PEERS_H

#include "common/counters.h"
#include "common/err.h"
#include "common/rng.h"
#include "common/task.h"
#include "common/timeline.h"
#include "moortack/member/members.h"
#include "moortack/wire/peer.pb-c.h"

#define PEER_IDENTITY_MAX 64
#define PEER_BODY_CASES 32 /**< above every body case of an Envelope */

/** What the tasks of a process share; everything pointed to outlives them. */
typedef struct process_context {
	struct event_base *base;
	const clock_source_t *clock;
	counters_t *counters;
	timeline_t *timeline;
	rng_t *rng;
	uint64_t incarnation;
} process_context_t;

/** A peer's query, as posted to the task that handles it. */
typedef struct peer_query {
	uint8_t identity[PEER_IDENTITY_MAX]; /**< ZeroMQ routing id */
	size_t identity_len;
	Wire__Envelope *envelope;
} peer_query_t;

/** The outcome of a query, as posted to the task that sent it. */
typedef struct peer_response {
	uint64_t tag;		    /**< of the peer_query_options_t */
	uint64_t from;		    /**< incarnation of the member queried */
	struct timespec queried_at; /**< boot time clock */
	Wire__Envelope *envelope;   /**< NULL: no response in time */
} peer_response_t;

/** The receiver of a query, its timeout, and where its response is posted. */
typedef struct peer_query_options {
	uint64_t to; /**< incarnation of the member */
	int timeout_ms;
	task_t *task; /**< receives a peer_response_t as a @p kind message */
	int kind;
	uint64_t tag;
} peer_query_options_t;

typedef struct peers peers_t;

/** @param address IP:PORT to bind @param secret the fleet's CURVE secret key,
 * Z85 */
peers_t *peers_new(const process_context_t *, const char *address,
    const char *secret, err_t *err);
void peers_free(peers_t *);

/** Sets the task that receives the queries of one body case, as @p kind
 * messages with a peer_query_t. */
void
peers_handler_set(peers_t *, Wire__Envelope__BodyCase, task_t *task, int kind);

/* The functions below post a message to the task. */

/** Sends a query to a member. The response, or its absence, is posted to the
 * task in the options. */
void peers_query(peers_t *, const peer_query_options_t *, Wire__Envelope *);

/** Sends a member a message that needs no response. */
void peers_send_message(peers_t *, uint64_t to, Wire__Envelope *);

/** Responds to a query. */
void peers_respond(peers_t *, const peer_query_t *, Wire__Envelope *);

/** Sets the membership; takes a reference of its own. */
void peers_members_set(peers_t *, members_t *);

void peer_query_free(void *);
void peer_response_free(void *);

#endif
