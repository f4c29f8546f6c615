/**
 * @file
 * The rows of answers as they travel. Whoever follows one daemon mostly knows
 * the same as the others that follow it: what was made for one is kept for the
 * next.
 */
#ifndef MOORTACK_REPLICATION_FEED_BODY_H
#define MOORTACK_REPLICATION_FEED_BODY_H

#include "moortack/replication/feed_pack.h"
#include "moortack/replication/feed_wire.h"

/** Bytes, and for whom they were made. */
typedef struct feed_body {
	bool valid;
	bool incremental; /**< for who asked before, and needs no whole table */
	feed_position_t position; /**< what that one knew */
	bool full[ROW_TABLES];
	uint64_t change;    /**< of the cache, at that time */
	uint64_t put_count; /**< the same */
	feed_bytes_t bytes; /**< packed; empty: no rows */
} feed_body_t;

/** What was made last: for those who are told changes, and for the others. */
typedef struct feed_body_cache {
	feed_body_t incremental;
	feed_body_t full;
	uint64_t encoded; /**< bodies that were made, for metrics */
} feed_body_cache_t;

/** The rows for an asker; says in the answer which tables they tell whole. The
 * bytes stay until the next call. @return NULL: out of memory */
const feed_bytes_t *
feed_body_cache_get(feed_body_cache_t *, const row_cache_t *,
    uint64_t incarnation, const feed_position_t *, feed_response_t *);
void feed_body_cache_finish(feed_body_cache_t *);

#endif
