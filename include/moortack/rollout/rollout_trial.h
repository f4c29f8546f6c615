/**
 * @file
 * The trial of a new version: the share of the requests that it gets until it
 * was found to be as good as the old one. The less traffic there is and the
 * shorter the order, the larger the share, since the decision takes a number of
 * responses. Pure functions without state.
 */
#ifndef MOORTACK_ROLLOUT_ROLLOUT_TRIAL_H
#define MOORTACK_ROLLOUT_ROLLOUT_TRIAL_H

#include <stdbool.h>
#include <stdint.h>

/** Share of the requests that the new version gets at first, at least. */
#define ROLLOUT_FIRST_SHARE 0.05
/** The largest share while sessions stay where they are. The sessions of that
 * share are recorded, and daemons tell each other which the old version served.
 */
#define ROLLOUT_PINNED_SHARE_MAX 0.35
/** Time in which all daemons report to each other which sessions the old
 * version is serving. No request goes to the new version before that. */
#define ROLLOUT_SESSION_EXCHANGE_MS 2000

/** The trial, the same at all daemons. */
typedef struct rollout_trial {
	double
	    share; /**< 0: not determined, the share is ROLLOUT_FIRST_SHARE */
	int64_t from_ms; /**< from when on, after the order */
} rollout_trial_t;

/** Figures from which the trial is determined. */
typedef struct rollout_trial_input {
	int64_t elapsed_ms; /**< since the order */
	int64_t duration_ms;
	int64_t decision_ms; /**< when the decision should be made, after the
				order */
	double rate; /**< requests a second to the service, of all daemons */
	uint32_t responses;  /**< of the new version, so far */
	double exposure_max; /**< part of all requests that a version which
				turns out to be bad may get, 0 to 1 */
	double tolerance;    /**< requests that it may get besides */
	double share_max;    /**< up to which sessions are known */
} rollout_trial_input_t;

/** Share of the requests at this time. */
double rollout_trial_share(const rollout_trial_t *, int64_t elapsed_ms);
/** Requests that the new version got until this time, as a part of those in the
 * order's duration. */
double rollout_trial_exposure(
    const rollout_trial_t *, int64_t elapsed_ms, int64_t duration_ms);
/** Determine the trial, or extend it. Its share never becomes smaller, since
 * sessions that the new version serves would move back.
 * @param trial the one in force; changed if it should be
 * @return whether it was changed */
bool
rollout_trial_update(rollout_trial_t *trial, const rollout_trial_input_t *);

#endif
