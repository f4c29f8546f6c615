/**
 * @file
 * Which endpoint a prompt is sent to: the prefix index, the prefill queues, and
 * the choice among endpoints.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "moortack/relay/choose.h"
#include "moortack/relay/prefill_queue.h"
#include "moortack/relay/prefix_index.h"

#define ENDPOINTS 8
#define AFFINITY 4711

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
criteria_of(uint32_t tie_breaker)
{
	return (choice_criteria_t){.has_prompt = true,
	    .affinity = AFFINITY,
	    .first_cached = 0.9,
	    .tie_breaker = tie_breaker};
}

static void
equal_prompts_go_to_the_same_endpoint(void **state)
{
	endpoint_candidate_t candidates[ENDPOINTS];
	choice_criteria_t criteria = criteria_of(0);
	size_t first;

	(void)state;
	candidates_fill(candidates);
	first = endpoint_choose(candidates, ENDPOINTS, &criteria);
	for (uint32_t tie_breaker = 0; tie_breaker < 50; tie_breaker++) {
		criteria = criteria_of(tie_breaker);
		assert_int_equal(
		    endpoint_choose(candidates, ENDPOINTS, &criteria), first);
	}
	/* A wait that is shorter than the prefill elsewhere is accepted. */
	candidates[first].queue_wait_ms = 300;
	assert_int_equal(
	    endpoint_choose(candidates, ENDPOINTS, &criteria), first);
	candidates[first].queue_wait_ms = 500;
	assert_int_not_equal(
	    endpoint_choose(candidates, ENDPOINTS, &criteria), first);
}

static void
cached_prefixes_save_prefill_time(void **state)
{
	endpoint_candidate_t candidates[ENDPOINTS];
	choice_criteria_t criteria = criteria_of(7);
	size_t first, caching;

	(void)state;
	candidates_fill(candidates);
	first = endpoint_choose(candidates, ENDPOINTS, &criteria);
	caching = (first + 1) % ENDPOINTS;
	candidates[caching].shared_prefill_ms = 0;
	candidates[first].queue_wait_ms = 50;
	assert_int_equal(
	    endpoint_choose(candidates, ENDPOINTS, &criteria), caching);
	/* If there are no other daemons, none of them has sent the prefix
	 * there. */
	criteria.first_cached = 0;
	candidates[first].queue_wait_ms = 0;
	assert_int_equal(
	    endpoint_choose(candidates, ENDPOINTS, &criteria), caching);
}

static void
other_zone_is_chosen_if_it_is_cheaper(void **state)
{
	endpoint_candidate_t candidates[ENDPOINTS];
	choice_criteria_t criteria = criteria_of(7);
	size_t chosen;

	(void)state;
	candidates_fill(candidates);
	for (size_t i = 0; i < ENDPOINTS; i++) {
		candidates[i].same_zone = i == 5;
		candidates[i].cross_zone_ms = i == 5 ? 0 : 600;
	}
	assert_int_equal(endpoint_choose(candidates, ENDPOINTS, &criteria), 5);
	candidates[5].queue_wait_ms = 900;
	chosen = endpoint_choose(candidates, ENDPOINTS, &criteria);
	assert_int_not_equal(chosen, 5);
}

static void
loaded_endpoints_are_avoided(void **state)
{
	endpoint_candidate_t candidates[ENDPOINTS];
	choice_criteria_t criteria = criteria_of(7);
	size_t first;

	(void)state;
	candidates_fill(candidates);
	first = endpoint_choose(candidates, ENDPOINTS, &criteria);
	candidates[first].load = 40;
	assert_int_not_equal(
	    endpoint_choose(candidates, ENDPOINTS, &criteria), first);
}

static void
ejected_endpoint_is_chosen_only_if_all_are(void **state)
{
	endpoint_candidate_t candidates[ENDPOINTS];
	choice_criteria_t criteria = criteria_of(0);
	size_t first;

	(void)state;
	candidates_fill(candidates);
	first = endpoint_choose(candidates, ENDPOINTS, &criteria);
	candidates[first].ejected = true;
	assert_int_not_equal(
	    endpoint_choose(candidates, ENDPOINTS, &criteria), first);
	for (size_t i = 0; i < ENDPOINTS; i++)
		candidates[i].ejected = true;
	assert_int_equal(
	    endpoint_choose(candidates, ENDPOINTS, &criteria), first);
	assert_int_equal(endpoint_choose(candidates, 0, &criteria), SIZE_MAX);
}

static void
requests_without_prompt_go_to_the_least_loaded(void **state)
{
	endpoint_candidate_t candidates[ENDPOINTS];
	choice_criteria_t criteria = {.cross_zone_penalty = 0.1};

	(void)state;
	candidates_fill(candidates);
	candidates[5].load = 0;
	for (criteria.tie_breaker = 0; criteria.tie_breaker < 20;
	     criteria.tie_breaker++)
		assert_int_equal(
		    endpoint_choose(candidates, ENDPOINTS, &criteria), 5);
	candidates[2].same_zone = true;
	assert_int_equal(endpoint_choose(candidates, ENDPOINTS, &criteria), 2);
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
prefixes_are_indexed_by_endpoint_and_model(void **state)
{
	prefix_list_t first = prompt_of(2, 3), second = prompt_of(2, 4);
	prefix_list_t other = prompt_of(5, 3), of_model;
	arrival_t arrival = {.parts_len = 1, .parts = {{1, 100}}};
	prefix_index_t index;

	(void)state;
	assert_true(prefix_index_init(&index));
	assert_int_equal(
	    prefix_index_cached_tokens(&index, &first, 77, 1000), 0);
	prefix_index_add(&index, &first, 77, 1000);
	assert_int_equal(
	    prefix_index_cached_tokens(&index, &first, 77, 1000), 1150);
	assert_int_equal(
	    prefix_index_cached_tokens(&index, &second, 77, 1000), 1100);
	assert_int_equal(
	    prefix_index_cached_tokens(&index, &other, 77, 1000), 100);
	assert_int_equal(
	    prefix_index_cached_tokens(&index, &first, 78, 1000), 0);
	prefix_list_fill(&of_model, &arrival, 10);
	assert_int_equal(
	    prefix_index_cached_tokens(&index, &of_model, 77, 1000), 0);
	/* Entries expire. */
	assert_int_equal(
	    prefix_index_cached_tokens(&index, &first, 77, 100000), 0);
	prefix_index_finish(&index);
}

/* Messages have the hashes of parts only: an owner that finds no prefix by them
 * knows nothing of what other daemons sent. */
static void
prefixes_follow_from_the_hashes_of_their_parts(void **state)
{
	prefix_list_t prompt = prompt_of(2, 3), received;
	const uint32_t swapped[] = {prompt.parts[1], prompt.parts[0]};
	prefix_index_t index;

	(void)state;
	assert_true(prefix_index_init(&index));
	prefix_index_add(&index, &prompt, 77, 1000);
	prefix_list_fill_hashes(&received, prompt.parts, 2);
	assert_int_equal(
	    prefix_index_match_count(&index, &received, 77, 1000), 2);
	assert_true(prefix_index_sent_within(
	    &index, received.hashes[1], 77, 1099, 100));
	assert_false(prefix_index_sent_within(
	    &index, received.hashes[1], 77, 1100, 100));
	/* The same parts in another order are another prefix. */
	prefix_list_fill_hashes(&received, swapped, 2);
	assert_int_equal(
	    prefix_index_match_count(&index, &received, 77, 1000), 0);
	prefix_index_finish(&index);
}

static void
full_index_replaces_the_oldest_entries(void **state)
{
	prefix_index_t index;
	prefix_list_t list;
	size_t hits = 0;

	(void)state;
	assert_true(prefix_index_init(&index));
	for (int64_t i = 0; i < 20000; i++) {
		list = prompt_of((uint64_t)i + 10, (uint64_t)i);
		prefix_index_add(&index, &list, 77, i / 2);
	}
	for (uint64_t i = 19000; i < 20000; i++) {
		list = prompt_of(i + 10, i);
		hits +=
		    prefix_index_cached_tokens(&index, &list, 77, 10000) > 100;
	}
	assert_true(hits > 950);
	prefix_index_finish(&index);
}

static void
prompts_wait_for_earlier_ones(void **state)
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

/* Prompts of other daemons show by responses that start late. */
static void
late_response_shifts_later_prompts(void **state)
{
	prefill_entry_t first, second;
	prefill_queue_t queue;

	(void)state;
	prefill_queue_init(&queue);
	prefill_queue_add(&queue, &first, 300, 1000);
	prefill_queue_add(&queue, &second, 200, 1000);
	/* 500 ms late: the next one is at least as late. */
	assert_true(prefill_queue_wait_ms(&queue, 1800) >= 500);
	prefill_queue_complete(&queue, &first, 1800);
	assert_true(prefill_queue_wait_ms(&queue, 1800) == 200);
	prefill_queue_complete(&queue, &second, 1850);
	assert_true(prefill_queue_wait_ms(&queue, 1850) == 0);
}

/* Prompts that other daemons report count as those of this daemon. */
static void
prompts_of_other_daemons_are_queued(void **state)
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

/* A caller may declare any prompt length. It makes an endpoint look busy for
 * seconds, not indefinitely, also at the daemons that are notified. */
static void
declared_prefill_time_is_capped(void **state)
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
cancelled_prompts_are_not_waited_for(void **state)
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
	    cmocka_unit_test(equal_prompts_go_to_the_same_endpoint),
	    cmocka_unit_test(cached_prefixes_save_prefill_time),
	    cmocka_unit_test(other_zone_is_chosen_if_it_is_cheaper),
	    cmocka_unit_test(loaded_endpoints_are_avoided),
	    cmocka_unit_test(ejected_endpoint_is_chosen_only_if_all_are),
	    cmocka_unit_test(requests_without_prompt_go_to_the_least_loaded),
	    cmocka_unit_test(prefixes_are_indexed_by_endpoint_and_model),
	    cmocka_unit_test(prefixes_follow_from_the_hashes_of_their_parts),
	    cmocka_unit_test(full_index_replaces_the_oldest_entries),
	    cmocka_unit_test(prompts_wait_for_earlier_ones),
	    cmocka_unit_test(late_response_shifts_later_prompts),
	    cmocka_unit_test(prompts_of_other_daemons_are_queued),
	    cmocka_unit_test(declared_prefill_time_is_capped),
	    cmocka_unit_test(cancelled_prompts_are_not_waited_for),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
