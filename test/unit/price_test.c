/**
 * @file
 * The price of scarcity: how it follows the load of an endpoint.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <math.h>
#include <stdbool.h>

#include "moortack/scheduling/price.h"

enum { OBSERVERS = 9, STEP_MS = 20 };

static price_t observers[OBSERVERS];

/* Each observer sees every ninth sample of a wait that lasts from 1 s to
 * @p end_ms and scatters by a quarter.
 * @param lowest, highest of the observers' waits in the last second before
 * @p until_ms
 * @param turns how often the first observer's wait halved within a step while
 * the load lasted */
static void
load_play(double wait_ms, int64_t end_ms, int64_t until_ms, double *lowest,
    double *highest, int *turns)
{
	double before_ms = 0;
	int n = 0;

	*lowest = INFINITY;
	*highest = 0;
	*turns = 0;
	for (size_t i = 0; i < OBSERVERS; i++)
		price_init(&observers[i]);
	for (int64_t now_ms = 0; now_ms < until_ms; now_ms += STEP_MS, n++) {
		bool loaded = now_ms >= 1000 && now_ms < end_ms;
		double sample = loaded ? wait_ms * (0.75 + 0.125 * (n % 5)) : 0;
		double now_wait_ms;

		price_observe(&observers[n % OBSERVERS], sample, 0.5, now_ms);
		now_wait_ms = price_wait_ms(&observers[0], now_ms);
		*turns += loaded && now_wait_ms < 0.5 * before_ms;
		before_ms = now_wait_ms;
		for (size_t i = 0;
		     i < OBSERVERS && now_ms >= until_ms - 1000 && now_ms > 0;
		     i++) {
			double seen = price_wait_ms(&observers[i], now_ms);

			*lowest = fmin(*lowest, seen);
			*highest = fmax(*highest, seen);
		}
	}
}

/* Observers that disagree, or a price that swings, make daemons take turns in
 * flooding an endpoint. */
static void
step_of_load_settles_without_swings(void **state)
{
	double lowest, highest;
	int turns;

	(void)state;
	load_play(800, INT64_MAX, 4000, &lowest, &highest, &turns);
	assert_int_equal(turns, 0);
	assert_true(lowest > 0.75 * 800 * 0.85);
	assert_true(highest < 1.25 * 800);
	for (size_t i = 0; i < OBSERVERS; i++)
		assert_true(price_now(&observers[i], 4000) > 3);
}

/* The price of a burst must not outlive it by seconds. */
static void
burst_of_load_is_forgotten(void **state)
{
	double lowest, highest;
	int turns;

	(void)state;
	load_play(800, 1600, 5000, &lowest, &highest, &turns);
	assert_int_equal(turns, 0);
	assert_true(highest < PRICE_REQUEST_MS);
	for (size_t i = 0; i < OBSERVERS; i++)
		assert_true(price_now(&observers[i], 5000) == 0);
}

/* One sample of an idle endpoint is no end of the load, and rising takes less
 * time than falling. */
static void
price_rises_fast_and_falls_slowly(void **state)
{
	price_t price;
	int64_t now_ms = 0;

	(void)state;
	price_init(&price);
	price_observe(&price, 0, 0, 0);
	while (price_wait_ms(&price, now_ms) < 600) {
		now_ms += STEP_MS;
		price_observe(&price, 1000, 0.9, now_ms);
	}
	assert_in_range(now_ms, 60, 200);
	while (now_ms < 2000) {
		now_ms += STEP_MS;
		price_observe(&price, 1000, 0.9, now_ms);
	}
	assert_true(price_wait_ms(&price, now_ms) > 990);
	price_observe(&price, 0, 0, now_ms + STEP_MS);
	assert_true(price_wait_ms(&price, now_ms + STEP_MS) > 900);
	price_observe(&price, 0, 0, now_ms + 900);
	assert_true(price_wait_ms(&price, now_ms + 900) > 200);
}

/* No decision may be based on what an endpoint reported long ago. */
static void
price_ages_out(void **state)
{
	price_t price;

	(void)state;
	price_init(&price);
	assert_true(price_wait_ms(&price, 0) < 0);
	assert_true(price_now(&price, 0) == 0);
	assert_true(price_age_ms(&price, 0) == INT64_MAX);
	price_observe(&price, 800, 0, 1000);
	assert_true(price_wait_ms(&price, 1000) == 800);
	assert_true(fabs(price_wait_ms(&price, 2100) - 400) < 1);
	assert_true(price_age_ms(&price, 4000) == 3000);
	assert_true(price_wait_ms(&price, 4000) >= 0);
	assert_true(price_wait_ms(&price, 4001) < 0);
	assert_true(price_now(&price, 4001) == 0);
	/* The next one after such a gap is a first observation. */
	price_observe(&price, 100, 0, 9000);
	assert_true(price_wait_ms(&price, 9000) == 100);
}

static void
free_slots_cost_nothing(void **state)
{
	price_t price;

	(void)state;
	price_init(&price);
	price_observe(&price, price_load_wait_ms(0, 6), 0.9, 0);
	assert_true(price_wait_ms(&price, 0) == 0);
	assert_true(price_now(&price, 0) == 0);
	/* Without a free slot the next request waits for one. */
	price_init(&price);
	price_observe(&price, price_load_wait_ms(0, 6), 1, 0);
	assert_true(price_wait_ms(&price, 0) > 0);
	assert_true(price_now(&price, 0) == 0);
	price_init(&price);
	price_observe(&price, price_load_wait_ms(12, 6), 1, 0);
	assert_true(fabs(price_now(&price, 0) - 2) < 1e-9);
	assert_true(
	    fabs(price_to_wait_ms(2) - price_wait_ms(&price, 0)) < 1e-9);
	assert_true(price_to_wait_ms(0) == 0);
}

/* Times and values come from other processes. */
static void
odd_times_and_values_are_bounded(void **state)
{
	const double values[] = {
	    NAN, INFINITY, -INFINITY, -1, 0, 1e300, -1e300, 0.5};
	const int64_t times[] = {
	    0, INT64_MAX, INT64_MIN, -1, 1, INT64_MAX - 1, 5};
	price_t price;

	(void)state;
	price_init(&price);
	for (size_t i = 0; i < 8 * 8 * 7; i++) {
		double wait_ms;
		int64_t now_ms = times[i % 7];

		price_observe(&price, values[i % 8], values[i / 8 % 8], now_ms);
		wait_ms = price_wait_ms(&price, now_ms);
		assert_true(wait_ms >= -1 && wait_ms <= 60000);
		assert_true(price_now(&price, now_ms) <= 600);
		assert_true(price_age_ms(&price, times[i / 7 % 7]) >= 0);
	}
	assert_true(price_load_wait_ms(UINT32_MAX, 0) > 0);
	/* A clock that was ahead does not keep the price for ever. */
	price_observe(&price, 800, 0, INT64_MAX);
	price_observe(&price, 800, 0, 10);
	assert_true(price_wait_ms(&price, 4000) < 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(step_of_load_settles_without_swings),
	    cmocka_unit_test(burst_of_load_is_forgotten),
	    cmocka_unit_test(price_rises_fast_and_falls_slowly),
	    cmocka_unit_test(price_ages_out),
	    cmocka_unit_test(free_slots_cost_nothing),
	    cmocka_unit_test(odd_times_and_values_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
