/**
 * @file
 * What the files of a row source share: row_sync.c reads the store and keeps
 * the rows, row_parent.c chooses whom to follow, row_follow.c asks and answers
 * other daemons, row_response.c takes what they tell, fleet_key.c has the key
 * that they know each other by.
 */
#ifndef MOORTACK_REPLICATION_ROW_SYNC_PRIV_H
#define MOORTACK_REPLICATION_ROW_SYNC_PRIV_H

#include "moortack/replication/row_sync.h"

/** Whether every table was read once. */
bool row_sync_synced(const row_sync_t *);

/** The table that is asked for while the store does not answer: the one that is
 * read most often. */
#define ROW_TABLE_PROBE ROW_TABLE_ENDPOINTS

/** Read the store no longer, or again. */
void row_sync_suspend_reads(row_sync_t *, bool suspend);

/** Read one table from the store beside the daemon that is followed. */
void row_sync_resume_table(row_sync_t *, row_table_t);

/** All rows of the daemons were told: look whether the own one is there. One
 * that goes for the second time may be no news here. */
void row_sync_check_own_row(row_sync_t *);

/** Answer and ask other daemons from now on. */
void row_follow_start(row_sync_t *, const char *secret);

/** What this daemon asks whom it follows for. */
void row_follow_position(const row_sync_t *, feed_position_t *);
/** Take an answer that was sent at @p sent, or later. */
void row_follow_response(row_sync_t *, feed_response_t *, struct timespec sent);
/** Take the rows of an answer, and what is told of how far they go. */
void
row_response_apply(row_sync_t *, const feed_response_t *, struct timespec sent);
/** Fill an answer with how far and through whom this daemon knows the tables.
 */
void row_follow_fill_state(const row_sync_t *, feed_response_t *);

/** Follow nobody. */
void row_parent_unfollow(row_sync_t *, const char *why);
/** Whoever is followed is no use: follow another one. */
void row_parent_replace(row_sync_t *, const char *why);
/** The rows of whoever is followed come through this daemon. */
void row_parent_break_cycle(row_sync_t *);
/** The store does not answer whoever is followed, or does again. */
void row_parent_store_unavailable(row_sync_t *);
void row_parent_store_available(row_sync_t *);
/** Whether the store answers this daemon, but not whom it follows. */
bool row_parent_bypassed(const row_sync_t *);
/** The time for the first answer of whoever is followed is over. */
void row_parent_first_timeout(evutil_socket_t, short, void *arg);

/** Decide anew whom to follow. */
void row_parent_update(row_sync_t *);

/** Tell whoever follows this daemon at once when it is no use to do so. */
void row_follow_update_status(row_sync_t *);

/** Close what this daemon asks and answers others through. */
void row_follow_stop(row_sync_t *);
/** Ask and answer nobody any more, until the fleet's key is looked for again.
 */
void row_follow_reset(row_sync_t *);

/** Find the fleet's key, or make it if nobody else does. */
void fleet_key_find(row_sync_t *);
/** Write the key again where others have removed or spoiled its row, and go
 * over to another one that stands there: newcomers know the store's only. */
void fleet_key_maintain(row_sync_t *);

#endif
