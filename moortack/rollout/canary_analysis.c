#include "moortack/rollout/canary_analysis.h"

#include <math.h>
#include <string.h>

#include "common/clock_source.h"

#define SLICE_MS 1000
/* A latency is slow if it is longer than the usual one times the factor, and
 * than the usual one plus the minimum. A slow version is several times slower.
 * The first event of a stream also depends on the prompt, on what is cached and
 * on the queue, so its bounds are wide; gaps between events depend little on
 * these. */
#define SLOW_FIRST_BYTE_FACTOR 6.0
#define SLOW_FIRST_BYTE_MIN_MS 150.0
#define SLOW_FIRST_EVENT_FACTOR 10.0
#define SLOW_FIRST_EVENT_MIN_MS 400.0
#define SLOW_GAP_FACTOR 3.0
#define SLOW_GAP_MIN_MS 3.0
/* Distinguishes the key of the gap between events from that of the first byte
 * of the same route and model. */
#define GAP_KEY 0x9e3779b97f4a7c15ULL
#define LATENCY_SAMPLES_MIN 8
#define LATENCY_WEIGHT 0.05
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
 * under peak load a tenth of the old version's responses have them too, and
 * late in a roll-out there are few of these to compare with. With a lowest rate
 * of 0.03 and 5 responses, 4 of 36 good versions were reverted under load; with
 * these values none was for its gaps. */
static const ratio_test_t test_failed = {0.01, 0.15, 3, 5.0};
static const ratio_test_t test_late = {0.05, 0.15, 10, 14.0};
static const ratio_test_t test_gaps = {0.10, 0.20, 6, 9.0};

/* From which logarithm of the likelihood ratio on the gaps show a slower
 * version. With many gaps a small difference would do, which the load of both
 * versions and their caches explain; so each gap beyond the first ones has to
 * show more. */
#define GAPS_LOG_RATIO_MIN 6.0
#define GAPS_FIRST 40
#define GAPS_LOG_RATIO_PER_GAP 0.3
/* The same without the slowest groups of endpoints. Few endpoints may be slow
 * for reasons of their own. */
#define GAPS_TRIMMED_LOG_RATIO_MIN 1.0

/* A worse version has the old one's rate times this factor, or plus the test's
 * step if that is more. */
#define STEP_FACTOR 3.0
#define RATE_MAX 0.95

/* Up to this many tokens in per token out, half of an endpoint's slots are in
 * use before its prefill is the limit. An engine takes 200 to 300 times as long
 * for a token out as for one in, and has 16 to 64 slots. */
#define LONG_TOKEN_RATIO_MAX 12.0

size_t
canary_group(uint64_t endpoint)
{
	return endpoint % CANARY_GROUPS;
}

void
canary_analysis_reset(canary_analysis_t *analysis)
{
	for (size_t i = 0; i < analysis->routes_len; i++)
		memset(analysis->routes[i].new_slices, 0,
		    sizeof(analysis->routes[i].new_slices));
	for (size_t i = 0; i < CANARY_SLICES; i++)
		memset(analysis->gaps_slices[i].new_gaps, 0,
		    sizeof(analysis->gaps_slices[i].new_gaps));
}

static void
route_advance(canary_route_t *entry, struct timespec now)
{
	int64_t slice = timespec_to_ms(now) / SLICE_MS;
	int64_t steps = slice - entry->last_slice;

	if (steps <= 0)
		return;
	if (steps > CANARY_SLICES)
		steps = CANARY_SLICES;
	for (int64_t i = 0; i < steps; i++) {
		size_t at = (size_t)((slice - i) % CANARY_SLICES);

		entry->new_slices[at] = (canary_counts_t){0};
		entry->old_slices[at] = (canary_counts_t){0};
	}
	entry->last_slice = slice;
}

static void
gaps_advance(canary_analysis_t *analysis, struct timespec now)
{
	int64_t slice = timespec_to_ms(now) / SLICE_MS;
	int64_t steps = slice - analysis->gaps_last_slice;

	if (steps <= 0)
		return;
	if (steps > CANARY_SLICES)
		steps = CANARY_SLICES;
	for (int64_t i = 0; i < steps; i++)
		analysis->gaps_slices[(slice - i) % CANARY_SLICES] =
		    (canary_gaps_t){0};
	analysis->gaps_last_slice = slice;
}

static canary_route_t *
route_find_or_add(canary_analysis_t *analysis, uint64_t route)
{
	for (size_t i = 0; i < analysis->routes_len; i++) {
		if (analysis->routes[i].route == route)
			return &analysis->routes[i];
	}
	if (analysis->routes_len == CANARY_ROUTES_MAX)
		return NULL;
	analysis->routes[analysis->routes_len] =
	    (canary_route_t){.route = route};
	return &analysis->routes[analysis->routes_len++];
}

static canary_latency_t *
latency_find_or_add(canary_analysis_t *analysis, uint64_t key)
{
	for (size_t i = 0; i < analysis->latencies_len; i++) {
		if (analysis->latencies[i].key == key)
			return &analysis->latencies[i];
	}
	if (analysis->latencies_len == CANARY_LATENCIES_MAX)
		return NULL;
	analysis->latencies[analysis->latencies_len] =
	    (canary_latency_t){.key = key};
	return &analysis->latencies[analysis->latencies_len++];
}

/** From when on a latency is slow. */
typedef struct slow_bound {
	double factor;
	double min_ms; /**< above the usual latency */
} slow_bound_t;

static const slow_bound_t slow_first_byte = {
    SLOW_FIRST_BYTE_FACTOR, SLOW_FIRST_BYTE_MIN_MS};
static const slow_bound_t slow_first_event = {
    SLOW_FIRST_EVENT_FACTOR, SLOW_FIRST_EVENT_MIN_MS};
static const slow_bound_t slow_gap = {SLOW_GAP_FACTOR, SLOW_GAP_MIN_MS};

/** A measured latency and what it is compared with. */
typedef struct measurement {
	canary_latency_t *latency; /**< the usual one; NULL: not known */
	const slow_bound_t *bound;
	double ms;
} measurement_t;

static measurement_t
first_byte_measure(
    canary_analysis_t *analysis, const canary_observation_t *observation)
{
	return (measurement_t){latency_find_or_add(analysis,
				   observation->route ^ observation->model),
	    observation->stream ? &slow_first_event : &slow_first_byte,
	    observation->ms};
}

static measurement_t
gap_measure(
    canary_analysis_t *analysis, const canary_observation_t *observation)
{
	return (measurement_t){
	    latency_find_or_add(
		analysis, observation->route ^ observation->model ^ GAP_KEY),
	    &slow_gap, observation->ms};
}

static bool
measurement_is_slow(const measurement_t *measurement)
{
	const canary_latency_t *latency = measurement->latency;
	double usual = latency != NULL ? exp(latency->log_mean) : 0;

	return latency != NULL && latency->samples >= LATENCY_SAMPLES_MIN &&
	    measurement->ms > measurement->bound->factor * usual &&
	    measurement->ms > usual + measurement->bound->min_ms;
}

/* The usual latency is learned from the old version only. */
static void
latency_learn(const measurement_t *measurement, bool is_new)
{
	canary_latency_t *latency = measurement->latency;
	double weight;

	if (latency == NULL || is_new)
		return;
	weight = latency->samples < LATENCY_SAMPLES_MIN
	    ? 1.0 / (latency->samples + 1)
	    : LATENCY_WEIGHT;
	latency->log_mean +=
	    weight * (log(fmax(measurement->ms, 1)) - latency->log_mean);
	latency->samples++;
}

static void
first_byte_count(canary_analysis_t *analysis,
    const canary_observation_t *observation, canary_counts_t *counts)
{
	measurement_t measurement = first_byte_measure(analysis, observation);

	counts->responses++;
	counts->late += measurement_is_slow(&measurement);
	latency_learn(&measurement, observation->is_new);
}

static bool
overdue_count(canary_analysis_t *analysis,
    const canary_observation_t *observation, canary_counts_t *counts)
{
	measurement_t measurement = first_byte_measure(analysis, observation);

	if (!measurement_is_slow(&measurement))
		return false;
	counts->responses++;
	counts->late++;
	return true;
}

static void
gap_count(canary_analysis_t *analysis, const canary_observation_t *observation,
    canary_counts_t *counts)
{
	measurement_t measurement = gap_measure(analysis, observation);

	counts->gaps_measured++;
	counts->gaps_slow += measurement_is_slow(&measurement);
	latency_learn(&measurement, observation->is_new);
}

static void
shortest_gap_count(canary_analysis_t *analysis,
    const canary_observation_t *observation, struct timespec now)
{
	canary_gaps_t *slice;

	gaps_advance(analysis, now);
	slice =
	    &analysis->gaps_slices[analysis->gaps_last_slice % CANARY_SLICES];
	latency_histogram_add(observation->is_new
		? &slice->new_gaps[canary_group(observation->endpoint)]
		: &slice->old_gaps,
	    observation->ms);
}

static void
token_ratio_learn(canary_route_t *entry, double ratio)
{
	double weight;

	if (ratio <= 0)
		return;
	weight = entry->token_ratio_samples < 1 / LATENCY_WEIGHT
	    ? 1.0 / (entry->token_ratio_samples + 1)
	    : LATENCY_WEIGHT;
	entry->log_token_ratio +=
	    weight * (log(ratio) - entry->log_token_ratio);
	entry->token_ratio_samples++;
}

size_t
canary_analysis_long_routes(
    const canary_analysis_t *analysis, uint64_t *out, size_t cap)
{
	const canary_route_t *best = NULL;
	size_t len = 0;

	for (size_t i = 0; i < analysis->routes_len; i++) {
		const canary_route_t *entry = &analysis->routes[i];

		if (!entry->repeatable)
			continue;
		if (best == NULL ||
		    entry->log_token_ratio < best->log_token_ratio)
			best = entry;
		if ((entry->token_ratio_samples == 0 ||
			entry->log_token_ratio <= log(LONG_TOKEN_RATIO_MAX)) &&
		    len < cap)
			out[len++] = entry->route;
	}
	if (len == 0 && best != NULL && cap > 0)
		out[len++] = best->route;
	return len;
}

bool
canary_analysis_observe(canary_analysis_t *analysis,
    const canary_observation_t *observation, struct timespec now)
{
	canary_route_t *entry = route_find_or_add(analysis, observation->route);
	canary_counts_t *counts;

	if (entry == NULL)
		return false;
	entry->repeatable = observation->repeatable;
	route_advance(entry, now);
	counts = observation->is_new
	    ? &entry->new_slices[entry->last_slice % CANARY_SLICES]
	    : &entry->old_slices[entry->last_slice % CANARY_SLICES];
	switch (observation->signal) {
	case CANARY_FIRST_BYTE:
		first_byte_count(analysis, observation, counts);
		token_ratio_learn(entry, observation->token_ratio);
		break;
	case CANARY_OVERDUE:
		return overdue_count(analysis, observation, counts);
	case CANARY_EVENT_GAP:
		gap_count(analysis, observation, counts);
		break;
	case CANARY_SHORTEST_GAP:
		shortest_gap_count(analysis, observation, now);
		break;
	case CANARY_FAILED:
		counts->responses += !observation->counted;
		counts->failed++;
		break;
	}
	return true;
}

void
canary_counts_add(canary_counts_t *sum, const canary_counts_t *more)
{
	sum->responses += more->responses;
	sum->failed += more->failed;
	sum->late += more->late;
	sum->gaps_measured += more->gaps_measured;
	sum->gaps_slow += more->gaps_slow;
}

static canary_counts_t
counts_sum(const canary_counts_t *counts)
{
	canary_counts_t sum = {0};

	for (size_t i = 0; i < CANARY_SLICES; i++)
		canary_counts_add(&sum, &counts[i]);
	return sum;
}

size_t
canary_analysis_tally(canary_analysis_t *analysis, struct timespec now,
    canary_tally_t *out, size_t cap)
{
	size_t len = 0;

	for (size_t i = 0; i < analysis->routes_len && len < cap; i++) {
		canary_route_t *entry = &analysis->routes[i];

		route_advance(entry, now);
		out[len++] = (canary_tally_t){.route = entry->route,
		    .new_counts = counts_sum(entry->new_slices),
		    .old_counts = counts_sum(entry->old_slices)};
	}
	return len;
}

void
canary_gaps_merge(canary_gaps_t *sum, const canary_gaps_t *more)
{
	latency_histogram_merge(&sum->old_gaps, &more->old_gaps);
	for (size_t i = 0; i < CANARY_GROUPS; i++)
		latency_histogram_merge(&sum->new_gaps[i], &more->new_gaps[i]);
}

void
canary_analysis_add_gaps(
    canary_analysis_t *analysis, struct timespec now, canary_gaps_t *sum)
{
	gaps_advance(analysis, now);
	for (size_t i = 0; i < CANARY_SLICES; i++)
		canary_gaps_merge(sum, &analysis->gaps_slices[i]);
}

latency_evidence_t
canary_gaps_evidence(const canary_gaps_t *gaps)
{
	return latency_histogram_compare(
	    &gaps->old_gaps, gaps->new_gaps, CANARY_GROUPS);
}

bool
canary_gaps_are_bad(const canary_gaps_t *gaps, bool single)
{
	latency_evidence_t evidence = canary_gaps_evidence(gaps);
	uint32_t further =
	    evidence.count > GAPS_FIRST ? evidence.count - GAPS_FIRST : 0;

	return evidence.log_ratio >
	    GAPS_LOG_RATIO_MIN + GAPS_LOG_RATIO_PER_GAP * further &&
	    (single || evidence.trimmed_log_ratio > GAPS_TRIMMED_LOG_RATIO_MIN);
}

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

canary_evidence_t
canary_tally_evidence(const canary_tally_t *tally)
{
	const canary_counts_t *new_counts = &tally->new_counts;
	const canary_counts_t *old_counts = &tally->old_counts;

	return (canary_evidence_t){
	    .failed = test_log_ratio(&test_failed, new_counts->failed,
		new_counts->responses, old_counts->failed,
		old_counts->responses),
	    .late = test_log_ratio(&test_late, new_counts->late,
		new_counts->responses, old_counts->late, old_counts->responses),
	    .gaps = test_log_ratio(&test_gaps, new_counts->gaps_slow,
		new_counts->gaps_measured, old_counts->gaps_slow,
		old_counts->gaps_measured)};
}

bool
canary_tally_is_bad(const canary_tally_t *tally)
{
	const canary_counts_t *counts = &tally->new_counts;
	canary_evidence_t evidence = canary_tally_evidence(tally);

	return (counts->failed >= test_failed.bad_min &&
		   evidence.failed > test_failed.log_ratio_min) ||
	    (counts->late >= test_late.bad_min &&
		evidence.late > test_late.log_ratio_min) ||
	    (counts->gaps_slow >= test_gaps.bad_min &&
		evidence.gaps > test_gaps.log_ratio_min);
}

void
canary_tally_add(
    canary_tally_t *sums, size_t *len, size_t cap, const canary_tally_t *tally)
{
	canary_tally_t *sum = NULL;

	for (size_t i = 0; i < *len; i++) {
		if (sums[i].route == tally->route)
			sum = &sums[i];
	}
	if (sum == NULL) {
		if (*len == cap)
			return;
		sum = &sums[(*len)++];
		*sum = (canary_tally_t){.route = tally->route};
	}
	canary_counts_add(&sum->new_counts, &tally->new_counts);
	canary_counts_add(&sum->old_counts, &tally->old_counts);
	sum->old_in_flight += tally->old_in_flight;
}
