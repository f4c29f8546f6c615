/**
 * @file
 * The guard compares errors, latency and ratings of each version with those of
 * the live versions of its model, and at once stops a version that is worse, on
 * this daemon.
 *
 * A stop needs no agreement among the daemons, since it is the safe direction;
 * only an operator's plan starts the version again. The test is a cumulative
 * sum of log-likelihood ratios (CUSUM; Page, 1954) for "worse than the baseline
 * by a step", one for all organisations and one for each.
 */
#ifndef MOORTACK_ROUTE_GUARD_H
#define MOORTACK_ROUTE_GUARD_H

#include "common/table.h"
#include "moortack/config/config.h"

typedef enum guard_signal {
	GUARD_ERROR,   /**< the endpoint failed */
	GUARD_LATENCY, /**< the first token was late */
	GUARD_RATING,  /**< the response was rated bad */
	GUARD_SIGNAL_COUNT
} guard_signal_t;

/** One observation of a version. */
typedef struct guard_sample {
	const char *model;
	const char *version;
	const char *organisation;
	bool is_baseline; /**< the version is live: others are compared with it
			   */
	guard_signal_t signal;
	bool bad;
	uint64_t revision; /**< of the configuration in force */
} guard_sample_t;

/** How often samples of a model's live versions are bad; older samples decay.
 */
typedef struct guard_baseline {
	char model[CONFIG_NAME_SIZE];
	double bad[GUARD_SIGNAL_COUNT];
	double samples[GUARD_SIGNAL_COUNT];
} guard_baseline_t;

/** The test's state of one version, for one organisation or for all. */
typedef struct guard_version {
	char version[CONFIG_NAME_SIZE];
	char organisation[CONFIG_NAME_SIZE]; /**< "": for all */
	double sums[GUARD_SIGNAL_COUNT];
	bool stopped;
	uint64_t stopped_revision; /**< at which it was stopped; before that, of
				      the last sample */
	uint64_t
	    changed_revision; /**< revision at which a plan last changed it */
} guard_version_t;

typedef struct guard {
	table_t baselines; /**< guard_baseline_t */
	table_t versions;  /**< guard_version_t */
	double threshold;  /**< of a sum; a higher one takes longer and is wrong
			      less often */
} guard_t;

void guard_init(guard_t *);
void guard_finish(guard_t *);

/** Adds one observation. @return true if it stops the version */
bool guard_observe(guard_t *, const guard_sample_t *);

/** Stops a version that a peer has stopped, unless a plan has changed it since.
 * @param organisation "": for all @param revision at which the peer stopped it
 * @return true if it was not stopped before */
bool guard_stop(guard_t *, const char *version, const char *organisation,
    uint64_t revision);

/** Starts a version's test again: an operator's plan changed the version in
 * revision @p revision. Stops of earlier revisions end. */
void guard_reset_version(guard_t *, const char *version, uint64_t revision);

/** The versions that are stopped for the organisation or for all. */
version_set_t guard_stopped_versions(
    const guard_t *, const config_t *, const char *organisation);

#endif
