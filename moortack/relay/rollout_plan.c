#include "moortack/relay/rollout_plan.h"

#include <stddef.h>

/* Part of the duration in which the new version's first endpoints are filled:
 * at the end of the first step, when a version that is bad at once has been
 * found, and for the 2 s at least that answers of the largest models last. */
#define TRIAL_FROM 0.40
#define TRIAL_UNTIL 0.55
/* A step of the share, from this part of the duration on. The first step
 * lasts past the middle, so that faults that show late show while little is
 * exposed; all steps together expose under a twelfth before the last. */
typedef struct step {
	double from;
	double share;
} step_t;

static const step_t steps[] = {{0.0, ROLLOUT_FIRST_SHARE}, {TRIAL_FROM, 0.1},
    {TRIAL_UNTIL, 0.2}, {0.61, 0.45}, {0.67, 1.0}};

/* When all is settled, and at the latest. */
#define COMPLETE_FROM 0.78
#define COMPLETE_LATEST 0.93
/* Before anything goes to the new version, all daemons have told each other
 * which sessions the old one is serving. */
#define SESSIONS_MS 2000
/* Until then a session is not moved. */
#define PIN_UNTIL 0.52
/* A state that may be old lets no share grow. */
#define UNCERTAIN_SHARE ROLLOUT_FIRST_SHARE
#define HASH_RANGE 18446744073709551616.0

static double
part_elapsed(const rollout_snapshot_t *moment)
{
	if (moment->duration_ms <= 0)
		return 1.0;
	return (double)moment->elapsed_ms / (double)moment->duration_ms;
}

double
rollout_plan_share(const rollout_snapshot_t *moment)
{
	double part = part_elapsed(moment);
	double share = 0;

	if (moment->state == ROLLOUT_COMPLETED)
		return 1.0;
	if (moment->state != ROLLOUT_IN_PROGRESS || moment->stopped ||
	    moment->elapsed_ms < SESSIONS_MS)
		return 0;
	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		if (part >= steps[i].from)
			share = steps[i].share;
	}
	if (moment->stale && share > UNCERTAIN_SHARE)
		return UNCERTAIN_SHARE;
	return share;
}

bool
rollout_plan_pins_sessions(const rollout_snapshot_t *moment)
{
	return moment->state == ROLLOUT_IN_PROGRESS &&
	    part_elapsed(moment) < PIN_UNTIL;
}

bool
rollout_plan_is_saturating(const rollout_snapshot_t *moment)
{
	double part = part_elapsed(moment);

	return moment->state == ROLLOUT_IN_PROGRESS && part >= TRIAL_FROM &&
	    part < TRIAL_UNTIL;
}

bool
rollout_share_includes(double share, uint64_t hash)
{
	return (double)hash < share * HASH_RANGE;
}

bool
rollout_plan_may_complete(const rollout_snapshot_t *moment, bool settled)
{
	double part = part_elapsed(moment);

	if (moment->state != ROLLOUT_IN_PROGRESS || moment->stopped ||
	    moment->stale)
		return false;
	return part >= COMPLETE_LATEST || (part >= COMPLETE_FROM && settled);
}
