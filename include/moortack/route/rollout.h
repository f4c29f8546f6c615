/**
 * @file
 * Which version a session starts on: a deterministic share for each version
 * that is rolling out, so that every daemon decides alike.
 */
#ifndef MOORTACK_ROUTE_ROLLOUT_H
#define MOORTACK_ROUTE_ROLLOUT_H

#include "moortack/config/config.h"

/**
 * The version for a new session.
 * @param session random id of the session
 * @param stopped versions that the guard stopped here; they get no new session
 * @return HANDLE_NONE when the organisation has none that takes new sessions
 */
handle_t rollout_select_version(const config_t *, handle_t organisation,
    handle_t model, uint64_t session, const version_set_t *stopped);

#endif
