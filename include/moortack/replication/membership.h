/**
 * @file
 * The daemons that serve, found through rows of the store: each writes its own
 * row, and reads those of the others.
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
/** The system's own table, and the keys of members in it. */
#define SYSTEM_TABLE "moortack"
#define MEMBER_PREFIX "member/"

/** What a member does with callers. */
typedef enum member_state {
	MEMBER_STARTING, /**< knows too little to serve */
	MEMBER_READY,
	MEMBER_LEAVING,
} member_state_t;

/** Another daemon, as its row says. */
typedef struct member {
	char name[MEMBER_NAME_SIZE]; /**< its address for callers */
	char zone[MEMBER_NAME_SIZE];
	char peer_address[MEMBER_NAME_SIZE]; /**< its address for other daemons
					      */
	double strength;		     /**< of its VM: cores */
	double sort_key; /**< where it stands among all; see member_order() */
	member_state_t state;
	json_t *report;		    /**< what it reports besides; may be NULL */
	member_liveness_t liveness; /**< what is known of its being alive */
	struct timespec backoff_until; /**< not followed until then */
	struct timespec backoff_started_at;
	uint32_t backoff_count; /**< in a row */
	uint64_t version;
	bool logged_available; /**< to callers, as last logged */
	UT_hash_handle hh;
} member_t;

/** What a member's row says of it. */
typedef struct member_record {
	char name[MEMBER_NAME_SIZE];
	char zone[MEMBER_NAME_SIZE];
	char peer_address[MEMBER_NAME_SIZE]; /**< IP:PORT; "": none */
	double strength;
	member_state_t state;
	int64_t written_at_ms; /**< when it was written, by the store's clock;
			  0: not known then */
	json_t *report;	       /**< belongs to body; may be NULL */
	json_t *body;	       /**< to be given back */
} member_record_t;

/** A row that another daemon wants to have in the store: whoever reads it for
 * the others writes it along with theirs. */
typedef struct member_row_request {
	char name[MEMBER_NAME_SIZE];
	json_t *row;
	int64_t
	    requested_at_ms; /**< when it was wanted, by the store's clock */
	struct timespec requested_at; /**< the same, by this daemon's */
	UT_hash_handle hh;
} member_row_request_t;

typedef struct membership_settings {
	char name[MEMBER_NAME_SIZE]; /**< own address for callers */
	char zone[MEMBER_NAME_SIZE];
	char peer_address[MEMBER_NAME_SIZE]; /**< own address for other daemons
					      */
	double strength;		     /**< of its VM: cores */
	int64_t row_heartbeat_ms; /**< between writes of the own row, while
				  nobody hears of this daemon otherwise */
	liveness_timeouts_t liveness;
} membership_settings_t;

typedef struct membership {
	membership_settings_t settings;
	row_store_t *store;
	const clock_source_t *clock;
	event_log_t *log; /**< NULL: none */
	member_t *members;
	member_row_request_t *row_requests; /**< of others */
	member_state_t state;
	json_t *report; /**< of this daemon; goes into its row */
	uint64_t heartbeat_sequence;
	bool write_pending;	       /**< rows, its own or others' */
	bool read_back_pending;	       /**< rows, which are not read back yet */
	struct timespec next_write_at; /**< not before then */
	int64_t retry_ms;	       /**< after a failed write */
	member_record_t
	    stored_record; /**< own row in the store; no body: none */
	struct timespec row_wanted_since; /**< since when it is another one; 0:
			     it is not */
	struct timespec
	    row_heartbeat_at; /**< last write of the own row while alone */
	bool rows_read;	      /**< see membership_set_rows_read() */
	bool frozen;	      /**< see membership_set_frozen() */
	bool isolated; /**< no other daemon hears of this one but by its row */
	struct timespec isolated_since;
	bool cleanup_pending; /**< rows of the dead are being taken out */
	struct timespec next_cleanup_at;
	liveness_view_t liveness;
	double sort_key; /**< of this daemon */
	const member_t *
	    *parent_candidates; /**< who stands before this daemon */
	size_t parent_candidates_cap;
	int64_t store_clock_offset_ms; /**< store's clock less this one's */
	bool store_clock_known;
} membership_t;

/** @param log may be NULL */
void membership_init(membership_t *, row_store_t *, const clock_source_t *,
    event_log_t *log, const membership_settings_t *);
void membership_finish(membership_t *);

/** Read a row whose key begins with MEMBER_PREFIX; false fills the error.
 * member_record_finish() ends what it filled. */
bool member_row_decode(const row_t *, member_record_t *, err_t *);
void member_record_finish(member_record_t *);
/** Whether callers and daemons can be sent to its addresses; false fills the
 * error. */
bool member_record_check_addresses(const member_record_t *, err_t *);
/** A row of the system's table whose key begins with MEMBER_PREFIX, and that
 * can be read. */
void membership_apply_row(membership_t *, const row_t *);
/** Whether two rows of a member say the same, but for their beat. */
bool
member_row_unchanged(const char *a, size_t a_len, const char *b, size_t b_len);
/** The own row is not in the store. */
void membership_own_row_missing(membership_t *);
/** The row that this daemon wants to have in the store and has not, to be told
 * to whom it asks; a new reference or NULL. */
json_t *membership_own_row_request(membership_t *);
/** Another daemon wants a row. @param row as it is told; may be NULL */
void
membership_add_row_request(membership_t *, const char *name, const json_t *row);

/** A daemon asked this one for rows. @param report may be NULL */
void
membership_record_request(membership_t *, const char *name, json_t *report);
/** One that asked tells of those that it heard of; see membership_subtree(). */
void membership_apply_subtree(membership_t *, const json_t *below);
/** Those heard of lately: [milliseconds since then, report or null, and the row
 * that it wants, if any] by name; a new reference or NULL. */
json_t *membership_subtree(const membership_t *);
/** Don't name a member as the one to follow for this long, and longer each time
 * until it is trusted. */
void membership_back_off(membership_t *, const char *name, int64_t ms);
/** Don't name it for this long, and no longer next time. */
void membership_skip(membership_t *, const char *name, int64_t ms);
/** Name all members again: the store is back for this daemon, and likely for
 * others. */
void membership_clear_backoffs(membership_t *);
/** The store answers this daemon no more, and nobody else tells the rows: write
 * nothing but the end of the own row, and judge nobody by its silence. */
void membership_set_frozen(membership_t *, bool hold);
/** The member answered well. */
void membership_reset_backoff(membership_t *, const char *name);
/** It answered a question of @p asked, if only that it is no use. */
void membership_record_response(
    membership_t *, const char *name, struct timespec asked);
/** It gave no answer. */
void membership_record_no_response(membership_t *, const char *name);
/** The store's clock, as heard just now. */
void membership_set_store_clock(membership_t *, int64_t now_ms);

/** The rows of all were read, or told, for the first time. */
void membership_set_rows_read(membership_t *);
/**
 * Take the word of another daemon: all gave a sign of life shortly before @p
 * spoken, but for those that are listed.
 * @param silent names, may be NULL
 * @return whether somebody is silent now, or no longer
 */
bool membership_apply_liveness(
    membership_t *, struct timespec spoken, const json_t *silent);
/** The word to pass on: its age in milliseconds, or -1. */
int64_t membership_liveness_age_ms(const membership_t *);
/** The names that it lists; a new reference, or NULL: none. */
json_t *membership_silent_names(const membership_t *);
/**
 * Judge who is silent, write the rows that are wanted, and take those of the
 * dead out of the store; called a few times a second.
 * @return whether the word to pass on is another one than before
 */
bool membership_tick(membership_t *, bool following);
/**
 * The member to follow. All that are ready stand in one order, the strong
 * ones first, and form a tree: the first one reads the store, each
 * follows one that stands before it, and none is followed by many. Only who
 * stands before is followed, so that differing views make no circle.
 * @return NULL: read the store
 */
const member_t *membership_parent(membership_t *);
/** Whether this daemon follows the first of all, or reads the store itself:
 * about as many do as the square root of all. */
bool membership_near_root(membership_t *);
/** The first that stands after this daemon: followed only while the store does
 * not answer this one and nobody stands before it. Or NULL. */
const member_t *membership_next_member(const membership_t *);
/** Tell the others at once. */
void membership_set_state(membership_t *, member_state_t);
/** Replace what goes into the own row while nobody hears of this daemon
 * otherwise; takes the reference. */
void membership_set_report(membership_t *, json_t *report);

/** Whether callers may be sent to the member. */
bool member_is_available(const membership_t *, const member_t *);
/** Whether something of the member may still go on. */
bool member_is_alive(const membership_t *, const member_t *);
/** Daemons that may still be at work, this one among them. */
uint32_t membership_alive_count(const membership_t *);
/** This daemon's place in the order of all, from 0: for who acts first. */
uint32_t membership_rank(const membership_t *);

#endif
