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
#include "moortack/relay/endpoint_set.h"
#include "moortack/relay/rollout_plan.h"
#include "moortack/relay/session_memory.h"
#include "moortack/relay/version_guard.h"
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
	char to[ENDPOINT_NAME_SIZE]; /**< a version */
	int64_t duration_ms;
	uint64_t number; /**< grows with each order */
} rollout_order_t;

/** Where and how the operator reads a roll-out's state. */
typedef struct rollout_dialect {
	/** Fill the row that tells it; texts are freed by the caller. */
	bool (*tell)(const rollout_order_t *, rollout_state_t, char **table,
	    char **key, char **value);
} rollout_dialect_t;

typedef struct rollouts rollouts_t;

/** One service's roll-out. */
typedef struct rollout {
	rollouts_t *owner;
	rollout_order_t order;
	/** An order that came while the one before had not ended: it is taken
	 * up once it is known how that one ends. Number 0: none. */
	rollout_order_t next;
	struct timespec next_seen;
	rollout_order_t before; /**< the order that this one took over from */
	struct timespec seen;	/**< the order, by this daemon's clock */
	rollout_state_t state;	/**< as the store has it */
	uint64_t state_order;	/**< order that the state is of */
	char state_to[ENDPOINT_NAME_SIZE];   /**< version of that order */
	char state_base[ENDPOINT_NAME_SIZE]; /**< which it replaces; "": not
						known */
	int64_t began_ms; /**< that order, by the store's clock; 0: unknown */
	uint64_t state_version; /**< of the state's row; 0: none */
	bool state_spoilt; /**< its row is gone, or is no state: others wrote it
			    */
	bool stopped;	   /**< found bad here */
	bool writing;
	struct timespec write_after;
	rollout_state_t wanted;
	bool deadline_told;
	version_guard_t guard;
	double share; /**< when last logged */
	UT_hash_handle hh;
} rollout_t;

struct rollouts {
	row_store_t *store;
	const clock_source_t *clock;
	const rollout_dialect_t *dialect;
	membership_t *members;
	const row_watch_t *orders; /**< how old the orders are */
	row_watch_t *states;	   /**< and the states */
	event_log_t *log;
	rollout_t *all;
	struct event *timer;
	int64_t now_offset_ms; /**< store's clock less this one's */
	bool now_known;
	session_memory_t served; /**< by an old version, by this daemon */
	session_memory_t heard;	 /**< by others, as they told */
	/** Requests of this daemon that endpoints without the order's version
	 * are at work on; the argument is relay. */
	uint32_t (*on_old)(const void *relay, const rollout_t *);
	/** The version of a service before any order; "": not known. */
	const char *(*first_version)(const void *relay, const char *service);
	const void *relay;
};

bool rollouts_init(rollouts_t *, struct event_base *);
void rollouts_finish(rollouts_t *);

/** Take an order. */
void rollouts_order(rollouts_t *, const rollout_order_t *);
/** A row of the system's table whose key begins with ROLLOUT_PREFIX.
 * @return false: it tells no state; fills the error */
bool rollouts_row(rollouts_t *, const row_t *, err_t *);
/** The store's steady clock, as it came with an answer. */
void rollouts_store_clock(rollouts_t *, int64_t now_ms);

rollout_t *rollouts_find(const rollouts_t *, const char *service);

/** Whether a request with this hash is to go to the new version.
 * @param session the hash is of a session */
bool rollout_prefers_new(rollout_t *, uint64_t hash, bool session);
/** A session's request goes to an old version, or to one that is not being
 * replaced: a roll-out to come leaves it there. */
void rollouts_note_old(rollouts_t *, uint64_t hash);
/** Sessions that others served; a row of ROLLOUT_SESSIONS_PREFIX. */
void rollouts_sessions_row(rollouts_t *, const row_t *);
/** The value of that row for others, or NULL; to be freed. */
char *rollouts_sessions(const rollouts_t *);
/** The version that the order in force replaces; "": not known. */
const char *rollout_base(const rollout_t *);
/** Whether the endpoint's version was taken back in the roll-out before. */
bool rollout_taken_back(const rollout_t *, const endpoint_t *);
/** Whether the endpoint is of the new version. */
bool rollout_is_new(const rollout_t *, const endpoint_t *);
/** Whether it is ordered and has not ended. */
bool rollout_under_way(const rollout_t *);
/** Whether its first endpoints are being filled. */
bool rollout_on_trial(const rollout_t *);
/** Whether the old version may be used. */
bool rollout_old_allowed(const rollout_t *);

/** What this daemon reports to the others; a new reference or NULL. */
json_t *rollouts_report(rollouts_t *);
/** Whether any is under way. */
bool rollouts_active(const rollouts_t *);

#endif
