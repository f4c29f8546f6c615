/**
 * @file
 * Interface to a store of rows in tables, as a table of function pointers.
 * Each row has a version, from a single counter of the store.
 */
#ifndef MOORTACK_REPLICATION_ROW_STORE_H
#define MOORTACK_REPLICATION_ROW_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/work_meter.h"

/** Result of a call. */
typedef enum row_result {
	ROW_OK,
	ROW_CONFLICT,	 /**< an expectation failed; nothing took effect */
	ROW_REFUSED,	 /**< rejected; nothing took effect */
	ROW_COMPACTED,	 /**< the store no longer has the requested changes */
	ROW_NO_RESPONSE, /**< a write may have taken effect, or may do so later
			  */
} row_result_t;

/** A row, or its deletion. */
typedef struct row {
	const char *key;
	const char *value; /**< zero-terminated; NULL if deleted */
	size_t value_len;  /**< bytes */
	uint64_t version;  /**< see era_version.h */
	bool deleted;
} row_t;

/** Result of a call with its rows; valid inside the callback only. */
typedef struct row_store_response {
	row_result_t result;
	const row_t *rows; /**< on ROW_CONFLICT the current ones */
	size_t rows_len;
	uint64_t version; /**< newest one in the store */
	int64_t now_ms;	  /**< the store's monotonic clock */
	const char *next; /**< token for the next page of a full read, as the
			     store defines it; NULL: the read is complete */
} row_store_response_t;

typedef void (*row_done_t)(void *arg, const row_store_response_t *);

/** One row of a transaction. */
typedef struct row_change {
	const char *table;
	const char *key;
	const char
	    *value; /**< NULL: delete the row; unused in an expectation */
	uint64_t expected; /**< version it must have; 0: must be absent */
} row_change_t;

typedef struct row_store row_store_t;

typedef struct row_store_ops {
	/** Reads a page of a table.
	 * @param page the @c next of the previous page; NULL: the first page.
	 * A page may repeat the last row of the previous one */
	bool (*read)(row_store_t *, const char *table, const char *page,
	    int64_t timeout_ms, row_done_t, void *arg);
	/** Waits up to @p wait_ms for changes after version @p after. */
	bool (*poll)(row_store_t *, const char *table, uint64_t after,
	    int64_t wait_ms, int64_t timeout_ms, row_done_t, void *arg);
	/** Applies all changes if all expectations hold, otherwise none. */
	bool (*write)(row_store_t *, const row_change_t *expected,
	    size_t expected_len, const row_change_t *changes,
	    size_t changes_len, int64_t timeout_ms, row_done_t, void *arg);
} row_store_ops_t;

/** Purpose of a call. */
typedef enum row_purpose {
	ROW_PURPOSE_FIRST_READ, /**< the first full read of a table */
	ROW_PURPOSE_REREAD,	/**< a further full read */
	ROW_PURPOSE_POLL,	/**< changes, by a daemon that follows none */
	ROW_PURPOSE_FOLLOWER_POLL,  /**< changes, by a daemon that follows
				       another */
	ROW_PURPOSE_MEMBER,	    /**< the row of this daemon */
	ROW_PURPOSE_MEMBER_CLEANUP, /**< the rows of daemons that are down */
	ROW_PURPOSE_ROLLOUT_STATE,  /**< of a roll-out */
	ROW_PURPOSE_FLEET_KEY,	    /**< of the fleet */
	ROW_PURPOSE_QUARANTINE,	    /**< of requests that crash endpoints */
	ROW_PURPOSE_DUTY,	    /**< leases and rows of duties */
	ROW_PURPOSES		    /* count */
} row_purpose_t;

/** Names of the purposes, for metrics and logs. */
extern const char *const row_purpose_names[ROW_PURPOSES];

/* The functions of ops call done exactly once later, unless they return false.
 */
struct row_store {
	const row_store_ops_t *ops;
	uint64_t calls[ROW_PURPOSES]; /**< by purpose */
	uint64_t era;	     /**< the latest one that the store has reported */
	work_meter_t *meter; /**< NULL: none */
};

/* Call the store's functions, and count the calls by purpose. */
bool row_store_read(row_store_t *, row_purpose_t, const char *table,
    const char *page, int64_t timeout_ms, row_done_t, void *arg);
bool row_store_poll(row_store_t *, row_purpose_t, const char *table,
    uint64_t after, int64_t wait_ms, int64_t timeout_ms, row_done_t, void *arg);
bool row_store_write(row_store_t *, row_purpose_t, const row_change_t *expected,
    size_t expected_len, const row_change_t *changes, size_t changes_len,
    int64_t timeout_ms, row_done_t, void *arg);

#endif
