/**
 * @file
 * The shares of the refusals that a brittle endpoint bears.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>

#include "common/clock_source.h"
#include "moortack/relay/refusal_limit.h"
#include "moortack/relay/warmup_share.h"

#define SLOTS 400
#define FLEET 2000

/* Two slots in a row, which any one second overlaps. */
static void
two_slots_give_out_no_more_than_an_endpoint_bears(void **state)
{
	(void)state;
	for (int64_t per_s = 1; per_s <= 20; per_s++) {
		for (uint64_t hash = 0; hash < 50; hash++) {
			for (int64_t slot = 0; slot < SLOTS; slot++)
				assert_true(
				    refusal_quota(per_s * 1000, hash, slot, 0) +
					refusal_quota(
					    per_s * 1000, hash, slot + 1, 0) <=
				    per_s);
		}
	}
}

static void
shares_add_up_to_the_quota(void **state)
{
	static const uint32_t quotas[] = {0, 1, 6, 7, 8, 100};

	(void)state;
	for (size_t i = 0; i < sizeof(quotas) / sizeof(quotas[0]); i++) {
		uint32_t sum = 0;

		for (uint32_t rank = 0; rank < 7; rank++) {
			const refusal_share_t share = {
			    .rank = rank, .daemons = 7};

			sum += refusal_share_of(&share, quotas[i]);
		}
		assert_int_equal(sum, quotas[i]);
	}
}

static void
a_daemon_that_the_others_do_not_know_has_no_share(void **state)
{
	const refusal_share_t share = {.daemons = 0};

	(void)state;
	assert_int_equal(refusal_share_of(&share, 1000), 0);
}

/* In a large fleet a share is mostly nothing: each slot, other daemons have
 * one.
 */
static void
shares_below_one_come_to_all_in_turn(void **state)
{
	warmup_daemons_t daemons;
	uint32_t slots_with_share = 0;
	char name[32];

	(void)state;
	warmup_daemons_init(&daemons, "own");
	daemons.own_counted = true;
	for (int i = 1; i < FLEET; i++) {
		snprintf(name, sizeof(name), "daemon-%d", i);
		warmup_daemons_mark_seen(
		    &daemons, name, (struct timespec){1, 0});
	}
	for (int64_t slot = 0; slot < SLOTS; slot++) {
		refusal_share_t share = {.slot = slot};

		assert_true(warmup_rank(
		    &daemons, 99, slot, &share.rank, &share.daemons));
		slots_with_share += refusal_share_of(&share, 100);
	}
	assert_in_range(
	    slots_with_share, SLOTS * 100 / FLEET / 3, SLOTS * 100 / FLEET * 3);
	warmup_daemons_finish(&daemons);
}

static void
a_notice_holds_for_a_while(void **state)
{
	const brittle_notice_t notice = {.at = timespec_from_ms(10000)};

	(void)state;
	assert_false(brittle_notice_holds(
	    &(brittle_notice_t){0}, timespec_from_ms(1000)));
	assert_true(brittle_notice_holds(&notice, timespec_from_ms(15000)));
	assert_false(brittle_notice_holds(&notice, timespec_from_ms(15001)));
}

static void
a_notice_is_news_once_in_a_while_or_if_it_is_lower(void **state)
{
	brittle_notice_t notice = {0};

	(void)state;
	assert_true(
	    brittle_notice_apply(&notice, 4000, timespec_from_ms(10000)));
	assert_false(
	    brittle_notice_apply(&notice, 4000, timespec_from_ms(10100)));
	assert_true(
	    brittle_notice_apply(&notice, 3000, timespec_from_ms(10200)));
	assert_false(
	    brittle_notice_apply(&notice, 9000, timespec_from_ms(10300)));
	assert_int_equal(notice.milli, 3000);
	assert_true(
	    brittle_notice_apply(&notice, 3000, timespec_from_ms(12300)));
}

static void
only_a_response_to_a_later_request_ends_a_notice(void **state)
{
	brittle_notice_t notice = {0};

	(void)state;
	assert_false(brittle_notice_end(&notice, timespec_from_ms(10000)));
	brittle_notice_apply(&notice, 4000, timespec_from_ms(10000));
	assert_false(brittle_notice_end(&notice, timespec_from_ms(9999)));
	assert_true(brittle_notice_end(&notice, timespec_from_ms(10001)));
	/* A report of before that is late. */
	assert_false(
	    brittle_notice_apply(&notice, 4000, timespec_from_ms(10000)));
	assert_false(brittle_notice_holds(&notice, timespec_from_ms(10010)));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(two_slots_give_out_no_more_than_an_endpoint_bears),
	    cmocka_unit_test(shares_add_up_to_the_quota),
	    cmocka_unit_test(a_daemon_that_the_others_do_not_know_has_no_share),
	    cmocka_unit_test(shares_below_one_come_to_all_in_turn),
	    cmocka_unit_test(a_notice_holds_for_a_while),
	    cmocka_unit_test(
		a_notice_is_news_once_in_a_while_or_if_it_is_lower),
	    cmocka_unit_test(only_a_response_to_a_later_request_ends_a_notice),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
