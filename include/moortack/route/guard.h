/**
 * @file
 * The guard: watches errors, latency and ratings of each version against the
 * live versions of its model, and stops one that is worse, here and at once.
 *
 * A stop needs no agreement, since it is the safe direction; to go forward
 * again needs an operator's plan. The test is a cumulative sum of
 * log-likelihood ratios (Page, 1954) for "worse than the baseline by a step",
 * one for all organisations and one for each.
 */
#ifndef MOORTACK_ROUTE_GUARD_H
#define MOORTACK_ROUTE_GUARD_H

#include "common/table.h"
#include "moortack/config/config.h"

typedef enum guard_signal {
	GUARD_ERROR,   /**< the endpoint failed */
	GUARD_LATENCY, /**< the first token came late */
	GUARD_RATING,  /**< the answer was rated bad */
	GUARD_SIGNAL_COUNT
} guard_signal_t;

/** One observation. */
typedef struct guard_sample {
	const char *model;
	const char *version;
	const char *organisation;
	bool is_baseline; /**< the version is live: it is what others must match
			   */
	guard_signal_t signal;
	bool bad;
	uint64_t revision; /**< held now */
} guard_sample_t;

/** How often the baseline is bad, with older samples fading. */
typedef struct guard_baseline {
	char model[CONFIG_NAME_SIZE];
	double bad[GUARD_SIGNAL_COUNT];
	double samples[GUARD_SIGNAL_COUNT];
} guard_baseline_t;

/** What is known of one version, for all or for one organisation. */
typedef struct guard_version {
	char version[CONFIG_NAME_SIZE];
	char organisation[CONFIG_NAME_SIZE]; /**< "": for all */
	double sums[GUARD_SIGNAL_COUNT];
	bool stopped;
	uint64_t stopped_revision; /**< revision at which it was stopped */
	uint64_t
	    changed_revision; /**< revision at which a plan last changed it */
} guard_version_t;

typedef struct guard {
	table_t baselines; /**< guard_baseline_t */
	table_t versions;  /**< guard_version_t */
	double threshold;  /**< of a sum: higher is slower and surer */
} guard_t;

void guard_init(guard_t *);
void guard_finish(guard_t *);

/** Take one observation. @return true when the version is stopped for it */
bool guard_observe(guard_t *, const guard_sample_t *);

/** Stop a version on a peer's word, unless a plan has changed it since.
 * @param organisation "": for all @param revision at which the peer stopped it
 * @return true when it was not stopped before */
bool guard_stop(guard_t *, const char *version, const char *organisation,
    uint64_t revision);

/** An operator's plan, revision @p revision, changed the version: what came
 * before it no longer counts. */
void guard_reset_version(guard_t *, const char *version, uint64_t revision);

/** The versions that are stopped for the organisation. */
version_set_t guard_stopped_versions(
    const guard_t *, const config_t *, const char *organisation);

#endif
