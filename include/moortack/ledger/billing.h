/**
 * @file
 * The task that writes each billing record to the store exactly once. Before
 * the last byte of a response goes to the caller, a peer holds a copy of its
 * record; the records are flushed to the store in batches.
 */
#ifndef MOORTACK_LEDGER_BILLING_H
#define MOORTACK_LEDGER_BILLING_H

#include "moortack/ledger/bill_book.h"
#include "moortack/member/peers.h"
#include "moortack/options.h"
#include "moortack/store/store.h"

/** Where a record is held after it was posted. */
typedef enum bill_durability {
	BILL_REPLICATED,   /**< by a peer, too, or in the store */
	BILL_UNREPLICATED, /**< by this daemon only: no peer responded */
	BILL_NOT_RECORDED  /**< nowhere: the book is full */
} bill_durability_t;

/** The result of billing_record(), as the front receives it. */
typedef struct billing_result {
	uint64_t tag;
	bill_durability_t durability;
} billing_result_t;

/** How many records are not flushed yet, as the front receives it. No billable
 * requests are accepted at the limit. */
typedef struct billing_status {
	uint32_t unflushed_count; /**< records not yet in the store */
	uint32_t unflushed_max;
	bool drained; /**< draining, and no record is left here */
} billing_status_t;

typedef struct billing billing_t;

/** The task that receives results and the status, and their message kinds. */
typedef struct billing_listener {
	task_t *front;
	int result_kind; /**< body: billing_result_t */
	int status_kind; /**< body: billing_status_t */
} billing_listener_t;

billing_t *billing_new(const process_context_t *, const options_t *, store_t *,
    peers_t *, const billing_listener_t *);
void billing_free(billing_t *);

/** Post a record. @param tag of the result; 0: no result is posted */
void billing_record(billing_t *, const bill_t *, uint64_t tag);

/** Post that this daemon shuts down: all records are flushed at once or, while
 * the store is unavailable, handed over to a peer. */
void billing_drain(billing_t *);

/** The task to which the registry posts a members_t, and the message kind. */
task_t *billing_task(billing_t *);
int billing_members_kind(void);

#endif
