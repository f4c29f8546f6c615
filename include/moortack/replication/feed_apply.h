/**
 * @file
 * Selects the rows that a response carries, and applies the rows of a received
 * response without replacing newer ones.
 */
#ifndef MOORTACK_REPLICATION_FEED_APPLY_H
#define MOORTACK_REPLICATION_FEED_APPLY_H

#include "moortack/replication/feed_wire.h"

/** Called for each row that is newer than the cached one and for each deletion;
 * it has to put them into the cache. */
typedef void (*feed_row_cb_t)(void *arg, row_table_t, const row_t *);

/** Up to where the rows of a response are applied: the operators' rows come
 * first, so that a configuration waits for no others. */
typedef struct feed_cursor {
	bool operators_done;
	size_t next;
} feed_cursor_t;

/* The rows of a response are applied one by one, between which other rows may
 * change. */

void feed_apply_begin(const feed_response_t *, row_cache_t *);
/** Applies the next row, if any: passes it to @p on_row if it is newer than the
 * cached one.
 * @return false: all are applied */
bool feed_apply_next(const feed_response_t *, row_cache_t *, feed_cursor_t *,
    feed_row_cb_t on_row, void *arg);
/** Marks the rows that were not sent since the requester has them as listed.
 * @param requested last change of the cache when the request was sent
 * @return false: one of them has changed, or was deleted, since, so that the
 * sender may have another one, or none */
bool
feed_apply_confirm(const feed_response_t *, row_cache_t *, uint64_t requested);
/** Passes the deletions that follow from full tables to @p on_row. */
void feed_apply_end(
    const feed_response_t *, row_cache_t *, feed_row_cb_t on_row, void *arg);

/** Marks which tables of a response are sent in full. A requester that sent its
 * last request to this daemon gets the changes since then; one that comes from
 * another daemon, or may miss a deletion, gets all rows, or, if it sent a
 * summary of its rows, those of the buckets that differ. Of the operators'
 * table it gets the rows that are newer than its version.
 * @return whether the requester's last request went to this daemon */
bool feed_tables_fill(const row_cache_t *, uint64_t incarnation,
    const feed_position_t *, feed_response_t *);
/** Adds the rows to a response whose tables feed_tables_fill() has marked.
 * @param incremental what feed_tables_fill() returned */
void feed_rows_fill(const row_cache_t *, const feed_position_t *,
    bool incremental, feed_response_t *);

#endif
