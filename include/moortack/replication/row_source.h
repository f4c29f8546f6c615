/**
 * @file
 * Where a daemon's rows come from. The first daemon in an order that all
 * compute alike reads the store; the others follow it, and whoever can't, or
 * finds it behind, follows the next one, and at last reads the store itself.
 *
 * Nothing is agreed on and nothing is kept: each answer tells how old it is,
 * and two readers do no harm.
 */
#ifndef MOORTACK_REPLICATION_ROW_SOURCE_H
#define MOORTACK_REPLICATION_ROW_SOURCE_H

#include "common/event_log.h"
#include "common/rng.h"
#include "moortack/replication/feed_client.h"
#include "moortack/replication/feed_server.h"
#include "moortack/replication/membership.h"
#include "moortack/replication/row_watch.h"

/** Key of the row that holds the fleet's secret key. */
#define FLEET_KEY_ROW "fleet/key"
/** Bytes of it, and of its text with the zero at its end. */
#define FLEET_KEY_BYTES 32
#define FLEET_KEY_SIZE 41

typedef struct row_source row_source_t;

/** How rows of one table are told. */
typedef struct row_source_ops {
	void (*row)(void *arg, row_table_t, const row_t *);
	/** A whole read of the table begins, or is done. */
	void (*restart)(void *arg, row_table_t);
	void (*settled)(void *arg, row_table_t, bool whole);
	/** The store answers this daemon again, or no longer. */
	void (*reachable)(void *arg, row_table_t, bool now);
	/** The store's steady clock, as heard just now. */
	void (*store_clock)(void *arg, int64_t now_ms);
	/** The fleet's secret is known. */
	void (*secret)(void *arg, const char *secret);
	/** What to report to the daemon that is followed; a reference or NULL.
	 */
	json_t *(*report)(void *arg);
} row_source_ops_t;

/** The watch of one table. */
typedef struct source_watch {
	row_source_t *source;
	row_table_t table;
	row_watch_t watch;
} source_watch_t;

typedef struct row_source_settings {
	const char *tables[ROW_TABLES];
	row_watch_pace_t paces[ROW_TABLES];
	char peer_address[MEMBER_NAME_SIZE]; /**< IP:PORT; "": follow nobody */
	int64_t hold_ms; /**< questions of other daemons are held this long */
	int64_t start_within_ms; /**< a random part of it passes before the
				    first read */
	/** Rows older than this are asked for elsewhere. */
	int64_t old_ms[ROW_TABLES];
} row_source_settings_t;

struct row_source {
	row_source_settings_t settings;
	struct event_base *base;
	row_store_t *store;
	const clock_source_t *clock;
	rng_t *rng;
	event_log_t *log;
	membership_t *members;
	const row_source_ops_t *ops;
	void *arg;
	source_watch_t watches[ROW_TABLES];
	row_cache_t cache;
	uint64_t incarnation;
	void *context; /**< of ZeroMQ; NULL: not started */
	peer_auth_t auth;
	feed_server_t server;
	feed_client_t client;
	bool keyed; /**< the fleet's key is known */
	char secret[FLEET_KEY_SIZE];
	bool key_writing;
	struct timespec key_after; /**< no key is made before */
	bool down; /**< who is followed stands after this daemon, which tells
		      those who ask it to go elsewhere */
	/** Another daemon tells the rows: the store is not read. */
	bool idle[ROW_TABLES];
	bool parent_lost; /**< the store does not answer who is followed */
	struct timespec lost_until; /**< another one is followed then */
	uint32_t lost_moves;	    /**< such changes in a row */
	uint32_t start_tries; /**< daemons that told no rows at the start */
	bool start_below; /**< one that stands after this daemon tells it the
			     rows with which it starts */
	bool start_below_tried;
	struct timespec began;
	struct event *first_wait; /**< for the first rows, by who starts */
	bool followed_answers;	  /**< who is followed has answered */
	bool old;		  /**< the rows of who is followed are old */
	struct timespec old_since;
	bool taking; /**< a row that is told now comes from another daemon */
	bool taking_less; /**< which knows less of what is kept back here */
	/** Version that this daemon knew when it took rows of one that knew
	 * less, or of news that the store told beside: whoever is followed
	 * tells nothing of what came back unchanged until then. 0: none. */
	uint64_t ahead[ROW_TABLES];
	/** What is not among the rows went by then, as others told: later than
	 * the version that is told while they keep ends back. */
	uint64_t named[ROW_TABLES];
	/** Changes from this version on are not all passed on yet; 0: all are.
	 */
	uint64_t kept_back[ROW_TABLES];
	bool following; /**< the rows come from another daemon */
	char followed[MEMBER_NAME_SIZE]; /**< who is asked; "": nobody */
	json_t *followed_path; /**< through whom its rows came; may be NULL */
	bool leaving;	       /**< others are told to follow somebody else */
	uint64_t followed_source; /**< its incarnation */
	uint64_t followed_change; /**< newest one taken from it */
	struct timespec followed_since;
};

bool row_source_init(row_source_t *, const row_source_ops_t *, void *arg);
void row_source_finish(row_source_t *);

/** Decide anew whom to follow; called a few times a second. */
void row_source_tick(row_source_t *);

/** Whether the text is a key of a fleet; false fills the error. */
bool fleet_key_check(const char *text, err_t *);

/** The daemon that reads the store for this one, or NULL: not known. */
const char *row_source_reader(const row_source_t *);

/** Tell those who follow this daemon to follow another: it is about to stop. */
void row_source_leave(row_source_t *);

/** Put a row, or its end, into what others are told. */
bool row_source_put(row_source_t *, row_table_t, const row_t *);

const row_watch_t *row_source_watch(const row_source_t *, row_table_t);

/** Changes from this version on are kept back for now: neither does anybody who
 * relies on this daemon's rows miss them, nor this one when it goes on with the
 * rows of another. @param version 0: nothing is kept back any more */
void row_source_keep_back(row_source_t *, row_table_t, uint64_t version);
/** Up to which version others may rely on what this daemon tells them: changes
 * that it keeps back are later. */
uint64_t row_source_told(const row_source_t *, row_table_t);
/** Which version this daemon names to whom it asks; 0: it needs all rows. */
uint64_t row_source_known(const row_source_t *, row_table_t);

#endif
