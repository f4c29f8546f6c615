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
	*guard = (guard_t){.limit = LIMIT_ALL};
	table_init(&guard->bases, sizeof(guard_base_t));
	table_init(&guard->rows, sizeof(guard_row_t));
}

void
guard_finish(guard_t *guard)
{
	table_finish(&guard->bases);
	table_finish(&guard->rows);
}

static guard_base_t *
base_of(guard_t *guard, const char *model)
{
	guard_base_t *base;

	for (handle_t h = 0; h < guard->bases.len; h++) {
		base = table_at(&guard->bases, h);
		if (strcmp(base->model, model) == 0)
			return base;
	}
	base = table_add(&guard->bases);
	if (base != NULL)
		snprintf(base->model, sizeof(base->model), "%s", model);
	return base;
}

static guard_row_t *
row_of(guard_t *guard, const char *version, const char *organisation)
{
	guard_row_t *row;

	for (handle_t h = 0; h < guard->rows.len; h++) {
		row = table_at(&guard->rows, h);
		if (strcmp(row->version, version) == 0 &&
		    strcmp(row->organisation, organisation) == 0)
			return row;
	}
	row = table_add(&guard->rows);
	if (row == NULL)
		return NULL;
	snprintf(row->version, sizeof(row->version), "%s", version);
	snprintf(
	    row->organisation, sizeof(row->organisation), "%s", organisation);
	return row;
}

static double
base_rate(const guard_base_t *base, guard_signal_t signal)
{
	double rate =
	    (base->bad[signal] + PRIOR_BAD) / (base->seen[signal] + PRIOR_SEEN);

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
row_add(guard_row_t *row, const guard_sample_t *sample, double by, double limit)
{
	guard_signal_t signal = sample->signal;

	if (row == NULL || row->stopped)
		return false;
	row->sums[signal] += by;
	if (row->sums[signal] < 0)
		row->sums[signal] = 0;
	row->stopped = row->sums[signal] >= limit;
	row->stopped_at = sample->revision;
	return row->stopped;
}

bool
guard_observe(guard_t *guard, const guard_sample_t *sample)
{
	guard_base_t *base = base_of(guard, sample->model);
	double by;
	bool all, one;

	if (base == NULL)
		return false;
	if (sample->baseline) {
		base->bad[sample->signal] *= FADE;
		base->seen[sample->signal] *= FADE;
		base->bad[sample->signal] += sample->bad;
		base->seen[sample->signal] += 1;
	}
	by = evidence(base_rate(base, sample->signal), sample->bad);
	all = row_add(
	    row_of(guard, sample->version, ""), sample, by, guard->limit);
	one = row_add(row_of(guard, sample->version, sample->organisation),
	    sample, by, guard->limit + LIMIT_ONE);
	return all || one;
}

bool
guard_stop(guard_t *guard, const char *version, const char *organisation,
    uint64_t revision)
{
	guard_row_t *row = row_of(guard, version, organisation);

	if (row == NULL || row->stopped || row->changed_at > revision)
		return false;
	row->stopped = true;
	row->stopped_at = revision;
	return true;
}

void
guard_forget(guard_t *guard, const char *version, uint64_t revision)
{
	for (handle_t h = 0; h < guard->rows.len; h++) {
		guard_row_t *row = table_at(&guard->rows, h);

		if (strcmp(row->version, version) != 0)
			continue;
		row->changed_at = revision;
		memset(row->sums, 0, sizeof(row->sums));
		if (row->stopped_at < revision)
			row->stopped = false;
	}
}

version_set_t
guard_stopped(
    const guard_t *guard, const config_t *config, const char *organisation)
{
	version_set_t set = {0};

	for (handle_t h = 0; h < guard->rows.len; h++) {
		const guard_row_t *row = table_at(&guard->rows, h);
		handle_t version;

		if (!row->stopped ||
		    (*row->organisation != '\0' &&
			strcmp(row->organisation, organisation) != 0))
			continue;
		version = config_version_find(config, row->version);
		if (version != HANDLE_NONE)
			version_set_add(&set, version);
	}
	return set;
}
