#include "moortack/route/guard.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Measured in docs/MEASUREMENTS.md, weights. */
#define THRESHOLD_ALL 14.0
/* Added for one organisation, as several are tested. */
#define THRESHOLD_ONE_EXTRA 2.0
/* The test detects a rise of the bad share by this and half of the share. */
#define STEP 0.05
#define DECAY 0.998   /* of the baseline at each sample: about 500 count */
#define PRIOR_BAD 0.5 /* a baseline without samples is taken as 1 bad in 50 */
#define PRIOR_SEEN 25.0
#define BAD_SHARE_MAX 0.9

void
guard_init(guard_t *guard)
{
	*guard = (guard_t){.threshold = THRESHOLD_ALL};
	table_init(&guard->baselines, sizeof(guard_baseline_t));
	table_init(&guard->versions, sizeof(guard_version_t));
}

void
guard_finish(guard_t *guard)
{
	table_finish(&guard->baselines);
	table_finish(&guard->versions);
}

static guard_baseline_t *
baseline_get(guard_t *guard, const char *model)
{
	guard_baseline_t *baseline;

	for (handle_t h = 0; h < guard->baselines.len; h++) {
		baseline = table_at(&guard->baselines, h);
		if (strcmp(baseline->model, model) == 0)
			return baseline;
	}
	baseline = table_add(&guard->baselines);
	if (baseline != NULL)
		snprintf(baseline->model, sizeof(baseline->model), "%s", model);
	return baseline;
}

static guard_version_t *
version_get(guard_t *guard, const char *version, const char *organisation)
{
	guard_version_t *state;

	for (handle_t h = 0; h < guard->versions.len; h++) {
		state = table_at(&guard->versions, h);
		if (strcmp(state->version, version) == 0 &&
		    strcmp(state->organisation, organisation) == 0)
			return state;
	}
	state = table_add(&guard->versions);
	if (state == NULL)
		return NULL;
	snprintf(state->version, sizeof(state->version), "%s", version);
	snprintf(state->organisation, sizeof(state->organisation), "%s",
	    organisation);
	return state;
}

static double
baseline_bad_share(const guard_baseline_t *baseline, guard_signal_t signal)
{
	double share = (baseline->bad[signal] + PRIOR_BAD) /
	    (baseline->samples[signal] + PRIOR_SEEN);

	return share < BAD_SHARE_MAX ? share : BAD_SHARE_MAX;
}

/* Logarithm of how much more likely the sample is if the version is worse than
 * the baseline by a step. */
static double
log_likelihood_ratio(double share, bool bad)
{
	double worse = share + STEP + share / 2;

	if (worse > 1 - (1 - BAD_SHARE_MAX) / 2)
		worse = 1 - (1 - BAD_SHARE_MAX) / 2;
	return bad ? log(worse / share) : log((1 - worse) / (1 - share));
}

static bool
version_add_sample(guard_version_t *state, const guard_sample_t *sample,
    double ratio, double threshold)
{
	guard_signal_t signal = sample->signal;

	if (state == NULL || state->stopped)
		return false;
	state->sums[signal] += ratio;
	if (state->sums[signal] < 0)
		state->sums[signal] = 0;
	state->stopped = state->sums[signal] >= threshold;
	state->stopped_revision = sample->revision;
	return state->stopped;
}

bool
guard_observe(guard_t *guard, const guard_sample_t *sample)
{
	guard_baseline_t *baseline = baseline_get(guard, sample->model);
	double ratio;
	bool stopped_all, stopped_one;

	if (baseline == NULL)
		return false;
	if (sample->is_baseline) {
		baseline->bad[sample->signal] *= DECAY;
		baseline->samples[sample->signal] *= DECAY;
		baseline->bad[sample->signal] += sample->bad;
		baseline->samples[sample->signal] += 1;
	}
	ratio = log_likelihood_ratio(
	    baseline_bad_share(baseline, sample->signal), sample->bad);
	stopped_all =
	    version_add_sample(version_get(guard, sample->version, ""), sample,
		ratio, guard->threshold);
	stopped_one = version_add_sample(
	    version_get(guard, sample->version, sample->organisation), sample,
	    ratio, guard->threshold + THRESHOLD_ONE_EXTRA);
	return stopped_all || stopped_one;
}

bool
guard_stop(guard_t *guard, const char *version, const char *organisation,
    uint64_t revision)
{
	guard_version_t *state = version_get(guard, version, organisation);

	if (state == NULL || state->stopped ||
	    state->changed_revision > revision)
		return false;
	state->stopped = true;
	state->stopped_revision = revision;
	return true;
}

void
guard_reset_version(guard_t *guard, const char *version, uint64_t revision)
{
	for (handle_t h = 0; h < guard->versions.len; h++) {
		guard_version_t *state = table_at(&guard->versions, h);

		if (strcmp(state->version, version) != 0)
			continue;
		state->changed_revision = revision;
		memset(state->sums, 0, sizeof(state->sums));
		if (state->stopped_revision < revision)
			state->stopped = false;
	}
}

version_set_t
guard_stopped_versions(
    const guard_t *guard, const config_t *config, const char *organisation)
{
	version_set_t set = {0};

	for (handle_t h = 0; h < guard->versions.len; h++) {
		const guard_version_t *state = table_at(&guard->versions, h);
		handle_t version;

		if (!state->stopped ||
		    (*state->organisation != '\0' &&
			strcmp(state->organisation, organisation) != 0))
			continue;
		version = config_version_find(config, state->version);
		if (version != HANDLE_NONE)
			version_set_add(&set, version);
	}
	return set;
}
