#include "moortack/route/guard.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define LIMIT_ALL 14.0 /* see docs/MEASUREMENTS.md, weights */
#define LIMIT_ONE 2.0  /* more for one organisation of several */
#define STEP 0.05      /* worse by this share of answers counts as bad */
#define FADE 0.998     /* of the baseline, a sample: about 500 count */
#define PRIOR_BAD 0.5  /* a baseline not yet seen is taken as 1 in 50 */
#define PRIOR_SEEN 25.0
#define RATE_MAX 0.9

void
guard_init(guard_t *guard)
{
	*guard = (guard_t){.threshold = LIMIT_ALL};
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
base_of(guard_t *guard, const char *model)
{
	guard_baseline_t *base;

	for (handle_t h = 0; h < guard->baselines.len; h++) {
		base = table_at(&guard->baselines, h);
		if (strcmp(base->model, model) == 0)
			return base;
	}
	base = table_add(&guard->baselines);
	if (base != NULL)
		snprintf(base->model, sizeof(base->model), "%s", model);
	return base;
}

static guard_version_t *
row_of(guard_t *guard, const char *version, const char *organisation)
{
	guard_version_t *row;

	for (handle_t h = 0; h < guard->versions.len; h++) {
		row = table_at(&guard->versions, h);
		if (strcmp(row->version, version) == 0 &&
		    strcmp(row->organisation, organisation) == 0)
			return row;
	}
	row = table_add(&guard->versions);
	if (row == NULL)
		return NULL;
	snprintf(row->version, sizeof(row->version), "%s", version);
	snprintf(
	    row->organisation, sizeof(row->organisation), "%s", organisation);
	return row;
}

static double
base_rate(const guard_baseline_t *base, guard_signal_t signal)
{
	double rate = (base->bad[signal] + PRIOR_BAD) /
	    (base->samples[signal] + PRIOR_SEEN);

	return rate < RATE_MAX ? rate : RATE_MAX;
}

/* How much more likely the sample is if the version is worse by a step. */
static double
evidence(double rate, bool bad)
{
	double worse = rate + STEP + rate / 2;

	if (worse > 1 - (1 - RATE_MAX) / 2)
		worse = 1 - (1 - RATE_MAX) / 2;
	return bad ? log(worse / rate) : log((1 - worse) / (1 - rate));
}

static bool
row_add(
    guard_version_t *row, const guard_sample_t *sample, double by, double limit)
{
	guard_signal_t signal = sample->signal;

	if (row == NULL || row->stopped)
		return false;
	row->sums[signal] += by;
	if (row->sums[signal] < 0)
		row->sums[signal] = 0;
	row->stopped = row->sums[signal] >= limit;
	row->stopped_revision = sample->revision;
	return row->stopped;
}

bool
guard_observe(guard_t *guard, const guard_sample_t *sample)
{
	guard_baseline_t *base = base_of(guard, sample->model);
	double by;
	bool all, one;

	if (base == NULL)
		return false;
	if (sample->is_baseline) {
		base->bad[sample->signal] *= FADE;
		base->samples[sample->signal] *= FADE;
		base->bad[sample->signal] += sample->bad;
		base->samples[sample->signal] += 1;
	}
	by = evidence(base_rate(base, sample->signal), sample->bad);
	all = row_add(
	    row_of(guard, sample->version, ""), sample, by, guard->threshold);
	one = row_add(row_of(guard, sample->version, sample->organisation),
	    sample, by, guard->threshold + LIMIT_ONE);
	return all || one;
}

bool
guard_stop(guard_t *guard, const char *version, const char *organisation,
    uint64_t revision)
{
	guard_version_t *row = row_of(guard, version, organisation);

	if (row == NULL || row->stopped || row->changed_revision > revision)
		return false;
	row->stopped = true;
	row->stopped_revision = revision;
	return true;
}

void
guard_reset_version(guard_t *guard, const char *version, uint64_t revision)
{
	for (handle_t h = 0; h < guard->versions.len; h++) {
		guard_version_t *row = table_at(&guard->versions, h);

		if (strcmp(row->version, version) != 0)
			continue;
		row->changed_revision = revision;
		memset(row->sums, 0, sizeof(row->sums));
		if (row->stopped_revision < revision)
			row->stopped = false;
	}
}

version_set_t
guard_stopped_versions(
    const guard_t *guard, const config_t *config, const char *organisation)
{
	version_set_t set = {0};

	for (handle_t h = 0; h < guard->versions.len; h++) {
		const guard_version_t *row = table_at(&guard->versions, h);
		handle_t version;

		if (!row->stopped ||
		    (*row->organisation != '\0' &&
			strcmp(row->organisation, organisation) != 0))
			continue;
		version = config_version(config, row->version);
		if (version != HANDLE_NONE)
			version_set_add(&set, version);
	}
	return set;
}
