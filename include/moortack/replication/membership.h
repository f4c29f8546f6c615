/**
 * @file
 * The daemons that serve callers, found through rows of the store: each daemon
 * writes its own row and reads those of the others.
 */
#ifndef MOORTACK_REPLICATION_MEMBERSHIP_H
#define MOORTACK_REPLICATION_MEMBERSHIP_H

#include <jansson.h>
#include <uthash.h>

#include "common/event_log.h"
#include "common/http_call.h"
#include "moortack/replication/member_life.h"
#include "moortack/replication/row_store.h"
#include "moortack/replication/row_watch.h"

#define MEMBER_NAME_SIZE 96
/** The system's own table, and the prefix of the members' keys in it. */
#define SYSTEM_TABLE "moortack"
#define MEMBER_PREFIX "member/"

/** What a member does with callers. */
typedef enum member_state {
	MEMBER_STARTING, /**< doesn't have the data to serve yet */
	MEMBER_READY,
	MEMBER_LEAVING,
} member_state_t;

/** Another daemon, by its row. */
typedef struct member {
	char name[MEMBER_NAME_SIZE]; /**< its address for callers */
	char zone[MEMBER_NAME_SIZE];
	char peer_address[MEMBER_NAME_SIZE]; /**< for other daemons */
	double strength;		     /**< of its VM: cores */
	double sort_key; /**< place in the order; see member_sort_key() */
	member_state_t state;
	json_t *report; /**< of its roll-outs; may be NULL */
	member_liveness_t liveness;
	struct timespec backoff_until; /**< not followed before */
	struct timespec backoff_started_at;
	uint32_t backoff_count; /**< in succession */
	uint64_t version;	/**< of its row; 0: it has none */
	bool logged_available;	/**< for callers, as last logged */
	UT_hash_handle hh;
} member_t;

/** A member's row, decoded. */
typedef struct member_record {
	char name[MEMBER_NAME_SIZE];
	char zone[MEMBER_NAME_SIZE];
	char peer_address[MEMBER_NAME_SIZE]; /**< IP:PORT; "": none */
	double strength;
	member_state_t state;
	int64_t written_at_ms; /**< by the store's clock; 0: it was not known
				  then */
	json_t *report;	       /**< belongs to body; may be NULL */
	json_t *body;	       /**< reference to release */
} member_record_t;

/** A row that another daemon wants to have in the store: the daemon that reads
 * the store for the others writes their rows together. */
typedef struct member_row_request {
	char name[MEMBER_NAME_SIZE];
	json_t *row;
	int64_t requested_at_ms;      /**< by the store's clock */
	struct timespec requested_at; /**< the same, by this daemon's clock */
	UT_hash_handle hh;
} member_row_request_t;

typedef struct membership_settings {
	char name[MEMBER_NAME_SIZE]; /**< own address for callers */
	char zone[MEMBER_NAME_SIZE];
	char peer_address[MEMBER_NAME_SIZE]; /**< own, for other daemons */
	double strength;		     /**< of its VM: cores */
	int64_t row_heartbeat_ms; /**< between writes of the own row while this
				     daemon is isolated */
	liveness_timeouts_t liveness;
} membership_settings_t;

typedef struct membership {
	membership_settings_t settings;
	row_store_t *store;
	const clock_source_t *clock;
	event_log_t *log; /**< NULL: none */
	member_t *members;
	member_row_request_t *row_requests; /**< of other daemons */
	member_state_t state;
	json_t *report; /**< of this daemon; goes into its row */
	uint64_t heartbeat_sequence;
	bool write_pending;		  /**< of rows, its own or others' */
	bool read_back_pending;		  /**< rows were written and have to be
					     read */
	struct timespec next_write_at;	  /**< earliest time */
	int64_t retry_ms;		  /**< after a failed write */
	member_record_t stored_record;	  /**< own row in the store; no body:
					     none */
	struct timespec row_wanted_since; /**< since when the own row should
					     differ from the stored one; 0: it
					     should not */
	struct timespec row_heartbeat_at; /**< last write of the own row as a
					     heartbeat */
	bool rows_read;			  /**< see membership_set_rows_read() */
	bool frozen;			  /**< see membership_set_frozen() */
	bool isolated; /**< follows no daemon and gets no requests: the others
			  know of it only by its row */
	struct timespec isolated_since;
	bool cleanup_pending; /**< rows of daemons that are down are being
				 deleted */
	struct timespec next_cleanup_at;
	liveness_view_t liveness;
	double sort_key;	       /**< of this daemon */
	int64_t store_clock_offset_ms; /**< store's clock minus this daemon's */
	bool store_clock_known;
} membership_t;

/** @param log may be NULL */
void membership_init(membership_t *, row_store_t *, const clock_source_t *,
    event_log_t *log, const membership_settings_t *);
void membership_finish(membership_t *);

/** Decodes a row whose key begins with MEMBER_PREFIX; false fills the error.
 * member_record_finish() releases what it filled. */
bool member_row_decode(const row_t *, member_record_t *, err_t *);
void member_record_finish(member_record_t *);
/** Whether the addresses are usable by callers and daemons; false fills the
 * error. */
bool member_record_check_addresses(const member_record_t *, err_t *);
/** Applies a valid row of the system's table whose key begins with
 * MEMBER_PREFIX. */
void membership_apply_row(membership_t *, const row_t *);
/** Whether two rows of a member are equal except for their heartbeat. */
bool
member_row_unchanged(const char *a, size_t a_len, const char *b, size_t b_len);
/** A hash that two rows of a member share only if they are equal except for
 * their heartbeat. */
uint64_t member_row_digest(const char *value, size_t len);
/** The own row is not in the store. */
void membership_own_row_missing(membership_t *);
/** The row that this daemon wants to have in the store, unless it is stored
 * already, to be sent to its parent; a new reference or NULL. */
json_t *membership_own_row_request(membership_t *);
/** Another daemon wants a row in the store. @param row as received; may be NULL
 */
void
membership_add_row_request(membership_t *, const char *name, const json_t *row);

/** A daemon requested rows from this one. @param report may be NULL */
void
membership_record_request(membership_t *, const char *name, json_t *report);
/** Applies what a follower sends of the daemons below it.
 * @param subtree of the follower; see membership_subtree() */
void membership_apply_subtree(membership_t *, const json_t *subtree);
/** The daemons below this one in the tree that sent requests lately:
 * [milliseconds since then, report or null, and the row that it wants, if any]
 * by name; a new reference or NULL. */
json_t *membership_subtree(const membership_t *);
/** Doesn't choose the member as a parent for this time, doubled each time until
 * membership_reset_backoff(). */
void membership_back_off(membership_t *, const char *name, int64_t ms);
/** Doesn't choose it as a parent for this time, which isn't doubled. */
void membership_skip(membership_t *, const char *name, int64_t ms);
/** Allows all members as parents again: the store is available again to this
 * daemon, and likely to others. */
void membership_clear_backoffs(membership_t *);
/** The store is unavailable to this daemon, and no other daemon sends the rows:
 * while frozen, it writes nothing, and silence of a member counts for nothing.
 */
void membership_set_frozen(membership_t *, bool frozen);
/** The member proved to be a usable parent. */
void membership_reset_backoff(membership_t *, const char *name);
/** The member responded, whether or not the response was usable.
 * @param sent time of the request */
void membership_record_response(
    membership_t *, const char *name, struct timespec sent);
/** It did not respond in time. */
void membership_record_no_response(membership_t *, const char *name);
/** The time on the store's clock, as just received. */
void membership_set_store_clock(membership_t *, int64_t now_ms);

/** The rows of all members were read, or received, for the first time. */
void membership_set_rows_read(membership_t *);
/**
 * Applies the liveness summary of another daemon: all members gave a sign of
 * life shortly before @p made_at, except those that it lists.
 * @param silent names, may be NULL
 * @return whether a member became silent, or is so no longer
 */
bool membership_apply_liveness(
    membership_t *, struct timespec made_at, const json_t *silent);
/** The age of the liveness summary to pass on, in milliseconds; -1: none. */
int64_t membership_liveness_age_ms(const membership_t *);
/** The names that it lists as silent; a new reference, or NULL: none. */
json_t *membership_silent_names(const membership_t *);
/**
 * Detects silent members, writes the rows that are wanted, and deletes those of
 * members that are down; called a few times a second.
 * @return whether the liveness summary to pass on has changed
 */
bool membership_tick(membership_t *, bool following);
/**
 * The member to follow. All daemons that are not leaving have one order, the
 * strong ones first, and form a tree: the first one reads the store, each other
 * one follows one before it in the order, and no daemon has many followers.
 * As none follows one after it, differing views can't make a cycle.
 * @return NULL: read the store
 */
const member_t *membership_parent(const membership_t *);
/** Whether this daemon follows the first in the order, or reads the store
 * itself: the number of those that do is about the square root of all. */
bool membership_near_root(const membership_t *);
/** The next member after this daemon in the order: followed only while the
 * store is unavailable to this daemon and none is before it. Or NULL. */
const member_t *membership_next_member(const membership_t *);
/** Sets the state of this daemon; membership_tick() publishes it. */
void membership_set_state(membership_t *, member_state_t);
/** Replaces the report that goes into the own row while this daemon is
 * isolated; takes the reference. */
void membership_set_report(membership_t *, json_t *report);

/** A random member, found without looking at all of them.
 * @param random 64 random bits
 * @return NULL: there is none */
const member_t *membership_pick(const membership_t *, uint64_t random);

/** Whether callers may be sent to the member. */
bool member_is_available(const membership_t *, const member_t *);
/** Whether the member may still have something in progress. */
bool member_is_alive(const membership_t *, const member_t *);
/** Number of daemons that may be alive, including this one. */
uint32_t membership_alive_count(const membership_t *);
/** This daemon's place in the order, from 0: decides which daemon acts first.
 */
uint32_t membership_rank(const membership_t *);

#endif
