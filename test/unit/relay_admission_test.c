/**
 * @file
 * Which attempts are held while a service is crowded: none whose refusal could
 * not promise that the request has not run, none that was admitted before, and
 * no larger model is asked.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <math.h>
#include <stdio.h>

#include "../../moortack/relay/relay_admission.h"
#include "../support/node_fixture.h"

#define SERVICE "plain"
#define OBJECTIVE_MS 10000
#define WAIT_MS 8000
#define REQUESTS 4

typedef struct fixture {
	node_fixture_t node;
	relay_t *relay;
	relay_route_t route;
	relay_organisation_t organisation;
	relay_request_t requests[REQUESTS];
	service_state_t *state;
} fixture_t;

static void
request_init(fixture_t *self, relay_request_t *req)
{
	*req = (relay_request_t){.relay = self->relay,
	    .route = &self->route,
	    .organisation = &self->organisation,
	    .service = SERVICE,
	    .time_limit_ms = 2 * OBJECTIVE_MS,
	    .received_at = clock_boottime(self->relay->clock)};
}

/* Endpoints report a wait until the service counts as crowded, and the rate is
 * used up. */
static void
crowd(fixture_t *self)
{
	admission_request_t sent = {.organisation = 1,
	    .cost_ms = 100,
	    .objective_ms = OBJECTIVE_MS,
	    .latest_start_ms = INT64_MAX};

	for (int i = 0; i < 100; i++) {
		int64_t now = relay_admission_now_ms(self->relay);

		service_admission_set_capacity(
		    &self->state->admission, 1000, 1);
		service_admission_observe(
		    &self->state->admission, WAIT_MS, 1, now);
		service_admission_decide(&self->state->admission, &sent, now);
		node_fixture_advance(&self->node, 10);
	}
	assert_true(service_admission_is_crowded(
	    &self->state->admission, relay_admission_now_ms(self->relay)));
}

static void
fixture_init(fixture_t *self)
{
	const endpoint_info_t info = {.id = "i-1",
	    .service = SERVICE,
	    .zone = "a",
	    .version = "v1",
	    .address = {"127.0.0.1", 1},
	    .slots = 1};

	memset(self, 0, sizeof(*self));
	node_fixture_init(&self->node);
	self->relay = &self->node.node.relay;
	assert_non_null(endpoint_set_update(&self->node.node.endpoints, &info));
	self->relay->bounds.admission = true;
	self->relay->bounds.waiting_max = REQUESTS;
	self->route = (relay_route_t){
	    .name = "r", .latency_objective_ms = OBJECTIVE_MS, .priority = 5};
	self->organisation =
	    (relay_organisation_t){.name = "o", .priority = -1};
	self->state = relay_service_state(self->relay, SERVICE);
	for (int i = 0; i < REQUESTS; i++)
		request_init(self, &self->requests[i]);
}

/* Uses up what a newcomer may send at once, and lets the next one wait. */
static relay_request_t *
wait_one(fixture_t *self)
{
	relay_request_t *req = &self->requests[0];

	for (int i = 0; i < 1000 && relay_admission_pass(req); i++)
		req->admitted_at = NULL;
	assert_ptr_equal(req->waits_at, self->state);
	assert_int_equal(self->state->wait_queue.count, 1);
	return req;
}

static void
fixture_finish(fixture_t *self)
{
	for (int i = 0; i < REQUESTS; i++)
		relay_admission_leave(&self->requests[i]);
	node_fixture_finish(&self->node);
}

/* A response of the smaller model may be there, or an earlier attempt may have
 * run: a refusal would break its promise, a wait a stream. */
static void
attempts_that_may_have_run_are_not_held(void **state)
{
	fixture_t self;

	(void)state;
	fixture_init(&self);
	crowd(&self);
	wait_one(&self);
	self.requests[1].may_have_run = true;
	self.requests[2].response_started = true;
	self.requests[3].from_daemon = true;
	for (int i = 1; i < REQUESTS; i++)
		assert_true(relay_admission_pass(&self.requests[i]));
	fixture_finish(&self);
}

/* A request that got no place in time may have been sent through another daemon
 * that was then lost: it is not refused as not run. */
static void
expired_request_that_may_have_run_is_not_refused(void **state)
{
	fixture_t self;
	relay_request_t *req;

	(void)state;
	fixture_init(&self);
	crowd(&self);
	req = wait_one(&self);
	relay_admission_leave(req);
	req->expired_at = self.state;
	req->may_have_run = true;
	assert_true(relay_admission_pass(req));
	req->admitted_at = NULL;
	relay_admission_attempt_over(req, ATTEMPT_UNKNOWN);
	assert_null(req->expired_at);
	fixture_finish(&self);
}

static void
admitted_attempt_is_not_held_again(void **state)
{
	fixture_t self;
	relay_request_t *req;

	(void)state;
	fixture_init(&self);
	crowd(&self);
	req = wait_one(&self);
	relay_admission_leave(req);
	req->admitted_at = self.state;
	assert_true(relay_admission_pass(req));
	/* The place is kept if it was not used, and needed again otherwise. */
	relay_admission_attempt_over(req, ATTEMPT_NOT_SENT);
	assert_ptr_equal(req->admitted_at, self.state);
	relay_admission_attempt_over(req, ATTEMPT_NOT_RUN);
	assert_null(req->admitted_at);
	assert_false(relay_admission_pass(req));
	fixture_finish(&self);
}

/* A request that ends while it waits must not be sent later. */
static void
request_leaves_the_queue(void **state)
{
	fixture_t self;
	relay_request_t *req;

	(void)state;
	fixture_init(&self);
	crowd(&self);
	req = wait_one(&self);
	node_fixture_advance(&self.node, 70);
	relay_admission_leave(req);
	assert_int_equal(self.state->wait_queue.count, 0);
	assert_null(req->waits_at);
	assert_int_equal(req->waited_ms, 70);
	relay_admission_leave(req);
	assert_int_equal(req->waited_ms, 70);
	fixture_finish(&self);
}

static void
larger_model_is_not_asked_while_crowded(void **state)
{
	fixture_t self;

	(void)state;
	fixture_init(&self);
	assert_true(relay_admission_allows_escalation(&self.requests[1]));
	crowd(&self);
	wait_one(&self);
	assert_false(relay_admission_allows_escalation(&self.requests[2]));
	assert_int_equal(self.state->wait_queue.count, 1);
	assert_int_equal(
	    self.relay->stats.counters[STAT_ESCALATIONS_WITHHELD], 1);
	fixture_finish(&self);
}

static void
nothing_is_held_if_switched_off_or_not_crowded(void **state)
{
	fixture_t self;

	(void)state;
	fixture_init(&self);
	for (int i = 0; i < REQUESTS; i++)
		assert_true(relay_admission_pass(&self.requests[i]));
	crowd(&self);
	wait_one(&self);
	self.relay->bounds.admission = false;
	for (int i = 1; i < REQUESTS; i++) {
		self.requests[i].admitted_at = NULL;
		assert_true(relay_admission_pass(&self.requests[i]));
	}
	assert_true(relay_admission_allows_escalation(&self.requests[1]));
	fixture_finish(&self);
}

/* A response of the service's endpoint. */
static void
respond(fixture_t *self, int status, double first_byte_ms, uint32_t waiting)
{
	relay_request_t *req = &self->requests[0];

	req->attempt.first_byte_ms = first_byte_ms;
	req->attempt.response.has_load = true;
	req->attempt.response.load = (endpoint_load_t){1, waiting, 1};
	relay_admission_observe(req, status);
	node_fixture_advance(&self->node, 50);
}

static bool
refusals_crowd(fixture_t *self, int status, int64_t backoff_ms)
{
	relay_request_t *req = &self->requests[0];

	assert_true(relay_admission_pass(req));
	req->attempt.response.not_run = true;
	req->attempt.response.notice.backoff_ms = backoff_ms;
	for (int i = 0; i < 20; i++)
		respond(self, status, 1, 0);
	return relay_admission_is_crowded(req);
}

/* Nothing ever waits at an endpoint without a queue. */
static void
full_endpoints_without_a_queue_are_crowded(void **state)
{
	fixture_t self;

	(void)state;
	fixture_init(&self);
	assert_true(refusals_crowd(&self, 503, 0));
	fixture_finish(&self);
}

static void
refusals_for_other_reasons_are_not_counted(void **state)
{
	static const int statuses[] = {503, 429, 421};

	(void)state;
	for (int i = 0; i < 3; i++) {
		fixture_t self;

		fixture_init(&self);
		assert_false(
		    refusals_crowd(&self, statuses[i], i == 0 ? 1000 : 0));
		fixture_finish(&self);
	}
}

/* A daemon that starts while endpoints are crowded sees no response that has
 * not waited; without the time of a request it would hold none. */
static void
time_of_a_request_is_learned_under_load(void **state)
{
	fixture_t self;

	(void)state;
	fixture_init(&self);
	self.route.kind = ROUTE_STREAM;
	respond(&self, 200, 1, 0);
	self.route.kind = ROUTE_IDEMPOTENT;
	respond(&self, 500, 1, 0);
	assert_true(self.state->admission.service_ms <= 0);
	for (int i = 0; i < 20; i++)
		respond(&self, 200, 300, 2);
	assert_int_equal(lround(self.state->admission.service_ms), 100);
	assert_true(service_admission_wait_ms(&self.state->admission,
			relay_admission_now_ms(self.relay)) > 100);
	fixture_finish(&self);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(attempts_that_may_have_run_are_not_held),
	    cmocka_unit_test(expired_request_that_may_have_run_is_not_refused),
	    cmocka_unit_test(admitted_attempt_is_not_held_again),
	    cmocka_unit_test(request_leaves_the_queue),
	    cmocka_unit_test(larger_model_is_not_asked_while_crowded),
	    cmocka_unit_test(nothing_is_held_if_switched_off_or_not_crowded),
	    cmocka_unit_test(full_endpoints_without_a_queue_are_crowded),
	    cmocka_unit_test(refusals_for_other_reasons_are_not_counted),
	    cmocka_unit_test(time_of_a_request_is_learned_under_load),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
