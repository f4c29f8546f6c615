/**
 * @file
 * What the files of roll-outs share: rollouts.c keeps orders and states,
 * rollout_state.c reads and writes the rows of states, rollout_report.c counts
 * what all daemons report.
 */
#ifndef MOORTACK_RELAY_ROLLOUTS_PRIV_H
#define MOORTACK_RELAY_ROLLOUTS_PRIV_H

#include "moortack/relay/rollouts.h"

/** By rollout_state_t, as in the rows. */
extern const char *const rollout_state_names[];

/** What the row of a roll-out's state says. */
typedef struct rollout_state_row {
	uint64_t order; /**< that the state is of */
	char to[ENDPOINT_NAME_SIZE];
	char base[ENDPOINT_NAME_SIZE]; /**< version that it replaces; "": not
					  known */
	rollout_state_t state;
	int64_t began_ms; /**< by the store's clock; 0: not known */
} rollout_state_row_t;

/** Read such a row, not a deleted one; false fills the error. */
bool rollout_state_decode(const row_t *, rollout_state_row_t *, err_t *);
/** The row's value for a state, to be freed, or NULL. */
char *rollout_state_encode(const rollout_t *, rollout_state_t);
/** When the order in force began, by this daemon's clock. */
struct timespec rollout_started_at(const rollout_t *);

/** What the share depends on, now. */
rollout_snapshot_t rollout_take_snapshot(const rollout_t *);

/** Whether the answers counted by all daemons show the new version as bad. */
bool rollout_new_version_is_bad(rollout_t *);

/** Whether every daemon sends all to the new version and has nothing on the
 * old one. */
bool rollout_is_drained(const rollout_t *);

/** Whether a session with this hash was served by an old version of late. */
bool rollouts_session_on_old(const rollouts_t *, uint64_t hash);
/** Take the sessions that other daemons report. */
void rollouts_merge_member_sessions(rollouts_t *);

#endif
