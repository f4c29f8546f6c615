/**
 * @file
 * Where prompts go: what endpoints keep, what they still have to read, and the
 * choice among them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "moortack/relay/endpoint_choice.h"
#include "moortack/relay/prefill_queue.h"
#include "moortack/relay/prefix_index.h"

#define ENDPOINTS 8
#define SHARED 4711

static void
candidates_fill(endpoint_candidate_t *out)
{
	for (size_t i = 0; i < ENDPOINTS; i++)
		out[i] = (endpoint_candidate_t){.hash = i * 7919 + 13,
		    .load = 3,
		    .slots = 64,
		    .own_prefill_ms = 100,
		    .shared_prefill_ms = 400};
}

static choice_criteria_t
wish_of(uint32_t dice)
{
	return (choice_criteria_t){.has_prompt = true,
	    .affinity = SHARED,
	    .first_cached = 0.9,
	    .tie_breaker = dice};
}

static void
the_same_prompt_goes_to_the_same_endpoint(void **state)
{
	endpoint_candidate_t candidates[ENDPOINTS];
	choice_criteria_t wish = wish_of(0);
	size_t first;

	(void)state;
	candidates_fill(candidates);
	first = endpoint_choose(candidates, ENDPOINTS, &wish);
	for (uint32_t dice = 0; dice < 50; dice++) {
		wish = wish_of(dice);
		assert_int_equal(
		    endpoint_choose(candidates, ENDPOINTS, &wish), first);
	}
	/* A wait that is shorter than reading it elsewhere is borne. */
	candidates[first].queue_wait_ms = 300;
	assert_int_equal(endpoint_choose(candidates, ENDPOINTS, &wish), first);
	candidates[first].queue_wait_ms = 500;
	assert_int_not_equal(
	    endpoint_choose(candidates, ENDPOINTS, &wish), first);
}

static void
what_is_kept_is_worth_its_reading(void **state)
{
	endpoint_candidate_t candidates[ENDPOINTS];
	choice_criteria_t wish = wish_of(7);
	size_t first, owner;

	(void)state;
	candidates_fill(candidates);
	first = endpoint_choose(candidates, ENDPOINTS, &wish);
	owner = (first + 1) % ENDPOINTS;
	candidates[owner].shared_prefill_ms = 0;
	candidates[first].queue_wait_ms = 50;
	assert_int_equal(endpoint_choose(candidates, ENDPOINTS, &wish), owner);
	/* Alone, nobody else has sent anything there. */
	wish.first_cached = 0;
	candidates[first].queue_wait_ms = 0;
	assert_int_equal(endpoint_choose(candidates, ENDPOINTS, &wish), owner);
}

static void
another_place_is_taken_for_what_it_saves(void **state)
{
	endpoint_candidate_t candidates[ENDPOINTS];
	choice_criteria_t wish = wish_of(7);
	size_t chosen;

	(void)state;
	candidates_fill(candidates);
	for (size_t i = 0; i < ENDPOINTS; i++) {
		candidates[i].same_zone = i == 5;
		candidates[i].cross_zone_ms = i == 5 ? 0 : 600;
	}
	assert_int_equal(endpoint_choose(candidates, ENDPOINTS, &wish), 5);
	candidates[5].queue_wait_ms = 900;
	chosen = endpoint_choose(candidates, ENDPOINTS, &wish);
	assert_int_not_equal(chosen, 5);
}

static void
busy_endpoints_are_passed_over(void **state)
{
	endpoint_candidate_t candidates[ENDPOINTS];
	choice_criteria_t wish = wish_of(7);
	size_t first;

	(void)state;
	candidates_fill(candidates);
	first = endpoint_choose(candidates, ENDPOINTS, &wish);
	candidates[first].load = 40;
	assert_int_not_equal(
	    endpoint_choose(candidates, ENDPOINTS, &wish), first);
}

static void
an_ejected_endpoint_is_taken_only_if_all_are(void **state)
{
	endpoint_candidate_t candidates[ENDPOINTS];
	choice_criteria_t wish = wish_of(0);
	size_t first;

	(void)state;
	candidates_fill(candidates);
	first = endpoint_choose(candidates, ENDPOINTS, &wish);
	candidates[first].ejected = true;
	assert_int_not_equal(
	    endpoint_choose(candidates, ENDPOINTS, &wish), first);
	for (size_t i = 0; i < ENDPOINTS; i++)
		candidates[i].ejected = true;
	assert_int_equal(endpoint_choose(candidates, ENDPOINTS, &wish), first);
	assert_int_equal(endpoint_choose(candidates, 0, &wish), SIZE_MAX);
}

static void
plain_work_goes_where_least_waits(void **state)
{
	endpoint_candidate_t candidates[ENDPOINTS];
	choice_criteria_t wish = {.cross_zone_penalty = 0.1};

	(void)state;
	candidates_fill(candidates);
	candidates[5].load = 0;
	for (wish.tie_breaker = 0; wish.tie_breaker < 20; wish.tie_breaker++)
		assert_int_equal(
		    endpoint_choose(candidates, ENDPOINTS, &wish), 5);
	candidates[2].same_zone = true;
	assert_int_equal(endpoint_choose(candidates, ENDPOINTS, &wish), 2);
}

static prefix_list_t
prompt_of(uint64_t subject, uint64_t own)
{
	static arrival_t arrival;
	prefix_list_t list;

	arrival.parts_len = 3;
	arrival.parts[0] = (prompt_part_t){1, 100};
	arrival.parts[1] = (prompt_part_t){subject, 1000};
	arrival.parts[2] = (prompt_part_t){own, 50};
	prefix_list_fill(&list, &arrival, 9);
	return list;
}

static void
beginnings_are_kept_by_endpoint_and_model(void **state)
{
	prefix_list_t first = prompt_of(2, 3), second = prompt_of(2, 4);
	prefix_list_t other = prompt_of(5, 3), of_model;
	arrival_t arrival = {.parts_len = 1, .parts = {{1, 100}}};
	prefix_index_t memory;

	(void)state;
	assert_true(prefix_index_init(&memory));
	assert_int_equal(
	    prefix_index_cached_tokens(&memory, &first, 77, 1000), 0);
	prefix_index_add(&memory, &first, 77, 1000);
	assert_int_equal(
	    prefix_index_cached_tokens(&memory, &first, 77, 1000), 1150);
	assert_int_equal(
	    prefix_index_cached_tokens(&memory, &second, 77, 1000), 1100);
	assert_int_equal(
	    prefix_index_cached_tokens(&memory, &other, 77, 1000), 100);
	assert_int_equal(
	    prefix_index_cached_tokens(&memory, &first, 78, 1000), 0);
	prefix_list_fill(&of_model, &arrival, 10);
	assert_int_equal(
	    prefix_index_cached_tokens(&memory, &of_model, 77, 1000), 0);
	/* Endpoints forget. */
	assert_int_equal(
	    prefix_index_cached_tokens(&memory, &first, 77, 100000), 0);
	prefix_index_finish(&memory);
}

static void
a_full_memory_forgets_the_oldest(void **state)
{
	prefix_index_t memory;
	prefix_list_t list;
	size_t kept = 0;

	(void)state;
	assert_true(prefix_index_init(&memory));
	for (int64_t i = 0; i < 20000; i++) {
		list = prompt_of((uint64_t)i + 10, (uint64_t)i);
		prefix_index_add(&memory, &list, 77, i / 2);
	}
	for (uint64_t i = 19000; i < 20000; i++) {
		list = prompt_of(i + 10, i);
		kept +=
		    prefix_index_cached_tokens(&memory, &list, 77, 10000) > 100;
	}
	assert_true(kept > 950);
	prefix_index_finish(&memory);
}

static void
prompts_wait_for_those_before(void **state)
{
	prefill_entry_t first, second;
	prefill_queue_t queue;

	(void)state;
	prefill_queue_init(&queue);
	assert_true(prefill_queue_wait_ms(&queue, 1000) == 0);
	prefill_queue_add(&queue, &first, 300, 1000);
	prefill_queue_add(&queue, &second, 200, 1000);
	assert_true(prefill_queue_wait_ms(&queue, 1100) == 400);
	prefill_queue_complete(&queue, &first, 1300);
	assert_true(prefill_queue_wait_ms(&queue, 1300) == 200);
	prefill_queue_complete(&queue, &second, 1500);
	assert_true(prefill_queue_wait_ms(&queue, 1500) == 0);
	prefill_queue_cancel(&queue, &second, 1500);
	assert_true(prefill_queue_wait_ms(&queue, 1500) == 0);
}

/* What others sent there shows by answers that begin late. */
static void
a_late_answer_moves_what_is_behind(void **state)
{
	prefill_entry_t first, second;
	prefill_queue_t queue;

	(void)state;
	prefill_queue_init(&queue);
	prefill_queue_add(&queue, &first, 300, 1000);
	prefill_queue_add(&queue, &second, 200, 1000);
	/* 500 ms over its time: at least as long for the next. */
	assert_true(prefill_queue_wait_ms(&queue, 1800) >= 500);
	prefill_queue_complete(&queue, &first, 1800);
	assert_true(prefill_queue_wait_ms(&queue, 1800) == 200);
	prefill_queue_complete(&queue, &second, 1850);
	assert_true(prefill_queue_wait_ms(&queue, 1850) == 0);
}

/* What another daemon tells is waited for as one's own. */
static void
prompts_of_others_are_waited_for(void **state)
{
	prefill_entry_t own;
	prefill_queue_t queue;

	(void)state;
	prefill_queue_init(&queue);
	prefill_queue_add_remote(&queue, 300, 1000);
	assert_true(prefill_queue_wait_ms(&queue, 1100) == 200);
	prefill_queue_add(&queue, &own, 100, 1100);
	assert_true(prefill_queue_wait_ms(&queue, 1100) == 300);
	prefill_queue_complete(&queue, &own, 1400);
	assert_true(prefill_queue_wait_ms(&queue, 1400) == 0);
}

/* A caller may say of its prompt what it likes: that keeps an endpoint out of
 * use for seconds, not for good, at the daemons that were told, too. */
static void
no_prompt_is_believed_to_take_for_ever(void **state)
{
	prefill_entry_t own;
	prefill_queue_t queue;

	(void)state;
	prefill_queue_init(&queue);
	prefill_queue_add_remote(&queue, 1e9, 1000);
	assert_true(prefill_queue_wait_ms(&queue, 1000) <= 20000);
	prefill_queue_add(&queue, &own, 1e12, 1000);
	assert_true(prefill_queue_wait_ms(&queue, 1000) <= 40000);
	prefill_queue_cancel(&queue, &own, 1000);
	assert_true(prefill_queue_wait_ms(&queue, 1000) <= 20000);
}

static void
what_is_taken_back_is_not_waited_for(void **state)
{
	prefill_entry_t first, second;
	prefill_queue_t queue;

	(void)state;
	prefill_queue_init(&queue);
	prefill_queue_add(&queue, &first, 300, 1000);
	prefill_queue_add(&queue, &second, 200, 1000);
	prefill_queue_cancel(&queue, &first, 1100);
	assert_true(prefill_queue_wait_ms(&queue, 1100) == 200);
	prefill_queue_cancel(&queue, &second, 1100);
	assert_true(prefill_queue_wait_ms(&queue, 1100) == 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(the_same_prompt_goes_to_the_same_endpoint),
	    cmocka_unit_test(what_is_kept_is_worth_its_reading),
	    cmocka_unit_test(another_place_is_taken_for_what_it_saves),
	    cmocka_unit_test(busy_endpoints_are_passed_over),
	    cmocka_unit_test(an_ejected_endpoint_is_taken_only_if_all_are),
	    cmocka_unit_test(plain_work_goes_where_least_waits),
	    cmocka_unit_test(beginnings_are_kept_by_endpoint_and_model),
	    cmocka_unit_test(a_full_memory_forgets_the_oldest),
	    cmocka_unit_test(prompts_wait_for_those_before),
	    cmocka_unit_test(a_late_answer_moves_what_is_behind),
	    cmocka_unit_test(prompts_of_others_are_waited_for),
	    cmocka_unit_test(no_prompt_is_believed_to_take_for_ever),
	    cmocka_unit_test(what_is_taken_back_is_not_waited_for),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
