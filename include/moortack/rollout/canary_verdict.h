/**
 * @file
 * What the counts of a canary analysis show: that the new version is worse than
 * the old one, that it is as good, or neither yet. Pure functions without
 * state.
 */
#ifndef MOORTACK_ROLLOUT_CANARY_VERDICT_H
#define MOORTACK_ROLLOUT_CANARY_VERDICT_H

#include "moortack/rollout/canary_analysis.h"

/** Routes of all daemons together. */
#define CANARY_SUM_ROUTES_MAX 32

/** Counts of all daemons in the window. */
typedef struct canary_sums {
	canary_tally_t routes[CANARY_SUM_ROUTES_MAX];
	size_t routes_len;
	canary_tally_t all; /**< of all routes */
	canary_gaps_t gaps;
	canary_cohort_t settled; /**< of the new version */
	double rate;		 /**< responses a second, of both versions */
} canary_sums_t;

/** Evidence of counts: logarithms of the likelihood of a worse new version over
 * that of one as good as the old one. Positive: it is likely worse. */
typedef struct canary_evidence {
	double failed;
	double late;
	double gaps;
} canary_evidence_t;

canary_evidence_t canary_tally_evidence(const canary_tally_t *);
latency_evidence_t canary_gaps_evidence(const canary_gaps_t *);

/** How much the counts have to show. */
typedef enum canary_standard {
	CANARY_TRIAL,
	CANARY_TRIAL_LATE, /**< a decision is due: it is enough that one of the
			      two is far more likely */
	CANARY_ACCEPTED,   /**< the new version was found to be as good */
} canary_standard_t;

/** Whether the counts show that the new version is worse than the old one. */
bool canary_tally_is_bad(const canary_tally_t *, canary_standard_t);

/** Whether the gaps show that the new version is slower than the old one.
 * @param single all its endpoints are in one group; else it isn't judged by
 * those of few */
bool canary_gaps_are_bad(const canary_gaps_t *, bool single, canary_standard_t);

/** Evidence of the cohorts that may be judged, with the shortest gaps as the
 * last figure. Requests that still wait count as late. */
canary_evidence_t canary_settled_evidence(const canary_sums_t *);

/** Whether the sums show that the new version is as good as the old one. What
 * was not observed shows nothing. */
bool canary_sums_are_good(const canary_sums_t *, canary_standard_t);

/** Whether the new version had enough responses to be found as good, so that it
 * is doubtful if it was not. */
bool canary_sums_suffice(const canary_sums_t *);

/** Whether no response of either version was counted. */
bool canary_sums_are_empty(const canary_sums_t *);

#endif
