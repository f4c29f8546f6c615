#include "moortack/rollout/latency_histogram.h"

#include <math.h>
#include <stdlib.h>

#define BIN_RATIO 1.4
/* Latencies of the old version that are needed to compare with. */
#define OLD_COUNT_MIN 20

/* The bins around the median that are told apart; the first and the last of
 * them include all beyond. */
#define BINS_BELOW_MEDIAN 4
#define BINS_COMPARED 16
/* Part of all latencies that may be anywhere, whatever was observed. It bounds
 * what a single latency shows. */
#define UNEXPECTED_PART 0.2
/* Latencies assumed in addition to the observed ones, over all bins. */
#define PRIOR_COUNT 0.3
/* A latency that is not known yet counts as so many bins above the median. */
#define UNKNOWN_BINS 6
/* What an observation counts for. Those of an endpoint at the same time depend
 * on each other. */
#define OBSERVATION_WEIGHT 0.7

/* One in so many groups, rounded up, is left out of the trimmed ratio. */
#define TRIMMED_PART 4

/** A way in which a version may be slower. */
typedef struct slowdown {
	double part;   /**< of the responses, 0 to 1 */
	double factor; /**< by which their latency is longer */
} slowdown_t;

static const slowdown_t slowdowns[] = {{0.3, 2.5}, {0.3, 4.0}, {0.3, 8.0},
    {0.6, 2.5}, {0.6, 4.0}, {0.6, 8.0}, {1.0, 2.5}, {1.0, 4.0}, {1.0, 8.0}};
#define SLOWDOWNS (sizeof(slowdowns) / sizeof(slowdowns[0]))

/** Logarithms of the likelihood ratios of each slowdown, for a latency in each
 * of the compared bins. */
typedef struct ratio_table {
	double log_ratios[SLOWDOWNS][BINS_COMPARED];
	size_t first_bin; /**< LATENCY_BINS + the first of the compared bins,
			     which may be negative */
} ratio_table_t;

void
latency_histogram_add(latency_histogram_t *histogram, double ms)
{
	double bin = ms > 1 ? floor(log(ms) / log(BIN_RATIO)) : 0;

	histogram->bins[(size_t)fmin(bin, LATENCY_BINS - 1)]++;
}

void
latency_histogram_merge(
    latency_histogram_t *sum, const latency_histogram_t *more)
{
	for (size_t i = 0; i < LATENCY_BINS; i++)
		sum->bins[i] += more->bins[i];
}

uint32_t
latency_histogram_count(const latency_histogram_t *histogram)
{
	uint32_t count = 0;

	for (size_t i = 0; i < LATENCY_BINS; i++)
		count += histogram->bins[i];
	return count;
}

static size_t
median_bin(const latency_histogram_t *histogram, uint32_t count)
{
	uint32_t below = 0;
	size_t bin = 0;

	while (bin < LATENCY_BINS - 1 &&
	    (below += histogram->bins[bin]) * 2 < count)
		bin++;
	return bin;
}

void
latency_histogram_add_unknown(latency_histogram_t *histogram,
    const latency_histogram_t *usual, uint32_t count)
{
	size_t bin =
	    median_bin(usual, latency_histogram_count(usual)) + UNKNOWN_BINS;

	histogram->bins[bin < LATENCY_BINS ? bin : LATENCY_BINS - 1] += count;
}

static size_t
compared_bin(const ratio_table_t *table, size_t bin)
{
	size_t at = bin + LATENCY_BINS;

	if (at < table->first_bin)
		return 0;
	at -= table->first_bin;
	return at < BINS_COMPARED ? at : BINS_COMPARED - 1;
}

/* The distribution if all latencies were longer by the factor. */
static void
distribution_shift(const double *distribution, double factor, double *shifted)
{
	double bins = log(factor) / log(BIN_RATIO);
	size_t whole = (size_t)bins;
	double part = bins - (double)whole;

	for (size_t i = 0; i < BINS_COMPARED; i++)
		shifted[i] = 0;
	for (size_t i = 0; i < BINS_COMPARED; i++) {
		size_t near = i + whole, far = i + whole + 1;

		near = near < BINS_COMPARED ? near : BINS_COMPARED - 1;
		far = far < BINS_COMPARED ? far : BINS_COMPARED - 1;
		shifted[near] += distribution[i] * (1 - part);
		shifted[far] += distribution[i] * part;
	}
}

static double
with_unexpected(double likelihood)
{
	return (1 - UNEXPECTED_PART) * likelihood +
	    UNEXPECTED_PART / BINS_COMPARED;
}

static void
ratio_table_fill(
    ratio_table_t *table, const latency_histogram_t *old, uint32_t old_count)
{
	double distribution[BINS_COMPARED] = {0};
	double shifted[BINS_COMPARED];

	table->first_bin =
	    LATENCY_BINS + median_bin(old, old_count) - BINS_BELOW_MEDIAN;
	for (size_t i = 0; i < LATENCY_BINS; i++)
		distribution[compared_bin(table, i)] += old->bins[i];
	for (size_t i = 0; i < BINS_COMPARED; i++)
		distribution[i] =
		    (distribution[i] + PRIOR_COUNT / BINS_COMPARED) /
		    (old_count + PRIOR_COUNT);
	for (size_t s = 0; s < SLOWDOWNS; s++) {
		double part = slowdowns[s].part;

		distribution_shift(distribution, slowdowns[s].factor, shifted);
		for (size_t i = 0; i < BINS_COMPARED; i++)
			table->log_ratios[s][i] =
			    log(with_unexpected((1 - part) * distribution[i] +
				    part * shifted[i]) /
				with_unexpected(distribution[i]));
	}
}

/* Add what the latencies show of each slowdown. */
static void
sums_add(double *sums, const ratio_table_t *table,
    const latency_histogram_t *latencies)
{
	for (size_t i = 0; i < LATENCY_BINS; i++) {
		size_t bin = compared_bin(table, i);

		for (size_t s = 0; s < SLOWDOWNS; s++)
			sums[s] += OBSERVATION_WEIGHT * latencies->bins[i] *
			    table->log_ratios[s][bin];
	}
}

/* All slowdowns are as likely. */
static double
sums_log_mean(const double *sums)
{
	double highest = sums[0], total = 0;

	for (size_t s = 1; s < SLOWDOWNS; s++)
		highest = fmax(highest, sums[s]);
	for (size_t s = 0; s < SLOWDOWNS; s++)
		total += exp(sums[s] - highest);
	return highest + log(total / SLOWDOWNS);
}

/** What the latencies of a group show. */
typedef struct group_evidence {
	double sums[SLOWDOWNS];
	double log_ratio;
} group_evidence_t;

static int
group_evidence_cmp(const void *a, const void *b)
{
	const group_evidence_t *left = a, *right = b;

	return (left->log_ratio > right->log_ratio) -
	    (left->log_ratio < right->log_ratio);
}

static double
groups_log_ratio(const group_evidence_t *groups, size_t len)
{
	double sums[SLOWDOWNS] = {0};

	for (size_t i = 0; i < len; i++) {
		for (size_t s = 0; s < SLOWDOWNS; s++)
			sums[s] += groups[i].sums[s];
	}
	return sums_log_mean(sums);
}

latency_evidence_t
latency_histogram_compare(const latency_histogram_t *old,
    const latency_histogram_t *new_groups, size_t groups)
{
	group_evidence_t shown[LATENCY_GROUPS_MAX];
	uint32_t old_count = latency_histogram_count(old);
	latency_evidence_t evidence = {0};
	ratio_table_t table;
	size_t trimmed;

	if (old_count < OLD_COUNT_MIN)
		return evidence;
	ratio_table_fill(&table, old, old_count);
	for (size_t i = 0; i < groups && i < LATENCY_GROUPS_MAX; i++) {
		uint32_t count = latency_histogram_count(&new_groups[i]);
		group_evidence_t *group = &shown[evidence.groups];

		if (count == 0)
			continue;
		*group = (group_evidence_t){0};
		sums_add(group->sums, &table, &new_groups[i]);
		group->log_ratio = sums_log_mean(group->sums);
		evidence.count += count;
		evidence.groups++;
	}
	qsort(shown, evidence.groups, sizeof(shown[0]), group_evidence_cmp);
	trimmed = (evidence.groups + TRIMMED_PART - 1) / TRIMMED_PART;
	evidence.log_ratio = groups_log_ratio(shown, evidence.groups);
	evidence.trimmed_log_ratio =
	    groups_log_ratio(shown, evidence.groups - trimmed);
	return evidence;
}
