/**
 * @file
 * The task that owns this daemon's witness table, and applies the queries of
 * peers and of this daemon's own front to it.
 */
#ifndef MOORTACK_LEDGER_WITNESS_TASK_H
#define MOORTACK_LEDGER_WITNESS_TASK_H

#include "moortack/ledger/witness.h"
#include "moortack/member/peers.h"

/** A witness's response, as the front receives it. */
typedef struct witness_result {
	uint64_t tag;
	int witness_index; /**< 0 or 1: of the ticket's witnesses */
	bool no_response;  /**< none came in time */
	witness_state_t state;
	int status;
	size_t body_len;
	char *body; /**< NULL when not stored; ends with a zero byte */
} witness_result_t;

typedef struct witness_task witness_task_t;

/** @param max tickets held at most
 * @param front receives witness_result_t as @p kind */
witness_task_t *witness_task_new(const process_context_t *, peers_t *,
    uint32_t max, task_t *front, int kind);
void witness_task_free(witness_task_t *);

/**
 * Query the witness @p incarnation, which is this daemon or a peer.
 * @param tag of the result; 0: no result is posted
 * @param witness_index 0 or 1
 */
void witness_task_query(witness_task_t *, uint64_t incarnation, uint64_t tag,
    int witness_index, const witness_query_t *query);

void witness_result_free(void *);

#endif
