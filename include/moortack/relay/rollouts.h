/**
 * @file
 * The roll-outs of services: orders of the operator, the state that all daemons
 * agree on through one row each, and what this daemon may send where.
 */
#ifndef MOORTACK_RELAY_ROLLOUTS_H
#define MOORTACK_RELAY_ROLLOUTS_H

#include <event2/event.h>
#include <uthash.h>

#include "common/event_log.h"
#include "moortack/relay/canary_analysis.h"
#include "moortack/relay/endpoint_set.h"
#include "moortack/relay/recent_sessions.h"
#include "moortack/relay/rollout_plan.h"
#include "moortack/replication/membership.h"
#include "moortack/replication/row_store.h"

#define ROLLOUT_PREFIX "rollout/"
/** Keys of rows that pass on which sessions stay, with the name of the daemon
 * that reads the store; not in the store. Each has its own row, since the
 * versions of two of them can't be compared. */
#define ROLLOUT_SESSIONS_PREFIX "sessions/"

/** What the operator ordered for a service. */
typedef struct rollout_order {
	char service[ENDPOINT_NAME_SIZE];
	char to_version[ENDPOINT_NAME_SIZE]; /**< a version */
	int64_t duration_ms;
	uint64_t number; /**< grows with each order */
} rollout_order_t;

/** Where and how the operator reads a roll-out's state. */
typedef struct rollout_status_encoder {
	/** Fill the row that tells it; texts are freed by the caller. */
	bool (*encode)(const rollout_order_t *, rollout_state_t, char **table,
	    char **key, char **value);
} rollout_status_encoder_t;

typedef struct rollouts rollouts_t;

/** One service's roll-out. */
typedef struct rollout {
	rollouts_t *owner;
	rollout_order_t order;
	/** An order that came while the one before had not ended: it is taken
	 * up once it is known how that one ends. Number 0: none. */
	rollout_order_t next_order;
	struct timespec next_order_seen_at;
	rollout_order_t
	    previous_order; /**< the order that this one took over from */
	struct timespec order_seen_at; /**< the order, by this daemon's clock */
	rollout_state_t state;	       /**< as the store has it */
	uint64_t state_order;	       /**< order that the state is of */
	char state_to_version[ENDPOINT_NAME_SIZE]; /**< version of that order */
	char state_base_version[ENDPOINT_NAME_SIZE]; /**< which it replaces; "":
						not known */
	int64_t started_ms; /**< that order, by the store's clock; 0: unknown */
	uint64_t stored_version;   /**< of the state's row; 0: none */
	bool state_rewrite_needed; /**< its row is gone, or is no state: others
				    * wrote it
				    */
	bool stopped;		   /**< found bad here */
	bool writing;
	struct timespec write_after;
	rollout_state_t write_state;
	bool deadline_told;
	canary_analysis_t canary;
	double share; /**< when last logged */
	UT_hash_handle hh;
} rollout_t;

struct rollouts {
	row_store_t *store;
	const clock_source_t *clock;
	const rollout_status_encoder_t *status_encoder;
	membership_t *members;
	const row_watch_t *orders_watch; /**< how old the orders are */
	row_watch_t *states_watch;	 /**< and the states */
	event_log_t *log;
	rollout_t *by_service;
	struct event *timer;
	int64_t store_clock_offset_ms; /**< store's clock less this one's */
	bool store_clock_known;
	recent_sessions_t
	    local_sessions; /**< by an old version, by this daemon */
	recent_sessions_t peer_sessions; /**< by others, as they told */
	/** Requests of this daemon that endpoints without the order's version
	 * are at work on; the argument is relay. */
	uint32_t (*old_in_flight)(const void *relay, const rollout_t *);
	/** The version of a service before any order; "": not known. */
	const char *(*group_base_version)(
	    const void *relay, const char *service);
	const void *relay;
};

bool rollouts_init(rollouts_t *, struct event_base *);
void rollouts_finish(rollouts_t *);

/** Take an order. */
void rollouts_apply_order(rollouts_t *, const rollout_order_t *);
/** A row of the system's table whose key begins with ROLLOUT_PREFIX.
 * @return false: it tells no state; fills the error */
bool rollouts_apply_state_row(rollouts_t *, const row_t *, err_t *);
/** The store's steady clock, as it came with an answer. */
void rollouts_set_store_clock(rollouts_t *, int64_t now_ms);

rollout_t *rollouts_find(const rollouts_t *, const char *service);

/** Whether a request with this hash is to go to the new version.
 * @param session the hash is of a session */
bool rollout_prefers_new(rollout_t *, uint64_t hash, bool session);
/** A session's request goes to an old version, or to one that is not being
 * replaced: a roll-out to come leaves it there. */
void rollouts_record_old_session(rollouts_t *, uint64_t hash);
/** Sessions that others served; a row of ROLLOUT_SESSIONS_PREFIX. */
void rollouts_apply_sessions_row(rollouts_t *, const row_t *);
/** The value of that row for others, or NULL; to be freed. */
char *rollouts_encode_sessions(const rollouts_t *);
/** The version that the order in force replaces; "": not known. */
const char *rollout_base_version(const rollout_t *);
/** Whether the endpoint's version was taken back in the roll-out before. */
bool rollout_is_reverted_version(const rollout_t *, const endpoint_t *);
/** Whether the endpoint is of the new version. */
bool rollout_is_new_version(const rollout_t *, const endpoint_t *);
/** Whether it is ordered and has not ended. */
bool rollout_is_active(const rollout_t *);
/** Whether its first endpoints are being filled. */
bool rollout_is_saturating(const rollout_t *);
/** Whether the old version may be used. */
bool rollout_allows_old_version(const rollout_t *);

/** What this daemon reports to the others; a new reference or NULL. */
json_t *rollouts_report(rollouts_t *);
/** Whether any is under way. */
bool rollouts_any_active(const rollouts_t *);

#endif
