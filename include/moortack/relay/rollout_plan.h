/**
 * @file
 * How a service's requests are shared between its old and its new version
 * while a roll-out is under way: a pure decision.
 */
#ifndef MOORTACK_RELAY_ROLLOUT_PLAN_H
#define MOORTACK_RELAY_ROLLOUT_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/** How far a roll-out is. */
typedef enum rollout_state {
	ROLLOUT_NONE, /**< ordered, not begun */
	ROLLOUT_IN_PROGRESS,
	ROLLOUT_COMPLETED,
	ROLLOUT_REVERTED,
} rollout_state_t;

/** What the share depends on. */
typedef struct rollout_moment {
	rollout_state_t state;
	int64_t elapsed_ms; /**< since the order */
	int64_t duration_ms;
	bool stopped;	/**< this daemon found the new version bad */
	bool uncertain; /**< the state is not known to be newest */
} rollout_moment_t;

/** Part of the requests that the first step takes. */
#define ROLLOUT_FIRST_SHARE 0.05

/** Whether the new version's first endpoints are filled, so that a fault that
 * it has under load only shows while little goes there. */
bool rollout_trial(const rollout_moment_t *);

/** Whether sessions that the old version served lately stay there. */
bool rollout_pins(const rollout_moment_t *);

/** Part of the requests for the new version, 0 to 1. */
double rollout_share(const rollout_moment_t *);

/** Whether a request with this hash goes to the new version. */
bool rollout_takes(double share, uint64_t hash);

/** Whether the new version may be declared complete.
 * @param settled every daemon sends all to it and has nothing on the old */
bool rollout_may_complete(const rollout_moment_t *, bool settled);

#endif
