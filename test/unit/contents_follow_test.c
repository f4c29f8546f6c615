/**
 * @file
 * When an endpoint's list and events are requested. Lists delay the endpoint's
 * work, and calls without a pause load it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "moortack/kv_cache/contents_follow.h"

#define START 1000

static contents_follow_t
followed_since(int64_t now_ms)
{
	contents_follow_t follow;

	contents_follow_init(&follow, now_ms, FOLLOW_SPREAD_MS, 0);
	assert_int_equal(
	    contents_follow_next(&follow, now_ms).action, FOLLOW_LIST);
	contents_follow_sent(&follow, now_ms);
	contents_follow_succeeded(&follow, CONTENTS_COMPLETE, 7, now_ms + 10);
	return follow;
}

/* The action at the time for which a step that waits asks. */
static follow_step_t
step_after_wait(const contents_follow_t *follow, int64_t *now_ms)
{
	follow_step_t step = contents_follow_next(follow, *now_ms);

	if (step.action == FOLLOW_WAIT && step.at_ms != INT64_MAX) {
		assert_true(step.at_ms > *now_ms);
		*now_ms = step.at_ms;
		step = contents_follow_next(follow, *now_ms);
	}
	return step;
}

static void
first_lists_are_spread(void **state)
{
	contents_follow_t follow;
	int64_t now_ms = START;

	(void)state;
	contents_follow_init(&follow, START, FOLLOW_START_SPREAD_MS, 1499);
	assert_int_equal(step_after_wait(&follow, &now_ms).action, FOLLOW_LIST);
	assert_int_equal(now_ms, START + 499);
	assert_false(contents_follow_is_fresh(&follow, now_ms));
}

static void
calls_for_events_keep_their_distance(void **state)
{
	contents_follow_t follow = followed_since(START);
	int64_t now_ms = START + 10;
	follow_step_t step = step_after_wait(&follow, &now_ms);

	(void)state;
	assert_int_equal(step.action, FOLLOW_EVENTS);
	assert_int_equal(step.since, 7);
	assert_int_equal(now_ms, START + 200);
	contents_follow_sent(&follow, now_ms);
	step = contents_follow_next(&follow, now_ms + 500);
	assert_int_equal(step.action, FOLLOW_WAIT);
	assert_int_equal(step.at_ms, INT64_MAX);
	contents_follow_succeeded(&follow, CONTENTS_COMPLETE, 9, now_ms + 900);
	step = contents_follow_next(&follow, now_ms + 900);
	assert_int_equal(step.action, FOLLOW_EVENTS);
	assert_int_equal(step.since, 9);
}

/* Endpoints whose events go missing all the time are not listed all the time.
 */
static void
lists_keep_their_distance(void **state)
{
	contents_follow_t follow = followed_since(START);
	int64_t now_ms = START + 10;
	int64_t listed_ms = START;
	uint64_t lists = 0;

	(void)state;
	while (now_ms < START + 60000) {
		follow_step_t step = step_after_wait(&follow, &now_ms);

		contents_follow_sent(&follow, now_ms);
		if (step.action == FOLLOW_LIST) {
			assert_true(now_ms >= listed_ms + 5000);
			listed_ms = now_ms;
			lists++;
			contents_follow_succeeded(
			    &follow, CONTENTS_COMPLETE, 7, now_ms);
			continue;
		}
		assert_int_equal(step.action, FOLLOW_EVENTS);
		contents_follow_succeeded(&follow, CONTENTS_GAP, 8, now_ms);
		assert_true(contents_follow_is_fresh(&follow, now_ms));
	}
	assert_in_range(lists, 11, 12);
}

static void
nothing_is_known_between_loss_and_list(void **state)
{
	contents_follow_t follow = followed_since(START);
	int64_t now_ms = START + 200;

	(void)state;
	contents_follow_sent(&follow, now_ms);
	contents_follow_succeeded(&follow, CONTENTS_LOST, 0, now_ms);
	assert_false(contents_follow_is_fresh(&follow, now_ms));
	assert_int_equal(step_after_wait(&follow, &now_ms).action, FOLLOW_LIST);
	assert_int_equal(now_ms, START + 5000);
}

static void
failures_back_off(void **state)
{
	static const int64_t longest_ms[] = {
	    200, 400, 800, 1600, 3200, 5000, 5000, 5000};
	contents_follow_t follow = followed_since(START);
	int64_t now_ms = START + 200;

	(void)state;
	for (size_t i = 0; i < sizeof(longest_ms) / sizeof(longest_ms[0]);
	     i++) {
		int64_t failed_ms = now_ms;

		contents_follow_sent(&follow, now_ms);
		contents_follow_failed(
		    &follow, FOLLOW_NO_RESPONSE, now_ms, 7919 * i);
		assert_int_equal(
		    step_after_wait(&follow, &now_ms).action, FOLLOW_EVENTS);
		assert_in_range(
		    now_ms - failed_ms, longest_ms[i] / 2, longest_ms[i]);
	}
	assert_false(contents_follow_is_fresh(&follow, now_ms));
	contents_follow_sent(&follow, now_ms);
	contents_follow_succeeded(&follow, CONTENTS_COMPLETE, 8, now_ms);
	assert_true(contents_follow_is_fresh(&follow, now_ms));
	assert_int_equal(follow.failures, 0);
}

/* After a gap, parts that were dropped count as kept until a list corrects it:
 * a list that never comes must end that. */
static void
gap_without_a_list_ends_the_belief(void **state)
{
	contents_follow_t follow = followed_since(START);
	int64_t now_ms = START;
	int lists = 0;

	(void)state;
	while (now_ms < START + 60000) {
		follow_step_t step = step_after_wait(&follow, &now_ms);

		contents_follow_sent(&follow, now_ms);
		if (step.action == FOLLOW_LIST) {
			lists++;
			contents_follow_failed(
			    &follow, FOLLOW_NO_RESPONSE, now_ms, 0);
			continue;
		}
		contents_follow_succeeded(&follow, CONTENTS_GAP, 8, now_ms);
		assert_true(contents_follow_is_fresh(&follow, now_ms) ==
		    (now_ms < START + 200 + 10000));
	}
	/* At 5, 10, 20 and 40 s from each other. */
	assert_in_range(lists, 3, 5);
	now_ms += 40000;
	contents_follow_sent(&follow, now_ms);
	contents_follow_succeeded(&follow, CONTENTS_COMPLETE, 8, now_ms);
	assert_true(contents_follow_is_fresh(&follow, now_ms));
}

/* A refused list may be repeated soon, one without a response may have delayed
 * the endpoint. */
static void
refused_lists_are_repeated_soon(void **state)
{
	static const follow_failure_t failures[] = {
	    FOLLOW_REFUSED, FOLLOW_NO_RESPONSE};

	(void)state;
	for (size_t i = 0; i < 2; i++) {
		contents_follow_t follow;
		int64_t now_ms = START;

		contents_follow_init(&follow, START, FOLLOW_SPREAD_MS, 0);
		contents_follow_sent(&follow, START);
		contents_follow_failed(&follow, failures[i], START, 0);
		assert_int_equal(
		    step_after_wait(&follow, &now_ms).action, FOLLOW_LIST);
		assert_int_equal(now_ms, i == 0 ? START + 200 : START + 5000);
	}
}

static void
endpoints_without_the_calls_are_left_alone(void **state)
{
	contents_follow_t follow = followed_since(START);

	(void)state;
	contents_follow_sent(&follow, START + 200);
	contents_follow_failed(&follow, FOLLOW_NOT_OFFERED, START + 210, 0);
	assert_false(contents_follow_is_fresh(&follow, START + 210));
	assert_int_equal(
	    contents_follow_next(&follow, START + 1000000).action, FOLLOW_STOP);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(first_lists_are_spread),
	    cmocka_unit_test(calls_for_events_keep_their_distance),
	    cmocka_unit_test(lists_keep_their_distance),
	    cmocka_unit_test(nothing_is_known_between_loss_and_list),
	    cmocka_unit_test(failures_back_off),
	    cmocka_unit_test(gap_without_a_list_ends_the_belief),
	    cmocka_unit_test(refused_lists_are_repeated_soon),
	    cmocka_unit_test(endpoints_without_the_calls_are_left_alone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
