/**
 * @file
 * Endpoints that start again under their id: what was believed of an earlier
 * incarnation is not believed of the next one, and no late word of the earlier
 * one brings it back.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "../support/manual_clock.h"
#include "moortack/relay/endpoint_set.h"
#include "moortack/relay/prefix_memory.h"

#define BORN 1700000000000
/* Far longer than an entry of an earlier start is doubted. */
#define LONG_MS 60000

/** A set, and a clock that the test moves. */
typedef struct started {
	manual_clock_t clock;
	endpoint_set_t set;
} started_t;

static int
begin(void **state)
{
	static started_t started;

	started.clock = (manual_clock_t){{&manual_clock_ops}, {100, 0}};
	endpoint_set_init(&started.set, &started.clock.source);
	*state = &started;
	return 0;
}

static int
end(void **state)
{
	started_t *started = *state;

	endpoint_set_finish(&started->set);
	return 0;
}

static endpoint_facts_t
entry(int64_t born_ms)
{
	return (endpoint_facts_t){.id = "i-1",
	    .service = "lm",
	    .zone = "a",
	    .version = "v1",
	    .slots = 8,
	    .address = {"10.0.0.1", 80},
	    .born_ms = born_ms};
}

static endpoint_t *
take(started_t *started, int64_t born_ms)
{
	endpoint_facts_t facts = entry(born_ms);

	return endpoint_set_take(&started->set, &facts);
}

/* Give the endpoint all that can be believed of one. */
static void
believe(endpoint_t *endpoint)
{
	static const endpoint_load_t load = {.running = 5, .waiting = 2};

	prefill_queue_extend(&endpoint->unread, 900, 100000);
	endpoint_told_load(endpoint, &load);
	endpoint_take_up(endpoint);
	for (int i = 0; i < 8; i++)
		endpoint_failed(endpoint);
	endpoint->suspected_len = 3;
	endpoint->lapsed = true;
}

static void
nothing_is_believed_of_the_next_start(void **state)
{
	started_t *started = *state;
	endpoint_t *old = endpoint_hold(take(started, BORN));
	endpoint_t *next;

	believe(old);
	assert_true(endpoint_ejected(old));
	next = take(started, BORN + 1);
	assert_ptr_not_equal(next, old);
	assert_false(old->present);
	assert_ptr_equal(endpoint_set_find(&started->set, "i-1"), next);
	assert_float_equal(
	    prefill_queue_wait_ms(&next->unread, 100000), 0, 0.001);
	assert_false(next->load_known);
	assert_int_equal(next->in_flight, 0);
	assert_int_equal(next->group->in_flight, 0);
	assert_false(endpoint_ejected(next));
	assert_int_equal(next->suspected_len, 0);
	assert_false(next->lapsed);
	/* What still runs at the old one ends there. */
	endpoint_let_go(old);
	assert_int_equal(next->in_flight, 0);
	endpoint_release(old);
}

/* A crashed endpoint looks idle until its entry expires: a single refused
 * connection, or a single answer of another incarnation, ejects it. */
static void
a_refusing_or_superseded_endpoint_is_ejected_at_once(void **state)
{
	started_t *started = *state;
	endpoint_t *endpoint = take(started, BORN);

	endpoint_failed(endpoint);
	assert_false(endpoint_ejected(endpoint));
	endpoint_refused_connection(endpoint);
	assert_true(endpoint_ejected(endpoint));
	started->clock.now = timespec_add_ms(started->clock.now, 500);
	assert_false(endpoint_ejected(endpoint));
	endpoint_worked(endpoint);
	endpoint_superseded(endpoint);
	started->clock.now = timespec_add_ms(started->clock.now, 3600);
	assert_true(endpoint_ejected(endpoint));
	endpoint_worked(endpoint);
	assert_false(endpoint_ejected(endpoint));
}

/* Notes of other daemons name an endpoint by its short hash, and what it keeps
 * is remembered by its hash. */
static void
what_is_told_of_the_old_one_names_nobody(void **state)
{
	static const prefix_list_t prefixes = {
	    .hashes = {7}, .tokens = {500}, .len = 1};
	started_t *started = *state;
	endpoint_t *old = take(started, BORN);
	uint32_t named = old->short_hash;
	uint64_t remembered = old->hash;
	prefix_memory_t memory;
	endpoint_t *next;

	assert_true(prefix_memory_init(&memory));
	prefix_memory_note(&memory, &prefixes, remembered, 1000);
	next = take(started, BORN + 5);
	assert_null(endpoint_set_find_short(&started->set, named));
	assert_int_equal(
	    prefix_memory_kept(&memory, &prefixes, next->hash, 1000), 0);
	prefix_memory_finish(&memory);
}

static void
the_same_start_stays_what_it_is(void **state)
{
	started_t *started = *state;
	endpoint_t *first = take(started, BORN);

	believe(first);
	assert_ptr_equal(take(started, BORN), first);
	assert_true(first->load_known);
	endpoint_let_go(first);
}

static void
a_late_entry_of_an_earlier_start_brings_nothing_back(void **state)
{
	started_t *started = *state;
	endpoint_t *now = take(started, BORN + 9);
	endpoint_facts_t facts;

	assert_ptr_equal(take(started, BORN), now);
	assert_int_equal(now->facts.born_ms, BORN + 9);
	assert_false(endpoint_set_earlier(&started->set, &facts));
	/* The one that runs writes its entry again: that one was late. */
	assert_ptr_equal(take(started, BORN + 9), now);
	started->clock.now = timespec_add_ms(started->clock.now, LONG_MS);
	assert_false(endpoint_set_earlier(&started->set, &facts));
	assert_int_equal(started->set.earlier_len, 0);
}

/* Who started again with its clock set back is not passed over for good. */
static void
an_earlier_start_that_stays_is_taken(void **state)
{
	started_t *started = *state;
	endpoint_facts_t facts;

	take(started, BORN + 9);
	take(started, BORN);
	started->clock.now = timespec_add_ms(started->clock.now, LONG_MS);
	assert_true(endpoint_set_earlier(&started->set, &facts));
	assert_int_equal(facts.born_ms, BORN);
}

static void
an_earlier_start_that_leaves_gets_no_new_requests(void **state)
{
	started_t *started = *state;
	endpoint_t *now = take(started, BORN + 9);
	endpoint_facts_t leaving = entry(BORN);

	leaving.leaving = true;
	endpoint_set_take(&started->set, &leaving);
	assert_true(now->facts.leaving);
	assert_false(take(started, BORN + 9)->facts.leaving);
}

/* An entry that says nothing of its start is none of a replica that did. */
static void
an_entry_without_a_start_is_an_earlier_one(void **state)
{
	started_t *started = *state;
	endpoint_t *now = take(started, BORN);

	assert_ptr_equal(take(started, 0), now);
	assert_int_equal(now->facts.born_ms, BORN);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		nothing_is_believed_of_the_next_start, begin, end),
	    cmocka_unit_test_setup_teardown(
		a_refusing_or_superseded_endpoint_is_ejected_at_once, begin,
		end),
	    cmocka_unit_test_setup_teardown(
		what_is_told_of_the_old_one_names_nobody, begin, end),
	    cmocka_unit_test_setup_teardown(
		the_same_start_stays_what_it_is, begin, end),
	    cmocka_unit_test_setup_teardown(
		a_late_entry_of_an_earlier_start_brings_nothing_back, begin,
		end),
	    cmocka_unit_test_setup_teardown(
		an_earlier_start_that_stays_is_taken, begin, end),
	    cmocka_unit_test_setup_teardown(
		an_earlier_start_that_leaves_gets_no_new_requests, begin, end),
	    cmocka_unit_test_setup_teardown(
		an_entry_without_a_start_is_an_earlier_one, begin, end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
