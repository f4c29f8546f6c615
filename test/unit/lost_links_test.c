/**
 * @file
 * A daemon whose links to the endpoints are lost must not conclude that
 * endpoints crashed under its requests, or that their version is bad. The same
 * holds for endpoints that are brittle.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>

#include "../../moortack/relay/relay_brittle.h"
#include "../../moortack/relay/relay_quarantine_priv.h"
#include "../../moortack/relay/relay_request.h"
#include "../support/node_fixture.h"

#define ENDPOINTS 6
#define DIGEST 0x1234
#define PART ((1ULL << 63) + 1)
#define SERVICE "lm"

typedef struct fixture {
	node_fixture_t node;
	endpoint_t *endpoints[ENDPOINTS];
	relay_route_t route;
	relay_request_t req;
} fixture_t;

static void
fixture_init(fixture_t *self)
{
	memset(self, 0, sizeof(*self));
	node_fixture_init(&self->node);
	relay_quarantine_set_secret(
	    &self->node.node.relay.quarantine, "secret");
	for (int i = 0; i < ENDPOINTS; i++) {
		endpoint_info_t info = {.service = SERVICE,
		    .zone = "a",
		    .version = "v1",
		    .address = {"127.0.0.1", 1},
		    .slots = 8};

		snprintf(info.id, sizeof(info.id), "i-%d", i);
		self->endpoints[i] =
		    endpoint_set_update(&self->node.node.endpoints, &info);
	}
	self->route.name = "r";
	self->req = (relay_request_t){.relay = &self->node.node.relay,
	    .route = &self->route,
	    .service = SERVICE,
	    .digest = DIGEST,
	    .parts_decoded = true};
}

/* An attempt at the endpoint loses its connection. */
static void
lose_attempt(fixture_t *self, int endpoint)
{
	self->req.attempt.endpoint = self->endpoints[endpoint];
	self->req.attempt.sent = true;
	relay_attempt_connection_lost(&self->req);
}

/* A new connection to the endpoint is refused. */
static void
refuse(fixture_t *self, int endpoint)
{
	self->req.attempt.endpoint = self->endpoints[endpoint];
	relay_reach_failure(&self->req);
	relay_attempt_connection_refused(&self->req);
}

/* A new connection to the endpoint carries a response. */
static void
respond(fixture_t *self, int endpoint)
{
	self->req.attempt.endpoint = self->endpoints[endpoint];
	self->req.attempt.reused = false;
	relay_reach_response(&self->req);
}

static size_t
crashes(const fixture_t *self)
{
	return quarantine_crash_count(
	    &self->node.node.relay.quarantine.table, DIGEST);
}

static void
refused_connections_of_lost_links_are_no_crashes(void **state)
{
	fixture_t self;

	(void)state;
	fixture_init(&self);
	for (int i = 0; i < ENDPOINTS; i++)
		lose_attempt(&self, i);
	node_fixture_advance(&self.node, 20);
	for (int i = 0; i < ENDPOINTS; i++)
		refuse(&self, i);
	assert_int_equal(crashes(&self), 0);
	assert_int_equal(self.node.node.relay.quarantine.crash_count, 0);
	node_fixture_finish(&self.node);
}

static void
a_refused_connection_is_a_crash_if_other_endpoints_accept(void **state)
{
	fixture_t self;

	(void)state;
	fixture_init(&self);
	respond(&self, 1);
	node_fixture_advance(&self.node, 10);
	lose_attempt(&self, 0);
	node_fixture_advance(&self.node, 10);
	refuse(&self, 0);
	assert_int_equal(crashes(&self), 0);
	node_fixture_advance(&self.node, 10);
	respond(&self, 1);
	refuse(&self, 0);
	assert_int_equal(crashes(&self), 1);
	node_fixture_finish(&self.node);
}

/* The next process listens at the crashed one's address soon after: a
 * connection that is accepted there must not take the evidence away, if the
 * links were sound as one was refused. A cut that ended after that proves
 * nothing. */
static void
crash_is_known_before_the_address_is_used_again(void **state)
{
	relay_quarantine_t *quarantine;
	fixture_t self;

	(void)state;
	fixture_init(&self);
	quarantine = &self.node.node.relay.quarantine;
	lose_attempt(&self, 0);
	lose_attempt(&self, 1);
	node_fixture_advance(&self.node, 20);
	refuse(&self, 0);
	node_fixture_advance(&self.node, 30);
	relay_quarantine_links_proved(
	    quarantine, clock_boottime(self.node.node.relay.clock));
	assert_int_equal(crashes(&self), 0);
	refuse(&self, 0);
	relay_quarantine_links_proved(
	    quarantine, clock_boottime(self.node.node.relay.clock));
	assert_int_equal(crashes(&self), 1);
	assert_int_equal(quarantine->interrupted.len, 1);
	node_fixture_finish(&self.node);
}

/* Attempts that were lost together do not keep the request from a retry. */
static void
attempts_lost_with_the_links_are_no_suspicion(void **state)
{
	fixture_t self;

	(void)state;
	fixture_init(&self);
	lose_attempt(&self, 0);
	lose_attempt(&self, 1);
	assert_true(relay_suspect_forbids_retry(&self.req));
	for (int i = 0; i < REACH_FAILED_MIN; i++)
		refuse(&self, i);
	assert_false(relay_suspect_forbids_retry(&self.req));
	node_fixture_finish(&self.node);
}

static rollout_t *
rollout_begin(fixture_t *self)
{
	const rollout_order_t order = {.number = 1,
	    .service = SERVICE,
	    .to_version = "v2",
	    .duration_ms = 60000};
	rollout_t *rollout;

	rollouts_apply_order(&self->node.node.rollouts, &order);
	rollout = rollouts_find(&self->node.node.rollouts, SERVICE);
	rollout->order = order;
	return rollout;
}

/* Of the new version, as this daemon has counted them. */
static uint32_t
responses_counted(const rollout_t *rollout)
{
	const canary_route_t *route = &rollout->canary.routes[0];
	uint32_t count = 0;

	for (size_t i = 0; i < CANARY_SLICES; i++)
		count +=
		    route->new_slices[i].failed + route->new_slices[i].late;
	return count;
}

/* A failure that was deferred until the endpoint responds again. */
static void
fail_and_respond(fixture_t *self, int64_t after_ms)
{
	self->req.attempt.endpoint = self->endpoints[0];
	self->req.attempt.sent = true;
	self->req.attempt.new_version = true;
	relay_canary_defer_failure(&self->req);
	node_fixture_advance(&self->node, after_ms);
	relay_canary_endpoint_alive(&self->req);
}

static void
failures_of_lost_links_are_none_of_the_version(void **state)
{
	fixture_t self;
	rollout_t *rollout;

	(void)state;
	fixture_init(&self);
	rollout = rollout_begin(&self);
	fail_and_respond(&self, 10);
	assert_int_equal(responses_counted(rollout), 1);
	self.req.attempt.guard_counted = false;
	relay_canary_defer_failure(&self.req);
	for (int i = 0; i < REACH_FAILED_MIN; i++)
		refuse(&self, i);
	respond(&self, 1);
	respond(&self, 2);
	node_fixture_advance(&self.node, 10);
	fail_and_respond(&self, 10);
	assert_int_equal(responses_counted(rollout), 2);
	node_fixture_finish(&self.node);
}

/* An endpoint of the service has said that it is brittle. */
static void
say_brittle(fixture_t *self)
{
	self->req.attempt.endpoint = self->endpoints[1];
	self->req.attempt.response.notice =
	    (endpoint_notice_t){.brittle = RATE_LIMITED, .brittle_milli = 4000};
	relay_brittle_apply(&self->req);
}

static void
a_brittle_endpoint_that_falls_is_no_sign_of_a_crash_or_a_bad_version(
    void **state)
{
	fixture_t self;
	rollout_t *rollout;

	(void)state;
	fixture_init(&self);
	rollout = rollout_begin(&self);
	say_brittle(&self);
	lose_attempt(&self, 0);
	fail_and_respond(&self, 10);
	respond(&self, 1);
	refuse(&self, 0);
	assert_int_equal(crashes(&self), 0);
	assert_int_equal(responses_counted(rollout), 0);
	node_fixture_finish(&self.node);
}

static void
a_part_is_suspected_of_the_fall_of_a_brittle_endpoint(void **state)
{
	uint64_t part = PART;
	fixture_t self;

	(void)state;
	fixture_init(&self);
	self.req.part_digests = &part;
	self.req.part_digests_len = 1;
	say_brittle(&self);
	lose_attempt(&self, 0);
	node_fixture_advance(&self.node, 10);
	respond(&self, 1);
	refuse(&self, 0);
	assert_int_equal(crashes(&self), 0);
	assert_int_equal(quarantine_crash_count(
			     &self.node.node.relay.quarantine.table, PART),
	    1);
	node_fixture_finish(&self.node);
}

/* An attempt that waits for its first byte much longer than others did. */
static void
wait_for_first_byte(fixture_t *self)
{
	relay_t *relay = &self->node.node.relay;

	self->req.attempt.endpoint = self->endpoints[0];
	self->req.attempt.sent = true;
	self->req.attempt.new_version = true;
	self->req.attempt.sent_at = self->node.clock.now;
	self->req.attempt.guard_counted = false;
	relay->requests = &self->req;
	node_fixture_advance(&self->node, 60000);
}

static void
silence_of_lost_links_is_no_late_response(void **state)
{
	fixture_t self;
	rollout_t *rollout;
	relay_t *relay;

	(void)state;
	fixture_init(&self);
	relay = &self.node.node.relay;
	rollout = rollout_begin(&self);
	for (int i = 0; i < 40; i++) {
		self.req.attempt.endpoint = self.endpoints[0];
		self.req.attempt.sent = true;
		self.req.attempt.first_byte_ms = 100;
		self.req.attempt.guard_counted = false;
		relay_canary_first_byte(&self.req);
	}
	wait_for_first_byte(&self);
	relay_canary_check_overdue(relay);
	assert_int_equal(responses_counted(rollout), 0);
	respond(&self, 1);
	self.req.attempt.endpoint = self.endpoints[0];
	relay_canary_check_overdue(relay);
	assert_int_equal(responses_counted(rollout), 1);
	relay->requests = NULL;
	node_fixture_finish(&self.node);
}

static void
a_response_is_kept_while_no_other_endpoint_can_be_reached(void **state)
{
	fixture_t self;

	(void)state;
	fixture_init(&self);
	self.req.config = relay_config_new(1);
	assert_true(relay_has_unlimited_endpoint(&self.req));
	for (int i = 0; i < REACH_FAILED_MIN; i++)
		refuse(&self, i);
	assert_false(relay_has_unlimited_endpoint(&self.req));
	relay_config_release(self.req.config);
	node_fixture_finish(&self.node);
}

static void
endpoints_are_not_ejected_once_the_links_are_restored(void **state)
{
	fixture_t self;

	(void)state;
	fixture_init(&self);
	for (int i = 0; i < ENDPOINTS; i++) {
		refuse(&self, i);
		endpoint_record_refused(self.endpoints[i]);
	}
	assert_true(endpoint_is_ejected(self.endpoints[3]));
	respond(&self, 1);
	for (int i = 0; i < ENDPOINTS; i++)
		assert_false(endpoint_is_ejected(self.endpoints[i]));
	node_fixture_finish(&self.node);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(refused_connections_of_lost_links_are_no_crashes),
	    cmocka_unit_test(
		a_refused_connection_is_a_crash_if_other_endpoints_accept),
	    cmocka_unit_test(crash_is_known_before_the_address_is_used_again),
	    cmocka_unit_test(attempts_lost_with_the_links_are_no_suspicion),
	    cmocka_unit_test(failures_of_lost_links_are_none_of_the_version),
	    cmocka_unit_test(
		a_brittle_endpoint_that_falls_is_no_sign_of_a_crash_or_a_bad_version),
	    cmocka_unit_test(
		a_part_is_suspected_of_the_fall_of_a_brittle_endpoint),
	    cmocka_unit_test(silence_of_lost_links_is_no_late_response),
	    cmocka_unit_test(
		a_response_is_kept_while_no_other_endpoint_can_be_reached),
	    cmocka_unit_test(
		endpoints_are_not_ejected_once_the_links_are_restored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
