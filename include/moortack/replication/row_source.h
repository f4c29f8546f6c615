/**
 * @file
 * Keeps a daemon's rows in step with the store, directly or through a parent.
 * All daemons compute the same order of daemons: the first one reads the store,
 * and the others follow it. A daemon that can't follow its parent, or finds
 * the parent's rows outdated, follows the next one in the order, and at last
 * reads the store itself.
 *
 * This needs no agreement and no stored state: each response states how old
 * its rows are, and two daemons that read the store do no harm.
 */
#ifndef MOORTACK_REPLICATION_ROW_SOURCE_H
#define MOORTACK_REPLICATION_ROW_SOURCE_H

#include "common/event_log.h"
#include "common/rng.h"
#include "moortack/replication/feed_apply.h"
#include "moortack/replication/feed_client.h"
#include "moortack/replication/feed_server.h"
#include "moortack/replication/membership.h"
#include "moortack/replication/row_watch.h"

/** Key of the row that holds the fleet's secret key. */
#define FLEET_KEY_ROW "fleet/key"
/** Length of the key in bytes, and of its text with the terminating zero. */
#define FLEET_KEY_BYTES 32
#define FLEET_KEY_SIZE 41

typedef struct row_sync row_sync_t;

/** Called when rows of a table or other things change. */
typedef struct row_sync_ops {
	void (*row)(void *arg, row_table_t, const row_t *);
	/** A full read of the table begins. */
	void (*full_read_begin)(void *arg, row_table_t);
	/** The table is up to date; after a full read, all its rows have been
	 * passed. */
	void (*synced)(void *arg, row_table_t, bool full_read);
	/** The store is available to this daemon again, or no longer. */
	void (*reachable)(void *arg, row_table_t, bool available);
	/** The store's monotonic clock, as received just now. */
	void (*store_clock)(void *arg, int64_t now_ms);
	/** The fleet's key is known. */
	void (*fleet_key)(void *arg, const char *key);
	/** Returns the report to send to the parent; a reference or NULL. */
	json_t *(*report)(void *arg);
	/* Besides rows, daemons tell their parent what is summed up towards the
	 * root, and their followers what holds for all. Any of these may be
	 * NULL. */
	/** Returns what to tell the parent; a new reference or NULL. */
	json_t *(*uplink)(void *arg);
	/** What a follower told; may be NULL. */
	void (*uplink_received)(
	    void *arg, const char *name, const json_t *uplink);
	/** Returns what to tell followers; a new reference or NULL. */
	json_t *(*downlink)(void *arg);
	/** The parent has received the last uplink, and told this; may be
	 * NULL. */
	void (*downlink_received)(void *arg, const json_t *downlink);
	/** This daemon has another parent, or none. */
	void (*parent_changed)(void *arg);
} row_sync_ops_t;

/** The watch of one table. */
typedef struct table_watch {
	row_sync_t *sync;
	row_table_t table;
	row_watch_t watch;
} table_watch_t;

/** A response of the parent whose rows are being applied, in several turns of
 * the event loop. */
typedef struct row_apply {
	bool active;
	feed_response_t response;
	struct timespec sent; /**< it has what was known then, or later */
	feed_cursor_t cursor;
	bool partial[ROW_TABLES]; /**< tables that it does not cover in full */
	struct event *timer;	  /**< next turn */
} row_apply_t;

typedef struct row_sync_settings {
	const char *tables[ROW_TABLES];
	row_watch_timing_t timings[ROW_TABLES];
	char peer_address[MEMBER_NAME_SIZE]; /**< IP:PORT; "": follow no daemon
					      */
	int64_t hold_ms;    /**< requests of other daemons are held this long */
	uint32_t peers_max; /**< connections of other daemons */
	size_t turn_rows_max;	 /**< rows of the parent that are applied in one
				    turn of the event loop; 0: as time allows */
	int64_t start_jitter_ms; /**< the first read is delayed by a random part
				    of it */
	/** Rows older than this are outdated: other ways to get them are tried.
	 */
	int64_t max_age_ms[ROW_TABLES];
} row_sync_settings_t;

struct row_sync {
	row_sync_settings_t settings;
	struct event_base *base;
	row_store_t *store;
	const clock_source_t *clock;
	rng_t *rng;
	event_log_t *log;
	work_meter_t *meter; /**< NULL: none */
	membership_t *members;
	const row_sync_ops_t *ops;
	void *arg;
	table_watch_t watches[ROW_TABLES];
	row_cache_t cache;
	uint64_t incarnation;
	void *context; /**< of ZeroMQ; NULL: not started */
	peer_auth_t auth;
	feed_server_t server;
	feed_client_t client;
	bool has_key; /**< the fleet's key is known */
	char fleet_key[FLEET_KEY_SIZE];
	bool key_write_pending;
	struct timespec key_write_after; /**< no key is written before */
	bool follows_next; /**< the parent comes after this daemon in the order;
			      this daemon's followers have to follow another one
			    */
	/** The table is not read from the store: another daemon sends the rows.
	 */
	bool suspended[ROW_TABLES];
	bool parent_store_unavailable;	   /**< to the parent */
	struct timespec parent_keep_until; /**< another parent is chosen then */
	uint32_t parent_changes; /**< consecutive ones for this reason */
	uint32_t start_attempts; /**< parents that sent no rows at the start */
	bool start_from_next; /**< the next daemon in the order sends the rows
				 with which this one starts */
	bool start_from_next_tried;
	struct timespec started_at;
	struct event *first_response_timer; /**< time limit for the parent's
					       first response */
	bool parent_responded;		    /**< it has sent a response */
	bool parent_stale;		    /**< its rows are outdated */
	struct timespec parent_stale_since;
	row_apply_t apply;
	bool applying; /**< rows that are passed to the callbacks now come from
			  another daemon */
	bool applying_older; /**< which has fewer of the withheld changes */
	/** Version that this daemon had when it applied rows of a parent with
	 * an older one, or of changes that it read from the store while
	 * following a parent. The parent does not send a row that was deleted
	 * and written again unchanged before this version, as it sees no
	 * change. 0: none. */
	uint64_t ahead_version[ROW_TABLES];
	/** Rows that are not cached were deleted by this version, as other
	 * daemons have sent: later than the version of their table while they
	 * withhold deletions. */
	uint64_t deletions_version[ROW_TABLES];
	/** Some changes from this version on are not passed on yet; 0: all are.
	 */
	uint64_t withheld_version[ROW_TABLES];
	bool following;		       /**< the rows come from the parent */
	char parent[MEMBER_NAME_SIZE]; /**< name; "": none */
	json_t *parent_path; /**< daemons through which its rows came; may be
				NULL */
	bool leaving;	     /**< followers have to follow another daemon */
	uint64_t parent_incarnation;
	uint64_t parent_change; /**< newest one received from it */
	/** Change of the cache whose rows the last request summarized. */
	uint64_t summarized_change;
	uint32_t summaries_outdated; /**< consecutive responses before which
					rows had changed */
	struct timespec parent_since;
};

bool row_sync_init(row_sync_t *, const row_sync_ops_t *, void *arg);
void row_sync_finish(row_sync_t *);

/** Does what is due, such as choosing the parent; called a few times a second.
 */
void row_sync_tick(row_sync_t *);

/** Whether the text is a valid fleet key; false fills the error. */
bool fleet_key_check(const char *text, err_t *);

/** Name of the daemon that reads the store for this one; NULL: not known. */
const char *row_sync_reader(const row_sync_t *);

/** Notifies followers that they must follow another daemon, as this one is
 * about to stop. */
void row_sync_stop_serving(row_sync_t *);

/** Stores a row or its deletion, to be sent to followers.
 * @return true if this changes the row's meaning */
bool row_sync_put(row_sync_t *, row_table_t, const row_t *);

const row_watch_t *row_sync_watch(const row_sync_t *, row_table_t);

/** Withholds changes from this version on for now, so that neither followers
 * nor this daemon, when it continues with the rows of another, miss them.
 * @param version 0: nothing is withheld any more */
void row_sync_withhold(row_sync_t *, row_table_t, uint64_t version);
/** Version up to which followers get all changes from this daemon: changes that
 * it withholds are later. */
uint64_t row_sync_published_version(const row_sync_t *, row_table_t);
/** Version that this daemon states in its requests; 0: it needs all rows. */
uint64_t row_sync_requested_version(const row_sync_t *, row_table_t);

#endif
