/**
 * @file
 * Takes over the rows of another daemon's answer, without a step back.
 */
#ifndef MOORTACK_REPLICATION_FEED_ROWS_H
#define MOORTACK_REPLICATION_FEED_ROWS_H

#include "moortack/replication/feed_wire.h"

/** Told of each row that is newer than what the cache has, and of each end; it
 * puts them into the cache. */
typedef void (*feed_row_cb_t)(void *arg, row_table_t, const row_t *);

void feed_rows_apply(
    const feed_response_t *, row_cache_t *, feed_row_cb_t told, void *arg);

/** Say which tables an answer tells whole. Who asked this daemon before is told
 * what changed since; who comes from another, or may miss an end, all; of the
 * orders, what is newer than the version that it knows.
 * @return whether the asker asked this daemon before */
bool feed_tables_fill(const row_cache_t *, uint64_t incarnation,
    const feed_position_t *, feed_response_t *);
/** Put its rows into an answer whose tables are filled. */
void feed_rows_fill(const row_cache_t *, const feed_position_t *, bool again,
    feed_response_t *);

#endif
