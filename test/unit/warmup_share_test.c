/**
 * @file
 * Division of a cold endpoint's quota among daemons: the shares add up to the
 * quota of the slot, are spread evenly over the daemons, and are zero for a
 * daemon that the others do not know of yet.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>

#include "moortack/relay/warmup_share.h"

#define DAEMONS_MAX 300
#define SLOTS 400
#define EXPIRY_MS 30000
#define ROW_PROPAGATION_MS 3000

static const struct timespec start = {1000, 0};

static struct timespec
after_ms(int64_t ms)
{
	return (struct timespec){start.tv_sec + ms / 1000, ms % 1000 * 1000000};
}

static void
daemon_name(char out[32], int number)
{
	snprintf(out, 32, "10.0.0.%d:80", number);
}

/* A daemon that knows those numbered from @p from to @p to - 1. */
static void
daemon_init(warmup_daemons_t *self, int own, int from, int to)
{
	char name[32];

	daemon_name(name, own);
	warmup_daemons_init(self, name);
	for (int i = from; i < to; i++) {
		daemon_name(name, i);
		warmup_daemons_mark_seen(self, name, start);
	}
	warmup_daemons_update_own(self, true, true, start);
}

/* Sum of all daemons' shares of one endpoint in one slot.
 * @param totals per daemon, to which the shares are added */
static uint32_t
shares_sum(int daemons, uint64_t endpoint, int64_t slot, uint32_t quota,
    uint32_t totals[DAEMONS_MAX])
{
	uint32_t sum = 0;

	for (int i = 0; i < daemons; i++) {
		warmup_daemons_t self;
		uint32_t share;

		daemon_init(&self, i, 0, daemons);
		share = warmup_share(&self, endpoint, slot, quota);
		totals[i] += share;
		sum += share;
		warmup_daemons_finish(&self);
	}
	return sum;
}

static void
shares_add_up_to_the_quota(void **state)
{
	static const int sizes[] = {1, 3, 9, 84, 295};
	static uint32_t totals[DAEMONS_MAX];

	(void)state;
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		for (int64_t slot = 0; slot < 5; slot++)
			assert_int_equal(
			    shares_sum(sizes[i], 77 + i, slot, 8, totals), 8);
	}
}

static void
shares_are_spread_evenly(void **state)
{
	static uint32_t totals[DAEMONS_MAX];
	const int daemons = 20;

	(void)state;
	for (int64_t slot = 0; slot < SLOTS; slot++)
		shares_sum(daemons, 5, slot, 8, totals);
	for (int i = 0; i < daemons; i++) {
		/* The mean is 160, the standard deviation about 10. */
		assert_in_range(totals[i], 110, 210);
	}
}

/* Guards against exceeding the limit in a second that overlaps two slots. */
static void
two_slots_stay_within_the_limit(void **state)
{
	static const struct {
		warmup_bounds_t bounds;
		double per_s;
		uint32_t quota;
	} cases[] = {
	    {{1.5, 5}, 8.8, 8},
	    {{1.5, 5}, 6.6, 6},
	    {{1, 0}, 100, 49},
	    {{1, 0}, 3, 1},
	    {{1, 0}, 0.5, 0},
	    {{10, 0}, 8.8, 8},
	    {{1, 1e9}, 0.2, 499999999},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint32_t quota =
		    warmup_slot_quota(&cases[i].bounds, cases[i].per_s);

		assert_int_equal(quota, cases[i].quota);
		assert_true(
		    2.0 * quota <= cases[i].per_s * cases[i].bounds.overshoot +
			cases[i].bounds.tolerance);
	}
}

static void
an_unreachable_daemon_keeps_its_share_until_expiry(void **state)
{
	warmup_daemons_t self;

	(void)state;
	daemon_init(&self, 0, 0, 3);
	warmup_daemons_mark_seen(&self, "10.0.0.1:80", after_ms(EXPIRY_MS));
	warmup_daemons_expire(&self, after_ms(EXPIRY_MS));
	assert_int_equal(HASH_COUNT(self.others), 2);
	warmup_daemons_expire(&self, after_ms(EXPIRY_MS + 1));
	assert_int_equal(HASH_COUNT(self.others), 1);
	warmup_daemons_finish(&self);
}

static void
a_daemon_unknown_to_others_has_no_share(void **state)
{
	warmup_daemons_t self;

	(void)state;
	warmup_daemons_init(&self, "10.0.0.1:80");
	warmup_daemons_update_own(&self, false, true, start);
	assert_int_equal(warmup_share(&self, 1, 1, 8), 0);
	warmup_daemons_update_own(&self, true, false, after_ms(100));
	warmup_daemons_update_own(
	    &self, true, false, after_ms(99 + ROW_PROPAGATION_MS));
	assert_int_equal(warmup_share(&self, 1, 1, 8), 0);
	warmup_daemons_update_own(
	    &self, true, false, after_ms(100 + ROW_PROPAGATION_MS));
	assert_int_equal(warmup_share(&self, 1, 1, 8), 8);
	warmup_daemons_finish(&self);
	/* Its row was stored by an earlier run. */
	warmup_daemons_init(&self, "10.0.0.1:80");
	warmup_daemons_update_own(&self, true, true, start);
	assert_int_equal(warmup_share(&self, 1, 1, 8), 8);
	warmup_daemons_finish(&self);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(shares_add_up_to_the_quota),
	    cmocka_unit_test(shares_are_spread_evenly),
	    cmocka_unit_test(two_slots_stay_within_the_limit),
	    cmocka_unit_test(
		an_unreachable_daemon_keeps_its_share_until_expiry),
	    cmocka_unit_test(a_daemon_unknown_to_others_has_no_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
