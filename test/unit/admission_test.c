/**
 * @file
 * Admission control and the rate limiter.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "moortack/limit/admission.h"
#include "moortack/limit/rate.h"

#define CUTOFF_MS 800
#define FAR_MS 1000000

static struct timespec
at(int64_t ms)
{
	return timespec_from_ms(FAR_MS + ms);
}

static waiter_t
waiter(class_t class, int64_t since_ms, int64_t deadline_ms)
{
	return (waiter_t){.class = class,
	    .arrived_at = at(since_ms),
	    .deadline = at(deadline_ms)};
}

static void
lower_classes_are_refused_first(void **state)
{
	admission_t admission;
	waiter_t oldest = waiter(CLASS_CRITICAL, 0, FAR_MS);

	(void)state;
	admission_init(&admission, 10, CUTOFF_MS);
	assert_true(admission_enqueue(&admission, &oldest));
	assert_true(admission_allows(&admission, CLASS_SHEDDABLE, 1, at(99)));
	assert_false(admission_allows(&admission, CLASS_SHEDDABLE, 1, at(100)));
	assert_false(admission_allows(&admission, CLASS_MEDIUM, 1, at(200)));
	assert_false(admission_allows(&admission, CLASS_HIGH, 1, at(400)));
	assert_true(admission_allows(&admission, CLASS_CRITICAL, 1, at(799)));
	assert_false(admission_allows(&admission, CLASS_CRITICAL, 1, at(800)));
}

static void
higher_class_does_not_wait_behind_lower(void **state)
{
	admission_t admission;
	waiter_t old = waiter(CLASS_SHEDDABLE, 0, FAR_MS);

	(void)state;
	admission_init(&admission, 10, CUTOFF_MS);
	assert_true(admission_enqueue(&admission, &old));
	assert_true(admission_allows(&admission, CLASS_CRITICAL, 1, at(5000)));
	assert_false(
	    admission_allows(&admission, CLASS_SHEDDABLE, 1, at(5000)));
}

static void
pool_over_cutoff_closes_no_other(void **state)
{
	admission_t admission;
	waiter_t old = waiter(CLASS_CRITICAL, 0, FAR_MS);

	(void)state;
	admission_init(&admission, 10, CUTOFF_MS);
	old.pool = 3;
	assert_true(admission_enqueue(&admission, &old));
	assert_false(admission_allows(
	    &admission, CLASS_HIGH, UINT64_C(1) << 3, at(900)));
	assert_true(admission_allows(
	    &admission, CLASS_HIGH, UINT64_C(1) << 4, at(900)));
	assert_true(admission_allows(
	    &admission, CLASS_HIGH, UINT64_C(3) << 3, at(900)));
}

static void
order_is_by_class_then_age(void **state)
{
	admission_t admission;
	waiter_t a = waiter(CLASS_MEDIUM, 0, FAR_MS);
	waiter_t b = waiter(CLASS_CRITICAL, 5, FAR_MS);
	waiter_t c = waiter(CLASS_CRITICAL, 6, FAR_MS);

	(void)state;
	admission_init(&admission, 3, CUTOFF_MS);
	assert_true(admission_enqueue(&admission, &a));
	assert_true(admission_enqueue(&admission, &b));
	assert_true(admission_enqueue(&admission, &c));
	assert_false(admission_enqueue(
	    &admission, &(waiter_t){.class = CLASS_CRITICAL}));
	assert_ptr_equal(admission_next(&admission, NULL), &b);
	assert_ptr_equal(admission_next(&admission, &b), &c);
	assert_ptr_equal(admission_next(&admission, &c), &a);
	assert_null(admission_next(&admission, &a));
	admission_remove(&admission, &b);
	admission_remove(&admission, &b);
	assert_int_equal(admission.waiting_count, 2);
	assert_ptr_equal(admission_next(&admission, NULL), &c);
}

static void
overdue_are_found(void **state)
{
	admission_t admission;
	waiter_t late = waiter(CLASS_CRITICAL, 0, 50);
	waiter_t old = waiter(CLASS_SHEDDABLE, 0, FAR_MS);

	(void)state;
	admission_init(&admission, 10, CUTOFF_MS);
	assert_true(admission_enqueue(&admission, &late));
	assert_true(admission_enqueue(&admission, &old));
	assert_null(admission_overdue(&admission, at(49)));
	assert_ptr_equal(admission_overdue(&admission, at(50)), &late);
	admission_remove(&admission, &late);
	assert_ptr_equal(admission_overdue(&admission, at(100)), &old);
}

static void
retry_after_is_spread(void **state)
{
	admission_t admission;
	int64_t low, high;

	(void)state;
	admission_init(&admission, 10, CUTOFF_MS);
	low = admission_retry_after_ms(&admission, at(0), 0);
	high = admission_retry_after_ms(&admission, at(0), 3999);
	assert_true(low >= 1000);
	assert_true(high >= low * 4);
}

static void
rate_refills(void **state)
{
	rate_limiter_t rate = {0};
	int64_t wait_ms;

	(void)state;
	for (int i = 0; i < 10; i++)
		assert_true(rate_limiter_acquire(&rate, 10, at(0), &wait_ms));
	assert_false(rate_limiter_acquire(&rate, 10, at(0), &wait_ms));
	assert_in_range(wait_ms, 99, 101);
	assert_true(rate_limiter_acquire(&rate, 10, at(101), &wait_ms));
	assert_false(rate_limiter_acquire(&rate, 10, at(102), &wait_ms));
	assert_true(rate_limiter_acquire(&rate, 0, at(102), &wait_ms));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(lower_classes_are_refused_first),
	    cmocka_unit_test(higher_class_does_not_wait_behind_lower),
	    cmocka_unit_test(pool_over_cutoff_closes_no_other),
	    cmocka_unit_test(order_is_by_class_then_age),
	    cmocka_unit_test(overdue_are_found),
	    cmocka_unit_test(retry_after_is_spread),
	    cmocka_unit_test(rate_refills),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
