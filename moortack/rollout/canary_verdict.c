#include "moortack/rollout/canary_verdict.h"

#include <math.h>

/** A likelihood ratio test of the hypothesis that the new version is worse by a
 * step against the hypothesis that it is as good as the old version. */
typedef struct ratio_test {
	double rate_min;      /**< lowest rate assumed of the old version */
	double step_min;      /**< least difference of the new version's rate */
	uint32_t bad_min;     /**< least number of bad responses */
	double log_ratio_min; /**< logarithm of the ratio from which the new
				 version is worse */
} ratio_test_t;

/* Failures are independent of each other. Late responses are not, since one
 * long prompt delays all that are queued behind it; so more of them are needed.
 * Gaps that are several times longer are mostly due to the endpoint itself, but
 * under peak load a tenth of the old version's responses have them too. */
static const ratio_test_t test_failed = {0.01, 0.15, 3, 5.0};
static const ratio_test_t test_late = {0.05, 0.15, 10, 14.0};
static const ratio_test_t test_gaps = {0.10, 0.20, 6, 9.0};

/* A worse version has the old one's rate times this factor, or plus the test's
 * step if that is more. */
#define STEP_FACTOR 3.0
#define RATE_MAX 0.95

/* From which logarithm of the likelihood ratio on the shortest gaps show a
 * slower version. With many gaps a small difference would do, which the load of
 * both versions and their caches explain; so each gap beyond the first ones has
 * to show more. */
#define SHORTEST_LOG_RATIO_MIN 6.0
#define SHORTEST_FIRST 40
#define SHORTEST_LOG_RATIO_PER_GAP 0.3
/* The same without the slowest groups of endpoints. Few endpoints may be slow
 * for reasons of their own. */
#define SHORTEST_TRIMMED_LOG_RATIO_MIN 1.0
/* Factors of these bounds, and of those of the tests, by canary_standard_t. */
static const double failures_factors[] = {1.0, 0.5, 1.0};
/* Once a version was found to be as good, latencies have to show more: all
 * requests move at once to endpoints with empty caches. */
static const double latency_factors[] = {1.0, 0.5, 2.0};

/* Logarithms of the likelihood ratios at which a version is as good, by
 * canary_standard_t. */
static const double good_log_ratios_max[] = {-3.0, -2.0, -3.0};
/* Gaps of the old version from which on those of the new one are needed too. */
#define OLD_GAPS_MIN 20
/* Nearly all good versions are found to be as good by so many responses. */
#define RESPONSES_SUFFICIENT 40
/* A route with more than this part of the old version's responses is looked at
 * alone, and needs as many responses. */
#define ROUTE_PART_MIN 0.15
#define ROUTE_RESPONSES_MIN 2

static double
test_log_ratio(const ratio_test_t *test, uint32_t bad, uint32_t responses,
    uint32_t old_bad, uint32_t old_responses)
{
	double p0 =
	    fmax((old_bad + 0.2) / (old_responses + 5.0), test->rate_min);
	double p1 = fmin(RATE_MAX, fmax(STEP_FACTOR * p0, p0 + test->step_min));
	double good = (double)responses - bad;

	return p0 < p1 ? bad * log(p1 / p0) + good * log((1 - p1) / (1 - p0))
		       : 0;
}

/* Rates from RATE_LEAST to RATE_MAX, each RATE_RATIO times the one before. */
#define RATES 26
#define RATE_LEAST 0.01
#define RATE_RATIO 1.2
/* Responses of the old version that are assumed besides the observed ones. */
#define PRIOR_FAILED 0.2
#define PRIOR_SOUND 4.8

/* The logarithm of the mean of exp(x), by weights whose logarithms are given.
 */
static double
log_mean_exp(const double *x, const double *log_weights)
{
	double highest = x[0] + log_weights[0], total = 0, weights = 0;
	double heaviest = log_weights[0];

	for (size_t i = 1; i < RATES; i++) {
		highest = fmax(highest, x[i] + log_weights[i]);
		heaviest = fmax(heaviest, log_weights[i]);
	}
	for (size_t i = 0; i < RATES; i++) {
		total += exp(x[i] + log_weights[i] - highest);
		weights += exp(log_weights[i] - heaviest);
	}
	return highest + log(total) - heaviest - log(weights);
}

/* Like test_log_ratio(), over all rates that the old version may have by what
 * was observed of it: a few responses without a failure don't show that its
 * rate is low. */
static double
failures_log_ratio(
    const canary_counts_t *new_counts, const canary_counts_t *old_counts)
{
	double bad = new_counts->failed;
	double good = (double)new_counts->responses - bad;
	double old_bad = old_counts->failed + PRIOR_FAILED;
	double old_good =
	    (double)old_counts->responses - old_counts->failed + PRIOR_SOUND;
	double log_weights[RATES], as_good[RATES], worse[RATES];
	double p0 = RATE_LEAST;

	for (size_t i = 0; i < RATES; i++, p0 *= RATE_RATIO) {
		double p1 = fmin(RATE_MAX,
		    fmax(STEP_FACTOR * p0, p0 + test_failed.step_min));

		/* The density of the rate, times the rate as the width. */
		log_weights[i] =
		    old_bad * log(p0) + (old_good - 1) * log(1 - p0);
		as_good[i] = bad * log(p0) + good * log(1 - p0);
		worse[i] = bad * log(p1) + good * log(1 - p1);
	}
	return log_mean_exp(worse, log_weights) -
	    log_mean_exp(as_good, log_weights);
}

canary_evidence_t
canary_tally_evidence(const canary_tally_t *tally)
{
	const canary_counts_t *new_counts = &tally->new_counts;
	const canary_counts_t *old_counts = &tally->old_counts;

	return (canary_evidence_t){
	    .failed = failures_log_ratio(new_counts, old_counts),
	    .late = test_log_ratio(&test_late, new_counts->late,
		new_counts->responses, old_counts->late, old_counts->responses),
	    .gaps = test_log_ratio(&test_gaps, new_counts->gaps_slow,
		new_counts->gaps_measured, old_counts->gaps_slow,
		old_counts->gaps_measured)};
}

bool
canary_tally_is_bad(const canary_tally_t *tally, canary_standard_t standard)
{
	const canary_counts_t *counts = &tally->new_counts;
	canary_evidence_t evidence = canary_tally_evidence(tally);
	double failures = failures_factors[standard];
	double latency = latency_factors[standard];

	return (counts->failed >= test_failed.bad_min &&
		   evidence.failed > failures * test_failed.log_ratio_min) ||
	    (counts->late >= test_late.bad_min &&
		evidence.late > latency * test_late.log_ratio_min) ||
	    (counts->gaps_slow >= test_gaps.bad_min &&
		evidence.gaps > latency * test_gaps.log_ratio_min);
}

latency_evidence_t
canary_gaps_evidence(const canary_gaps_t *gaps)
{
	return latency_histogram_compare(
	    &gaps->old_gaps, gaps->new_gaps, CANARY_GROUPS);
}

bool
canary_gaps_are_bad(
    const canary_gaps_t *gaps, bool single, canary_standard_t standard)
{
	latency_evidence_t evidence = canary_gaps_evidence(gaps);
	uint32_t first = standard == CANARY_ACCEPTED ? 0 : SHORTEST_FIRST;
	uint32_t further = evidence.count > first ? evidence.count - first : 0;

	return evidence.log_ratio >
	    latency_factors[standard] * SHORTEST_LOG_RATIO_MIN +
		SHORTEST_LOG_RATIO_PER_GAP * further &&
	    (single ||
		evidence.trimmed_log_ratio > SHORTEST_TRIMMED_LOG_RATIO_MIN);
}

canary_evidence_t
canary_settled_evidence(const canary_sums_t *sums)
{
	const canary_cohort_t *settled = &sums->settled;
	const canary_counts_t *old_counts = &sums->all.old_counts;
	const latency_histogram_t *old_gaps = &sums->gaps.old_gaps;
	const canary_counts_t new_counts = {
	    .responses = settled->responses, .failed = settled->failed};
	latency_histogram_t gaps = settled->gaps;

	latency_histogram_add_unknown(
	    &gaps, old_gaps, settled->unanswered + settled->gapless);
	return (canary_evidence_t){
	    .failed = failures_log_ratio(&new_counts, old_counts),
	    .late =
		test_log_ratio(&test_late, settled->late + settled->unanswered,
		    settled->responses + settled->unanswered, old_counts->late,
		    old_counts->responses),
	    .gaps = latency_histogram_compare(old_gaps, &gaps, 1).log_ratio};
}

/* Whether the failures on a route that many requests take speak for the new
 * version too. */
static bool
route_is_good(const canary_sums_t *sums, const canary_tally_t *route)
{
	return route->old_counts.responses <=
	    ROUTE_PART_MIN * sums->all.old_counts.responses ||
	    (route->new_counts.responses >= ROUTE_RESPONSES_MIN &&
		canary_tally_evidence(route).failed < 0);
}

bool
canary_sums_are_good(const canary_sums_t *sums, canary_standard_t standard)
{
	double bound = good_log_ratios_max[standard];
	canary_evidence_t evidence = canary_settled_evidence(sums);

	if (evidence.failed > bound || evidence.late > bound ||
	    (latency_histogram_count(&sums->gaps.old_gaps) >= OLD_GAPS_MIN &&
		evidence.gaps > bound))
		return false;
	if (standard == CANARY_TRIAL_LATE)
		return true;
	for (size_t i = 0; i < sums->routes_len; i++) {
		if (!route_is_good(sums, &sums->routes[i]))
			return false;
	}
	return true;
}

bool
canary_sums_suffice(const canary_sums_t *sums)
{
	return sums->settled.responses >= RESPONSES_SUFFICIENT;
}

bool
canary_sums_are_empty(const canary_sums_t *sums)
{
	return sums->all.old_counts.responses == 0 &&
	    sums->all.new_counts.responses == 0;
}
