/**
 * @file
 * Rows of an answer that are told as what changed since the asker's last
 * answer, in place of the whole value.
 */
#ifndef MOORTACK_REPLICATION_FEED_DELTA_H
#define MOORTACK_REPLICATION_FEED_DELTA_H

#include "moortack/replication/feed_wire.h"

/** Append a row that the asker knows as of the change @p since: as a delta if
 * the value of then is still here and the delta is far shorter. */
void
feed_delta_add_row(feed_response_t *, const cached_row_t *, uint64_t since);

/** Turn deltas into the values that they stand for.
 * @param cache of the asker
 * @return false: it has another value than the one that a delta was made from,
 * and nothing of the answer may be taken */
bool feed_delta_resolve(feed_response_t *, const row_cache_t *);

#endif
