/**
 * @file
 * Endpoints that are weighed for a request where there are more than there is
 * room for: they were the 256 that a daemon had learned of last, others at each
 * daemon, so that what one prompt shares with others was read anew at more
 * endpoints than need be, and the endpoints that came first got no request.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../../moortack/relay/relay_candidates.h"
#include "../support/manual_clock.h"

#define ENDPOINTS 1000
#define PROMPTS 60
#define NEW 160 /* endpoints of a new version */
#define ORDER_MS 20000

/** A daemon, as far as it chooses. */
typedef struct chooser {
	manual_clock_t clock;
	endpoint_set_t endpoints;
	rollouts_t rollouts;
	relay_t relay;
	relay_request_t request;
	candidates_t candidates;
} chooser_t;

static void
version_learn(chooser_t *chooser, int number, const char *version)
{
	endpoint_facts_t facts = {.service = "lm",
	    .zone = "a",
	    .slots = 8,
	    .address = {"10.0.0.1", 80}};

	snprintf(facts.id, sizeof(facts.id), "i-%d", number);
	strcpy(facts.version, version);
	endpoint_set_take(&chooser->endpoints, &facts);
}

static void
endpoint_learn(chooser_t *chooser, int number)
{
	version_learn(chooser, number, "v1");
}

/* Two daemons learn of endpoints in orders of their own. */
static chooser_t *
chooser_begin(bool backwards, int endpoints)
{
	chooser_t *chooser = calloc(1, sizeof(*chooser));

	chooser->clock = (manual_clock_t){{&manual_clock_ops}, {100, 0}};
	endpoint_set_init(&chooser->endpoints, &chooser->clock.source);
	for (int i = 0; i < endpoints; i++)
		endpoint_learn(chooser, backwards ? endpoints - 1 - i : i);
	chooser->relay = (relay_t){.clock = &chooser->clock.source,
	    .endpoints = &chooser->endpoints,
	    .rollouts = &chooser->rollouts,
	    .daemons_most = 2};
	chooser->request = (relay_request_t){.relay = &chooser->relay,
	    .config = relay_config_new(1),
	    .service = "lm"};
	return chooser;
}

static void
chooser_end(chooser_t *chooser)
{
	relay_config_release(chooser->request.config);
	endpoint_set_finish(&chooser->endpoints);
	free(chooser);
}

/* What some prompts share, as the hash of it. */
static uint64_t
shared_by(uint64_t prompts)
{
	return XXH3_64bits(&prompts, sizeof(prompts));
}

static size_t
weighed(chooser_t *chooser, uint64_t shared)
{
	const char *why;

	chooser->request.shared = shared;
	assert_true(
	    candidates_of(&chooser->request, &chooser->candidates, &why));
	return chooser->candidates.len;
}

static bool
weighs(const chooser_t *chooser, uint64_t hash)
{
	for (size_t i = 0; i < chooser->candidates.len; i++) {
		if (chooser->candidates.seen[i].hash == hash)
			return true;
	}
	return false;
}

static void
all_daemons_weigh_the_same_ones_for_what_is_shared(void **state)
{
	chooser_t *one = chooser_begin(false, ENDPOINTS);
	chooser_t *two = chooser_begin(true, ENDPOINTS);

	(void)state;
	for (uint64_t i = 1; i <= PROMPTS; i++) {
		size_t len = weighed(one, shared_by(i));

		assert_int_equal(len, CANDIDATES_MAX);
		assert_int_equal(weighed(two, shared_by(i)), len);
		for (size_t j = 0; j < len; j++)
			assert_true(weighs(two, one->candidates.seen[j].hash));
	}
	chooser_end(one);
	chooser_end(two);
}

static void
each_endpoint_is_weighed_for_some_prompt(void **state)
{
	chooser_t *one = chooser_begin(false, ENDPOINTS);
	const endpoint_group_t *group =
	    endpoint_set_group(&one->endpoints, "lm");
	bool seen[ENDPOINTS] = {false};

	(void)state;
	for (uint64_t i = 1; i <= PROMPTS; i++) {
		weighed(one, shared_by(i));
		for (size_t j = 0; j < group->len; j++)
			seen[j] |= weighs(one, group->ring[j]->hash);
	}
	for (int i = 0; i < ENDPOINTS; i++)
		assert_true(seen[i]);
	chooser_end(one);
}

static void
a_few_endpoints_are_all_weighed(void **state)
{
	chooser_t *one = chooser_begin(false, CANDIDATES_MAX);

	(void)state;
	assert_int_equal(weighed(one, shared_by(1)), CANDIDATES_MAX);
	chooser_end(one);
}

/* Without a report, others are taken to have as much at an endpoint as this
 * daemon has on average: one request of its own was counted as one of each of
 * 91 daemons, so that a daemon sent no second prompt to where the first was
 * read. */
static void
others_are_taken_to_be_alike(void **state)
{
	enum { FEW = 10, DAEMONS = 91 };
	chooser_t *one = chooser_begin(false, FEW);
	endpoint_group_t *group = endpoint_set_group(&one->endpoints, "lm");
	endpoint_t *used = group->ring[3];

	(void)state;
	endpoint_take_up(used);
	assert_float_equal(
	    endpoint_load_now(used, DAEMONS), 1 + 90.0 / FEW, 0.01);
	assert_float_equal(
	    endpoint_load_now(group->ring[4], DAEMONS), 90.0 / FEW, 0.01);
	endpoint_let_go(used);
	assert_float_equal(endpoint_load_now(used, DAEMONS), 0, 0.01);
	/* What is under way at one that is gone counts no longer. */
	endpoint_take_up(used);
	endpoint_hold(used);
	endpoint_set_remove(&one->endpoints, used);
	assert_int_equal(group->in_flight, 0);
	endpoint_let_go(used);
	assert_int_equal(group->in_flight, 0);
	endpoint_release(used);
	chooser_end(one);
}

/* A roll-out of v2 of which that part of its time has passed. */
static rollout_t *
rollout_of(chooser_t *chooser, row_watch_t *watch, double part)
{
	static rollout_t rollout;
	static event_log_t quiet;

	event_log_init(&quiet, &chooser->clock.source, 1e-9);
	*watch = (row_watch_t){.clock = &chooser->clock.source,
	    .settled_once = true,
	    .known = chooser->clock.now};
	chooser->rollouts = (rollouts_t){.clock = &chooser->clock.source,
	    .orders = watch,
	    .states = watch,
	    .log = &quiet};
	rollout = (rollout_t){.owner = &chooser->rollouts,
	    .order = {.service = "lm",
		.to = "v2",
		.number = 5,
		.duration_ms = ORDER_MS},
	    .state = ROLLOUT_IN_PROGRESS,
	    .state_order = 5,
	    .seen = timespec_add_ms(
		chooser->clock.now, -(int64_t)(part * ORDER_MS))};
	HASH_ADD_KEYPTR(hh, chooser->rollouts.all, rollout.order.service,
	    strlen(rollout.order.service), &rollout);
	return &rollout;
}

static size_t
weighed_of_new(double part, double under_way)
{
	chooser_t *one = chooser_begin(false, 0);
	row_watch_t watch;
	endpoint_group_t *group;
	size_t len;

	for (int i = 0; i < NEW; i++)
		version_learn(one, i, "v2");
	rollout_of(one, &watch, part);
	group = endpoint_set_group(&one->endpoints, "lm");
	group->in_flight_mean = under_way;
	one->relay.daemons_most = 1;
	len = weighed(one, 0);
	HASH_CLEAR(hh, one->rollouts.all);
	chooser_end(one);
	return len;
}

/* The load: a new version that is bad from half of the slots on, of which a
 * sixth are taken. A twentieth of the requests goes to a twentieth of its
 * endpoints; then for a time a tenth to as few as have 0.75 of theirs taken. */
static void
the_first_endpoints_of_a_new_version_are_filled_for_a_time(void **state)
{
	const double under_way = NEW * 8 / 6.0;

	(void)state;
	assert_int_equal(weighed_of_new(0.2, under_way), NEW / 20);
	assert_int_equal(weighed_of_new(0.45, under_way), 4);
	assert_int_equal(weighed_of_new(0.45, 0), 1);
	assert_int_equal(weighed_of_new(0.45, NEW * 8), NEW / 10);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		all_daemons_weigh_the_same_ones_for_what_is_shared),
	    cmocka_unit_test(each_endpoint_is_weighed_for_some_prompt),
	    cmocka_unit_test(a_few_endpoints_are_all_weighed),
	    cmocka_unit_test(others_are_taken_to_be_alike),
	    cmocka_unit_test(
		the_first_endpoints_of_a_new_version_are_filled_for_a_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
