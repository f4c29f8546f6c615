/**
 * @file
 * The verdict on lost links, the helpers that are remembered, and the headers
 * of requests that are sent on.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <string.h>

#include "common/clock_source.h"
#include "moortack/reach/forward_head.h"
#include "moortack/reach/helpers.h"
#include "moortack/reach/reach.h"

#define ENDPOINTS 12
#define START_MS 1000000

static struct timespec
at_ms(int64_t ms)
{
	return timespec_from_ms(START_MS + ms);
}

/* Records failures at distinct endpoints, 10 ms apart. */
static void
record_failures(reach_t *reach, size_t count, int64_t from_ms)
{
	for (size_t i = 0; i < count; i++)
		reach_record_failure(
		    reach, 100 + i, at_ms(from_ms + 10 * (int64_t)i));
}

static void
one_endpoint_that_is_down_says_nothing(void **state)
{
	reach_t reach = {0};

	(void)state;
	for (int i = 0; i < 20; i++)
		reach_record_failure(&reach, 7, at_ms(i));
	assert_int_equal(reach_verdict(&reach, ENDPOINTS), REACH_OK);
	record_failures(&reach, 2, 30);
	assert_int_equal(reach_verdict(&reach, ENDPOINTS), REACH_FAILING);
}

static void
fewer_endpoints_all_have_to_fail(void **state)
{
	reach_t reach = {0};

	(void)state;
	record_failures(&reach, 1, 0);
	assert_int_equal(reach_verdict(&reach, 2), REACH_OK);
	assert_int_equal(reach_verdict(&reach, 1), REACH_FAILING);
	assert_int_equal(reach_verdict(&(reach_t){0}, 0), REACH_OK);
}

static void
a_new_connection_ends_the_failures_an_open_one_does_not(void **state)
{
	reach_t reach = {0};

	(void)state;
	record_failures(&reach, 3, 0);
	reach_record_response(&reach, at_ms(50));
	assert_int_equal(reach_verdict(&reach, ENDPOINTS), REACH_FAILING);
	assert_true(reach_contact_age_ms(&reach, ENDPOINTS, at_ms(60)) < 0);
	reach_record_opened(&reach, 9, ENDPOINTS, at_ms(70));
	assert_int_equal(reach_verdict(&reach, ENDPOINTS), REACH_OK);
	assert_int_equal(
	    reach_contact_age_ms(&reach, ENDPOINTS, at_ms(90)), 20);
}

static void
failures_minutes_apart_do_not_add_up(void **state)
{
	reach_t reach = {0};

	(void)state;
	record_failures(&reach, 2, 0);
	reach_record_failure(&reach, 7, at_ms(60000));
	assert_int_equal(reach_verdict(&reach, ENDPOINTS), REACH_OK);
}

static void
links_are_lost_only_by_contact_of_others_after_the_first_failure(void **state)
{
	reach_t reach = {0};

	(void)state;
	record_failures(&reach, 2, 0);
	assert_false(reach_record_others_contact(&reach, at_ms(15), ENDPOINTS));
	record_failures(&reach, 3, 20);
	assert_false(reach_record_others_contact(&reach, at_ms(-1), ENDPOINTS));
	assert_int_equal(reach_verdict(&reach, ENDPOINTS), REACH_FAILING);
	assert_true(reach_record_others_contact(&reach, at_ms(0), ENDPOINTS));
	assert_int_equal(reach_verdict(&reach, ENDPOINTS), REACH_LOST);
	assert_false(reach_record_others_contact(&reach, at_ms(50), ENDPOINTS));
}

static void
lost_links_are_restored_by_two_endpoints_in_a_row(void **state)
{
	reach_t reach = {0};

	(void)state;
	record_failures(&reach, 3, 0);
	reach_record_others_contact(&reach, at_ms(30), ENDPOINTS);
	reach_record_opened(&reach, 1, ENDPOINTS, at_ms(1000));
	reach_record_opened(&reach, 1, ENDPOINTS, at_ms(1010));
	assert_int_equal(reach_verdict(&reach, ENDPOINTS), REACH_LOST);
	reach_record_failure(&reach, 2, at_ms(1020));
	reach_record_opened(&reach, 3, ENDPOINTS, at_ms(1030));
	assert_int_equal(reach_verdict(&reach, ENDPOINTS), REACH_LOST);
	reach_record_opened(&reach, 4, ENDPOINTS, at_ms(1040));
	assert_int_equal(reach_verdict(&reach, ENDPOINTS), REACH_OK);
}

static struct sockaddr_in
address_of(uint32_t number)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons(8104),
	    .sin_addr.s_addr = htonl(0x0a000000 + number)};
}

static void
report(helpers_t *helpers, uint32_t number, bool reaches, uint32_t load,
    int64_t ms)
{
	const helper_report_t text = {.reaches = reaches, .load = load};
	struct sockaddr_in address = address_of(number);

	helpers_apply(helpers, &address, &text, at_ms(ms));
}

static void
a_few_helpers_are_remembered_until_they_are_silent(void **state)
{
	helpers_t helpers = {0};
	struct sockaddr_in silent;

	(void)state;
	for (uint32_t i = 0; i < 10; i++)
		report(&helpers, i, true, 0, 0);
	assert_int_equal(helpers.len, HELPERS_MAX);
	report(&helpers, 1, false, 0, 0);
	assert_int_equal(helpers.len, HELPERS_MAX - 1);
	report(&helpers, 0, true, 0, 1000);
	assert_false(
	    helpers_take_silent(&helpers, at_ms(HELPER_SILENCE_MS), &silent));
	while (helpers_take_silent(
	    &helpers, at_ms(HELPER_SILENCE_MS + 1), &silent))
		assert_false(helper_address_equal(
		    &silent, &(struct sockaddr_in){.sin_port = 0}));
	assert_int_equal(helpers.len, 1);
	assert_int_equal(helpers.list[0].address.sin_addr.s_addr,
	    address_of(0).sin_addr.s_addr);
}

static void
the_less_loaded_of_two_untried_helpers_is_chosen(void **state)
{
	helpers_t helpers = {0};
	struct sockaddr_in tried[2] = {address_of(0), address_of(1)};
	helper_t *chosen;

	(void)state;
	assert_null(helpers_choose(&helpers, NULL, 0, 5));
	report(&helpers, 0, true, 0, 0);
	report(&helpers, 1, true, 9, 0);
	report(&helpers, 2, true, 3, 0);
	/* Of three, 1 and 2. */
	chosen = helpers_choose(&helpers, NULL, 0, 1 + 3 * 2);
	assert_true(helper_address_equal(&chosen->address,
	    &(struct sockaddr_in){.sin_family = AF_INET,
		.sin_port = htons(8104),
		.sin_addr.s_addr = htonl(0x0a000002)}));
	chosen->in_flight = 7;
	assert_ptr_not_equal(
	    helpers_choose(&helpers, NULL, 0, 1 + 3 * 2), chosen);
	assert_ptr_equal(helpers_choose(&helpers, tried, 2, 12345), chosen);
}

static void
a_head_opens_only_for_its_request_and_fleet(void **state)
{
	const forward_head_t head = {.remaining_ms = 1234,
	    .since_first_try_ms = 50,
	    .sends = 2,
	    .config_version = UINT64_MAX};
	char text[FORWARD_TEXT_SIZE], altered[FORWARD_TEXT_SIZE];
	forward_key_t key, other;
	forward_head_t opened;

	(void)state;
	forward_key_derive(&key, "secret");
	forward_key_derive(&other, "another");
	forward_head_seal(&head, &key, "id", text);
	assert_true(forward_head_open(&opened, &key, "id", text));
	assert_int_equal(opened.remaining_ms, head.remaining_ms);
	assert_int_equal(opened.since_first_try_ms, head.since_first_try_ms);
	assert_int_equal(opened.sends, head.sends);
	assert_int_equal(opened.config_version, head.config_version);
	assert_false(forward_head_open(&opened, &key, "id2", text));
	assert_false(forward_head_open(&opened, &other, "id", text));
	assert_false(forward_head_open(&opened, &key, "id", ""));
	for (size_t i = 0; i < strlen(text); i++) {
		strcpy(altered, text);
		altered[i] = altered[i] == 'A' ? 'B' : 'A';
		assert_false(forward_head_open(&opened, &key, "id", altered));
		altered[i] = '\0';
		assert_false(forward_head_open(&opened, &key, "id", altered));
	}
}

static void
a_result_names_the_failure_and_the_sends(void **state)
{
	static const char *const malformed[] = {"", "endpoint", "overload",
	    "overload ", "overload x", "overload -1", "overload 1x", "none 1",
	    "unheard_of 1", "overload 99999"};
	char text[FORWARD_RESULT_SIZE];
	forward_result_t parsed;

	(void)state;
	for (int code = ERR_NONE; code < ERR_CODE_COUNT; code++) {
		forward_result_t result = {
		    .code = (err_code_t)code, .sends = 3};

		forward_result_format(&result, text);
		assert_true(forward_result_parse(&parsed, text));
		assert_int_equal(parsed.code, code);
		assert_int_equal(parsed.sends, 3);
	}
	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++)
		assert_false(forward_result_parse(&parsed, malformed[i]));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(one_endpoint_that_is_down_says_nothing),
	    cmocka_unit_test(fewer_endpoints_all_have_to_fail),
	    cmocka_unit_test(
		a_new_connection_ends_the_failures_an_open_one_does_not),
	    cmocka_unit_test(failures_minutes_apart_do_not_add_up),
	    cmocka_unit_test(
		links_are_lost_only_by_contact_of_others_after_the_first_failure),
	    cmocka_unit_test(lost_links_are_restored_by_two_endpoints_in_a_row),
	    cmocka_unit_test(
		a_few_helpers_are_remembered_until_they_are_silent),
	    cmocka_unit_test(the_less_loaded_of_two_untried_helpers_is_chosen),
	    cmocka_unit_test(a_head_opens_only_for_its_request_and_fleet),
	    cmocka_unit_test(a_result_names_the_failure_and_the_sends),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
