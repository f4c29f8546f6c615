/**
 * @file
 * The schedule of a roll-out: which share of a service's requests goes to its
 * new version at which time. Pure functions without state.
 */
#ifndef MOORTACK_RELAY_ROLLOUT_PLAN_H
#define MOORTACK_RELAY_ROLLOUT_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/** The state of a roll-out. */
typedef enum rollout_state {
	ROLLOUT_PENDING, /**< ordered, not started */
	ROLLOUT_IN_PROGRESS,
	ROLLOUT_COMPLETED,
	ROLLOUT_REVERTED,
} rollout_state_t;

/** What the schedule depends on at one moment. */
typedef struct rollout_snapshot {
	rollout_state_t state;
	int64_t elapsed_ms; /**< since the order */
	int64_t duration_ms;
	bool stopped; /**< this daemon found the new version to be bad */
	bool stale;   /**< the order and the state may be outdated */
} rollout_snapshot_t;

/** Share of the requests that the first step sends to the new version. */
#define ROLLOUT_FIRST_SHARE 0.05

/** Whether the new version's requests are concentrated on few endpoints, so
 * that a fault that shows only under load is found while the share is small. */
bool rollout_plan_is_saturating(const rollout_snapshot_t *);

/** Whether sessions that the old version served recently stay there. */
bool rollout_plan_pins_sessions(const rollout_snapshot_t *);

/** Share of the requests for the new version, 0 to 1. */
double rollout_plan_share(const rollout_snapshot_t *);

/** Whether a request with this hash is in the share of the new version.
 * @param share 0 to 1 */
bool rollout_share_includes(double share, uint64_t hash);

/** Whether the roll-out may be declared complete.
 * @param drained every daemon sends all requests to the new version and has
 * none in flight on the old one */
bool rollout_plan_may_complete(const rollout_snapshot_t *, bool drained);

#endif
