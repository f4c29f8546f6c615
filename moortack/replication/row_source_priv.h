/**
 * @file
 * What the files of a row source share: row_source.c reads the store and keeps
 * the rows, row_parent.c chooses whom to follow, row_follow.c asks and answers
 * other daemons, row_answer.c takes what they tell, fleet_key.c has the key
 * that they know each other by.
 */
#ifndef MOORTACK_REPLICATION_ROW_SOURCE_PRIV_H
#define MOORTACK_REPLICATION_ROW_SOURCE_PRIV_H

#include "moortack/replication/row_source.h"

/** Whether every table was read once. */
bool row_source_settled(const row_source_t *);

/** The table that is asked for while the store does not answer: the one that is
 * read most often. */
#define ROW_TABLE_PROBE ROW_TABLE_ENDPOINTS

/** Read the store no longer, or again. */
void row_source_suspend(row_source_t *, bool suspend);

/** Read one table from the store beside the daemon that is followed. */
void row_source_beside(row_source_t *, row_table_t);

/** All rows of the daemons were told: look whether the own one is there. One
 * that goes for the second time may be no news here. */
void row_source_own_look(row_source_t *);

/** Answer and ask other daemons from now on. */
void row_follow_start(row_source_t *, const char *secret);

/** What this daemon asks whom it follows for. */
void row_follow_ask(const row_source_t *, feed_point_t *);
/** Take an answer that was sent at @p sent, or later. */
void row_follow_take(row_source_t *, feed_answer_t *, struct timespec sent);
/** Take the rows of an answer, and what is told of how far they go. */
void
row_answer_take(row_source_t *, const feed_answer_t *, struct timespec sent);
/** Fill an answer with how far and through whom this daemon knows the tables.
 */
void row_follow_state(const row_source_t *, feed_answer_t *);

/** Follow nobody. */
void row_parent_end(row_source_t *, const char *why);
/** Whoever is followed is no use: follow another one. */
void row_parent_leave(row_source_t *, const char *why);
/** The rows of whoever is followed come through this daemon. */
void row_parent_circle(row_source_t *);
/** The store does not answer whoever is followed, or does again. */
void row_parent_lost(row_source_t *);
void row_parent_found(row_source_t *);
/** Whether the store answers this daemon, but not whom it follows. */
bool row_parent_store_read(const row_source_t *);
/** The time for the first answer of whoever is followed is over. */
void row_parent_first_wait(evutil_socket_t, short, void *arg);

/** Decide anew whom to follow. */
void row_follow_tick(row_source_t *);

/** Tell whoever follows this daemon at once when it is no use to do so. */
void row_follow_tell_lost(row_source_t *);

/** Close what this daemon asks and answers others through. */
void row_follow_stop_peers(row_source_t *);
/** Ask and answer nobody any more, until the fleet's key is looked for again.
 */
void row_follow_end(row_source_t *);

/** Find the fleet's key, or make it if nobody else does. */
void fleet_key_look(row_source_t *);
/** Write the key again where others have removed or spoiled its row, and go
 * over to another one that stands there: newcomers know the store's only. */
void fleet_key_keep(row_source_t *);

#endif
