#include "moortack/relay/rollout_plan.h"

#include <stddef.h>

/* The part of the duration in which the new version's requests are concentrated
 * on few endpoints. It starts at the end of the first step, by which time a
 * version that is bad from its start has been found, and lasts for at least the
 * 2 s that responses of the largest models take. */
#define SATURATION_START 0.40
#define SATURATION_END 0.55
/** The share from a fraction of the duration on. */
typedef struct step {
	double start; /**< fraction of the duration */
	double share;
} step_t;

/* The share stays small past the middle, so that faults that take time to show
 * are found while few requests are exposed. All steps before the last together
 * expose less than a twelfth of the requests. */
static const step_t steps[] = {{0.0, ROLLOUT_FIRST_SHARE},
    {SATURATION_START, 0.1}, {SATURATION_END, 0.2}, {0.61, 0.45}, {0.67, 1.0}};

/* Fractions of the duration from which a roll-out may complete: once the old
 * version is drained, and regardless of that. */
#define COMPLETE_IF_DRAINED 0.78
#define COMPLETE_ANYWAY 0.93
/* Time in which all daemons report to each other which sessions the old version
 * is serving. No request goes to the new version before that. */
#define SESSION_EXCHANGE_MS 2000
/* Fraction of the duration before which no session is moved. */
#define PIN_END 0.52
/* The share doesn't grow beyond this while the state may be outdated. */
#define STALE_SHARE_MAX ROLLOUT_FIRST_SHARE
#define HASH_RANGE 18446744073709551616.0 /* 2^64 */

static double
elapsed_fraction(const rollout_snapshot_t *snapshot)
{
	if (snapshot->duration_ms <= 0)
		return 1.0;
	return (double)snapshot->elapsed_ms / (double)snapshot->duration_ms;
}

double
rollout_plan_share(const rollout_snapshot_t *snapshot)
{
	double fraction = elapsed_fraction(snapshot);
	double share = 0;

	if (snapshot->state == ROLLOUT_COMPLETED)
		return 1.0;
	if (snapshot->state != ROLLOUT_IN_PROGRESS || snapshot->stopped ||
	    snapshot->elapsed_ms < SESSION_EXCHANGE_MS)
		return 0;
	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		if (fraction >= steps[i].start)
			share = steps[i].share;
	}
	if (snapshot->stale && share > STALE_SHARE_MAX)
		return STALE_SHARE_MAX;
	return share;
}

bool
rollout_plan_pins_sessions(const rollout_snapshot_t *snapshot)
{
	return snapshot->state == ROLLOUT_IN_PROGRESS &&
	    elapsed_fraction(snapshot) < PIN_END;
}

bool
rollout_plan_is_saturating(const rollout_snapshot_t *snapshot)
{
	double fraction = elapsed_fraction(snapshot);

	return snapshot->state == ROLLOUT_IN_PROGRESS &&
	    fraction >= SATURATION_START && fraction < SATURATION_END;
}

bool
rollout_share_includes(double share, uint64_t hash)
{
	return (double)hash < share * HASH_RANGE;
}

bool
rollout_plan_may_complete(const rollout_snapshot_t *snapshot, bool drained)
{
	double fraction = elapsed_fraction(snapshot);

	if (snapshot->state != ROLLOUT_IN_PROGRESS || snapshot->stopped ||
	    snapshot->stale)
		return false;
	return fraction >= COMPLETE_ANYWAY ||
	    (fraction >= COMPLETE_IF_DRAINED && drained);
}
