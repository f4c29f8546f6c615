/**
 * @file
 * Which endpoints a daemon follows, and what it says of their contents.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "../../moortack/relay/contents_calls.h"
#include "../support/manual_clock.h"

#define ENDPOINTS 40

static manual_clock_t manual_clock = {{&manual_clock_ops}, {1000, 0}};
static void
list_write(const endpoint_info_t *info, struct evbuffer *out)
{
	(void)info;
	evbuffer_add_printf(out, "GET /list HTTP/1.1\r\n\r\n");
}

static void
events_write(const endpoint_info_t *info, uint64_t since, int64_t wait_ms,
    struct evbuffer *out)
{
	(void)info;
	(void)since;
	(void)wait_ms;
	evbuffer_add_printf(out, "GET /events HTTP/1.1\r\n\r\n");
}

static const contents_dialect_t dialect = {
    .write_list = list_write, .write_events = events_write};

typedef struct fixture {
	endpoint_set_t endpoints;
	membership_t members;
	gossip_t gossip;
	rng_t rng;
	relay_t relay;
	relay_service_t *service;
} fixture_t;

static void
endpoint_learn(fixture_t *fixture, int number)
{
	endpoint_info_t info = {
	    .service = "lm", .zone = "a", .address = {"127.0.0.1", 80}};

	snprintf(info.id, sizeof(info.id), "i-%d", number);
	endpoint_set_update(&fixture->endpoints, &info);
}

static int
set_up(void **state)
{
	static fixture_t fixture;

	memset(&fixture, 0, sizeof(fixture));
	manual_clock.now = (struct timespec){1000, 0};
	endpoint_set_init(&fixture.endpoints, &manual_clock.source);
	fixture.members = (membership_t){
	    .clock = &manual_clock.source, .state = MEMBER_READY};
	strcpy(fixture.members.settings.zone, "a");
	fixture.gossip.uses_owners = true;
	rng_system_init(&fixture.rng);
	fixture.relay = (relay_t){.base = event_base_new(),
	    .clock = &manual_clock.source,
	    .rng = &fixture.rng,
	    .endpoints = &fixture.endpoints,
	    .members = &fixture.members,
	    .gossip = &fixture.gossip,
	    .config = relay_config_new(1),
	    .contents = {.dialect = &dialect}};
	fixture.service =
	    relay_config_add_service(fixture.relay.config, "lm", NULL);
	fixture.service->contents_calls_max = 4;
	assert_true(prefix_index_init(&fixture.relay.prefix_index));
	*state = &fixture;
	return 0;
}

static int
tear_down(void **state)
{
	fixture_t *fixture = *state;

	relay_contents_finish(&fixture->relay);
	prefix_index_finish(&fixture->relay.prefix_index);
	relay_config_release(fixture->relay.config);
	endpoint_set_finish(&fixture->endpoints);
	event_base_free(fixture->relay.base);
	return 0;
}

static size_t
followed_after_s(fixture_t *fixture, int seconds)
{
	manual_clock.now.tv_sec += seconds;
	relay_contents_tick(&fixture->relay);
	return fixture->relay.contents.len;
}

/* Without any of these, no call is made. */
static void
nothing_is_followed_unless_asked_for(void **state)
{
	fixture_t *fixture = *state;

	endpoint_learn(fixture, 1);
	fixture->relay.contents.dialect = NULL;
	assert_int_equal(followed_after_s(fixture, 2), 0);
	fixture->relay.contents.dialect = &dialect;
	fixture->service->contents_calls_max = 0;
	assert_int_equal(followed_after_s(fixture, 2), 0);
	fixture->service->contents_calls_max = 4;
	fixture->gossip.uses_owners = false;
	assert_int_equal(followed_after_s(fixture, 2), 0);
	fixture->gossip.uses_owners = true;
	fixture->members.state = MEMBER_LEAVING;
	assert_int_equal(followed_after_s(fixture, 2), 0);
	fixture->members.state = MEMBER_READY;
	assert_int_equal(followed_after_s(fixture, 2), 1);
	fixture->gossip.uses_owners = false;
	assert_int_equal(followed_after_s(fixture, 2), 0);
}

/* At a start, a daemon is ready after it knows the members. */
static void
first_choice_is_not_delayed(void **state)
{
	fixture_t *fixture = *state;

	endpoint_learn(fixture, 1);
	fixture->members.state = MEMBER_STARTING;
	assert_int_equal(followed_after_s(fixture, 2), 0);
	fixture->members.state = MEMBER_READY;
	assert_int_equal(followed_after_s(fixture, 0), 1);
}

static void
followed_endpoints_are_bounded_and_current(void **state)
{
	fixture_t *fixture = *state;

	for (int i = 0; i < ENDPOINTS; i++)
		endpoint_learn(fixture, i);
	assert_int_equal(followed_after_s(fixture, 2), CONTENTS_FOLLOWED_MAX);
	assert_int_equal(
	    fixture->relay.contents.skipped, ENDPOINTS - CONTENTS_FOLLOWED_MAX);
	for (int i = 1; i < ENDPOINTS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-%d", i);
		endpoint_set_remove(&fixture->endpoints,
		    endpoint_set_find(&fixture->endpoints, id));
	}
	/* Not yet: the choice is made once a second at most. */
	assert_int_equal(followed_after_s(fixture, 0), CONTENTS_FOLLOWED_MAX);
	assert_int_equal(followed_after_s(fixture, 1), 1);
	assert_int_equal(fixture->relay.contents.skipped, 0);
}

/* Prompts that were sent a moment ago are not among the endpoint's events. */
static void
reports_are_merged_with_recent_sends(void **state)
{
	fixture_t *fixture = *state;
	const relay_t *relay = &fixture->relay;
	contents_change_t held[] = {
	    {.part = 1, .kept = true}, {.part = 3, .kept = true}};
	const contents_report_t list = {1, 10, false, held, 2};
	const uint32_t parts[] = {1, 2, 3, 4};
	followed_endpoint_t *followed;
	prefix_list_t sent, prompt;
	uint32_t count = 9;

	endpoint_learn(fixture, 1);
	assert_int_equal(followed_after_s(fixture, 2), 1);
	followed = relay->contents.followed[0];
	prefix_list_fill_hashes(&prompt, parts, 4);
	assert_false(
	    relay_contents_match(relay, followed->endpoint, &prompt, &count));
	endpoint_contents_apply_list(&followed->contents, &list);
	contents_follow_succeeded(&followed->follow, CONTENTS_COMPLETE, 10,
	    timespec_to_ms(manual_clock.now));
	assert_true(
	    relay_contents_match(relay, followed->endpoint, &prompt, &count));
	assert_int_equal(count, 1);
	prefix_list_fill_hashes(&sent, parts, 2);
	prefix_index_add(&fixture->relay.prefix_index, &sent,
	    followed->endpoint->hash, timespec_to_ms(manual_clock.now));
	assert_true(
	    relay_contents_match(relay, followed->endpoint, &prompt, &count));
	assert_int_equal(count, 3);
	assert_int_equal(relay_contents_add_recent(
			     relay, followed->endpoint->hash, &prompt, 1),
	    2);
	manual_clock.now.tv_sec += 2;
	assert_true(
	    relay_contents_match(relay, followed->endpoint, &prompt, &count));
	manual_clock.now.tv_sec += 1;
	assert_false(
	    relay_contents_match(relay, followed->endpoint, &prompt, &count));
	contents_follow_succeeded(&followed->follow, CONTENTS_COMPLETE, 10,
	    timespec_to_ms(manual_clock.now));
	assert_true(
	    relay_contents_match(relay, followed->endpoint, &prompt, &count));
	assert_int_equal(count, 1);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		nothing_is_followed_unless_asked_for, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		first_choice_is_not_delayed, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		followed_endpoints_are_bounded_and_current, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		reports_are_merged_with_recent_sends, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
