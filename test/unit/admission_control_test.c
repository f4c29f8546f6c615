/**
 * @file
 * Admission control of one daemon: what it holds, when it stops, in which order
 * requests that wait are sent.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <math.h>

#include "moortack/scheduling/wait_queue.h"

#define OBJECTIVE_MS 300
#define COST_MS 60.0
#define CAPACITY 18000.0
#define DAEMONS 9

static service_admission_t admission;
static int64_t now_ms;

static int
setup(void **state)
{
	(void)state;
	now_ms = 1000000;
	service_admission_init(&admission);
	service_admission_set_capacity(&admission, CAPACITY, DAEMONS);
	return 0;
}

static admission_request_t
request_of(uint64_t organisation, int rank)
{
	return (admission_request_t){.organisation = organisation,
	    .rank = rank,
	    .cost_ms = COST_MS,
	    .objective_ms = OBJECTIVE_MS,
	    .latest_start_ms = now_ms + OBJECTIVE_MS - (int64_t)COST_MS};
}

static admission_decision_t
decide(uint64_t organisation, int rank)
{
	admission_request_t request = request_of(organisation, rank);

	return service_admission_decide(&admission, &request, now_ms);
}

/* Requests of an organisation in a second, evenly spread, while endpoints
 * report this wait. @return how many are sent */
static int
second_pass(uint64_t organisation, int rank, int requests, double wait_ms)
{
	int sent = 0;

	for (int i = 0; i < requests; i++) {
		now_ms += 1000 / requests;
		service_admission_observe(&admission, wait_ms, 1, now_ms);
		sent += decide(organisation, rank).verdict == ADMISSION_SEND;
	}
	return sent;
}

/* Guards against requests that are held though nothing is known. */
static void
test_unknown_load_admits_all(void **state)
{
	(void)state;
	for (int i = 0; i < 1000; i++)
		assert_int_equal(decide(1, 9).verdict, ADMISSION_SEND);
	assert_int_equal(decide(1, 9).reason, ADMISSION_FREE);
	/* The first response tells a daemon that has just started. */
	service_admission_observe(&admission, 200, 1, now_ms);
	assert_true(service_admission_is_crowded(&admission, now_ms));
	assert_int_not_equal(decide(1, 9).verdict, ADMISSION_SEND);
	/* Reports stop: after a second nothing is known. */
	now_ms += 1001;
	assert_false(service_admission_is_crowded(&admission, now_ms));
	assert_true(service_admission_wait_ms(&admission, now_ms) < 0);
	for (int i = 0; i < 1000; i++)
		assert_int_equal(decide(1, 9).verdict, ADMISSION_SEND);
}

/* Guards against control that stays on after a burst, also due to requests that
 * do not wait any more: their organisations are forgotten, or their costs leave
 * a remainder of rounding. */
static void
test_crowded_ends(void **state)
{
	wait_entry_t entries[2] = {0};
	wait_queue_t queue;

	(void)state;
	wait_queue_init(&queue, &admission, WAIT_QUEUE_MAX_DEFAULT);
	second_pass(1, 0, 100, 200);
	for (int i = 0; i < 2; i++) {
		entries[i].request = request_of(1, 0);
		entries[i].request.cost_ms = 0.1 * (i + 1);
		assert_true(wait_queue_add(&queue, &entries[i], now_ms));
	}
	for (uint64_t i = 0; i < 2 * FAIR_SHARE_FLOWS_MAX; i++) {
		now_ms++;
		decide(100 + i, 0);
	}
	for (int i = 0; i < 2; i++)
		wait_queue_remove(&queue, &entries[i]);
	assert_true(service_admission_is_crowded(&admission, now_ms));
	for (int i = 0; i < 40; i++) {
		now_ms += 50;
		service_admission_observe(&admission, 0, 0.5, now_ms);
	}
	assert_false(service_admission_is_crowded(&admission, now_ms));
}

/* Guards against a daemon that ends its control as its own holding back has
 * brought the wait down: it would send without limit at once. */
static void
test_crowded_while_requests_are_held(void **state)
{
	(void)state;
	second_pass(1, 0, 100, 200);
	for (int i = 0; i < 3; i++)
		second_pass(1, 0, 500, 1);
	assert_true(service_admission_is_crowded(&admission, now_ms));
}

/* Guards against refusals next to free slots. */
static void
test_free_slots_are_used(void **state)
{
	(void)state;
	second_pass(1, 0, 100, 200);
	service_admission_observe(&admission, 0, 0.4, now_ms);
	for (int i = 0; i < 20; i++)
		assert_int_equal(decide(1, 0).verdict, ADMISSION_SEND);
}

/* Guards against one organisation that takes what others would use. */
static void
test_organisation_share(void **state)
{
	int sent[2] = {0};

	(void)state;
	second_pass(1, 0, 100, 200);
	for (int i = 0; i < 800; i++) {
		now_ms += 10;
		service_admission_observe(&admission, 60, 1, now_ms);
		sent[0] += decide(1, 0).verdict == ADMISSION_SEND;
		if (i % 10 == 0)
			sent[1] += decide(2, 0).verdict == ADMISSION_SEND;
	}
	assert_in_range(sent[1], 76, 80);
	/* 33 a second are the daemon's share, of which 10 are used; the wait
	 * at first was too high for all of it. */
	assert_in_range(sent[0], 8 * 10, 8 * 23);
	assert_int_equal(service_admission_above_share(&admission, now_ms), 1);
	assert_int_equal(decide(1, 0).reason, ADMISSION_ABOVE_SHARE);
}

/* Guards against a Retry-After that is too early for what it promises. */
static void
test_retry_after(void **state)
{
	admission_request_t request;
	admission_decision_t decision;

	(void)state;
	second_pass(1, 0, 200, 80);
	second_pass(1, 0, 200, 80);
	request = request_of(1, 0);
	request.latest_start_ms = now_ms;
	decision = service_admission_decide(&admission, &request, now_ms);
	assert_int_equal(decision.verdict, ADMISSION_REFUSE);
	assert_in_range(decision.retry_after_ms, 1, 1000);
	for (int64_t i = 0; i < 2 * decision.retry_after_ms; i += 10) {
		now_ms += 10;
		service_admission_observe(&admission, 80, 1, now_ms);
	}
	assert_int_equal(decide(1, 0).verdict, ADMISSION_SEND);
}

/* Guards against ranks that displace a higher one, and that starve. */
static void
test_ranks(void **state)
{
	int sent[2] = {0};

	(void)state;
	second_pass(1, 5, 100, 200);
	for (int i = 0; i < 1000; i++) {
		now_ms += 10;
		service_admission_observe(&admission, 60, 1, now_ms);
		sent[0] += decide(1, 0).verdict == ADMISSION_SEND;
		if (i % 10 == 0)
			sent[1] += decide(2, 5).verdict == ADMISSION_SEND;
	}
	assert_true(sent[0] >= 10 * 20);
	/* A twentieth of 30 a second, and not much more. */
	assert_in_range(sent[1], 10, 40);
	assert_int_equal(decide(2, 5).reason, ADMISSION_RANK);
}

/* Guards against requests with a long objective that are sent without limit
 * while urgent ones are held: 200 ms are no delay for them alone. */
static void
test_shortest_objective_decides(void **state)
{
	admission_request_t request = request_of(2, 5);

	(void)state;
	request.objective_ms = 8000;
	assert_int_equal(
	    service_admission_decide(&admission, &request, now_ms).verdict,
	    ADMISSION_SEND);
	service_admission_observe(&admission, 200, 1, now_ms);
	assert_false(service_admission_is_crowded(&admission, now_ms));
	second_pass(1, 0, 100, 200);
	assert_true(service_admission_is_crowded(&admission, now_ms));
}

/* Guards against a clock that goes back or jumps ahead (a suspended VM). */
static void
test_clock(void **state)
{
	(void)state;
	second_pass(1, 0, 100, 200);
	now_ms -= 5000;
	decide(1, 0);
	assert_true(service_admission_is_crowded(&admission, now_ms));
	now_ms += (int64_t)1 << 40;
	assert_int_equal(decide(1, 0).verdict, ADMISSION_SEND);
	second_pass(1, 0, 100, 200);
	assert_true(isfinite(admission.pool_ms));
	assert_true(second_pass(1, 0, 100, 200) < 50);
}

/* Guards against an order of arrival instead of urgency. */
static void
test_queue_order(void **state)
{
	wait_queue_t queue;
	wait_entry_t entries[4] = {{.request = request_of(1, 2)},
	    {.request = request_of(2, 2)}, {.request = request_of(3, 1)},
	    {.request = request_of(4, 1)}};

	(void)state;
	wait_queue_init(&queue, &admission, 3);
	entries[1].request.latest_start_ms -= 10;
	for (int i = 0; i < 3; i++)
		assert_true(wait_queue_add(&queue, &entries[i], now_ms));
	assert_false(wait_queue_add(&queue, &entries[3], now_ms));
	assert_true(wait_queue_next_ms(&queue, now_ms) <= now_ms);
	assert_ptr_equal(wait_queue_pop(&queue, now_ms), &entries[2]);
	assert_ptr_equal(wait_queue_pop(&queue, now_ms), &entries[1]);
	wait_queue_remove(&queue, &entries[0]);
	wait_queue_remove(&queue, &entries[0]);
	assert_null(wait_queue_pop(&queue, now_ms));
	assert_true(wait_queue_next_ms(&queue, now_ms) == INT64_MAX);
}

/* Guards against requests that wait beyond the time at which they could be
 * served, and against ones that are forgotten. */
static void
test_queue_late(void **state)
{
	wait_queue_t queue;
	wait_entry_t entry = {0};
	int64_t give_up_ms;

	(void)state;
	wait_queue_init(&queue, &admission, WAIT_QUEUE_MAX_DEFAULT);
	second_pass(1, 0, 200, 200);
	entry.request = request_of(1, 0);
	give_up_ms = admission_request_give_up_ms(&entry.request);
	assert_true(give_up_ms < entry.request.latest_start_ms);
	assert_true(wait_queue_add(&queue, &entry, now_ms));
	assert_in_range(
	    wait_queue_next_ms(&queue, now_ms), now_ms, now_ms + 100);
	assert_null(wait_queue_pop_late(&queue, give_up_ms));
	assert_ptr_equal(wait_queue_pop_late(&queue, give_up_ms + 1), &entry);
	assert_null(wait_queue_pop_any(&queue));
}

/* Guards against shares that don't use up the rate or aren't equal, and against
 * a table that grows with the organisations. */
static void
test_fair_share(void **state)
{
	static fair_share_t shares;

	(void)state;
	fair_share_init(&shares);
	for (int i = 0; i < 20000; i++) {
		now_ms += 1;
		fair_share_arrive(&shares, 1, 0, 1, now_ms);
		if (i % 2 == 0)
			fair_share_arrive(&shares, 2, 0, 1, now_ms);
		if (i % 10 == 0)
			fair_share_arrive(&shares, 3, 0, 1, now_ms);
	}
	/* Demands of 1000, 500 and 100. */
	fair_share_compute(&shares, 900, now_ms);
	assert_in_range((int)shares.levels[0], 370, 430);
	fair_share_compute(&shares, 1500, now_ms);
	assert_in_range((int)shares.levels[0], 830, 970);
	fair_share_compute(&shares, 2000, now_ms);
	assert_true(isinf(shares.levels[0]));
	for (uint64_t i = 0; i < 1000; i++) {
		now_ms += 1;
		fair_share_arrive(&shares, 1, 0, 1, now_ms);
		fair_share_arrive(&shares, 100 + i, 0, 1, now_ms);
	}
	assert_int_equal(shares.flow_count, FAIR_SHARE_FLOWS_MAX);
	assert_non_null(fair_share_find(&shares, 1, 0));
	assert_null(fair_share_find(&shares, 2, 0));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup(test_unknown_load_admits_all, setup),
	    cmocka_unit_test_setup(test_crowded_ends, setup),
	    cmocka_unit_test_setup(test_crowded_while_requests_are_held, setup),
	    cmocka_unit_test_setup(test_free_slots_are_used, setup),
	    cmocka_unit_test_setup(test_organisation_share, setup),
	    cmocka_unit_test_setup(test_retry_after, setup),
	    cmocka_unit_test_setup(test_ranks, setup),
	    cmocka_unit_test_setup(test_shortest_objective_decides, setup),
	    cmocka_unit_test_setup(test_clock, setup),
	    cmocka_unit_test_setup(test_queue_order, setup),
	    cmocka_unit_test_setup(test_queue_late, setup),
	    cmocka_unit_test_setup(test_fair_share, setup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
