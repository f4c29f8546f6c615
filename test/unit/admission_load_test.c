/**
 * @file
 * Guards against failures of many daemons that decide on their own in front of
 * one crowded service: that all organisations suffer for one, that less urgent
 * requests displace urgent ones, that slots stay unused, that the daemons'
 * corrections add up to oscillation, and that refusals outlast the burst.
 * Bounds are those of docs/design/hard-load.md.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "admission_model.h"

#define SEEDS 3
#define IN_TIME 0.95
#define GOODPUT 0.85
/* A service with three endpoints does 300 requests a second. */
#define ENDPOINTS 3
#define ALL_TRAFFIC 1.6
#define ABOVE_USUAL 8
#define BURST_S ((MODEL_BURST_END_MS - MODEL_BURST_MS) / 1000.0)
#define STEP(ms) ((ms) / MODEL_STEP_MS)
/* A rate that is off by a quarter for the length of an objective changes the
 * wait by a quarter of it, so that it stays between none and half of it. */
#define SWING 0.25
#define SWING_STEPS STEP(500)

static model_t model;

static double
capacity_per_s(void)
{
	return model.endpoints * MODEL_SLOTS * 1000.0 / MODEL_WORK_MS;
}

/* One organisation of 20 requests a second, and ten of 15 on average. */
static void
model_reset(int daemons, int endpoints)
{
	memset(&model, 0, sizeof(model));
	model.daemons = daemons;
	model.endpoints = endpoints;
	for (int i = 0; i < MODEL_ORGANISATIONS; i++) {
		model.per_s[i] =
		    (i == 0 ? 20 : 9.7 * (10 + i) / 10) * endpoints / ENDPOINTS;
		model.factor[i] = ALL_TRAFFIC * (i == 0 ? ABOVE_USUAL : 1);
	}
}

static int
sum(const int *steps, int from_ms, int to_ms)
{
	int total = 0;

	for (int i = STEP(from_ms); i < STEP(to_ms); i++)
		total += steps[i];
	return total;
}

/* Results of the organisations of this rank; rank -1: all but the first one. */
static model_counts_t
counts_add(model_counts_t total, int rank)
{
	for (int i = rank < 0; i < MODEL_ORGANISATIONS; i++) {
		const model_counts_t *counts = &model.counts[i];

		if (rank >= 0 && model.rank[i] != rank)
			continue;
		total.sent += counts->sent;
		total.in_time += counts->in_time;
		total.refused += counts->refused;
		total.refused_slow += counts->refused_slow;
	}
	return total;
}

static double
in_time(model_counts_t counts)
{
	return (double)counts.in_time / counts.sent;
}

static void
check_service(void)
{
	double capacity = capacity_per_s();

	assert_true(
	    sum(model.completed, MODEL_BURST_MS + 500, MODEL_BURST_END_MS) >=
	    GOODPUT * capacity * (BURST_S - 0.5));
	assert_int_equal(model.refused_told, 0);
}

static void
check_swings(void)
{
	for (int ms = MODEL_BURST_MS + 1000; ms < MODEL_BURST_END_MS;
	     ms += SWING_STEPS * MODEL_STEP_MS) {
		double per_s = 2.0 * sum(model.admitted, ms, ms + 500);

		assert_in_range((int)(100 * per_s / capacity_per_s()),
		    (int)(100 * (1 - SWING)), (int)(100 * (1 + SWING)));
	}
}

static void
fair_at(int daemons, int endpoints, int seeds)
{
	model_counts_t others = {0};
	model_counts_t above = {0};
	int refusals_after = 0;

	for (int seed = 1; seed <= seeds; seed++) {
		model_reset(daemons, endpoints);
		model_run(&model, (uint64_t)seed);
		others = counts_add(others, -1);
		above.sent += model.counts[0].sent;
		above.in_time += model.counts[0].in_time;
		above.refused += model.counts[0].refused;
		above.refused_slow += model.counts[0].refused_slow;
		check_service();
		check_swings();
		refusals_after += sum(
		    model.refusals, MODEL_BURST_END_MS + 1000, MODEL_END_MS);
	}
	print_message("%d daemons: others in time %.3f, organisation above its "
		      "share %.3f, refused late %d of %d\n",
	    daemons, in_time(others), in_time(above), above.refused_slow,
	    above.refused);
	assert_true(in_time(others) >= IN_TIME);
	assert_true(above.in_time > 0);
	assert_true(above.refused_slow <= (1 - IN_TIME) * above.refused);
	/* Chance refusals of a daemon that got no response since. */
	assert_true(refusals_after <= seeds);
}

static void
test_organisations_do_not_suffer_for_one(void **state)
{
	(void)state;
	fair_at(9, ENDPOINTS, SEEDS);
	fair_at(60, ENDPOINTS, SEEDS);
	/* As many requests per daemon as the large fleet has. */
	fair_at(985, MODEL_ENDPOINTS_MAX, 1);
}

static void
test_all_is_sent_if_not_crowded(void **state)
{
	static const int daemons[] = {9, 60, 985};

	(void)state;
	for (size_t i = 0; i < sizeof(daemons) / sizeof(daemons[0]); i++) {
		model_reset(daemons[i], ENDPOINTS);
		for (int j = 0; j < MODEL_ORGANISATIONS; j++)
			model.factor[j] = 1;
		model_run(&model, 1);
		assert_int_equal(model.held, 0);
	}
}

static void
ranks_at(int daemons)
{
	model_counts_t first = {0};
	model_counts_t last = {0};

	for (int seed = 1; seed <= SEEDS; seed++) {
		model_reset(daemons, ENDPOINTS);
		for (int i = 0; i < MODEL_ORGANISATIONS; i++) {
			model.rank[i] = i % 2 == 1 ? 0 : 2;
			model.factor[i] = 3;
		}
		model_run(&model, (uint64_t)seed);
		check_service();
		first = counts_add(first, 0);
		last = counts_add(last, 2);
	}
	print_message("%d daemons: first rank in time %.3f, last rank %.3f\n",
	    daemons, in_time(first), in_time(last));
	assert_true(in_time(first) >= IN_TIME);
	assert_true(last.in_time >=
	    FAIR_SHARE_RANK_FLOOR * capacity_per_s() * BURST_S * SEEDS);
	assert_true(last.refused_slow <= (1 - IN_TIME) * last.refused);
}

static void
test_ranks(void **state)
{
	(void)state;
	ranks_at(9);
	ranks_at(60);
}

static void
test_retrying_at_once_gains_nothing(void **state)
{
	int served[2] = {0};

	(void)state;
	for (int seed = 1; seed <= SEEDS; seed++) {
		for (int i = 0; i < 2; i++) {
			model_reset(9, ENDPOINTS);
			model.retries = i * 20;
			model_run(&model, (uint64_t)seed);
			served[i] += model.counts[0].in_time;
			assert_true(in_time(counts_add(
					(model_counts_t){0}, -1)) >= IN_TIME);
		}
	}
	print_message("served %d, with retries %d\n", served[0], served[1]);
	assert_true(served[1] <= 1.1 * served[0]);
}

/* A third of the daemons die while the service is crowded. The others use the
 * capacity before they notice it. */
static void
test_daemons_die(void **state)
{
	static const int daemons[] = {9, 60};

	(void)state;
	for (size_t i = 0; i < sizeof(daemons) / sizeof(daemons[0]); i++) {
		model_reset(daemons[i], ENDPOINTS);
		model.dead_daemons = daemons[i] / 3;
		model_run(&model, 1);
		check_service();
		print_message("%d daemons: others in time %.3f\n", daemons[i],
		    in_time(counts_add((model_counts_t){0}, -1)));
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_organisations_do_not_suffer_for_one),
	    cmocka_unit_test(test_all_is_sent_if_not_crowded),
	    cmocka_unit_test(test_ranks),
	    cmocka_unit_test(test_retrying_at_once_gains_nothing),
	    cmocka_unit_test(test_daemons_die),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
