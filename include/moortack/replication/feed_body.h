/**
 * @file
 * Cache of the encoded rows of responses. The followers of a daemon mostly
 * have the same rows, so that what was encoded for one can be sent to the
 * next.
 */
#ifndef MOORTACK_REPLICATION_FEED_BODY_H
#define MOORTACK_REPLICATION_FEED_BODY_H

#include "moortack/replication/feed_pack.h"
#include "moortack/replication/feed_wire.h"

/** Encoded rows, and the request that they were encoded for. */
typedef struct feed_body {
	bool valid;
	bool incremental; /**< for a repeated request, with no full table */
	feed_position_t position; /**< of the requester; no summaries */
	bool summarized; /**< the requester sent summaries of its rows */
	bool full[ROW_TABLES];
	uint64_t change;    /**< the cache's last_change at that time */
	uint64_t put_count; /**< the cache's put_count at that time */
	feed_bytes_t bytes; /**< packed; empty if there are no rows */
} feed_body_t;

/** What was encoded last: changes only, and responses with full tables. */
typedef struct feed_body_cache {
	feed_body_t incremental;
	feed_body_t full;
	uint64_t encoded; /**< bodies encoded so far, for metrics */
} feed_body_cache_t;

/** Returns the encoded rows for a requester, and marks in the response which
 * tables they hold in full. The bytes are valid until the next call.
 * @return NULL if out of memory */
const feed_bytes_t *
feed_body_cache_get(feed_body_cache_t *, const row_cache_t *,
    uint64_t incarnation, const feed_position_t *, feed_response_t *);
void feed_body_cache_finish(feed_body_cache_t *);

#endif
