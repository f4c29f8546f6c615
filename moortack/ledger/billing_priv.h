/**
 * @file
 * What the files of the billing task share.
 */
#ifndef MOORTACK_LEDGER_BILLING_PRIV_H
#define MOORTACK_LEDGER_BILLING_PRIV_H

#include "moortack/ledger/billing.h"

#define HAND_MAX 200

enum billing_message {
	BILLING_RECORD,
	BILLING_DRAIN,
	BILLING_MEMBERS,
	BILLING_PEER_HOLDS, /**< a peer's question: keep these */
	BILLING_PEER_DROPS, /**< a peer's word: the store has these */
	BILLING_HELD,	    /**< a peer's answer */
	BILLING_HANDED,	    /**< a peer's answer to what was handed over */
};

typedef struct record {
	bill_t bill;
	uint64_t tag;
} record_t;

/** A record that no peer holds yet. */
typedef struct holding {
	bool used;
	record_t record;
	int tries;
} holding_t;

struct billing {
	process_context_t process;
	const options_t *options;
	store_t *store;
	peers_t *peers;
	billing_ports_t ports;
	task_t task;
	bill_book_t book;
	members_t *members;
	table_t holdings; /**< holding_t; its handle is the tag of a question */
	struct event *tick;
	bool flushing;
	bool draining;
	bool handing; /**< a peer is being asked to take over */
	bill_t handed[HAND_MAX];
	size_t handed_count;
	int hand_tries;
};

/** Tell the front how a record is kept. @param tag 0: it doesn't want to know
 */
void billing_news_post(billing_t *, uint64_t tag, bill_kept_t);

/** Tell the front how much room there is. */
void billing_room_post(billing_t *);

/* billing_hold.c */

/** Take a new record into the book and have a peer hold it. */
void billing_take(billing_t *, record_t *);
void billing_held(billing_t *, const peer_response_t *);
void billing_peer_holds(billing_t *, const peer_query_t *);
void billing_peer_drops(billing_t *, const peer_query_t *);

/** Have a peer take over what can't be flushed. */
void billing_hand_over(billing_t *);
void billing_handed(billing_t *, const peer_response_t *);

/* billing_flush.c */

/** Flush what is due, one incarnation at a time. */
void billing_flush(billing_t *);

#endif
