/**
 * @file
 * What the files of roll-outs share: rollouts.c keeps orders and states,
 * rollout_report.c counts what all daemons report.
 */
#ifndef MOORTACK_RELAY_ROLLOUTS_PRIV_H
#define MOORTACK_RELAY_ROLLOUTS_PRIV_H

#include "moortack/relay/rollouts.h"

/** What the share depends on, now. */
rollout_moment_t rollout_moment(const rollout_t *);

/** Whether the answers counted by all daemons show the new version as bad. */
bool rollout_found_bad(rollout_t *);

/** Whether every daemon sends all to the new version and has nothing on the
 * old one. */
bool rollout_settled(const rollout_t *);

/** Whether a session with this hash was served by an old version of late. */
bool rollouts_session_served(const rollouts_t *, uint64_t hash);
/** Take the sessions that other daemons report. */
void rollouts_sessions_take(rollouts_t *);

#endif
