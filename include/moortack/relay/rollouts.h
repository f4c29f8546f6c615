/**
 * @file
 * The roll-outs of services. The operator orders them; all daemons agree on the
 * state of each through one row in the store; and each daemon decides which of
 * its requests go to the new version.
 */
#ifndef MOORTACK_RELAY_ROLLOUTS_H
#define MOORTACK_RELAY_ROLLOUTS_H

#include <event2/event.h>
#include <uthash.h>

#include "common/event_log.h"
#include "moortack/relay/endpoint_set.h"
#include "moortack/relay/recent_sessions.h"
#include "moortack/replication/membership.h"
#include "moortack/replication/row_store.h"
#include "moortack/rollout/canary_analysis.h"
#include "moortack/rollout/rollout_plan.h"

/** Prefix of the keys of rows that hold a roll-out's state; the service's name
 * follows. */
#define ROLLOUT_PREFIX "rollout/"
/** Prefix of the keys of rows that name the sessions that stay on the old
 * version. The name of the daemon that publishes the row follows: the one that
 * reads the store. The rows are passed on between daemons and are not in the
 * store. Each daemon has a row of its own, since the versions of rows from two
 * daemons can't be compared. */
#define ROLLOUT_SESSIONS_PREFIX "sessions/"

/** An order of the operator to roll out a version of a service. */
typedef struct rollout_order {
	char service[ENDPOINT_NAME_SIZE];
	char to_version[ENDPOINT_NAME_SIZE];
	int64_t duration_ms;
	uint64_t number; /**< version of its row, so it grows with each order;
			    0: no order */
} rollout_order_t;

/** Encodes the state of a roll-out for the operator. */
typedef struct rollout_status_encoder {
	/** Fill the row to write; the caller frees the texts. */
	bool (*encode)(const rollout_order_t *, rollout_state_t, char **table,
	    char **key, char **value);
} rollout_status_encoder_t;

typedef struct rollouts rollouts_t;

/** The roll-out of one service. */
typedef struct rollout {
	rollouts_t *owner;
	rollout_order_t order; /**< the order in force */
	/** An order that came before the order in force had ended. It takes
	 * effect once it is known how that one ended. Number 0: none. */
	rollout_order_t next_order;
	struct timespec next_order_seen_at;
	rollout_order_t previous_order; /**< replaced by the order in force */
	struct timespec order_seen_at;	/**< by this daemon's clock */
	/* The last state read from the store. */
	rollout_state_t state;
	uint64_t state_order; /**< number of its order; 0: no state read */
	char state_to_version[ENDPOINT_NAME_SIZE];   /**< of that order */
	char state_base_version[ENDPOINT_NAME_SIZE]; /**< that it replaces; "":
							not known */
	int64_t started_ms;    /**< start of that order by the store's clock; 0:
				  not known */
	int64_t state_late_ms; /**< of that order, see rollout_snapshot_t */
	int64_t late_ms;       /**< of the order in force, as seen here */
	/** When its new version was found to be as good, after the order; 0: it
	 * was not. */
	int64_t accepted_ms;
	int64_t accepted_proposed_ms; /**< the same of the order in force, by
					 this daemon; in use once it is stored
				       */
	rollout_trial_t trial; /**< of that order, the same at all daemons */
	/** Of the order in force, by this daemon; in use once it is stored. */
	rollout_trial_t trial_proposed;
	struct timespec trial_tried_at; /**< last attempt to determine it */
	rollout_load_t load; /**< of that order, the same at all daemons */
	rollout_load_t load_proposed;  /**< of the order in force, by this
					  daemon; in use once it is stored */
	struct timespec load_tried_at; /**< last attempt to determine it */
	uint64_t stored_version;       /**< of the state's row; 0: none */
	bool state_rewrite_needed;     /**< the row in the store was deleted, or
					  holds no valid or no current state */
	bool stopped;  /**< this daemon found the new version to be bad */
	bool given_up; /**< this daemon could not decide in time whether it is
			  bad */
	bool writing;  /**< a write of the state is in flight */
	struct timespec write_after; /**< no write before; 0: not set */
	rollout_state_t write_state; /**< that the last write stores */
	bool deadline_reported;
	canary_analysis_t canary;
	struct timespec evidence_logged_at;
	double share; /**< of the requests, for the new version, as of the last
			 rollout_prefers_new() */
	/** Highest part of the slots that was in use at an endpoint of the new
	 * version when it responded, in percent, since the share changed last;
	 * may be over 100. */
	uint32_t load_max_percent;
	UT_hash_handle hh;
} rollout_t;

struct rollouts {
	row_store_t *store;
	const clock_source_t *clock;
	const rollout_status_encoder_t *status_encoder;
	membership_t *members;
	const row_watch_t *orders_watch;    /**< for the age of the orders */
	row_watch_t *states_watch;	    /**< for the age of the states */
	const row_watch_t *endpoints_watch; /**< no order starts before all
					       endpoints were read; NULL:
					       they are known */
	event_log_t *log;
	rollout_t *by_service;
	struct event *timer;
	int64_t store_clock_offset_ms; /**< store's clock minus this daemon's */
	bool store_clock_known;
	/** Sessions that an old version served recently, at this daemon. */
	recent_sessions_t local_sessions;
	/** The same at other daemons, as they report. */
	recent_sessions_t peer_sessions;
	/** Requests of this daemon that are in flight at endpoints of other
	 * versions than the order's. The argument is @p relay. @param route
	 * hash of a route's name; 0: of all routes */
	uint32_t (*old_in_flight)(
	    const void *relay, const rollout_t *, uint64_t route);
	/** Slots of an endpoint of the new version; 0: none is known. */
	uint32_t (*new_version_slots)(const void *relay, const rollout_t *);
	/** Add this daemon's requests at the new version that were sent before
	 * this time and still wait for what the analysis observes. */
	void (*new_version_waiting)(const void *relay, const rollout_t *,
	    struct timespec sent_before, canary_cohort_t *sum);
	/** Whether all endpoints of the new version are in one group. */
	bool (*new_version_is_one_group)(const void *relay, const rollout_t *);
	/** Part of the requests that a bad version may get, 0 to 1. */
	double exposure_max;
	double exposure_tolerance; /**< requests that it may get besides */
	/** The version of a service that an order for the new version replaces,
	 * if no state tells it; "": not known. */
	const char *(*replaced_version)(
	    const void *relay, const char *service, const char *new_version);
	const void *relay;
};

/** Start the timer that advances the roll-outs. The other fields are set by the
 * caller. @return false: out of memory */
bool rollouts_init(rollouts_t *, struct event_base *);
void rollouts_finish(rollouts_t *);

/** Apply an order. It is ignored if it is not newer than the known ones. */
void rollouts_apply_order(rollouts_t *, const rollout_order_t *);
/** Apply a row of the system's table whose key begins with ROLLOUT_PREFIX.
 * @return false: it holds no valid state; fills the error */
bool rollouts_apply_state_row(rollouts_t *, const row_t *, err_t *);
/** Set the store's steady clock, as received with a response. */
void rollouts_set_store_clock(rollouts_t *, int64_t now_ms);

/** @return NULL: nothing is known of a roll-out of the service */
rollout_t *rollouts_find(const rollouts_t *, const char *service);

/** Whether a request should go to the new version. */
bool rollout_prefers_new(rollout_t *, const rollout_request_t *);
/** Record how many requests an endpoint of the new version ran or queued when
 * it responded, for the log. */
void rollout_record_load(rollout_t *, uint32_t held, uint32_t slots);
/** Record that a session's request goes to an old version, or to a version that
 * no roll-out replaces yet: the next roll-out leaves the session there.
 * Sessions outside ROLLOUT_PINNED_SHARE_MAX are not recorded; they don't move
 * while sessions are pinned. */
void rollouts_record_old_session(rollouts_t *, uint64_t hash);
/** Apply a row whose key begins with ROLLOUT_SESSIONS_PREFIX: sessions that
 * other daemons served. */
void rollouts_apply_sessions_row(rollouts_t *, const row_t *);
/** The value of such a row for other daemons, or NULL; to be freed. */
char *rollouts_encode_sessions(const rollouts_t *);
/** The version that the order in force replaces; "": not known. */
const char *rollout_base_version(const rollout_t *);
/** Whether the previous roll-out was of the endpoint's version and was
 * reverted. */
bool rollout_is_reverted_version(const rollout_t *, const endpoint_t *);
/** Whether the endpoint has the new version. */
bool rollout_is_new_version(const rollout_t *, const endpoint_t *);
/** Whether a roll-out is ordered and has not ended. */
bool rollout_is_active(const rollout_t *);
/** Whether requests of the route put the new version under load now. */
bool rollout_loads(const rollout_t *, uint64_t route);
/** Endpoints of the new version that are put under load now; 0: none. */
uint32_t rollout_endpoints(const rollout_t *);
/** Whether requests may go to the old version. */
bool rollout_allows_old_version(const rollout_t *);

/** This daemon's report to the others; a new reference, or NULL if no roll-out
 * is active. */
json_t *rollouts_report(rollouts_t *);
/** Whether any roll-out is active. */
bool rollouts_any_active(const rollouts_t *);

#endif
