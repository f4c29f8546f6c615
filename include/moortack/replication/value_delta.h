/**
 * @file
 * The difference between two values of a row, as bytes: a large value of which
 * little has changed travels as that little.
 */
#ifndef MOORTACK_REPLICATION_VALUE_DELTA_H
#define MOORTACK_REPLICATION_VALUE_DELTA_H

#include "moortack/replication/feed_pack.h"

/** What leads from the base to the value.
 * @param delta filled; its data is freed by the caller
 * @return false: out of memory */
bool value_delta_make(const char *base, size_t base_len, const char *value,
    size_t value_len, feed_bytes_t *delta);

/** The value again.
 * @param value filled and ended by a zero; its data is freed by the caller
 * @return false: the delta was made from another base, or is none */
bool value_delta_apply(const char *base, size_t base_len, const void *delta,
    size_t delta_len, feed_bytes_t *value);

#endif
