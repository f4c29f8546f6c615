/**
 * @file
 * The connections of all listeners, and those to endpoints, fit the descriptors
 * of the process.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "moortack/relay/descriptor_shares.h"

#define RESERVED 240

static uint32_t
sum(const descriptor_shares_t *shares)
{
	return shares->callers + shares->daemons + shares->peers +
	    shares->directory + shares->health + shares->metrics +
	    shares->endpoints;
}

static void
shares_fit_the_descriptors(void **state)
{
	(void)state;
	for (uint32_t descriptors = 320; descriptors < 20000; descriptors++) {
		descriptor_shares_t shares = descriptor_shares(descriptors);

		assert_true(sum(&shares) <= descriptors - RESERVED);
		assert_true(shares.callers >= 8);
		assert_true(shares.endpoints >= 8);
	}
}

static void
callers_have_half_of_the_usual_descriptors(void **state)
{
	descriptor_shares_t shares = descriptor_shares(4100);

	(void)state;
	assert_true(shares.callers > 1900);
	assert_true(shares.endpoints > 900);
	shares = descriptor_shares(0);
	assert_true(shares.callers > 1900);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(shares_fit_the_descriptors),
	    cmocka_unit_test(callers_have_half_of_the_usual_descriptors),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
