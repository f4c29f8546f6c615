/**
 * @file
 * The task that owns this daemon's witness table and answers for it, to peers
 * and to this daemon's own front.
 */
#ifndef MOORTACK_LEDGER_WITNESS_TASK_H
#define MOORTACK_LEDGER_WITNESS_TASK_H

#include "moortack/ledger/witness.h"
#include "moortack/member/peers.h"

/** A witness's answer, as the front receives it. */
typedef struct witness_result {
	uint64_t tag;
	int witness_index; /**< 0 or 1: of the ticket's witnesses */
	bool no_response;  /**< none came in time */
	witness_state_t state;
	int status;
	size_t body_len;
	char *body; /**< NULL when not kept; ended by a zero */
} witness_result_t;

typedef struct witness_task witness_task_t;

/** @param max tickets held at most
 * @param front receives witness_result_t as @p kind */
witness_task_t *witness_task_new(
    const process_t *, peers_t *, uint32_t max, task_t *front, int kind);
void witness_task_free(witness_task_t *);

/**
 * Ask the witness @p incarnation, here or at a peer.
 * @param tag the front's; 0: no answer is wanted
 * @param which 0 or 1
 */
void witness_task_query(witness_task_t *, uint64_t incarnation, uint64_t tag,
    int witness_index, const witness_query_t *query);

void witness_result_free(void *);

#endif
