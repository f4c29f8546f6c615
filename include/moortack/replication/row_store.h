/**
 * @file
 * A store of rows in tables, each with a version from one counter, as a table
 * of function pointers.
 */
#ifndef MOORTACK_REPLICATION_ROW_STORE_H
#define MOORTACK_REPLICATION_ROW_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** How a call ended. */
typedef enum row_result {
	ROW_OK,
	ROW_CONFLICT,	 /**< an expectation failed; nothing took effect */
	ROW_REFUSED,	 /**< turned away; nothing took effect */
	ROW_COMPACTED,	 /**< the changes asked for are no longer known */
	ROW_NO_RESPONSE, /**< no answer: a write may have taken effect, or may
			    yet */
} row_result_t;

/** A row, or the news of its end. */
typedef struct row {
	const char *key;
	const char *value; /**< ended by a zero; NULL when deleted */
	size_t value_len;  /**< bytes */
	uint64_t version;  /**< see era_version.h */
	bool deleted;
} row_t;

/** What came back; valid inside the callback only. */
typedef struct row_reply {
	row_result_t result;
	const row_t *rows; /**< on ROW_CONFLICT the current ones */
	size_t rows_len;
	uint64_t version; /**< newest of the store */
	int64_t now_ms;	  /**< the store's steady clock */
	const char *next; /**< where a whole read goes on, in the store's own
			     words; NULL: it is done */
} row_reply_t;

typedef void (*row_done_t)(void *arg, const row_reply_t *);

/** One row of a transaction. */
typedef struct row_change {
	const char *table;
	const char *key;
	const char *value; /**< NULL: remove; not used in an expectation */
	uint64_t expected; /**< version it must have; 0: must be absent */
} row_change_t;

typedef struct row_store row_store_t;

typedef struct row_store_ops {
	/** Read a table, by pages.
	 * @param page the @c next of the page before; NULL: the first one. A
	 * page may tell the last row of the one before again */
	bool (*read)(row_store_t *, const char *table, const char *page,
	    int64_t timeout_ms, row_done_t, void *arg);
	/** Wait up to @p wait_ms for changes after version @p after. */
	bool (*poll)(row_store_t *, const char *table, uint64_t after,
	    int64_t wait_ms, int64_t timeout_ms, row_done_t, void *arg);
	/** All expectations hold and all changes take effect, or none. */
	bool (*write)(row_store_t *, const row_change_t *expected,
	    size_t expected_len, const row_change_t *changes,
	    size_t changes_len, int64_t timeout_ms, row_done_t, void *arg);
} row_store_ops_t;

/** What a call is made for. */
typedef enum row_purpose {
	ROW_PURPOSE_FIRST_READ, /**< a whole read of a table, the first one */
	ROW_PURPOSE_REREAD,	/**< a further one */
	ROW_PURPOSE_POLL,	/**< by the daemon that others follow */
	ROW_PURPOSE_FOLLOWER_POLL,  /**< changes, by one that follows another */
	ROW_PURPOSE_MEMBER,	    /**< the row of this daemon */
	ROW_PURPOSE_MEMBER_CLEANUP, /**< the rows of daemons that are gone */
	ROW_PURPOSE_ROLLOUT_STATE,  /**< of a roll-out */
	ROW_PURPOSE_FLEET_KEY,	    /**< of the fleet */
	ROW_PURPOSE_QUARANTINE,	    /**< requests that crash endpoints */
	ROW_PURPOSES		    /* count */
} row_purpose_t;

/** Names of purposes, for metrics and logs. */
extern const char *const row_purpose_names[ROW_PURPOSES];

/* Each calls done exactly once later, unless it returns false. */
struct row_store {
	const row_store_ops_t *ops;
	uint64_t calls[ROW_PURPOSES]; /**< made */
	uint64_t era;		      /**< the latest that it told */
};

/* The functions of the store's table, counted by what they are for. */
bool row_store_read(row_store_t *, row_purpose_t, const char *table,
    const char *page, int64_t timeout_ms, row_done_t, void *arg);
bool row_store_poll(row_store_t *, row_purpose_t, const char *table,
    uint64_t after, int64_t wait_ms, int64_t timeout_ms, row_done_t, void *arg);
bool row_store_write(row_store_t *, row_purpose_t, const row_change_t *expected,
    size_t expected_len, const row_change_t *changes, size_t changes_len,
    int64_t timeout_ms, row_done_t, void *arg);

#endif
