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
	analysis->cohorts = (canary_cohorts_t){0};
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
	for (int64_t i = 0; i < steps; i++) {
		size_t at = (size_t)((slice - i) % CANARY_SLICES);

		if (analysis->gaps_counts[at] == 0)
			continue;
		analysis->gaps_slices[at] = (canary_gaps_t){0};
		analysis->gaps_counts[at] = 0;
	}
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
	size_t at;

	gaps_advance(analysis, now);
	at = (size_t)(analysis->gaps_last_slice % CANARY_SLICES);
	slice = &analysis->gaps_slices[at];
	analysis->gaps_counts[at]++;
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

/* Count a response of the new version in the cohort of its request.
 * @param late how many late responses were counted for it */
static void
cohort_count(canary_analysis_t *analysis,
    const canary_observation_t *observation, uint32_t late, struct timespec now)
{
	canary_cohort_t *cohort;

	if (!observation->is_new)
		return;
	cohort =
	    canary_cohorts_find(&analysis->cohorts, observation->sent_at, now);
	if (cohort == NULL)
		return;
	switch (observation->signal) {
	case CANARY_FIRST_BYTE:
	case CANARY_OVERDUE:
		cohort->responses++;
		cohort->late += late;
		break;
	case CANARY_SHORTEST_GAP:
		latency_histogram_add(&cohort->gaps, observation->ms);
		break;
	case CANARY_FAILED:
		cohort->responses += !observation->counted;
		cohort->failed++;
		break;
	case CANARY_EVENT_GAP:
		break;
	}
}

bool
canary_analysis_observe(canary_analysis_t *analysis,
    const canary_observation_t *observation, struct timespec now)
{
	canary_route_t *entry = route_find_or_add(analysis, observation->route);
	canary_counts_t *counts;
	uint32_t late_before;

	if (entry == NULL)
		return false;
	entry->repeatable = observation->repeatable;
	route_advance(entry, now);
	counts = observation->is_new
	    ? &entry->new_slices[entry->last_slice % CANARY_SLICES]
	    : &entry->old_slices[entry->last_slice % CANARY_SLICES];
	late_before = counts->late;
	switch (observation->signal) {
	case CANARY_FIRST_BYTE:
		first_byte_count(analysis, observation, counts);
		token_ratio_learn(entry, observation->token_ratio);
		break;
	case CANARY_OVERDUE:
		if (!overdue_count(analysis, observation, counts))
			return false;
		break;
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
	cohort_count(analysis, observation, counts->late - late_before, now);
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
	for (size_t i = 0; i < CANARY_SLICES; i++) {
		if (analysis->gaps_counts[i] > 0)
			canary_gaps_merge(sum, &analysis->gaps_slices[i]);
	}
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
