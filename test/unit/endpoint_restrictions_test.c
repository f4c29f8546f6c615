/**
 * @file
 * Restrictions of endpoints: the responses that end or replace a rate limit,
 * and the number of requests that a limit allows in each second.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "common/clock_source.h"
#include "moortack/relay/endpoint_restrictions.h"

#define SLOTS 4000
#define SPAN_SLOTS 5

static notice_context_t
context_of(int64_t sent_ms, int64_t now_ms)
{
	return (notice_context_t){.ran = true,
	    .sent_at = timespec_from_ms(sent_ms),
	    .now = timespec_from_ms(now_ms)};
}

static unsigned int
rate_apply(endpoint_restrictions_t *self, int64_t rate_milli, int64_t sent_ms,
    int64_t now_ms)
{
	const endpoint_notice_t notice = {
	    .rate = rate_milli < 0 ? RATE_NOT_LIMITED : RATE_LIMITED,
	    .rate_milli = rate_milli};
	const notice_context_t context = context_of(sent_ms, now_ms);

	return endpoint_restrictions_apply(self, &notice, &context);
}

static void
a_response_to_an_earlier_request_does_not_end_a_limit(void **state)
{
	endpoint_restrictions_t self = {0};

	(void)state;
	assert_int_equal(
	    rate_apply(&self, 1900, 1000, 1200), RESTRICTION_RATE_LIMITED);
	assert_int_equal(rate_apply(&self, 1900, 1000, 1250), 0);
	assert_int_equal(rate_apply(&self, -1, 1240, 1300), 0);
	assert_true(self.rate_limited);
	assert_int_equal(
	    rate_apply(&self, -1, 1260, 1300), RESTRICTION_RATE_FREED);
	assert_false(self.rate_limited);
}

static void
a_refusal_does_not_end_a_limit(void **state)
{
	endpoint_restrictions_t self = {0};
	const endpoint_notice_t none = {.rate = RATE_NOT_LIMITED};
	notice_context_t context = context_of(2000, 2100);

	(void)state;
	rate_apply(&self, 1900, 1000, 1200);
	context.ran = false;
	assert_int_equal(
	    endpoint_restrictions_apply(&self, &none, &context), 0);
	assert_true(self.rate_limited);
}

static void
the_lower_limit_counts_if_the_order_is_unknown(void **state)
{
	endpoint_restrictions_t self = {0};

	(void)state;
	rate_apply(&self, 1900, 1000, 1200);
	assert_int_equal(rate_apply(&self, 8000, 1100, 1300), 0);
	assert_int_equal(self.rate_milli, 1900);
	assert_int_equal(
	    rate_apply(&self, 500, 1100, 1300), RESTRICTION_RATE_LIMITED);
	assert_int_equal(self.rate_milli, 500);
	assert_int_equal(
	    rate_apply(&self, 8000, 1400, 1500), RESTRICTION_RATE_LIMITED);
	assert_int_equal(self.rate_milli, 8000);
}

static void
small_changes_of_a_limit_are_not_reported(void **state)
{
	endpoint_restrictions_t self = {0};

	(void)state;
	rate_apply(&self, 8000, 1000, 1200);
	assert_int_equal(rate_apply(&self, 7500, 1300, 1400), 0);
	assert_int_equal(self.rate_milli, 7500);
	assert_int_equal(rate_apply(&self, 7100, 1500, 1600), 0);
	assert_int_equal(
	    rate_apply(&self, 6900, 1700, 1800), RESTRICTION_RATE_LIMITED);
	assert_int_equal(
	    rate_apply(&self, 0, 1900, 2000), RESTRICTION_RATE_LIMITED);
	assert_int_equal(rate_apply(&self, 0, 2100, 2200), 0);
}

static void
an_unreadable_limit_changes_nothing(void **state)
{
	endpoint_restrictions_t self = {0};
	const endpoint_notice_t unreadable = {.rate = RATE_UNREADABLE};
	const notice_context_t context = context_of(2000, 2100);

	(void)state;
	assert_int_equal(
	    endpoint_restrictions_apply(&self, &unreadable, &context), 0);
	assert_false(self.rate_limited);
	rate_apply(&self, 1900, 1000, 1200);
	endpoint_restrictions_apply(&self, &unreadable, &context);
	assert_true(self.rate_limited);
}

static void
quotas_add_up_to_the_rate(void **state)
{
	static const int64_t rates[] = {
	    100, 300, 1000, 1200, 1900, 8800, 123456};

	(void)state;
	for (size_t i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		int64_t sum = 0, span = 0;

		for (int64_t slot = 0; slot < SLOTS; slot++) {
			sum += rate_slot_quota(rates[i], 77, slot);
			span += rate_slot_quota(rates[i], 77, slot);
			if (slot >= SPAN_SLOTS)
				span -= rate_slot_quota(
				    rates[i], 77, slot - SPAN_SLOTS);
			assert_true(span * RATE_MILLI <
			    SPAN_SLOTS * rates[i] + 2 * RATE_MILLI);
		}
		assert_int_equal(sum, SLOTS / RATE_MILLI * rates[i]);
	}
}

static void
a_limit_of_none_leaves_a_few_requests(void **state)
{
	int64_t sum = 0;

	(void)state;
	for (int64_t slot = 0; slot < SLOTS; slot++)
		sum += rate_slot_quota(0, 5, slot);
	assert_int_equal(sum, SLOTS / 10);
}

static unsigned int
report_apply(endpoint_restrictions_t *self, bool limited, int64_t rate_milli,
    int64_t at_ms)
{
	const rate_report_t report = {.limited = limited,
	    .rate_milli = rate_milli,
	    .at = timespec_from_ms(at_ms)};

	return endpoint_restrictions_apply_report(self, &report);
}

static void
reports_apply_in_the_order_of_what_they_report(void **state)
{
	endpoint_restrictions_t self = {0};

	(void)state;
	assert_int_equal(
	    report_apply(&self, true, 1900, 10000), RESTRICTION_RATE_LIMITED);
	assert_int_equal(report_apply(&self, true, 1900, 10050), 0);
	/* The clocks may differ by as much. */
	assert_int_equal(report_apply(&self, false, 0, 10100), 0);
	assert_int_equal(
	    report_apply(&self, false, 0, 10500), RESTRICTION_RATE_FREED);
	/* Delivered late. */
	assert_int_equal(report_apply(&self, true, 1900, 10050), 0);
	assert_false(self.rate_limited);
	assert_int_equal(
	    report_apply(&self, true, 1200, 10600), RESTRICTION_RATE_LIMITED);
	assert_int_equal(report_apply(&self, true, 8000, 10650), 0);
	assert_int_equal(
	    report_apply(&self, true, 8000, 11000), RESTRICTION_RATE_LIMITED);
	assert_int_equal(
	    report_apply(&self, true, 500, 10900), RESTRICTION_RATE_LIMITED);
	assert_int_equal(self.rate_milli, 500);
}

static unsigned int
backoff_apply(endpoint_restrictions_t *self, int64_t ms, int64_t now_ms)
{
	const endpoint_notice_t notice = {.backoff_ms = ms};
	const notice_context_t context = context_of(now_ms, now_ms);

	return endpoint_restrictions_apply(self, &notice, &context);
}

static int64_t
backoff_at(const endpoint_restrictions_t *self, int64_t now_ms)
{
	return endpoint_restrictions_backoff_ms(self, timespec_from_ms(now_ms));
}

static void
a_back_off_holds_to_the_end_of_the_longest(void **state)
{
	endpoint_restrictions_t self = {0};

	(void)state;
	assert_int_equal(backoff_apply(&self, 3000, 1000), RESTRICTION_BACKOFF);
	assert_true(endpoint_restrictions_any(&self, timespec_from_ms(3999)));
	assert_false(endpoint_restrictions_any(&self, timespec_from_ms(4000)));
	assert_int_equal(backoff_apply(&self, 500, 2000), 0);
	assert_int_equal(backoff_apply(&self, 0, 2100), 0);
	assert_int_equal(backoff_at(&self, 2100), 1900);
	assert_int_equal(backoff_apply(&self, 3000, 2200), 0);
	assert_int_equal(backoff_at(&self, 5199), 1);
	assert_int_equal(backoff_at(&self, 5200), 0);
	assert_int_equal(backoff_apply(&self, 100, 6000), RESTRICTION_BACKOFF);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		a_response_to_an_earlier_request_does_not_end_a_limit),
	    cmocka_unit_test(a_refusal_does_not_end_a_limit),
	    cmocka_unit_test(the_lower_limit_counts_if_the_order_is_unknown),
	    cmocka_unit_test(small_changes_of_a_limit_are_not_reported),
	    cmocka_unit_test(an_unreadable_limit_changes_nothing),
	    cmocka_unit_test(quotas_add_up_to_the_rate),
	    cmocka_unit_test(a_limit_of_none_leaves_a_few_requests),
	    cmocka_unit_test(reports_apply_in_the_order_of_what_they_report),
	    cmocka_unit_test(a_back_off_holds_to_the_end_of_the_longest),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
