/**
 * @file
 * Selects the version that a session starts on. Each version that is rolling
 * out gets its percentage of sessions by a hash, so that all daemons select
 * alike.
 */
#ifndef MOORTACK_ROUTE_ROLLOUT_H
#define MOORTACK_ROUTE_ROLLOUT_H

#include "moortack/config/config.h"

/**
 * Selects the version of a new session.
 * @param session random id of the session
 * @param stopped versions that the guard has stopped; they get no new sessions
 * @return HANDLE_NONE if the organisation may use none that takes new sessions
 */
handle_t rollout_select_version(const config_t *, handle_t organisation,
    handle_t model, uint64_t session, const version_set_t *stopped);

#endif
