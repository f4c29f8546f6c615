/**
 * @file
 * Applies all rows of a response at once.
 */
#ifndef TEST_SUPPORT_ROWS_APPLY_H
#define TEST_SUPPORT_ROWS_APPLY_H

#include "../../moortack/replication/row_source_priv.h"
#include "moortack/replication/feed_apply.h"

/** To a cache. */
static inline void
feed_rows_apply(const feed_response_t *response, row_cache_t *cache,
    feed_row_cb_t on_row, void *arg)
{
	feed_cursor_t cursor = {0};

	feed_apply_begin(response, cache);
	while (feed_apply_next(response, cache, &cursor, on_row, arg))
		;
	feed_apply_end(response, cache, on_row, arg);
}

/** To a daemon, which takes the response over. */
static inline void
row_response_apply(
    row_sync_t *sync, feed_response_t *response, struct timespec sent)
{
	row_apply_begin(sync, response, sent);
	while (row_apply_step(sync) == ROW_APPLY_MORE)
		;
	row_apply_cancel(sync);
}

#endif
