/**
 * @file
 * Redeeming one single-use ticket: derives the result from the responses of its
 * two witnesses. It does no input or output: the caller sends the queries and
 * records the responses.
 */
#ifndef MOORTACK_LEDGER_REDEEM_H
#define MOORTACK_LEDGER_REDEEM_H

#include <stdbool.h>

#include "moortack/ledger/witness.h"

#define REDEEM_WITNESSES 2

/** The result so far. */
typedef enum redeem_result {
	REDEEM_PENDING,	     /**< a response is still needed */
	REDEEM_GRANTED,	     /**< send the request: no other attempt may */
	REDEEM_NOT_RUN,	     /**< no attempt ran, and none will */
	REDEEM_COMPLETED,    /**< an attempt ran; a witness has its response */
	REDEEM_UNKNOWN,	     /**< an attempt may have run */
	REDEEM_WITNESS_FULL, /**< a witness is full; this attempt doesn't run */
} redeem_result_t;

typedef struct redeem {
	bool resolved[REDEEM_WITNESSES];    /**< responded, or given up on */
	bool no_response[REDEEM_WITNESSES]; /**< no response came in time */
	witness_state_t states[REDEEM_WITNESSES];
} redeem_t;

void redeem_init(redeem_t *);

/** Record that @p witness responded. */
void redeem_record_response(redeem_t *, int witness, witness_state_t);

/** Record that @p witness did not respond in time, or is down. */
void redeem_record_no_response(redeem_t *, int witness);

redeem_result_t redeem_result(const redeem_t *);

/** Whether @p witness granted this attempt, or may have, so that
 * WITNESS_OP_UNSENT must be sent to it when the attempt is given up. */
bool redeem_may_be_granted(const redeem_t *, int witness);

#endif
