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
#define PEER_BODIES 32 /**< above every body case of an Envelope */

/** What a process's tasks share; each outlives them. */
typedef struct process {
	struct event_base *base;
	const clock_source_t *clock;
	counters_t *counters;
	timeline_t *timeline;
	rng_t *rng;
	uint64_t incarnation;
} process_t;

/** A peer's question, as the task that answers it receives it. */
typedef struct peer_question {
	uint8_t identity[PEER_IDENTITY_MAX]; /**< the way back */
	size_t identity_len;
	Wire__Envelope *envelope;
} peer_question_t;

/** The answer to a question, as the asking task receives it. */
typedef struct peer_answer {
	uint64_t tag;		  /**< the asker's own */
	uint64_t from;		  /**< incarnation that was asked */
	struct timespec asked_at; /**< elapsed clock */
	Wire__Envelope *envelope; /**< NULL: none came in time */
} peer_answer_t;

/** How an answer finds its asker. */
typedef struct peer_ask {
	uint64_t to; /**< incarnation */
	int timeout_ms;
	task_t *task; /**< receives a peer_answer_t */
	int kind;
	uint64_t tag;
} peer_ask_t;

typedef struct peers peers_t;

/** @param address IP:PORT to bind @param secret the fleet's secret key, Z85 */
peers_t *peers_new(
    const process_t *, const char *address, const char *secret, err_t *err);
void peers_free(peers_t *);

/** Let @p task receive questions of one body case, as @p kind messages with a
 * peer_question_t. */
void peers_route(peers_t *, Wire__Envelope__BodyCase, task_t *task, int kind);

/* The calls below post to the task. */

/** Ask a member. The answer, or its absence, is posted to the asker. */
void peers_ask(peers_t *, const peer_ask_t *, Wire__Envelope *);

/** Tell a member something that needs no answer. */
void peers_tell(peers_t *, uint64_t to, Wire__Envelope *);

/** Answer a question. */
void peers_answer(peers_t *, const peer_question_t *, Wire__Envelope *);

/** Who the members are now. */
void peers_members(peers_t *, members_t *);

void peer_question_free(void *);
void peer_answer_free(void *);

#endif
