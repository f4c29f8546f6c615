/**
 * @file
 * A request that crashes endpoints is refused from the third one on, by all who
 * are told; one that ran without a crash is not, and a flood of others does not
 * make a verdict forgotten.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "../support/manual_clock.h"
#include "moortack/quarantine/crash_evidence.h"
#include "moortack/quarantine/quarantine.h"

#define POISON 0xbadULL
#define SOUND 0x900dULL
#define VERSION 7
#define MINUTE_MS 60000
/* A request is refused for ten minutes, and its verdict is gone after fifteen.
 */
#define REFUSED_MS (10 * MINUTE_MS)
#define GONE_MS (15 * MINUTE_MS)

static manual_clock_t hand;
static quarantine_t table;
static int held, released;

static void
on_held(void *arg, const suspect_t *suspect)
{
	(void)arg;
	(void)suspect;
	held++;
}

static void
on_released(void *arg, const suspect_t *suspect, quarantine_end_t why)
{
	(void)arg;
	(void)suspect;
	(void)why;
	released++;
}

static void
on_forgotten(void *arg, const suspect_t *suspect)
{
	(void)arg;
	(void)suspect;
}

static const quarantine_ops_t ops = {on_held, on_released, on_forgotten};

static int
setup(void **state)
{
	(void)state;
	hand = (manual_clock_t){{&manual_clock_ops}, {1000, 0}};
	held = released = 0;
	quarantine_init(&table, &hand.source, &ops, NULL);
	return 0;
}

static int
teardown(void **state)
{
	(void)state;
	quarantine_finish(&table);
	return 0;
}

static void
crashes(uint64_t digest, uint32_t first, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		quarantine_crash(&table, digest, first + i, VERSION, true);
}

static void
it_is_refused_from_the_third_endpoint_on(void **state)
{
	(void)state;
	crashes(POISON, 1, 2);
	assert_true(quarantine_admits(&table, POISON, true));
	/* Several daemons saw the same one. */
	crashes(POISON, 2, 1);
	assert_true(quarantine_admits(&table, POISON, true));
	crashes(POISON, 3, 1);
	assert_false(quarantine_admits(&table, POISON, true));
	assert_true(quarantine_admits(&table, SOUND, true));
	assert_int_equal(held, 1);
	/* Those that were under way renew nothing. */
	crashes(POISON, 4, 3);
	assert_int_equal(held, 1);
	assert_int_equal(quarantine_left_ms(&table, POISON), REFUSED_MS);
}

static void
a_run_without_a_crash_clears(void **state)
{
	(void)state;
	crashes(SOUND, 1, 2);
	assert_true(quarantine_clear(&table, SOUND));
	assert_false(quarantine_clear(&table, SOUND));
	/* Told late of a crash before. */
	crashes(SOUND, 3, 1);
	assert_int_equal(quarantine_crashes(&table, SOUND), 0);
	hand.now = timespec_add_ms(hand.now, MINUTE_MS);
	crashes(SOUND, 4, 2);
	assert_true(quarantine_admits(&table, SOUND, false));
	assert_int_equal(held, 0);
}

static void
a_crash_counts_for_an_hour_only(void **state)
{
	(void)state;
	crashes(SOUND, 1, 2);
	hand.now = timespec_add_ms(hand.now, 61 * MINUTE_MS);
	quarantine_expire(&table);
	crashes(SOUND, 3, 1);
	assert_int_equal(quarantine_crashes(&table, SOUND), 1);
}

static void
one_daemon_tries_again_one_at_a_time(void **state)
{
	(void)state;
	crashes(POISON, 1, 3);
	hand.now = timespec_add_ms(hand.now, REFUSED_MS + 1);
	quarantine_expire(&table);
	assert_false(quarantine_admits(&table, POISON, false));
	assert_true(quarantine_admits(&table, POISON, true));
	assert_false(quarantine_admits(&table, POISON, true));
	/* It crashes again: one endpoint, and it is refused as long again. */
	crashes(POISON, 9, 1);
	assert_int_equal(held, 2);
	hand.now = timespec_add_ms(hand.now, REFUSED_MS - 1);
	assert_false(quarantine_admits(&table, POISON, true));
	/* The next trial ends well. */
	hand.now = timespec_add_ms(hand.now, 2);
	assert_true(quarantine_admits(&table, POISON, true));
	assert_true(quarantine_clear(&table, POISON));
	assert_true(quarantine_admits(&table, POISON, false));
	assert_int_equal(released, 1);
}

static void
a_verdict_ends_though_nobody_tries(void **state)
{
	(void)state;
	crashes(POISON, 1, 3);
	hand.now = timespec_add_ms(hand.now, GONE_MS);
	quarantine_expire(&table);
	assert_int_equal(released, 1);
	assert_true(quarantine_admits(&table, POISON, false));
	/* One more crash renews it. */
	crashes(POISON, 9, 1);
	assert_false(quarantine_admits(&table, POISON, false));
	hand.now = timespec_add_ms(hand.now, 4 * GONE_MS);
	quarantine_expire(&table);
	assert_null(quarantine_find(&table, POISON));
}

static void
a_new_version_is_tried_at_once(void **state)
{
	(void)state;
	crashes(POISON, 1, 3);
	quarantine_version_gone(&table, VERSION + 1);
	assert_false(quarantine_admits(&table, POISON, true));
	quarantine_version_gone(&table, VERSION);
	assert_false(quarantine_admits(&table, POISON, false));
	assert_true(quarantine_admits(&table, POISON, true));
	quarantine_crash(&table, POISON, 9, VERSION + 1, true);
	quarantine_version_gone(&table, VERSION);
	assert_false(quarantine_admits(&table, POISON, true));
}

static void
what_another_daemon_refuses_is_refused(void **state)
{
	const uint32_t crashed[] = {1, 2, 3};

	(void)state;
	quarantine_merge(
	    &table, POISON, crashed, 3, VERSION, REFUSED_MS - MINUTE_MS);
	assert_false(quarantine_admits(&table, POISON, true));
	assert_int_equal(quarantine_left_ms(&table, POISON), MINUTE_MS);
	/* The same verdict on another way. */
	quarantine_merge(
	    &table, POISON, crashed, 3, VERSION, REFUSED_MS - MINUTE_MS);
	assert_int_equal(held, 1);
	/* One that has expired is a suspicion. */
	quarantine_merge(&table, SOUND, crashed, 3, VERSION, GONE_MS);
	assert_true(quarantine_admits(&table, SOUND, false));
	assert_int_equal(quarantine_crashes(&table, SOUND), 2);
}

static void
suspicions_of_several_daemons_add_up(void **state)
{
	const uint32_t two[] = {1, 2}, same[] = {2, 3};

	(void)state;
	assert_true(quarantine_merge(&table, POISON, two, 2, VERSION, 0));
	assert_int_equal(quarantine_crashes(&table, POISON), 2);
	assert_true(quarantine_admits(&table, POISON, false));
	assert_true(quarantine_merge(&table, POISON, same, 2, VERSION, 0));
	assert_false(quarantine_admits(&table, POISON, false));
	assert_false(
	    quarantine_merge(&table, SOUND, two, 2, VERSION, 60 * MINUTE_MS));
	assert_int_equal(quarantine_crashes(&table, SOUND), 0);
}

static void
a_flood_does_not_make_it_forgotten(void **state)
{
	(void)state;
	crashes(POISON, 1, 3);
	crashes(SOUND, 1, 2);
	for (uint64_t i = 1; i <= 2 * QUARANTINE_MAX; i++)
		crashes(i << 32, 1, 1);
	assert_int_equal(HASH_COUNT(table.suspects), QUARANTINE_MAX);
	assert_false(quarantine_admits(&table, POISON, false));
	assert_int_equal(quarantine_crashes(&table, SOUND), 2);
	assert_int_equal(held, 1);
}

static broken_attempt_t
attempt(uint64_t digest, uint32_t incarnation)
{
	return (broken_attempt_t){.digest = digest,
	    .incarnation = incarnation,
	    .at = clock_boottime(&hand.source)};
}

static void
a_broken_connection_alone_counts_for_nothing(void **state)
{
	static crash_evidence_t evidence;
	broken_attempt_t one = attempt(SOUND, 1), other = attempt(SOUND, 2);

	(void)state;
	crash_evidence_note(&evidence, &one);
	/* The same request, under way twice at one endpoint. */
	crash_evidence_note(&evidence, &one);
	crash_evidence_note(&evidence, &other);
	assert_int_equal(crash_evidence_of(&evidence, SOUND), 2);
	/* The first one still listens; the second one has ended. */
	crash_evidence_drop(&evidence, 1);
	assert_false(crash_evidence_take(&evidence, 1, &one));
	assert_true(crash_evidence_take(&evidence, 2, &one));
	assert_int_equal(one.digest, SOUND);
	assert_false(crash_evidence_open(&evidence, 2));
	assert_int_equal(quarantine_crashes(&table, SOUND), 0);
}

static void
evidence_is_bounded_and_ages(void **state)
{
	static crash_evidence_t evidence;
	broken_attempt_t one;

	(void)state;
	for (uint32_t i = 0; i < CRASH_EVIDENCE_MAX + 1; i++) {
		one = attempt(i + 1, i);
		crash_evidence_note(&evidence, &one);
	}
	assert_int_equal(evidence.len, CRASH_EVIDENCE_MAX);
	assert_false(crash_evidence_open(&evidence, 0));
	hand.now = timespec_add_ms(hand.now, 5000);
	one = attempt(SOUND, 9999);
	crash_evidence_note(&evidence, &one);
	crash_evidence_expire(&evidence, clock_boottime(&hand.source), 4000);
	assert_int_equal(evidence.len, 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		it_is_refused_from_the_third_endpoint_on, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_run_without_a_crash_clears, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_crash_counts_for_an_hour_only, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		one_daemon_tries_again_one_at_a_time, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_verdict_ends_though_nobody_tries, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_new_version_is_tried_at_once, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		what_another_daemon_refuses_is_refused, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		suspicions_of_several_daemons_add_up, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_flood_does_not_make_it_forgotten, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_broken_connection_alone_counts_for_nothing, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		evidence_is_bounded_and_ages, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
