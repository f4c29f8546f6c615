/**
 * @file
 * Binary delta between two values of a row, so that a small change to a large
 * value is sent as a small message.
 */
#ifndef MOORTACK_REPLICATION_VALUE_DELTA_H
#define MOORTACK_REPLICATION_VALUE_DELTA_H

#include "moortack/replication/feed_pack.h"

/** Encodes the difference between @p base and @p value.
 * @param delta filled in; the caller frees its data
 * @return false if out of memory */
bool value_delta_make(const char *base, size_t base_len, const char *value,
    size_t value_len, feed_bytes_t *delta);

/** Restores a value from its base and a delta.
 * @param value filled in and zero-terminated; the caller frees its data
 * @return false if the delta was made from another base or is malformed */
bool value_delta_apply(const char *base, size_t base_len, const void *delta,
    size_t delta_len, feed_bytes_t *value);

#endif
