/**
 * @file
 * Treats values of rows as equivalent only if their bytes are equal.
 */
#ifndef TEST_SUPPORT_BYTES_EQUAL_H
#define TEST_SUPPORT_BYTES_EQUAL_H

#include <string.h>

#include "moortack/replication/row_cache.h"

static inline bool
bytes_equal(const void *arg, row_table_t table, const char *key, const char *a,
    size_t a_len, const char *b, size_t b_len)
{
	(void)arg;
	(void)table;
	(void)key;
	return a_len == b_len && memcmp(a, b, a_len) == 0;
}

#endif
