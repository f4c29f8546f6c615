/**
 * @file
 * The task that sees each billing record into the store exactly once: it has a
 * peer hold a copy before the last byte goes to the caller, and flushes.
 */
#ifndef MOORTACK_LEDGER_BILLING_H
#define MOORTACK_LEDGER_BILLING_H

#include "moortack/ledger/bill_book.h"
#include "moortack/member/peers.h"
#include "moortack/options.h"
#include "moortack/store/store.h"

/** How well a record is kept. */
typedef enum bill_durability {
	BILL_REPLICATED,   /**< by a peer, or in the store */
	BILL_UNREPLICATED, /**< by this daemon only: no peer answered */
	BILL_NOT_RECORDED  /**< not at all: the book is full */
} bill_durability_t;

/** As the front receives it. */
typedef struct billing_result {
	uint64_t tag;
	bill_durability_t durability;
} billing_result_t;

/** Whether new billable work may be taken, as the front receives it. */
typedef struct billing_status {
	uint32_t unflushed_count; /**< records not yet in the store */
	uint32_t unflushed_max;
	bool drained; /**< draining, and nothing is left here */
} billing_status_t;

typedef struct billing billing_t;

typedef struct billing_listener {
	task_t *front;
	int result_kind; /**< kind; body: billing_result_t */
	int status_kind; /**< kind; body: billing_status_t */
} billing_listener_t;

billing_t *billing_new(const process_t *, const options_t *, store_t *,
    peers_t *, const billing_listener_t *);
void billing_free(billing_t *);

/** Post a record. @param tag of the answer; 0: none wanted */
void billing_record(billing_t *, const bill_t *, uint64_t tag);

/** Post that this daemon leaves: everything is flushed at once or, when the
 * store is out, handed over to a peer. */
void billing_drain(billing_t *);

/** Where the registry posts a members_t, and as what. */
task_t *billing_task(billing_t *);
int billing_members_kind(void);

#endif
