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

/** Applies the rows of a response: passes those that are newer than the
 * cached ones, and the deletions, to @p on_row. */
void feed_rows_apply(
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
