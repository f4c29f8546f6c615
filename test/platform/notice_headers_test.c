/**
 * @file
 * Decoding of the headers of endpoints, above all those by which they restrict
 * what they are sent: absent, odd, huge, negative and repeated ones.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdint.h>

#include "platform/dialects.h"

#define FIELDS_MAX 4

typedef struct head {
	http_field_t fields[FIELDS_MAX];
	http_msg_t msg;
} head_t;

/* @param values of the header, up to a NULL */
static endpoint_response_t
response_of(int status, char *name, char *const values[])
{
	head_t head = {.msg = {.status = status, .keep_alive = true}};
	arrival_t arrival = {.id = "id1"};
	endpoint_response_t response;

	for (size_t i = 0; values[i] != NULL; i++)
		head.fields[head.msg.fields_len++] =
		    (http_field_t){name, values[i]};
	head.msg.fields = head.fields;
	platform_endpoint_dialect.read(&head.msg, &arrival, &response);
	return response;
}

static endpoint_notice_t
notice_of(int status, char *name, char *const values[])
{
	return response_of(status, name, values).notice;
}

static endpoint_response_t
response_with(char *name, char *value)
{
	return response_of(200, name, (char *[]){value, NULL});
}

static endpoint_notice_t
rate_of(char *value)
{
	return notice_of(200, "Server-Limit", (char *[]){value, NULL});
}

static void
rate_limits_are_decoded(void **state)
{
	(void)state;
	assert_int_equal(
	    notice_of(200, "X", (char *[]){NULL}).rate, RATE_NOT_LIMITED);
	assert_int_equal(rate_of("1.9").rate, RATE_LIMITED);
	assert_int_equal(rate_of("1.9").rate_milli, 1900);
	assert_int_equal(rate_of("12").rate_milli, 12000);
	assert_int_equal(rate_of("0").rate, RATE_LIMITED);
	assert_int_equal(rate_of("0").rate_milli, 0);
	assert_int_equal(rate_of("0.0004").rate_milli, 0);
	assert_int_equal(rate_of("007.125999").rate_milli, 7125);
	assert_int_equal(
	    rate_of("99999999999999999999999.9").rate_milli, 1000000000);
}

static endpoint_notice_t
brittle_of(int status, char *const values[])
{
	return notice_of(status, "server-brittle", values);
}

static void
refusals_that_a_brittle_endpoint_bears_are_decoded(void **state)
{
	static char *const odd[] = {"", "-3", "+3", "3 ", "0x3", "many", "3/s"};

	(void)state;
	assert_int_equal(
	    brittle_of(200, (char *[]){NULL}).brittle, RATE_NOT_LIMITED);
	assert_int_equal(
	    brittle_of(200, (char *[]){"3", NULL}).brittle, RATE_LIMITED);
	assert_int_equal(
	    brittle_of(503, (char *[]){"3", NULL}).brittle_milli, 3000);
	assert_int_equal(
	    brittle_of(200, (char *[]){"0", NULL}).brittle_milli, 0);
	assert_int_equal(
	    brittle_of(200, (char *[]){"9", "4", NULL}).brittle_milli, 4000);
	assert_int_equal(
	    brittle_of(200, (char *[]){"x", "4", NULL}).brittle_milli, 4000);
	assert_int_equal(
	    brittle_of(200, (char *[]){"99999999999999999999", NULL})
		.brittle_milli,
	    1000000000);
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		endpoint_notice_t notice =
		    brittle_of(200, (char *[]){odd[i], NULL});

		assert_int_equal(notice.brittle, RATE_UNREADABLE);
		assert_true(notice.unreadable);
	}
}

static void
unreadable_rate_limits_name_none(void **state)
{
	static char *const odd[] = {"", "-1", "+1", "1e3", "0x10", "nan", "inf",
	    "1,9", "1.9/s", "1.", ".5", " 1", "1.9 ", "1.2.3"};

	(void)state;
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		assert_int_equal(rate_of(odd[i]).rate, RATE_UNREADABLE);
		assert_true(rate_of(odd[i]).unreadable);
	}
	assert_false(rate_of("1.9").unreadable);
}

static void
the_strictest_of_several_rate_limits_counts(void **state)
{
	endpoint_notice_t notice;

	(void)state;
	notice = notice_of(
	    200, "server-limit", (char *[]){"7", "x", "1.5", "3", NULL});
	assert_int_equal(notice.rate, RATE_LIMITED);
	assert_int_equal(notice.rate_milli, 1500);
}

static void
drain_notices_are_decoded(void **state)
{
	static char *const odd[] = {"", "0", "-1", "2", "11", "yes", "1 1"};

	(void)state;
	assert_false(notice_of(200, "X", (char *[]){NULL}).draining);
	assert_true(
	    notice_of(200, "Server-Leaving", (char *[]){"1", NULL}).draining);
	assert_true(notice_of(503, "server-leaving", (char *[]){"0", "1", NULL})
			.draining);
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++)
		assert_false(
		    notice_of(200, "Server-Leaving", (char *[]){odd[i], NULL})
			.draining);
}

static int64_t
backoff_of(int status, char *value)
{
	return notice_of(status, "Retry-After", (char *[]){value, NULL})
	    .backoff_ms;
}

static void
back_offs_are_decoded(void **state)
{
	static char *const odd[] = {"", "-3", "soon", "3s", "1e2", "0",
	    "Fri, 31 Dec 1999 23:59:59 GMT"};

	(void)state;
	assert_int_equal(backoff_of(503, "3"), 3000);
	assert_int_equal(backoff_of(503, "0.25"), 250);
	assert_int_equal(backoff_of(503, "123456789012345678"), 86400000);
	assert_int_equal(backoff_of(429, "3"), 0);
	assert_int_equal(backoff_of(200, "3"), 0);
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++)
		assert_int_equal(backoff_of(503, odd[i]), 0);
	assert_int_equal(
	    notice_of(503, "retry-after", (char *[]){"1", "x", "4", NULL})
		.backoff_ms,
	    4000);
}

static void
odd_numbers_in_other_headers_are_ignored(void **state)
{
	static char *const loads[] = {"", "1,2", "1,2,", "-1,2,8", "1,x,8",
	    "99999999999999999999,0,8", "1;2;8"};
	static char *const confidences[] = {
	    "", "-1", "101", "x", "50%", "99999999999999999999"};
	static char *const keep_alives[] = {"", "0", "-5", "timeout=", "x",
	    "timeout=-5", "timeout=99999999999999999999"};

	(void)state;
	assert_true(response_with("Moortack-Replica-Load", "3,1,8").has_load);
	assert_true(
	    response_with("Moortack-Replica-Load", "3,1,8,120").has_load);
	for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++)
		assert_false(
		    response_with("Moortack-Replica-Load", loads[i]).has_load);
	assert_int_equal(
	    response_with("Moortack-Estimate-Confidence", "100").confidence,
	    100);
	for (size_t i = 0; i < sizeof(confidences) / sizeof(confidences[0]);
	     i++)
		assert_int_equal(response_with("Moortack-Estimate-Confidence",
				     confidences[i])
				     .confidence,
		    -1);
	assert_int_equal(
	    response_with("Keep-Alive", "timeout=4, max=9").idle_max_ms, 3600);
	for (size_t i = 0; i < sizeof(keep_alives) / sizeof(keep_alives[0]);
	     i++)
		assert_int_equal(
		    response_with("Keep-Alive", keep_alives[i]).idle_max_ms, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(rate_limits_are_decoded),
	    cmocka_unit_test(
		refusals_that_a_brittle_endpoint_bears_are_decoded),
	    cmocka_unit_test(unreadable_rate_limits_name_none),
	    cmocka_unit_test(the_strictest_of_several_rate_limits_counts),
	    cmocka_unit_test(drain_notices_are_decoded),
	    cmocka_unit_test(back_offs_are_decoded),
	    cmocka_unit_test(odd_numbers_in_other_headers_are_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
