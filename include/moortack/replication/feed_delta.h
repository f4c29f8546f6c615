/**
 * @file
 * Rows that a response carries as the difference to the value that the
 * requester has, instead of as an entire value.
 */
#ifndef MOORTACK_REPLICATION_FEED_DELTA_H
#define MOORTACK_REPLICATION_FEED_DELTA_H

#include "moortack/replication/feed_wire.h"

/** Appends a row that the requester has as of the change @p since: as a delta
 * if the value of that time is still cached and the delta is far shorter,
 * otherwise as an entire value. */
void
feed_delta_add_row(feed_response_t *, const cached_row_t *, uint64_t since);

/** Replaces the deltas of a response by the values that they encode.
 * @param cache of the requester
 * @return false if the cached value is not the one that a delta was made from,
 * or a delta is malformed; nothing of the response may be applied then */
bool feed_delta_resolve(feed_response_t *, const row_cache_t *);

#endif
