/**
 * @file
 * Declarations shared by the files of the billing task.
 */
#ifndef MOORTACK_LEDGER_BILLING_PRIV_H
#define MOORTACK_LEDGER_BILLING_PRIV_H

#include "moortack/ledger/billing.h"

#define HANDOVER_MAX 200

enum billing_message {
	BILLING_RECORD,
	BILLING_DRAIN,
	BILLING_MEMBERS,
	BILLING_HOLD_QUERY,	   /**< a peer's query to hold these records */
	BILLING_DROP_MESSAGE,	   /**< a peer's message: the store has these
				   records */
	BILLING_HOLD_RESPONSE,	   /**< a peer's response */
	BILLING_HANDOVER_RESPONSE, /**< a peer's response to a handover */
};

/** A posted record and the tag of its result. */
typedef struct tagged_bill {
	bill_t bill;
	uint64_t tag;
} tagged_bill_t;

/** A record that no peer holds yet, while peers are queried one by one. */
typedef struct pending_hold {
	bool used;
	tagged_bill_t tagged_bill;
	int tries;
} pending_hold_t;

struct billing {
	process_context_t process;
	const options_t *options;
	store_t *store;
	peers_t *peers;
	billing_listener_t listener;
	task_t task;
	bill_book_t book;
	members_t *members;
	table_t pending_holds; /**< pending_hold_t; its handle is the query's
				  tag */
	struct event *flush_timer;
	bool flushing;
	bool draining;
	bool handover_pending; /**< a peer was queried to take over records */
	bill_t handover_bills[HANDOVER_MAX];
	size_t handover_count;
	int handover_tries;
};

/** Post a record's result to the front. @param tag 0: no result is posted */
void billing_result_post(billing_t *, uint64_t tag, bill_durability_t);

/** Post to the front how many records are not flushed yet. */
void billing_status_post(billing_t *);

/* billing_hold.c */

/** Add a new record to the book and have a peer hold a copy. */
void billing_bill_accept(billing_t *, tagged_bill_t *);
void billing_hold_responded(billing_t *, const peer_response_t *);
void billing_hold_query(billing_t *, const peer_query_t *);
void billing_drop_message(billing_t *, const peer_query_t *);

/** Hand over records that can't be flushed to a peer. */
void billing_handover_start(billing_t *);
void billing_handover_responded(billing_t *, const peer_response_t *);

/* billing_flush.c */

/** Flush the records that are due, one incarnation at a time. */
void billing_flush(billing_t *);

#endif
