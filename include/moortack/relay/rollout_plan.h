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
	ROLLOUT_PENDING, /**< ordered, not begun */
	ROLLOUT_IN_PROGRESS,
	ROLLOUT_COMPLETED,
	ROLLOUT_REVERTED,
} rollout_state_t;

/** What the share depends on. */
typedef struct rollout_snapshot {
	rollout_state_t state;
	int64_t elapsed_ms; /**< since the order */
	int64_t duration_ms;
	bool stopped; /**< this daemon found the new version bad */
	bool stale;   /**< the state is not known to be newest */
} rollout_snapshot_t;

/** Part of the requests that the first step takes. */
#define ROLLOUT_FIRST_SHARE 0.05

/** Whether the new version's first endpoints are filled, so that a fault that
 * it has under load only shows while little goes there. */
bool rollout_plan_is_saturating(const rollout_snapshot_t *);

/** Whether sessions that the old version served lately stay there. */
bool rollout_plan_pins_sessions(const rollout_snapshot_t *);

/** Part of the requests for the new version, 0 to 1. */
double rollout_plan_share(const rollout_snapshot_t *);

/** Whether a request with this hash goes to the new version. */
bool rollout_share_includes(double share, uint64_t hash);

/** Whether the new version may be declared complete.
 * @param settled every daemon sends all to it and has nothing on the old */
bool rollout_plan_may_complete(const rollout_snapshot_t *, bool settled);

#endif
