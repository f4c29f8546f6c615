#include "moortack/relay/version_guard.h"

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
version_guard_restart(version_guard_t *guard)
{
	for (size_t i = 0; i < guard->rows_len; i++)
		memset(guard->rows[i].fresh, 0, sizeof(guard->rows[i].fresh));
}

static void
row_slide(guard_row_of_route_t *row, struct timespec now)
{
	int64_t slice = timespec_to_ms(now) / SLICE_MS;
	int64_t steps = slice - row->slice;

	if (steps <= 0)
		return;
	if (steps > GUARD_SLICES)
		steps = GUARD_SLICES;
	for (int64_t i = 0; i < steps; i++) {
		size_t at = (size_t)((slice - i) % GUARD_SLICES);

		row->fresh[at] = (guard_count_t){0};
		row->base[at] = (guard_count_t){0};
	}
	row->slice = slice;
}

static guard_row_of_route_t *
row_of(version_guard_t *guard, uint64_t route)
{
	for (size_t i = 0; i < guard->rows_len; i++) {
		if (guard->rows[i].route == route)
			return &guard->rows[i];
	}
	if (guard->rows_len == GUARD_ROUTES_MAX)
		return NULL;
	guard->rows[guard->rows_len] = (guard_row_of_route_t){.route = route};
	return &guard->rows[guard->rows_len++];
}

static guard_pace_t *
pace_of(version_guard_t *guard, uint64_t key)
{
	for (size_t i = 0; i < guard->paces_len; i++) {
		if (guard->paces[i].key == key)
			return &guard->paces[i];
	}
	if (guard->paces_len == GUARD_PACES_MAX)
		return NULL;
	guard->paces[guard->paces_len] = (guard_pace_t){.key = key};
	return &guard->paces[guard->paces_len++];
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
	guard_pace_t *pace; /**< NULL: not known */
	const slow_bound_t *bound;
	double ms;
} timed_t;

static timed_t
first_of(version_guard_t *guard, const guard_answer_t *answer)
{
	return (timed_t){pace_of(guard, answer->route ^ answer->model),
	    answer->stream ? &slow_event : &slow_first, answer->ms};
}

static timed_t
gap_of(version_guard_t *guard, const guard_answer_t *answer)
{
	return (timed_t){
	    pace_of(guard, answer->route ^ answer->model ^ GAP_KEY), &slow_gap,
	    answer->ms};
}

static bool
is_slow(const timed_t *timed)
{
	const guard_pace_t *pace = timed->pace;
	double usual = pace != NULL ? exp(pace->log_mean) : 0;

	return pace != NULL && pace->seen >= PACE_SEEN_MIN &&
	    timed->ms > timed->bound->factor * usual &&
	    timed->ms > usual + timed->bound->least_ms;
}

/* The old version's answers set the pace. */
static void
pace_learn(const timed_t *timed, bool fresh)
{
	guard_pace_t *pace = timed->pace;
	double weight;

	if (pace == NULL || fresh)
		return;
	weight =
	    pace->seen < PACE_SEEN_MIN ? 1.0 / (pace->seen + 1) : PACE_WEIGHT;
	pace->log_mean += weight * (log(fmax(timed->ms, 1)) - pace->log_mean);
	pace->seen++;
}

static void
begun_count(
    version_guard_t *guard, const guard_answer_t *answer, guard_count_t *count)
{
	timed_t timed = first_of(guard, answer);

	count->seen++;
	count->slow += is_slow(&timed);
	pace_learn(&timed, answer->fresh);
}

static bool
overdue_count(
    version_guard_t *guard, const guard_answer_t *answer, guard_count_t *count)
{
	timed_t timed = first_of(guard, answer);

	if (!is_slow(&timed))
		return false;
	count->seen++;
	count->slow++;
	return true;
}

static void
paced_count(
    version_guard_t *guard, const guard_answer_t *answer, guard_count_t *count)
{
	timed_t timed = gap_of(guard, answer);

	count->paced++;
	count->dragged += is_slow(&timed);
	pace_learn(&timed, answer->fresh);
}

bool
version_guard_take(
    version_guard_t *guard, const guard_answer_t *answer, struct timespec now)
{
	guard_row_of_route_t *row = row_of(guard, answer->route);
	guard_count_t *count;

	if (row == NULL)
		return false;
	row_slide(row, now);
	count = answer->fresh ? &row->fresh[row->slice % GUARD_SLICES]
			      : &row->base[row->slice % GUARD_SLICES];
	switch (answer->sign) {
	case GUARD_BEGUN:
		begun_count(guard, answer, count);
		break;
	case GUARD_OVERDUE:
		return overdue_count(guard, answer, count);
	case GUARD_PACED:
		paced_count(guard, answer, count);
		break;
	case GUARD_FAILED:
		count->seen += !answer->counted;
		count->failed++;
		break;
	}
	return true;
}

void
guard_count_add(guard_count_t *sum, const guard_count_t *more)
{
	sum->seen += more->seen;
	sum->failed += more->failed;
	sum->slow += more->slow;
	sum->paced += more->paced;
	sum->dragged += more->dragged;
}

static guard_count_t
counts_sum(const guard_count_t *counts)
{
	guard_count_t sum = {0};

	for (size_t i = 0; i < GUARD_SLICES; i++)
		guard_count_add(&sum, &counts[i]);
	return sum;
}

size_t
version_guard_tally(
    version_guard_t *guard, struct timespec now, guard_tally_t *out, size_t cap)
{
	size_t len = 0;

	for (size_t i = 0; i < guard->rows_len && len < cap; i++) {
		guard_row_of_route_t *row = &guard->rows[i];

		row_slide(row, now);
		out[len++] = (guard_tally_t){.route = row->route,
		    .fresh = counts_sum(row->fresh),
		    .base = counts_sum(row->base)};
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
version_guard_bad(const guard_tally_t *tally)
{
	const guard_count_t *fresh = &tally->fresh;
	const guard_count_t *base = &tally->base;

	return test_worse(&test_failed, fresh->failed, fresh->seen,
		   base->failed, base->seen) ||
	    test_worse(
		&test_slow, fresh->slow, fresh->seen, base->slow, base->seen) ||
	    test_worse(&test_dragged, fresh->dragged, fresh->paced,
		base->dragged, base->paced);
}

void
guard_tally_add(
    guard_tally_t *sums, size_t *len, size_t cap, const guard_tally_t *tally)
{
	guard_tally_t *sum = NULL;

	for (size_t i = 0; i < *len; i++) {
		if (sums[i].route == tally->route)
			sum = &sums[i];
	}
	if (sum == NULL) {
		if (*len == cap)
			return;
		sum = &sums[(*len)++];
		*sum = (guard_tally_t){.route = tally->route};
	}
	guard_count_add(&sum->fresh, &tally->fresh);
	guard_count_add(&sum->base, &tally->base);
}
