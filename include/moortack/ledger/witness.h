/**
 * @file
 * A witness's records of single-use tickets: a bounded table, in memory.
 *
 * A ticket names two witnesses. An attempt may be sent to an endpoint only
 * after both have granted it. Hence a witness that was never queried, or that
 * has revoked the ticket, proves that no attempt ran or will run.
 */
#ifndef MOORTACK_LEDGER_WITNESS_H
#define MOORTACK_LEDGER_WITNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TICKET_ID_SIZE 16
#define WITNESS_BODY_MAX 4096

typedef enum witness_op {
	WITNESS_OP_GRANT,   /**< let this attempt run, once */
	WITNESS_OP_REVOKE,  /**< the ticket must never run from now on */
	WITNESS_OP_OUTCOME, /**< the attempt ran, with this response */
	WITNESS_OP_UNSENT,  /**< it was granted, but no byte was sent */
} witness_op_t;

typedef enum witness_state {
	WITNESS_ABSENT,		   /**< not in the table */
	WITNESS_GRANTED,	   /**< to an attempt; its outcome isn't
					known here */
	WITNESS_COMPLETED,	   /**< ran, with this response */
	WITNESS_REVOKED,	   /**< can never run */
	WITNESS_EXPIRED,	   /**< the ticket has expired, and its
				 record may have been removed */
	WITNESS_GRANTED_TO_SENDER, /**< to the attempt that sent the
					query: it may run */
	WITNESS_FULL,		   /**< the table is full */
} witness_state_t;

typedef struct witness_query {
	witness_op_t op;
	uint8_t ticket[TICKET_ID_SIZE];
	int64_t expires_ms; /**< wall-clock */
	uint64_t attempt;   /**< random; a repeated grant of it is one grant */
	int status;	    /**< WITNESS_OP_OUTCOME: of the response */
	const void *body;   /**< WITNESS_OP_OUTCOME: of the response */
	size_t body_len;    /**< bytes; over WITNESS_BODY_MAX it isn't stored */
} witness_query_t;

/** The body points into the table and is valid until the next call. */
typedef struct witness_response {
	witness_state_t state;
	int status;
	const void *body; /**< NULL when it wasn't stored */
	size_t body_len;
} witness_response_t;

typedef struct witness_entry witness_entry_t;

typedef struct witness {
	witness_entry_t *entries; /**< by ticket */
	uint32_t entries_max;	  /**< tickets held at most */
	int64_t latest_wall_ms;	  /**< latest time seen; never decreases */
	int64_t next_expiry_ms;
} witness_t;

void witness_init(witness_t *, uint32_t max);
void witness_finish(witness_t *);

/** Apply one query at wall-clock time @p wall_ms. */
witness_response_t
witness_apply(witness_t *, const witness_query_t *, int64_t wall_ms);

/** The number of tickets held. */
uint32_t witness_count(const witness_t *);

#endif
