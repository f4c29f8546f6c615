/**
 * @file
 * The rows that a daemon has, numbered by their changes, so that followers can
 * be sent what changed since their last request.
 */
#ifndef MOORTACK_REPLICATION_ROW_CACHE_H
#define MOORTACK_REPLICATION_ROW_CACHE_H

#include <uthash.h>

#include "common/clock_source.h"
#include "moortack/replication/row_store.h"
#include "moortack/replication/row_summary.h"

/** The tables that are kept in step with the store. */
typedef enum row_table {
	ROW_TABLE_OPERATOR,  /**< of the operators: configuration, roll-outs,
				evacuations */
	ROW_TABLE_ENDPOINTS, /**< what endpoints report of themselves */
	ROW_TABLE_SYSTEM,    /**< of the daemons: members, roll-out states */
	ROW_TABLES	     /* count */
} row_table_t;

/** Origins of full lists of rows: a row that such a list does not contain has
 * been deleted. */
typedef enum row_origin {
	ROW_ORIGIN_STORE = 1, /**< a full read of the store, in pages */
	ROW_ORIGIN_PEER = 2,  /**< a full table of another daemon */
} row_origin_t;

/** An earlier value of a large row. */
typedef struct row_prior_value {
	char *value;
	size_t value_len;
	uint64_t version;
	uint64_t change; /**< number of the change that set it */
	struct timespec replaced_at;
	struct row_prior_value *older;
} row_prior_value_t;

/** One row, or the tombstone of a deleted one. */
typedef struct cached_row {
	char *hash_key; /**< a letter for the table, then the key */
	row_table_t table;
	char *value; /**< NULL: deleted */
	size_t value_len;
	uint64_t version;
	uint64_t change; /**< number of its last change */
	uint32_t hash;	 /**< see row_summary_hash() */
	uint64_t digest; /**< in the table's summary; 0: deleted */
	unsigned marks;	 /**< origins whose current list contains the row */
	struct timespec deleted_at;
	row_prior_value_t *prior_values; /**< newest first */
	struct cached_row *newer; /**< by change; of the newest: the oldest */
	struct cached_row *older;
	UT_hash_handle hh;
} cached_row_t;

/** Whether two values of a row are equivalent. */
typedef bool (*row_equal_t)(const void *arg, row_table_t, const char *key,
    const char *a, size_t a_len, const char *b, size_t b_len);

/** A hash that is equal for two values of a row only if they are equivalent. */
typedef uint64_t (*row_digest_t)(const void *arg, row_table_t, const char *key,
    const char *value, size_t len);

typedef struct row_cache {
	const clock_source_t *clock;
	cached_row_t *rows;
	cached_row_t *newest; /**< head of the list in the order of changes */
	uint64_t last_change; /**< number of the newest change */
	uint64_t put_count;   /**< rows accepted, changed or not */
	row_origin_t origin;  /**< of the rows that are put now */
	struct timespec trimmed_at;
	size_t prior_min_len; /**< bytes: of shorter values, no earlier ones are
				 kept */
	/** The cache has all changes after these versions, including deletions:
	 * a requester with an earlier version needs all rows. */
	uint64_t complete_since[ROW_TABLES];
	row_summary_t summaries[ROW_TABLES];
	uint32_t row_counts[ROW_TABLES]; /**< rows that are not deleted */
	row_equal_t equal;
	row_digest_t digest; /**< NULL: the hash of the value */
	const void *arg;     /**< of both */
} row_cache_t;

void row_cache_init(
    row_cache_t *, const clock_source_t *, row_equal_t equal, const void *arg);
void row_cache_finish(row_cache_t *);

/** Stores a row or its deletion, unless the cache has a newer version.
 * @return true if this changes the row's meaning */
bool row_cache_put(row_cache_t *, row_table_t, const row_t *);

/** The key of a cached row, within its table. */
const char *cached_row_key(const cached_row_t *);

const cached_row_t *
row_cache_find(const row_cache_t *, row_table_t, const char *key);

/** The value of a row for a requester that has all changes up to this one and
 * none after: the newest earlier value that was set by then. NULL: it is not
 * kept. */
const row_prior_value_t *
row_cache_prior_value(const cached_row_t *, uint64_t change);

/** Whether the cache has a newer version of the row. It then counts as listed
 * by the current origin, unless @p row is a deletion. */
bool row_cache_has_newer(row_cache_t *, row_table_t, const row_t *);

/** The first row, in the order of changes, that changed after @p change, or
 * NULL. */
const cached_row_t *row_cache_first_after(const row_cache_t *, uint64_t change);
/** The row with the next change, or NULL. */
const cached_row_t *
row_cache_next_change(const row_cache_t *, const cached_row_t *);

/** Starts a full list of a table's rows. A response of another daemon may
 * arrive between two pages of a read of the store: each origin has a mark of
 * its own, or the read would delete the rows of its first pages. */
void row_cache_clear_marks(row_cache_t *, row_table_t, row_origin_t);
/** Whether the origin's current list contains the row. */
bool cached_row_is_marked(const cached_row_t *, row_origin_t);

/** Another daemon has the same row as of a version. */
void row_cache_confirm(row_cache_t *, cached_row_t *, uint64_t version);
/** A current list of the origin contains the row. */
void cached_row_mark(cached_row_t *, row_origin_t);

/** Drops old tombstones and earlier values that are no longer needed. */
void row_cache_trim(row_cache_t *);

#endif
