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
typedef enum bill_kept {
	BILL_HELD,   /**< by a peer, or in the store */
	BILL_ALONE,  /**< by this daemon only: no peer answered */
	BILL_REFUSED /**< not at all: the book is full */
} bill_kept_t;

/** As the front receives it. */
typedef struct billing_news {
	uint64_t tag;
	bill_kept_t kept;
} billing_news_t;

/** Whether new billable work may be taken, as the front receives it. */
typedef struct billing_room {
	uint32_t count; /**< records not yet in the store */
	uint32_t max;
	bool drained; /**< draining, and nothing is left here */
} billing_room_t;

typedef struct billing billing_t;

typedef struct billing_ports {
	task_t *front;
	int news; /**< kind; body: billing_news_t */
	int room; /**< kind; body: billing_room_t */
} billing_ports_t;

billing_t *billing_new(const process_context_t *, const options_t *, store_t *,
    peers_t *, const billing_ports_t *);
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
