/**
 * @file
 * Guards against taking the new version of a roll-out for the one that it
 * replaces: by the number of its endpoints, or before the orders are known.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "../../moortack/relay/relay_request.h"
#include "../support/manual_clock.h"

typedef struct fixture {
	manual_clock_t clock;
	endpoint_set_t set;
	uint32_t endpoints;
} fixture_t;

static int
begin(void **state)
{
	static fixture_t fixture;

	fixture.clock = (manual_clock_t){{&manual_clock_ops}, {100, 0}};
	fixture.endpoints = 0;
	endpoint_set_init(&fixture.set, &fixture.clock.source);
	*state = &fixture;
	return 0;
}

static int
end(void **state)
{
	fixture_t *fixture = *state;

	endpoint_set_finish(&fixture->set);
	return 0;
}

static endpoint_group_t *
add(fixture_t *fixture, const char *version, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		endpoint_info_t info = {.service = "s",
		    .zone = "a",
		    .slots = 8,
		    .address = {"10.0.0.1", 80}};

		snprintf(
		    info.id, sizeof(info.id), "i-%u", fixture->endpoints++);
		strcpy(info.version, version);
		assert_non_null(endpoint_set_update(&fixture->set, &info));
	}
	return endpoint_set_find_group(&fixture->set, "s");
}

static void
the_new_version_is_not_the_replaced_one(void **state)
{
	endpoint_group_t *group;

	group = add(*state, "v2", 3);
	assert_string_equal(endpoint_group_replaced_version(group, "v2"), "");
	add(*state, "v1", 1);
	assert_string_equal(endpoint_group_replaced_version(group, "v2"), "v1");
	/* Later endpoints change nothing. */
	add(*state, "v0", 2);
	assert_string_equal(endpoint_group_replaced_version(group, "v2"), "v1");
}

static void
a_majority_that_is_ordered_later_was_no_base(void **state)
{
	endpoint_group_t *group;

	add(*state, "v1", 1);
	group = add(*state, "v2", 2);
	endpoint_group_learn_base_version(group);
	assert_string_equal(group->base_version, "v2");
	assert_string_equal(endpoint_group_replaced_version(group, "v2"), "v1");
}

static void
all_daemons_choose_the_same_of_equal_counts(void **state)
{
	endpoint_group_t *group;

	add(*state, "v3", 4);
	add(*state, "v1", 2);
	group = add(*state, "v0", 2);
	assert_string_equal(endpoint_group_replaced_version(group, "v3"), "v0");
}

/* An order may name the version that is in force already. */
static void
a_proven_version_is_replaced_by_itself(void **state)
{
	endpoint_group_t *group;

	add(*state, "v1", 1);
	group = add(*state, "v2", 2);
	endpoint_group_prove_base_version(group);
	endpoint_set_forget_base_versions(&((fixture_t *)*state)->set);
	assert_string_equal(endpoint_group_replaced_version(group, "v2"), "v2");
	assert_string_equal(endpoint_group_replaced_version(group, "v3"), "v2");
}

static void
no_request_is_sent_before_the_orders_are_read(void **state)
{
	fixture_t *fixture = *state;
	row_watch_t watch = {.clock = &fixture->clock.source};
	relay_t relay = {.clock = &fixture->clock.source,
	    .config_watch = &watch,
	    .config = relay_config_new(1),
	    .bounds = {
		.config_stale_ms = INT64_MAX, .key_max_age_ms = INT64_MAX}};
	const arrival_t arrival = {.host = "a.example"};
	const relay_organisation_t *organisation;
	const relay_route_t *route;

	assert_int_equal(
	    relay_authorize(&relay, &arrival, "/x/", &route, &organisation),
	    ERR_NOT_READY);
	row_watch_advance(&watch, 1, fixture->clock.now);
	assert_int_equal(
	    relay_authorize(&relay, &arrival, "/x/", &route, &organisation),
	    ERR_NOT_FOUND);
	relay_config_release(relay.config);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		the_new_version_is_not_the_replaced_one, begin, end),
	    cmocka_unit_test_setup_teardown(
		a_majority_that_is_ordered_later_was_no_base, begin, end),
	    cmocka_unit_test_setup_teardown(
		all_daemons_choose_the_same_of_equal_counts, begin, end),
	    cmocka_unit_test_setup_teardown(
		a_proven_version_is_replaced_by_itself, begin, end),
	    cmocka_unit_test_setup_teardown(
		no_request_is_sent_before_the_orders_are_read, begin, end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
