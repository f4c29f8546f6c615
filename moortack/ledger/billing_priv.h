/**
 * @file
 * What the files of the billing task share.
 */
#ifndef MOORTACK_LEDGER_BILLING_PRIV_H
#define MOORTACK_LEDGER_BILLING_PRIV_H

#include "moortack/ledger/billing.h"

#define HANDOVER_MAX 200

enum billing_message {
	BILLING_RECORD,
	BILLING_DRAIN,
	BILLING_MEMBERS,
	BILLING_HOLD_QUERY,	   /**< a peer's question: keep these */
	BILLING_DROP_MESSAGE,	   /**< a peer's word: the store has these */
	BILLING_HOLD_RESPONSE,	   /**< a peer's answer */
	BILLING_HANDOVER_RESPONSE, /**< a peer's answer to what was handed over
				    */
};

typedef struct tagged_bill {
	bill_t bill;
	uint64_t tag;
} tagged_bill_t;

/** A record that no peer holds yet. */
typedef struct pending_hold {
	bool used;
	tagged_bill_t tagged_bill;
	int tries;
} pending_hold_t;

struct billing {
	process_t process;
	const options_t *options;
	store_t *store;
	peers_t *peers;
	billing_listener_t listener;
	task_t task;
	bill_book_t book;
	members_t *members;
	table_t pending_holds; /**< pending_hold_t; its handle is the tag of a
				  question */
	struct event *flush_timer;
	bool flushing;
	bool draining;
	bool handover_pending; /**< a peer is being asked to take over */
	bill_t handover_bills[HANDOVER_MAX];
	size_t handover_count;
	int handover_tries;
};

/** Tell the front how a record is kept. @param tag 0: it doesn't want to know
 */
void billing_result_post(billing_t *, uint64_t tag, bill_durability_t);

/** Tell the front how much room there is. */
void billing_status_post(billing_t *);

/* billing_hold.c */

/** Take a new record into the book and have a peer hold it. */
void billing_bill_accept(billing_t *, tagged_bill_t *);
void billing_hold_responded(billing_t *, const peer_answer_t *);
void billing_hold_query(billing_t *, const peer_question_t *);
void billing_drop_message(billing_t *, const peer_question_t *);

/** Have a peer take over what can't be flushed. */
void billing_handover_start(billing_t *);
void billing_handover_responded(billing_t *, const peer_answer_t *);

/* billing_flush.c */

/** Flush what is due, one incarnation at a time. */
void billing_flush(billing_t *);

#endif
