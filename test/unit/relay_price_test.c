/**
 * @file
 * The prices that a daemon keeps: by zone, from its own responses and from the
 * owners of endpoints.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "../../moortack/relay/relay_request.h"
#include "../support/manual_clock.h"

#define SERVICE "lm"
#define ZONES 20

static manual_clock_t manual_clock = {{&manual_clock_ops}, {1000, 0}};
static endpoint_set_t endpoints;
static relay_t relay = {.clock = &manual_clock.source, .endpoints = &endpoints};

static endpoint_t *
endpoint_add(const char *id, const char *zone)
{
	endpoint_info_t info = {.slots = 6};

	strcpy(info.id, id);
	strcpy(info.service, SERVICE);
	strcpy(info.zone, zone);
	return endpoint_set_update(&endpoints, &info);
}

static int
setup(void **state)
{
	(void)state;
	endpoint_set_init(&endpoints, &manual_clock.source);
	return 0;
}

static int
teardown(void **state)
{
	(void)state;
	relay_service_states_finish(&relay);
	relay.service_states = NULL;
	endpoint_set_finish(&endpoints);
	return 0;
}

/* A zone's price must not be charged in another, nor for ever. */
static void
prices_are_kept_by_zone_until_they_expire(void **state)
{
	endpoint_t *full = endpoint_add("i-1", "a");
	endpoint_t *idle = endpoint_add("i-2", "b");

	(void)state;
	assert_true(relay_price(&relay, SERVICE, "a") == 0);
	endpoint_record_load(full, &(endpoint_load_t){6, 18, 6});
	endpoint_record_load(idle, &(endpoint_load_t){2, 0, 6});
	relay_price_observe_response(&relay, full);
	relay_price_observe_response(&relay, idle);
	assert_true(relay_price(&relay, SERVICE, "a") == 3);
	assert_true(relay_price(&relay, SERVICE, "b") == 0);
	assert_true(relay_price(&relay, "other", "a") == 0);
	manual_clock.now.tv_sec += 4;
	assert_true(relay_price(&relay, SERVICE, "a") == 0);
}

/* The price that an owner sends arrives unchanged; no price is not an idle
 * endpoint. */
static void
owners_price_arrives_at_another_daemon(void **state)
{
	endpoint_t *endpoint = endpoint_add("i-1", "a");

	(void)state;
	endpoint_add("i-2", "b");
	assert_int_equal(relay_price_milli(&relay, endpoint), 0);
	relay_price_observe_endpoint(&relay, endpoint);
	assert_int_equal(relay_price_milli(&relay, endpoint), 1);
	endpoint_record_load(endpoint, &(endpoint_load_t){6, 15, 6});
	manual_clock.now.tv_sec += 10;
	endpoint_record_load(endpoint, &(endpoint_load_t){6, 15, 6});
	relay_price_observe_endpoint(&relay, endpoint);
	assert_int_equal(relay_price_milli(&relay, endpoint), 2500);
	/* The owner's own zone price is not touched by another's query. */
	assert_true(relay_price(&relay, SERVICE, "a") == 0);
	relay_price_receive(&relay, endpoint->short_hash, 0);
	relay_price_receive(&relay, endpoint->short_hash, 2500);
	assert_true(relay_price(&relay, SERVICE, "a") == 2.5);
	relay_price_receive(&relay, 12345, 2500);
	relay_price_receive(&relay, endpoint->short_hash, UINT32_MAX);
	assert_true(relay_price(&relay, SERVICE, "a") <= 600);
	manual_clock.now.tv_sec += 10;
	relay_price_receive(&relay, endpoint->short_hash, 1);
	assert_true(relay_price(&relay, SERVICE, "a") == 0);
}

/* A prompt at an idle endpoint makes nobody wait, however long it is. */
static void
only_prompts_that_wait_have_a_price(void **state)
{
	endpoint_t *endpoint = endpoint_add("i-1", "a");
	const gossip_message_t sent = {
	    .endpoint_hash = endpoint->short_hash, .prefill_ms = 400};
	const gossip_message_t query = {
	    .kind = GOSSIP_QUERY, .endpoint_hash = endpoint->short_hash};
	gossip_message_t response = {.kind = GOSSIP_RESPONSE};

	(void)state;
	assert_true(prefix_index_init(&relay.prefix_index));
	relay_gossip_ops.on_prompt_sent(&relay, &sent);
	assert_int_equal(relay_price_milli(&relay, endpoint), 1);
	for (int i = 0; i < 4; i++) {
		manual_clock.now =
		    timespec_from_ms(timespec_to_ms(manual_clock.now) + 200);
		relay_gossip_ops.on_prompt_sent(&relay, &sent);
	}
	assert_true(relay_gossip_ops.on_query(&relay, &query, &response));
	assert_true(response.price_milli > 1000);
	prefix_index_finish(&relay.prefix_index);
}

/* Zones come and go with endpoints' entries: the ones observed last are kept.
 */
static void
number_of_zones_is_bounded(void **state)
{
	char id[16], zone[16];

	(void)state;
	for (int i = 0; i < ZONES; i++) {
		endpoint_t *endpoint;

		snprintf(id, sizeof(id), "i-%d", i);
		snprintf(zone, sizeof(zone), "zone-%d", i);
		endpoint = endpoint_add(id, zone);
		endpoint_record_load(endpoint, &(endpoint_load_t){6, 6, 6});
		relay_price_observe_response(&relay, endpoint);
		manual_clock.now.tv_nsec += 1000000;
	}
	for (int i = 0; i < ZONES; i++) {
		snprintf(zone, sizeof(zone), "zone-%d", i);
		assert_int_equal(relay_price(&relay, SERVICE, zone) > 0,
		    i >= ZONES - PRICE_ZONES_MAX);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		prices_are_kept_by_zone_until_they_expire, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		owners_price_arrives_at_another_daemon, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		only_prompts_that_wait_have_a_price, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		number_of_zones_is_bounded, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
