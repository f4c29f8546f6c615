/**
 * @file
 * The billing records that the store does not yet have: this daemon's own, and
 * those held for peers as their witness. Any holder may flush any record at any
 * time, since the store's mark of an incarnation says which it has.
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
	uint32_t records_max;	/**< records at most */
	uint32_t own_count;	/**< records of this daemon */
	uint64_t last_sequence; /**< last number given out */
	int64_t held_ms; /**< a peer's record is flushed once held this long */
} bill_book_t;

void bill_book_init(
    bill_book_t *, uint64_t incarnation, uint32_t max, int64_t held_ms);
void bill_book_finish(bill_book_t *);

/** Give @p bill its identity and keep it. @return false when full */
bool bill_book_record(bill_book_t *, bill_t *bill, struct timespec now);

/** Keep a peer's record. A second copy changes nothing. @return false: full */
bool bill_book_hold(bill_book_t *, const bill_t *, struct timespec now);

/** An incarnation with records due for the store. @return false: none
 * @param all also those that peers will most likely flush themselves */
bool bill_book_due(
    const bill_book_t *, struct timespec now, bool all, uint64_t *incarnation);

/** Copy up to @p max records of @p incarnation that @p mark lacks, add their
 * numbers to @p mark, and drop those that it has. @return records copied */
size_t bill_book_collect(bill_book_t *, uint64_t incarnation,
    interval_set_t *flushed, bill_t *out, size_t max);

/** Copy any records. @return how many */
size_t bill_book_copy(const bill_book_t *, bill_t *out, size_t max);

/** The store has these numbers of the incarnation. */
void bill_book_remove(
    bill_book_t *, uint64_t incarnation, uint64_t first, uint64_t last);

uint32_t bill_book_count(const bill_book_t *);

/** Whether another record of its own fits; peers may take up half. */
bool bill_book_has_room(const bill_book_t *);

#endif
