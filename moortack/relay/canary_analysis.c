#include "moortack/relay/canary_analysis.h"

#include <math.h>
#include <string.h>

#include "common/clock_source.h"

#define SLICE_MS 1000
/* A first byte or a pause between events this many times longer than usual is
 * bad. A slow version is several times slower; the first event of a stream
 * depends on the prompt, on what is cached and on what waits before it, so that
 * it has to be far off; pauses do little. */
#define SLOW_FIRST_FACTOR 6.0
#define SLOW_FIRST_MIN_MS 150.0 /* more than usual, at least */
#define SLOW_EVENT_FACTOR 10.0
#define SLOW_EVENT_MIN_MS 400.0
#define SLOW_GAP_FACTOR 3.0
#define SLOW_GAP_MIN_MS 3.0
/* Tells the two paces of a route and model apart. */
#define GAP_KEY 0x9e3779b97f4a7c15ULL
#define PACE_SEEN_MIN 8
#define PACE_WEIGHT 0.05
/** A test of "worse by a step" against "as the old version", by the ratio of
 * their likelihoods. */
typedef struct guard_test {
	double rate_min;  /**< the old version's rate is taken as no less */
	double step_min;  /**< the new one's is worse by this, at least */
	uint32_t bad_min; /**< answers, at least */
	double limit;	  /**< of the logarithm of the ratio */
} guard_test_t;

/* Failures are independent of each other; answers that begin late are not,
 * since one long prompt delays all that wait behind it, so that more of them
 * are asked for. A pace that is several times slower is mostly the endpoint's
 * own, but in a rush a tenth of the old version's answers drag, too, and late
 * in a roll-out there are few of these to compare with: with a least rate of
 * 0.03 and 5 answers 4 of 36 good versions were taken back under load, with
 * these none was for its pace. */
static const guard_test_t test_failed = {0.01, 0.15, 3, 5.0};
static const guard_test_t test_slow = {0.05, 0.15, 10, 14.0};
static const guard_test_t test_dragged = {0.10, 0.20, 6, 9.0};

#define STEP_FACTOR 3.0
#define RATE_MAX 0.95

void
canary_analysis_reset(canary_analysis_t *guard)
{
	for (size_t i = 0; i < guard->routes_len; i++)
		memset(guard->routes[i].new_slices, 0,
		    sizeof(guard->routes[i].new_slices));
}

static void
row_slide(canary_route_t *row, struct timespec now)
{
	int64_t slice = timespec_ms(now) / SLICE_MS;
	int64_t steps = slice - row->last_slice;

	if (steps <= 0)
		return;
	if (steps > CANARY_SLICES)
		steps = CANARY_SLICES;
	for (int64_t i = 0; i < steps; i++) {
		size_t at = (size_t)((slice - i) % CANARY_SLICES);

		row->new_slices[at] = (canary_counts_t){0};
		row->old_slices[at] = (canary_counts_t){0};
	}
	row->last_slice = slice;
}

static canary_route_t *
row_of(canary_analysis_t *guard, uint64_t route)
{
	for (size_t i = 0; i < guard->routes_len; i++) {
		if (guard->routes[i].route == route)
			return &guard->routes[i];
	}
	if (guard->routes_len == CANARY_ROUTES_MAX)
		return NULL;
	guard->routes[guard->routes_len] = (canary_route_t){.route = route};
	return &guard->routes[guard->routes_len++];
}

static canary_latency_t *
pace_of(canary_analysis_t *guard, uint64_t key)
{
	for (size_t i = 0; i < guard->latencies_len; i++) {
		if (guard->latencies[i].key == key)
			return &guard->latencies[i];
	}
	if (guard->latencies_len == CANARY_LATENCIES_MAX)
		return NULL;
	guard->latencies[guard->latencies_len] = (canary_latency_t){.key = key};
	return &guard->latencies[guard->latencies_len++];
}

/** What counts as slow. */
typedef struct slow_bound {
	double factor;
	double least_ms; /**< beyond what is usual */
} slow_bound_t;

static const slow_bound_t slow_first = {SLOW_FIRST_FACTOR, SLOW_FIRST_MIN_MS};
static const slow_bound_t slow_event = {SLOW_EVENT_FACTOR, SLOW_EVENT_MIN_MS};
static const slow_bound_t slow_gap = {SLOW_GAP_FACTOR, SLOW_GAP_MIN_MS};

/** A time of an answer, and what is usual for it. */
typedef struct timed {
	canary_latency_t *pace; /**< NULL: not known */
	const slow_bound_t *bound;
	double ms;
} timed_t;

static timed_t
first_of(canary_analysis_t *guard, const canary_observation_t *answer)
{
	return (timed_t){pace_of(guard, answer->route ^ answer->model),
	    answer->stream ? &slow_event : &slow_first, answer->ms};
}

static timed_t
gap_of(canary_analysis_t *guard, const canary_observation_t *answer)
{
	return (timed_t){
	    pace_of(guard, answer->route ^ answer->model ^ GAP_KEY), &slow_gap,
	    answer->ms};
}

static bool
is_slow(const timed_t *timed)
{
	const canary_latency_t *pace = timed->pace;
	double usual = pace != NULL ? exp(pace->log_mean) : 0;

	return pace != NULL && pace->samples >= PACE_SEEN_MIN &&
	    timed->ms > timed->bound->factor * usual &&
	    timed->ms > usual + timed->bound->least_ms;
}

/* The old version's answers set the pace. */
static void
pace_learn(const timed_t *timed, bool fresh)
{
	canary_latency_t *pace = timed->pace;
	double weight;

	if (pace == NULL || fresh)
		return;
	weight = pace->samples < PACE_SEEN_MIN ? 1.0 / (pace->samples + 1)
					       : PACE_WEIGHT;
	pace->log_mean += weight * (log(fmax(timed->ms, 1)) - pace->log_mean);
	pace->samples++;
}

static void
begun_count(canary_analysis_t *guard, const canary_observation_t *answer,
    canary_counts_t *count)
{
	timed_t timed = first_of(guard, answer);

	count->responses++;
	count->late += is_slow(&timed);
	pace_learn(&timed, answer->is_new);
}

static bool
overdue_count(canary_analysis_t *guard, const canary_observation_t *answer,
    canary_counts_t *count)
{
	timed_t timed = first_of(guard, answer);

	if (!is_slow(&timed))
		return false;
	count->responses++;
	count->late++;
	return true;
}

static void
paced_count(canary_analysis_t *guard, const canary_observation_t *answer,
    canary_counts_t *count)
{
	timed_t timed = gap_of(guard, answer);

	count->gaps_measured++;
	count->gaps_slow += is_slow(&timed);
	pace_learn(&timed, answer->is_new);
}

bool
canary_analysis_observe(canary_analysis_t *guard,
    const canary_observation_t *answer, struct timespec now)
{
	canary_route_t *row = row_of(guard, answer->route);
	canary_counts_t *count;

	if (row == NULL)
		return false;
	row_slide(row, now);
	count = answer->is_new
	    ? &row->new_slices[row->last_slice % CANARY_SLICES]
	    : &row->old_slices[row->last_slice % CANARY_SLICES];
	switch (answer->signal) {
	case CANARY_FIRST_BYTE:
		begun_count(guard, answer, count);
		break;
	case CANARY_OVERDUE:
		return overdue_count(guard, answer, count);
	case CANARY_EVENT_GAP:
		paced_count(guard, answer, count);
		break;
	case CANARY_FAILED:
		count->responses += !answer->counted;
		count->failed++;
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
canary_analysis_tally(canary_analysis_t *guard, struct timespec now,
    canary_tally_t *out, size_t cap)
{
	size_t len = 0;

	for (size_t i = 0; i < guard->routes_len && len < cap; i++) {
		canary_route_t *row = &guard->routes[i];

		row_slide(row, now);
		out[len++] = (canary_tally_t){.route = row->route,
		    .new_counts = counts_sum(row->new_slices),
		    .old_counts = counts_sum(row->old_slices)};
	}
	return len;
}

static bool
test_worse(const guard_test_t *test, uint32_t bad, uint32_t seen,
    uint32_t base_bad, uint32_t base_seen)
{
	double p0 = fmax((base_bad + 0.2) / (base_seen + 5.0), test->rate_min);
	double p1 = fmin(RATE_MAX, fmax(STEP_FACTOR * p0, p0 + test->step_min));
	double good = (double)seen - bad;

	if (bad < test->bad_min || p0 >= p1)
		return false;
	return bad * log(p1 / p0) + good * log((1 - p1) / (1 - p0)) >
	    test->limit;
}

bool
canary_tally_is_bad(const canary_tally_t *tally)
{
	const canary_counts_t *fresh = &tally->new_counts;
	const canary_counts_t *base = &tally->old_counts;

	return test_worse(&test_failed, fresh->failed, fresh->responses,
		   base->failed, base->responses) ||
	    test_worse(&test_slow, fresh->late, fresh->responses, base->late,
		base->responses) ||
	    test_worse(&test_dragged, fresh->gaps_slow, fresh->gaps_measured,
		base->gaps_slow, base->gaps_measured);
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
}
