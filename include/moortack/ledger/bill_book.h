/**
 * @file
 * The billing records that are not yet in the store: this daemon's own, and
 * copies held for peers. Any daemon that holds a record may flush it at any
 * time: for each incarnation, the store has the set of the sequence numbers
 * that were flushed, so that no record is written twice.
 */
#ifndef MOORTACK_LEDGER_BILL_BOOK_H
#define MOORTACK_LEDGER_BILL_BOOK_H

#include "common/clock_source.h"
#include "moortack/ledger/bill.h"
#include "moortack/ledger/interval_set.h"

typedef struct book_entry book_entry_t;

typedef struct bill_book {
	book_entry_t *entries;
	uint64_t incarnation;	/**< this daemon's */
	uint32_t records_max;	/**< of its own and for peers */
	uint32_t own_count;	/**< this daemon's records */
	uint64_t last_sequence; /**< last sequence number assigned */
	int64_t held_ms; /**< after this time a peer's record is flushed here */
} bill_book_t;

void bill_book_init(
    bill_book_t *, uint64_t incarnation, uint32_t max, int64_t held_ms);
void bill_book_finish(bill_book_t *);

/** Assign @p bill its identity and add it. @return false when the book is full
 * or memory is out */
bool bill_book_record(bill_book_t *, bill_t *bill, struct timespec now);

/** Add a copy of a peer's record, unless it is there already.
 * @return false when peers' records take up half of the book or memory is out
 */
bool bill_book_hold(bill_book_t *, const bill_t *, struct timespec now);

/** Find an incarnation with records that are due to be flushed.
 * @param all also records that their own daemon will most likely flush itself
 * @return false when there is none */
bool bill_book_due(
    const bill_book_t *, struct timespec now, bool all, uint64_t *incarnation);

/** Copy up to @p max records of @p incarnation that are not in @p flushed, and
 * add their sequence numbers to it. Records that were in @p flushed are removed
 * from the book. @return records copied */
size_t bill_book_collect(bill_book_t *, uint64_t incarnation,
    interval_set_t *flushed, bill_t *out, size_t max);

/** Copy up to @p max records, of any incarnation. @return records copied */
size_t bill_book_copy(const bill_book_t *, bill_t *out, size_t max);

/** Remove the records @p first to @p last of the incarnation: the store has
 * them. */
void bill_book_remove(
    bill_book_t *, uint64_t incarnation, uint64_t first, uint64_t last);

uint32_t bill_book_count(const bill_book_t *);

/** Whether there is room for another record of this daemon. */
bool bill_book_has_room(const bill_book_t *);

#endif
