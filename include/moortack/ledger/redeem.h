/**
 * @file
 * Redeeming one single-use ticket: what the answers of its two witnesses add up
 * to. Pure: the caller sends the questions and feeds the answers.
 */
#ifndef MOORTACK_LEDGER_REDEEM_H
#define MOORTACK_LEDGER_REDEEM_H

#include <stdbool.h>

#include "moortack/ledger/witness.h"

#define REDEEM_WITNESSES 2

/** What is known so far. */
typedef enum redeem_result {
	REDEEM_PENDING,	     /**< an answer is still needed */
	REDEEM_GRANTED,	     /**< send it: nobody else may */
	REDEEM_NOT_RUN,	     /**< no attempt ran, or ever will */
	REDEEM_COMPLETED,    /**< an attempt ran; a witness has its answer */
	REDEEM_UNKNOWN,	     /**< an attempt may have run */
	REDEEM_WITNESS_FULL, /**< a witness is full: not run by this attempt */
} redeem_result_t;

typedef struct redeem {
	bool resolved[REDEEM_WITNESSES];    /**< or given up on */
	bool no_response[REDEEM_WITNESSES]; /**< no answer came in time */
	witness_state_t states[REDEEM_WITNESSES];
} redeem_t;

void redeem_init(redeem_t *);

/** Witness @p which answered. */
void redeem_record_response(redeem_t *, int witness, witness_state_t);

/** Witness @p which did not answer in time, or is gone. */
void redeem_record_no_response(redeem_t *, int witness);

redeem_result_t redeem_result(const redeem_t *);

/** Whether witness @p which let this attempt go, or may have, and must be told
 * "unsent" when the attempt is given up. */
bool redeem_may_be_granted(const redeem_t *, int witness);

#endif
