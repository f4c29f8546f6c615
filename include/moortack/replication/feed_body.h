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
	bool made;
	bool again; /**< for who asked before, and needs no whole table */
	feed_point_t from; /**< what that one knew */
	bool whole[ROW_TABLES];
	uint64_t change;    /**< of the cache, at that time */
	uint64_t renewed;   /**< the same */
	feed_bytes_t bytes; /**< packed; empty: no rows */
} feed_body_t;

/** What was made last: for those who are told changes, and for the others. */
typedef struct feed_bodies {
	feed_body_t changes;
	feed_body_t whole;
	uint64_t made; /**< bodies that were made, for metrics */
} feed_bodies_t;

/** The rows for an asker; says in the answer which tables they tell whole. The
 * bytes stay until the next call. @return NULL: out of memory */
const feed_bytes_t *feed_bodies_for(feed_bodies_t *, const row_cache_t *,
    uint64_t incarnation, const feed_point_t *, feed_answer_t *);
void feed_bodies_finish(feed_bodies_t *);

#endif
