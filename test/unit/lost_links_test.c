/**
 * @file
 * What a daemon whose links to the endpoints are lost must not conclude: that
 * endpoints crashed under its requests, or that their version is bad.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>

#include "../../moortack/relay/relay_quarantine_priv.h"
#include "../../moortack/relay/relay_request.h"
#include "../support/node_fixture.h"

#define ENDPOINTS 6
#define DIGEST 0x1234
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
	self->req = (relay_request_t){.relay = &self->node.node.relay,
	    .route = &self->route,
	    .service = SERVICE,
	    .digest = DIGEST};
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

/* What the attempts lost together does not keep the request from a retry. */
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

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(refused_connections_of_lost_links_are_no_crashes),
	    cmocka_unit_test(
		a_refused_connection_is_a_crash_if_other_endpoints_accept),
	    cmocka_unit_test(attempts_lost_with_the_links_are_no_suspicion),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
