/**
 * @file
 * Where a daemon's rows come from. The first daemon in an order that all
 * compute alike reads the store; the others follow it, and whoever can't, or
 * finds it behind, follows the next one, and at last reads the store itself.
 *
 * Nothing is agreed on and nothing is kept: each answer tells how old it is,
 * and two readers do no harm.
 */
#ifndef MOORTACK_REPLICATION_ROW_SYNC_H
#define MOORTACK_REPLICATION_ROW_SYNC_H

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

typedef struct row_sync row_sync_t;

/** How rows of one table are told. */
typedef struct row_sync_ops {
	void (*row)(void *arg, row_table_t, const row_t *);
	/** A whole read of the table begins, or is done. */
	void (*full_read_begin)(void *arg, row_table_t);
	void (*synced)(void *arg, row_table_t, bool whole);
	/** The store answers this daemon again, or no longer. */
	void (*reachable)(void *arg, row_table_t, bool now);
	/** The store's steady clock, as heard just now. */
	void (*store_clock)(void *arg, int64_t now_ms);
	/** The fleet's secret is known. */
	void (*fleet_key)(void *arg, const char *secret);
	/** What to report to the daemon that is followed; a reference or NULL.
	 */
	json_t *(*report)(void *arg);
} row_sync_ops_t;

/** The watch of one table. */
typedef struct source_watch {
	row_sync_t *source;
	row_table_t table;
	row_watch_t watch;
} source_watch_t;

typedef struct row_sync_settings {
	const char *tables[ROW_TABLES];
	row_watch_timing_t timings[ROW_TABLES];
	char peer_address[MEMBER_NAME_SIZE]; /**< IP:PORT; "": follow nobody */
	int64_t hold_ms; /**< questions of other daemons are held this long */
	int64_t start_jitter_ms; /**< a random part of it passes before the
				    first read */
	/** Rows older than this are asked for elsewhere. */
	int64_t max_age_ms[ROW_TABLES];
} row_sync_settings_t;

struct row_sync {
	row_sync_settings_t settings;
	struct event_base *base;
	row_store_t *store;
	const clock_source_t *clock;
	rng_t *rng;
	event_log_t *log;
	membership_t *members;
	const row_sync_ops_t *ops;
	void *arg;
	source_watch_t watches[ROW_TABLES];
	row_cache_t cache;
	uint64_t incarnation;
	void *context; /**< of ZeroMQ; NULL: not started */
	peer_auth_t auth;
	feed_server_t server;
	feed_client_t client;
	bool has_key; /**< the fleet's key is known */
	char fleet_key[FLEET_KEY_SIZE];
	bool key_write_pending;
	struct timespec key_write_after; /**< no key is made before */
	bool follows_next; /**< who is followed stands after this daemon, which
		      tells those who ask it to go elsewhere */
	/** Another daemon tells the rows: the store is not read. */
	bool suspended[ROW_TABLES];
	bool parent_store_unavailable;	   /**< the store does not answer who is
					      followed */
	struct timespec parent_keep_until; /**< another one is followed then */
	uint32_t parent_changes;	   /**< such changes in a row */
	uint32_t start_attempts; /**< daemons that told no rows at the start */
	bool start_from_next;	 /**< one that stands after this daemon tells it
				the    rows with which it starts */
	bool start_from_next_tried;
	struct timespec started_at;
	struct event
	    *first_response_timer; /**< for the first rows, by who starts */
	bool parent_responded;	   /**< who is followed has answered */
	bool parent_stale;	   /**< the rows of who is followed are old */
	struct timespec parent_stale_since;
	bool applying; /**< a row that is told now comes from another daemon */
	bool applying_older; /**< which knows less of what is kept back here */
	/** Version that this daemon knew when it took rows of one that knew
	 * less, or of news that the store told beside: whoever is followed
	 * tells nothing of what came back unchanged until then. 0: none. */
	uint64_t ahead_version[ROW_TABLES];
	/** What is not among the rows went by then, as others told: later than
	 * the version that is told while they keep ends back. */
	uint64_t deletions_version[ROW_TABLES];
	/** Changes from this version on are not all passed on yet; 0: all are.
	 */
	uint64_t withheld_version[ROW_TABLES];
	bool following;		       /**< the rows come from another daemon */
	char parent[MEMBER_NAME_SIZE]; /**< who is asked; "": nobody */
	json_t *parent_path; /**< through whom its rows came; may be NULL */
	bool leaving;	     /**< others are told to follow somebody else */
	uint64_t parent_incarnation; /**< its incarnation */
	uint64_t parent_change;	     /**< newest one taken from it */
	struct timespec parent_since;
};

bool row_sync_init(row_sync_t *, const row_sync_ops_t *, void *arg);
void row_sync_finish(row_sync_t *);

/** Decide anew whom to follow; called a few times a second. */
void row_sync_tick(row_sync_t *);

/** Whether the text is a key of a fleet; false fills the error. */
bool fleet_key_check(const char *text, err_t *);

/** The daemon that reads the store for this one, or NULL: not known. */
const char *row_sync_reader(const row_sync_t *);

/** Tell those who follow this daemon to follow another: it is about to stop. */
void row_sync_stop_serving(row_sync_t *);

/** Put a row, or its end, into what others are told. */
bool row_sync_put(row_sync_t *, row_table_t, const row_t *);

const row_watch_t *row_sync_watch(const row_sync_t *, row_table_t);

/** Changes from this version on are kept back for now: neither does anybody who
 * relies on this daemon's rows miss them, nor this one when it goes on with the
 * rows of another. @param version 0: nothing is kept back any more */
void row_sync_withhold(row_sync_t *, row_table_t, uint64_t version);
/** Up to which version others may rely on what this daemon tells them: changes
 * that it keeps back are later. */
uint64_t row_sync_published_version(const row_sync_t *, row_table_t);
/** Which version this daemon names to whom it asks; 0: it needs all rows. */
uint64_t row_sync_requested_version(const row_sync_t *, row_table_t);

#endif
