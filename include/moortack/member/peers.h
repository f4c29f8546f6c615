/**
 * @file
 * The task that talks to the other daemons: questions and answers over ZeroMQ,
 * encrypted and authenticated with one key pair of the fleet (CURVE).
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

/** What a process's tasks share; each outlives them. */
typedef struct process_context {
	struct event_base *base;
	const clock_source_t *clock;
	counters_t *counters;
	timeline_t *timeline;
	rng_t *rng;
	uint64_t incarnation;
} process_context_t;

/** A peer's question, as the task that answers it receives it. */
typedef struct peer_query {
	uint8_t identity[PEER_IDENTITY_MAX]; /**< the way back */
	size_t identity_len;
	Wire__Envelope *envelope;
} peer_query_t;

/** The answer to a question, as the asking task receives it. */
typedef struct peer_response {
	uint64_t tag;		    /**< the asker's own */
	uint64_t from;		    /**< incarnation that was asked */
	struct timespec queried_at; /**< elapsed clock */
	Wire__Envelope *envelope;   /**< NULL: none came in time */
} peer_response_t;

/** How an answer finds its asker. */
typedef struct peer_query_options {
	uint64_t to; /**< incarnation */
	int timeout_ms;
	task_t *task; /**< receives a peer_response_t */
	int kind;
	uint64_t tag;
} peer_query_options_t;

typedef struct peers peers_t;

/** @param address IP:PORT to bind @param secret the fleet's secret key, Z85 */
peers_t *peers_new(const process_context_t *, const char *address,
    const char *secret, err_t *err);
void peers_free(peers_t *);

/** Let @p task receive questions of one body case, as @p kind messages with a
 * peer_query_t. */
void
peers_handler_set(peers_t *, Wire__Envelope__BodyCase, task_t *task, int kind);

/* The calls below post to the task. */

/** Ask a member. The answer, or its absence, is posted to the asker. */
void peers_query(peers_t *, const peer_query_options_t *, Wire__Envelope *);

/** Tell a member something that needs no answer. */
void peers_send_message(peers_t *, uint64_t to, Wire__Envelope *);

/** Answer a question. */
void peers_respond(peers_t *, const peer_query_t *, Wire__Envelope *);

/** Who the members are now. */
void peers_members_set(peers_t *, members_t *);

void peer_query_free(void *);
void peer_response_free(void *);

#endif
