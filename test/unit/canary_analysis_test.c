/**
 * @file
 * What the gaps between the events of a new version show, one response after
 * the other: how many responses it takes to find a slower version, and how
 * often one that is not slower is taken for one. Each check plays many seeds.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "../support/random.h"
#include "moortack/rollout/canary_verdict.h"

#define SEEDS 500
/* Requests that a bad version may get in any case, by the users' rule. */
#define TOLERANCE 30
#define OLD_RESPONSES 150
#define ENDPOINTS 8
#define USUAL_MS 20.0
#define PERMILLE 1000

static const struct timespec now = {100, 0};

static double
random_part(uint64_t *random)
{
	return random_below(random, PERMILLE) / (double)PERMILLE;
}

/* The shortest of three gaps: most are near the usual one; a tenth is up to
 * three times as long, and one in fifty up to fifteen times, since the endpoint
 * prefilled long prompts. */
static double
gap_draw(uint64_t *random)
{
	double usual = USUAL_MS * (0.8 + 0.4 * random_part(random));
	uint32_t kind = random_below(random, 50);

	if (kind == 0)
		return usual * (3 + 12 * random_part(random));
	return kind <= 5 ? usual * (1 + 2 * random_part(random)) : usual;
}

/** How a new version behaves. */
typedef struct behaviour {
	double part;		 /**< of its responses that are slower */
	double factor;		 /**< by which they are */
	uint32_t slow_endpoints; /**< whose responses are slower; 0: all */
} behaviour_t;

static void
observe(canary_analysis_t *analysis, bool is_new, uint64_t endpoint, double ms)
{
	const canary_observation_t observation = {.signal = CANARY_SHORTEST_GAP,
	    .route = 1,
	    .stream = true,
	    .is_new = is_new,
	    .endpoint = endpoint,
	    .ms = ms};

	assert_true(canary_analysis_observe(analysis, &observation, now));
}

static void
old_version_observe(canary_analysis_t *analysis, uint64_t *random)
{
	for (int i = 0; i < OLD_RESPONSES; i++)
		observe(analysis, false, 0, gap_draw(random));
}

static void
new_version_observe(
    canary_analysis_t *analysis, const behaviour_t *behaviour, uint64_t *random)
{
	uint32_t endpoint = random_below(random, ENDPOINTS);
	double ms = gap_draw(random);

	if (random_part(random) < behaviour->part &&
	    (behaviour->slow_endpoints == 0 ||
		endpoint < behaviour->slow_endpoints))
		ms *= behaviour->factor;
	observe(analysis, true, endpoint, ms);
}

/* Responses of the new version until it is found to be slower; @p max + 1 if it
 * is not within @p max. */
static uint32_t
responses_until_bad(uint64_t seed, const behaviour_t *behaviour, uint32_t max)
{
	canary_analysis_t analysis = {0};
	uint64_t random = seed;
	uint32_t count = 0;
	bool bad = false;

	old_version_observe(&analysis, &random);
	while (!bad && count <= max) {
		canary_gaps_t gaps = {0};

		new_version_observe(&analysis, behaviour, &random);
		canary_analysis_add_gaps(&analysis, now, &gaps);
		bad = canary_gaps_are_bad(&gaps, false, CANARY_TRIAL);
		count++;
	}
	return count;
}

/* How many of the seeds are found to be slower within @p max responses. */
static uint32_t
seeds_found_bad(const behaviour_t *behaviour, uint32_t max)
{
	uint32_t found = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		found += responses_until_bad(seed, behaviour, max) <= max;
	return found;
}

/* A version that answers several times slower got all requests before enough of
 * its responses were counted as slow. */
static void
slower_version_is_found_within_the_tolerance(void **state)
{
	static const behaviour_t all_slower[] = {{1.0, 3, 0}, {1.0, 8, 0}};
	static const behaviour_t half_slower[] = {{0.5, 4, 0}, {0.5, 8, 0}};

	(void)state;
	for (size_t i = 0; i < 2; i++) {
		assert_in_range(seeds_found_bad(&all_slower[i], TOLERANCE),
		    SEEDS * 98 / 100, SEEDS);
		assert_in_range(seeds_found_bad(&half_slower[i], TOLERANCE),
		    SEEDS * 90 / 100, SEEDS);
	}
}

static void
version_that_is_not_slower_is_not_found_bad(void **state)
{
	static const behaviour_t behaviours[] = {{0, 1, 0}, {1.0, 1.3, 0}};

	(void)state;
	for (size_t i = 0; i < sizeof(behaviours) / sizeof(behaviours[0]); i++)
		assert_in_range(
		    seeds_found_bad(&behaviours[i], 300), 0, SEEDS / 100);
}

/* Endpoints that are slow for a reason of their own are no slower version. */
static void
few_slow_endpoints_do_not_make_a_version_bad(void **state)
{
	static const behaviour_t behaviours[] = {{1.0, 8, 1}, {1.0, 8, 2}};

	(void)state;
	for (size_t i = 0; i < sizeof(behaviours) / sizeof(behaviours[0]); i++)
		assert_in_range(
		    seeds_found_bad(&behaviours[i], 300), 0, SEEDS / 100);
}

/* Requests are sent every 20 ms; what is observed of them by @p now_ms. */
static void
cohort_observe(canary_sums_t *sums, uint64_t *random,
    const behaviour_t *behaviour, int64_t now_ms)
{
	static canary_analysis_t analysis;
	struct timespec observed_at = {100 + now_ms / 1000, 0};
	struct timespec settled_at = canary_cohorts_settled_at(observed_at);

	analysis = (canary_analysis_t){0};
	old_version_observe(&analysis, random);
	for (int64_t sent_ms = 0; sent_ms < now_ms; sent_ms += 20) {
		canary_observation_t observation = {.signal = CANARY_FIRST_BYTE,
		    .route = 1,
		    .stream = true,
		    .is_new = true,
		    .endpoint = random_below(random, ENDPOINTS),
		    .sent_at = {100 + sent_ms / 1000, sent_ms % 1000 * 1000000},
		    .ms = gap_draw(random)};
		bool settled = observation.sent_at.tv_sec < settled_at.tv_sec;
		bool slower = random_part(random) < behaviour->part;

		if (slower)
			observation.ms *= behaviour->factor;
		if (sent_ms + observation.ms > (double)now_ms) {
			sums->settled.unanswered += settled;
			continue;
		}
		canary_analysis_observe(&analysis, &observation, observed_at);
		observation.signal = CANARY_SHORTEST_GAP;
		if (sent_ms + 4 * observation.ms > (double)now_ms)
			sums->settled.gapless += settled;
		else
			canary_analysis_observe(
			    &analysis, &observation, observed_at);
	}
	canary_cohorts_add_settled(
	    &analysis.cohorts, observed_at, &sums->settled);
	canary_analysis_add_gaps(&analysis, observed_at, &sums->gaps);
	sums->all.old_counts.responses = OLD_RESPONSES;
}

/* Seeds in which the version is found to be as good by what is observed until
 * then. */
static uint32_t
seeds_found_good(const behaviour_t *behaviour, int64_t now_ms)
{
	uint32_t found = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		canary_sums_t sums = {0};
		uint64_t random = seed;

		cohort_observe(&sums, &random, behaviour, now_ms);
		found += canary_sums_are_good(&sums, CANARY_TRIAL);
	}
	return found;
}

/* Fast responses are observed first: of a version of which half the responses
 * are far slower, the first ones observed all look good. */
static void
version_is_not_accepted_by_its_fast_responses(void **state)
{
	static const behaviour_t behaviours[] = {{0.5, 8, 0}, {0.5, 30, 0},
	    {0.5, 200, 0}, {1.0, 200, 0}, {1.0, 3, 0}};

	(void)state;
	for (size_t i = 0; i < sizeof(behaviours) / sizeof(behaviours[0]);
	     i++) {
		for (int64_t now_ms = 1000; now_ms <= 4000; now_ms += 1000)
			assert_in_range(
			    seeds_found_good(&behaviours[i], now_ms), 0,
			    SEEDS / 100);
	}
}

static void
version_as_good_is_accepted(void **state)
{
	static const behaviour_t behaviour = {0, 1, 0};

	(void)state;
	assert_int_equal(seeds_found_good(&behaviour, 1000), 0);
	assert_in_range(
	    seeds_found_good(&behaviour, 3000), SEEDS * 95 / 100, SEEDS);
}

/* Guards against counting unobserved responses as good. */
static void
silence_is_no_evidence(void **state)
{
	canary_sums_t sums = {0};
	uint64_t random = 1;
	canary_analysis_t analysis = {0};

	(void)state;
	assert_true(canary_sums_are_empty(&sums));
	assert_false(canary_sums_are_good(&sums, CANARY_TRIAL_LATE));
	old_version_observe(&analysis, &random);
	canary_analysis_add_gaps(&analysis, now, &sums.gaps);
	sums.all.old_counts.responses = OLD_RESPONSES;
	assert_false(canary_sums_are_good(&sums, CANARY_TRIAL_LATE));
	/* Responses, but no gap of a stream. */
	sums.settled.responses = OLD_RESPONSES;
	assert_false(canary_sums_are_good(&sums, CANARY_TRIAL_LATE));
}

/* A version with one endpoint only has no other to be judged by. */
static void
single_endpoint_stands_for_its_version(void **state)
{
	canary_analysis_t analysis = {0};
	uint64_t random = 1;
	canary_gaps_t gaps = {0};

	(void)state;
	old_version_observe(&analysis, &random);
	for (int i = 0; i < TOLERANCE; i++)
		observe(&analysis, true, 3, 8 * gap_draw(&random));
	canary_analysis_add_gaps(&analysis, now, &gaps);
	assert_false(canary_gaps_are_bad(&gaps, false, CANARY_TRIAL));
	assert_true(canary_gaps_are_bad(&gaps, true, CANARY_TRIAL));
}

static void
gaps_are_not_compared_with_too_few_of_the_old_version(void **state)
{
	canary_analysis_t analysis = {0};
	canary_gaps_t gaps = {0};

	(void)state;
	for (int i = 0; i < 10; i++)
		observe(&analysis, false, 0, USUAL_MS);
	for (int i = 0; i < 100; i++)
		observe(&analysis, true, (uint64_t)i, 20 * USUAL_MS);
	canary_analysis_add_gaps(&analysis, now, &gaps);
	assert_true(canary_gaps_evidence(&gaps).log_ratio == 0);
	assert_false(canary_gaps_are_bad(&gaps, false, CANARY_TRIAL));
}

/* Gaps outside the range of the bins, and a window that has passed. */
static void
odd_gaps_and_old_ones_are_harmless(void **state)
{
	static const double gaps_ms[] = {-5, 0, 0.001, 1, 1e12};
	const struct timespec later = {200, 0};
	canary_analysis_t analysis = {0};
	canary_gaps_t gaps = {0};

	(void)state;
	for (size_t i = 0; i < sizeof(gaps_ms) / sizeof(gaps_ms[0]); i++)
		observe(&analysis, false, 0, gaps_ms[i]);
	canary_analysis_add_gaps(&analysis, now, &gaps);
	assert_int_equal(latency_histogram_count(&gaps.old_gaps), 5);
	gaps = (canary_gaps_t){0};
	canary_analysis_add_gaps(&analysis, later, &gaps);
	assert_int_equal(latency_histogram_count(&gaps.old_gaps), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(slower_version_is_found_within_the_tolerance),
	    cmocka_unit_test(version_that_is_not_slower_is_not_found_bad),
	    cmocka_unit_test(few_slow_endpoints_do_not_make_a_version_bad),
	    cmocka_unit_test(version_is_not_accepted_by_its_fast_responses),
	    cmocka_unit_test(version_as_good_is_accepted),
	    cmocka_unit_test(silence_is_no_evidence),
	    cmocka_unit_test(single_endpoint_stands_for_its_version),
	    cmocka_unit_test(
		gaps_are_not_compared_with_too_few_of_the_old_version),
	    cmocka_unit_test(odd_gaps_and_old_ones_are_harmless),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
