/**
 * @file
 * Shared by the files that implement row_sync_t: row_source.c reads the store
 * and keeps the rows, row_parent.c chooses the parent, row_follow.c exchanges
 * requests and responses with other daemons, row_answer.c applies responses,
 * and fleet_key.c maintains the key with which daemons authenticate each
 * other.
 */
#ifndef MOORTACK_REPLICATION_ROW_SOURCE_PRIV_H
#define MOORTACK_REPLICATION_ROW_SOURCE_PRIV_H

#include "moortack/replication/row_source.h"

/** Whether every table has been up to date once. */
bool row_sync_synced(const row_sync_t *);

/** The only table that is polled while the store is unavailable: the one that
 * is read most often. */
#define ROW_TABLE_PROBE ROW_TABLE_ENDPOINTS

/** Whether any changes are withheld; see row_sync_withhold(). */
bool row_sync_withholds(const row_sync_t *);

/** Stops reading the store, or resumes it. */
void row_sync_suspend_reads(row_sync_t *, bool suspend);

/** Reads one table from the store although the daemon follows a parent. */
void row_sync_resume_table(row_sync_t *, row_table_t);

/** Checks, once all rows of the system's table have been received, whether this
 * daemon's own row is among them. If it was deleted for the second time, that
 * may be no change here. */
void row_sync_check_own_row(row_sync_t *);

/** Starts serving other daemons, and requesting rows from them. */
void row_follow_start(row_sync_t *, const char *secret);

/** Fills in the position for a request to the parent;
 * feed_position_clear() releases it. */
void row_follow_position(row_sync_t *, feed_position_t *);
/** Handles a response that was sent at @p sent, or later; its rows are taken
 * over, and applied in as many turns as they need.
 * @return whether the next request may be sent; otherwise the timer of
 * row_apply_t calls row_follow_continue() */
bool row_follow_response(row_sync_t *, feed_response_t *, struct timespec sent);
/** Applies more rows of the response.
 * @return as row_follow_response() */
bool row_follow_continue(row_sync_t *);

typedef enum row_apply_result {
	ROW_APPLY_MORE, /**< rows are left */
	ROW_APPLY_DONE,
	ROW_APPLY_OUTDATED, /**< rows that the response relies on have changed
			       since the request */
} row_apply_result_t;

/** Begins to apply a response, which is taken over. */
void row_apply_begin(row_sync_t *, feed_response_t *, struct timespec sent);
/** Applies rows for a turn, and at the end the state of the tables. */
row_apply_result_t row_apply_step(row_sync_t *);
/** Drops what is left of the response. */
void row_apply_cancel(row_sync_t *);
/** Timer callback: the next turn. */
void row_apply_on_timer(evutil_socket_t, short, void *arg);
/** Fills in the state of this daemon's tables, and the path of their rows. */
void row_follow_fill_state(const row_sync_t *, feed_response_t *);

/** Stops following the parent.
 * @param why for the log */
void row_parent_unfollow(row_sync_t *, const char *why);
/** Follows another daemon, as the parent is of no use.
 * @param why for the log */
void row_parent_replace(row_sync_t *, const char *why);
/** The parent's rows come through this daemon: stops following it. */
void row_parent_break_cycle(row_sync_t *);
/** The store is unavailable to the parent, or available again. */
void row_parent_store_unavailable(row_sync_t *);
void row_parent_store_available(row_sync_t *);
/** Whether the store is available to this daemon, but not to the parent. */
bool row_parent_bypassed(const row_sync_t *);
/** Timer callback: the time limit for the parent's first response is over. */
void row_parent_first_timeout(evutil_socket_t, short, void *arg);

/** Chooses the parent anew. */
void row_parent_update(row_sync_t *);

/** Notifies followers at once when this daemon can't serve as their parent. */
void row_follow_update_status(row_sync_t *);

/** Closes the sockets to other daemons. */
void row_follow_stop(row_sync_t *);
/** Stops following and serving other daemons until the fleet's key is found
 * again. */
void row_follow_reset(row_sync_t *);

/** Finds the fleet's key, or creates it if no other daemon does. */
void fleet_key_find(row_sync_t *);
/** Writes the key again if its row was deleted or made invalid, and changes to
 * another valid key in that row: daemons that start know only the store's. */
void fleet_key_maintain(row_sync_t *);

#endif
