/**
 * @file
 * Internals of the roll-outs: rollouts.c keeps orders and states,
 * rollout_state.c encodes and decodes the rows of states, rollout_report.c
 * sums up the reports of all daemons, rollout_evidence.c judges by them,
 * rollout_sessions.c keeps the sessions that stay on an old version,
 * rollout_load.c determines how the new version is put under load.
 */
#ifndef MOORTACK_RELAY_ROLLOUTS_PRIV_H
#define MOORTACK_RELAY_ROLLOUTS_PRIV_H

#include "moortack/relay/rollouts.h"
#include "moortack/rollout/canary_verdict.h"

/** Names of the states in the rows, indexed by rollout_state_t. */
extern const char *const rollout_state_names[];

/** The content of a row that holds a roll-out's state. */
typedef struct rollout_state_row {
	uint64_t order; /**< number of the order that the state is of */
	char to_version[ENDPOINT_NAME_SIZE];
	char base_version[ENDPOINT_NAME_SIZE]; /**< that it replaces; "": not
						  known */
	rollout_state_t state;
	int64_t started_ms;  /**< by the store's clock; 0: not known */
	int64_t accepted_ms; /**< see rollout_snapshot_t */
	int64_t late_ms;     /**< likewise */
	rollout_trial_t trial;
	rollout_load_t load; /**< share 0: not determined yet */
} rollout_state_row_t;

/** Decode such a row, which isn't deleted.
 * @return false: it holds no valid state; fills the error */
bool rollout_state_decode(const row_t *, rollout_state_row_t *, err_t *);
/** Encode a state as the row's value.
 * @return to be freed; NULL: out of memory */
char *rollout_state_encode(const rollout_t *, rollout_state_t);
/** When the order in force started, by this daemon's clock: as the stored state
 * says, if that is of this order and the store's clock is known; else when this
 * daemon first saw the order. */
struct timespec rollout_started_at(const rollout_t *);

/** What the share depends on, now. */
rollout_snapshot_t rollout_take_snapshot(const rollout_t *);

/** Part of the daemons whose reports have to be known to decide for all. Only
 * the daemon that all others follow has them. */
#define ROLLOUT_REPORTED_MIN 0.8

/** Sum up what this daemon counted, and those whose reports it has. */
void rollout_sums_collect(rollout_t *, canary_sums_t *);
/** Part of the other daemons whose report is known. */
double rollout_reported_part(const rollout_t *);

/** Whether the responses counted by all daemons show that the new version is
 * bad. */
bool rollout_new_version_is_bad(rollout_t *);

/** Judge the new version by what all daemons counted: stop the roll-out if it
 * is bad, propose to accept it if it is as good as the old one. */
void rollout_judge(rollout_t *);
/** Whether a request's session may have been served by the old version although
 * no daemon knows: its caller tried before the session's share of the new
 * version was in force. */
bool rollout_session_may_be_on_old(
    const rollout_snapshot_t *, const rollout_request_t *);
/** Whether this daemon proposes to accept the new version, and the stored state
 * does not say so yet. */
bool rollout_acceptance_pending(const rollout_t *);
/** Time that may have passed before any daemon knew the order in force. */
int64_t rollout_late_ms(const rollout_t *);
/** The same for an order that is read now. */
int64_t rollout_order_late_ms(const rollouts_t *, const rollout_order_t *);
/** When the new version of the order in force was accepted, as stored; 0: it
 * was not. */
int64_t rollout_accepted_ms(const rollout_t *);

/** Requests of the load's routes at the old version, as all daemons reported.
 * @param input requests in flight and the part of these routes are filled in
 * @return false: too few reports are known */
bool rollout_load_input(
    rollout_t *, const rollout_load_t *, rollout_load_input_t *input);

/** The load of the order in force, as stored; share 0: none is. */
rollout_load_t rollout_current_load(const rollout_t *);

/** Determine how to put the new version under load, once for an order.
 * @return false: not known yet: its endpoints, or the requests of all daemons
 */
bool rollout_load_propose(rollout_t *);

/** The trial of the order in force, as stored. */
rollout_trial_t rollout_current_trial(const rollout_t *);
/** Determine the trial of the new version, or extend it, by what all daemons
 * reported.
 * @return whether the stored state has to be changed for it */
bool rollout_trial_propose(rollout_t *);
/** Up to which share of the requests all daemons report the sessions that the
 * old version served recently. */
double rollouts_reported_sessions_share(const rollouts_t *);
/** The same of this daemon. */
double rollouts_own_sessions_share(const rollouts_t *);

/** Whether every daemon sends all requests to the new version and has none in
 * flight on the old one. */
bool rollout_is_drained(const rollout_t *);

/** Whether an old version served a session with this hash recently, at any
 * daemon. */
bool rollouts_session_on_old(const rollouts_t *, uint64_t hash);
/** Add the sessions that other daemons report. */
void rollouts_merge_member_sessions(rollouts_t *);

#endif
