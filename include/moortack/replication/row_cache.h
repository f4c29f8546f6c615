/**
 * @file
 * The rows that a daemon knows, numbered by their changes, so that others can
 * be told what changed since they last asked.
 */
#ifndef MOORTACK_REPLICATION_ROW_CACHE_H
#define MOORTACK_REPLICATION_ROW_CACHE_H

#include <uthash.h>

#include "common/clock_source.h"
#include "moortack/replication/row_store.h"

/** The tables that are followed. */
typedef enum row_table {
	ROW_TABLE_OPERATOR,  /**< configuration and roll-outs */
	ROW_TABLE_ENDPOINTS, /**< what endpoints say of themselves */
	ROW_TABLE_SYSTEM,    /**< of the system: members, roll-out states */
	ROW_TABLES	     /* count */
} row_table_t;

/** Who names rows, and ends those that it does not name. */
typedef enum row_origin {
	ROW_ORIGIN_STORE = 1, /**< a whole read of the store, in pages */
	ROW_ORIGIN_PEER = 2,  /**< a whole answer of another daemon */
} row_origin_t;

/** What a large row said before its last changes. */
typedef struct row_prior_value {
	char *value;
	size_t value_len;
	uint64_t version;
	uint64_t change; /**< number of the change that brought it */
	struct timespec replaced_at;
	struct row_prior_value *older;
} row_prior_value_t;

/** One row, or the trace of one that is gone. */
typedef struct cached_row {
	char *hash_key; /**< the table's number and the key */
	row_table_t table;
	char *value; /**< NULL: gone */
	size_t value_len;
	uint64_t version;
	uint64_t change; /**< number of its last change */
	unsigned marks;	 /**< readers that have named it since they began */
	struct timespec deleted_at;
	row_prior_value_t *prior_values; /**< newest first */
	struct cached_row *newer; /**< by change; of the newest: the oldest */
	struct cached_row *older;
	UT_hash_handle hh;
} cached_row_t;

/** Whether two values of a row mean the same. */
typedef bool (*row_equal_t)(const void *arg, row_table_t, const char *key,
    const char *a, size_t a_len, const char *b, size_t b_len);

typedef struct row_cache {
	const clock_source_t *clock;
	cached_row_t *rows;
	cached_row_t *newest; /**< first in the order of changes */
	uint64_t last_change; /**< number of the newest change */
	uint64_t put_count;   /**< rows that were taken, changed or not */
	row_origin_t origin;  /**< that names rows now */
	struct timespec trimmed_at;
	size_t prior_min_len; /**< bytes from which on priors are kept */
	/** All changes after these versions were seen, ends too: who knows less
	 * has to be told all rows. */
	uint64_t complete_since[ROW_TABLES];
	row_equal_t equal;
	const void *equal_arg;
} row_cache_t;

void row_cache_init(
    row_cache_t *, const clock_source_t *, row_equal_t same, const void *arg);
void row_cache_finish(row_cache_t *);

/** Take a row, or its end. @return true when it means something new */
bool row_cache_put(row_cache_t *, row_table_t, const row_t *);

/** The key of a cached row. */
const char *cached_row_key(const cached_row_t *);

const cached_row_t *
row_cache_find(const row_cache_t *, row_table_t, const char *key);

/** What a row said to those who know all changes up to this one and none after:
 * the newest prior that was there by then. NULL: not kept. */
const row_prior_value_t *
row_cache_prior_value(const cached_row_t *, uint64_t change);

/** Whether the cache has a newer row of this key; it counts as named by the
 * whole read under way. */
bool row_cache_has_newer(row_cache_t *, row_table_t, const row_t *);

/** The first row, in the order of changes, that changed after @p change, or
 * NULL. */
const cached_row_t *row_cache_first_after(const row_cache_t *, uint64_t change);
/** The row that changed next, or NULL. */
const cached_row_t *
row_cache_next_change(const row_cache_t *, const cached_row_t *);

/** A reader begins to name all rows of a table. An answer may come between two
 * pages of a read of the store: what each of the two has named is told apart,
 * or the read would end the rows of its first pages. */
void row_cache_clear_marks(row_cache_t *, row_table_t, row_origin_t);
/** Whether the reader has named the row since it began. */
bool cached_row_is_marked(const cached_row_t *, row_origin_t);

/** Forget rows that went long ago, and priors that nobody builds on any more.
 */
void row_cache_trim(row_cache_t *);

#endif
