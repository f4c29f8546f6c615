/**
 * @file
 * Quarantine of requests that crash endpoints: a request is refused from the
 * third crash on, also by daemons that learn of it from others, unless it ran
 * without a crash. Many other suspects do not displace a quarantined one. Parts
 * of prompts in the same way, but crashes of one moment count once.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "../support/manual_clock.h"
#include "moortack/quarantine/crash_evidence.h"
#include "moortack/quarantine/quarantine.h"

#define POISON 0xbadULL
#define HARMLESS 0x900dULL
#define VERSION 7
/* Parts of prompts. */
#define BAD_PART ((1ULL << 63) + 1)
#define SOUND_PART ((1ULL << 63) + 2)
#define MINUTE_MS 60000
/* A trial is permitted after ten minutes, and the quarantine expires after
 * fifteen. */
#define TRIAL_AFTER_MS (10 * MINUTE_MS)
#define QUARANTINE_EXPIRY_MS (15 * MINUTE_MS)

static manual_clock_t test_clock;
static quarantine_t table;
static int quarantined_calls, released_calls;

static void
on_quarantined(void *arg, const suspect_t *suspect)
{
	(void)arg;
	(void)suspect;
	quarantined_calls++;
}

static void
on_released(void *arg, const suspect_t *suspect, quarantine_end_reason_t reason)
{
	(void)arg;
	(void)suspect;
	(void)reason;
	released_calls++;
}

static void
on_removed(void *arg, const suspect_t *suspect)
{
	(void)arg;
	(void)suspect;
}

static const quarantine_ops_t ops = {on_quarantined, on_released, on_removed};

static int
setup(void **state)
{
	(void)state;
	test_clock = (manual_clock_t){{&manual_clock_ops}, {1000, 0}};
	quarantined_calls = released_calls = 0;
	quarantine_init(&table, &test_clock.source, &ops, NULL);
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
record_crashes(uint64_t digest, uint32_t first, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		quarantine_record_crash(
		    &table, digest, first + i, VERSION, 0, true);
}

static void
a_request_is_quarantined_at_the_third_crash(void **state)
{
	(void)state;
	record_crashes(POISON, 1, 2);
	assert_true(quarantine_admit(&table, POISON, true));
	/* Several daemons detected the same crash. */
	record_crashes(POISON, 2, 1);
	assert_true(quarantine_admit(&table, POISON, true));
	record_crashes(POISON, 3, 1);
	assert_false(quarantine_admit(&table, POISON, true));
	assert_true(quarantine_admit(&table, HARMLESS, true));
	assert_int_equal(quarantined_calls, 1);
	/* Runs that were in flight do not renew the quarantine. */
	record_crashes(POISON, 4, 3);
	assert_int_equal(quarantined_calls, 1);
	assert_int_equal(
	    quarantine_remaining_ms(&table, POISON), TRIAL_AFTER_MS);
}

static void
a_run_without_a_crash_clears_the_request(void **state)
{
	(void)state;
	record_crashes(HARMLESS, 1, 2);
	assert_true(quarantine_clear(&table, HARMLESS));
	assert_false(quarantine_clear(&table, HARMLESS));
	/* A report of an earlier crash arrives late. */
	record_crashes(HARMLESS, 3, 1);
	assert_int_equal(quarantine_crash_count(&table, HARMLESS), 0);
	test_clock.now = timespec_add_ms(test_clock.now, MINUTE_MS);
	record_crashes(HARMLESS, 4, 2);
	assert_true(quarantine_admit(&table, HARMLESS, false));
	assert_int_equal(quarantined_calls, 0);
}

static void
crashes_expire_after_an_hour(void **state)
{
	(void)state;
	record_crashes(HARMLESS, 1, 2);
	test_clock.now = timespec_add_ms(test_clock.now, 61 * MINUTE_MS);
	quarantine_expire(&table);
	record_crashes(HARMLESS, 3, 1);
	assert_int_equal(quarantine_crash_count(&table, HARMLESS), 1);
}

static void
one_daemon_runs_one_trial_at_a_time(void **state)
{
	(void)state;
	record_crashes(POISON, 1, 3);
	test_clock.now = timespec_add_ms(test_clock.now, TRIAL_AFTER_MS + 1);
	quarantine_expire(&table);
	assert_false(quarantine_admit(&table, POISON, false));
	assert_true(quarantine_admit(&table, POISON, true));
	assert_false(quarantine_admit(&table, POISON, true));
	/* The trial crashes one endpoint: the request is refused for the same
	 * time again. */
	record_crashes(POISON, 9, 1);
	assert_int_equal(quarantined_calls, 2);
	test_clock.now = timespec_add_ms(test_clock.now, TRIAL_AFTER_MS - 1);
	assert_false(quarantine_admit(&table, POISON, true));
	/* The next trial ends without a crash. */
	test_clock.now = timespec_add_ms(test_clock.now, 2);
	assert_true(quarantine_admit(&table, POISON, true));
	assert_true(quarantine_clear(&table, POISON));
	assert_true(quarantine_admit(&table, POISON, false));
	assert_int_equal(released_calls, 1);
}

static void
a_quarantine_expires_without_a_trial(void **state)
{
	(void)state;
	record_crashes(POISON, 1, 3);
	test_clock.now = timespec_add_ms(test_clock.now, QUARANTINE_EXPIRY_MS);
	quarantine_expire(&table);
	assert_int_equal(released_calls, 1);
	assert_true(quarantine_admit(&table, POISON, false));
	/* One more crash renews the quarantine. */
	record_crashes(POISON, 9, 1);
	assert_false(quarantine_admit(&table, POISON, false));
	test_clock.now =
	    timespec_add_ms(test_clock.now, 4 * QUARANTINE_EXPIRY_MS);
	quarantine_expire(&table);
	assert_null(quarantine_find(&table, POISON));
}

static void
trials_are_permitted_once_the_version_is_replaced(void **state)
{
	(void)state;
	record_crashes(POISON, 1, 3);
	quarantine_allow_trials(&table, VERSION + 1);
	assert_false(quarantine_admit(&table, POISON, true));
	quarantine_allow_trials(&table, VERSION);
	assert_false(quarantine_admit(&table, POISON, false));
	assert_true(quarantine_admit(&table, POISON, true));
	quarantine_record_crash(&table, POISON, 9, VERSION + 1, 0, true);
	quarantine_allow_trials(&table, VERSION);
	assert_false(quarantine_admit(&table, POISON, true));
}

static void
a_quarantine_of_another_daemon_is_adopted(void **state)
{
	const uint32_t crashed[] = {1, 2, 3};

	(void)state;
	quarantine_merge(
	    &table, POISON, crashed, 3, VERSION, TRIAL_AFTER_MS - MINUTE_MS);
	assert_false(quarantine_admit(&table, POISON, true));
	assert_int_equal(quarantine_remaining_ms(&table, POISON), MINUTE_MS);
	/* The same quarantine, received by another route. */
	quarantine_merge(
	    &table, POISON, crashed, 3, VERSION, TRIAL_AFTER_MS - MINUTE_MS);
	assert_int_equal(quarantined_calls, 1);
	/* After an expired quarantine, the request is only a suspect. */
	quarantine_merge(
	    &table, HARMLESS, crashed, 3, VERSION, QUARANTINE_EXPIRY_MS);
	assert_true(quarantine_admit(&table, HARMLESS, false));
	assert_int_equal(quarantine_crash_count(&table, HARMLESS), 2);
}

static void
crashes_from_several_daemons_add_up(void **state)
{
	const uint32_t two[] = {1, 2}, overlapping[] = {2, 3};

	(void)state;
	assert_true(quarantine_merge(&table, POISON, two, 2, VERSION, 0));
	assert_int_equal(quarantine_crash_count(&table, POISON), 2);
	assert_true(quarantine_admit(&table, POISON, false));
	assert_true(
	    quarantine_merge(&table, POISON, overlapping, 2, VERSION, 0));
	assert_false(quarantine_admit(&table, POISON, false));
	assert_false(quarantine_merge(
	    &table, HARMLESS, two, 2, VERSION, 60 * MINUTE_MS));
	assert_int_equal(quarantine_crash_count(&table, HARMLESS), 0);
}

static void
many_suspects_do_not_evict_a_quarantined_one(void **state)
{
	(void)state;
	record_crashes(POISON, 1, 3);
	record_crashes(HARMLESS, 1, 2);
	for (uint64_t i = 1; i <= 2 * QUARANTINE_MAX; i++)
		record_crashes(i << 32, 1, 1);
	assert_int_equal(HASH_COUNT(table.suspects), QUARANTINE_MAX);
	assert_false(quarantine_admit(&table, POISON, false));
	assert_int_equal(quarantine_crash_count(&table, HARMLESS), 2);
	assert_int_equal(quarantined_calls, 1);
}

static void
part_crash(uint64_t part, uint32_t incarnation, int64_t after_ms)
{
	test_clock.now = timespec_add_ms(test_clock.now, after_ms);
	quarantine_record_crash(&table, part, incarnation, VERSION, 0, true);
}

static void
crashes_of_one_moment_count_once_against_a_part(void **state)
{
	(void)state;
	for (uint32_t i = 1; i <= 8; i++)
		part_crash(BAD_PART, i, PART_CRASH_SPACING_MS / 8 - 1);
	assert_int_equal(quarantine_crash_count(&table, BAD_PART), 1);
	part_crash(BAD_PART, 9, PART_CRASH_SPACING_MS);
	part_crash(BAD_PART, 10, PART_CRASH_SPACING_MS);
	assert_false(quarantine_admit(&table, BAD_PART, true));
}

static void
crashes_count_by_the_time_at_which_they_happened(void **state)
{
	(void)state;
	part_crash(SOUND_PART, 1, 0);
	/* Found late: it happened at the same moment. */
	test_clock.now =
	    timespec_add_ms(test_clock.now, 3 * PART_CRASH_SPACING_MS);
	quarantine_record_crash(
	    &table, SOUND_PART, 2, VERSION, 3 * PART_CRASH_SPACING_MS, true);
	assert_int_equal(quarantine_crash_count(&table, SOUND_PART), 1);
	part_crash(SOUND_PART, 3, 0);
	assert_int_equal(quarantine_crash_count(&table, SOUND_PART), 2);
}

static void
a_quarantined_part_explains_its_crashes(void **state)
{
	(void)state;
	part_crash(BAD_PART, 1, 0);
	part_crash(SOUND_PART, 1, 0);
	part_crash(BAD_PART, 2, PART_CRASH_SPACING_MS);
	part_crash(SOUND_PART, 2, 0);
	record_crashes(HARMLESS, 2, 1);
	quarantine_explain_crashes(&table);
	assert_int_equal(quarantine_crash_count(&table, SOUND_PART), 2);
	part_crash(BAD_PART, 3, PART_CRASH_SPACING_MS);
	quarantine_explain_crashes(&table);
	assert_int_equal(quarantine_crash_count(&table, SOUND_PART), 0);
	assert_int_equal(quarantine_crash_count(&table, HARMLESS), 0);
	/* Later crashes may have another cause. */
	part_crash(SOUND_PART, 4, PART_CRASH_SPACING_MS);
	quarantine_explain_crashes(&table);
	assert_int_equal(quarantine_crash_count(&table, SOUND_PART), 1);
	assert_false(quarantine_admit(&table, BAD_PART, true));
	assert_true(quarantine_admit(&table, SOUND_PART, true));
}

static void
a_part_has_one_early_trial(void **state)
{
	(void)state;
	for (uint32_t i = 1; i <= 3; i++)
		part_crash(BAD_PART, i, PART_CRASH_SPACING_MS);
	test_clock.now = timespec_add_ms(test_clock.now, 1999);
	assert_false(quarantine_admit(&table, BAD_PART, true));
	test_clock.now = timespec_add_ms(test_clock.now, 1);
	assert_false(quarantine_admit(&table, BAD_PART, false));
	assert_true(quarantine_admit(&table, BAD_PART, true));
	/* Callers come back after the next trial at the earliest. */
	assert_int_equal(
	    quarantine_remaining_ms(&table, BAD_PART), TRIAL_AFTER_MS - 2000);
	/* The request was not sent: there is no result. */
	test_clock.now = timespec_add_ms(test_clock.now, 4999);
	assert_false(quarantine_admit(&table, BAD_PART, true));
	test_clock.now = timespec_add_ms(test_clock.now, 1);
	assert_true(quarantine_admit(&table, BAD_PART, true));
	part_crash(BAD_PART, 4, 100);
	test_clock.now = timespec_add_ms(test_clock.now, 2 * MINUTE_MS);
	assert_false(quarantine_admit(&table, BAD_PART, true));
	/* A request has none. */
	record_crashes(POISON, 1, 3);
	test_clock.now = timespec_add_ms(test_clock.now, 2 * MINUTE_MS);
	assert_false(quarantine_admit(&table, POISON, true));
}

static void
a_part_that_was_cleared_is_suspected_again_soon(void **state)
{
	(void)state;
	part_crash(BAD_PART, 1, 0);
	assert_true(quarantine_clear(&table, BAD_PART));
	part_crash(BAD_PART, 2, 1999);
	assert_int_equal(quarantine_crash_count(&table, BAD_PART), 0);
	part_crash(BAD_PART, 3, 1);
	assert_int_equal(quarantine_crash_count(&table, BAD_PART), 1);
}

static unresolved_attempt_t
attempt(uint64_t digest, uint32_t incarnation)
{
	return (unresolved_attempt_t){.digest = digest,
	    .incarnation = incarnation,
	    .ended_at = clock_boottime(&test_clock.source)};
}

static void
a_lost_connection_alone_is_no_crash(void **state)
{
	static unresolved_attempts_t attempts;
	unresolved_attempt_t unresolved = attempt(HARMLESS, 1),
			     other = attempt(HARMLESS, 2);

	(void)state;
	unresolved_attempts_add(&attempts, &unresolved);
	/* The same request, in flight twice at one endpoint. */
	unresolved_attempts_add(&attempts, &unresolved);
	unresolved_attempts_add(&attempts, &other);
	assert_int_equal(unresolved_attempts_count(&attempts, HARMLESS), 2);
	/* The first endpoint still listens; the second one has crashed. */
	unresolved_attempts_drop(&attempts, 1);
	assert_false(unresolved_attempts_take(&attempts, 1, &unresolved));
	assert_true(unresolved_attempts_take(&attempts, 2, &unresolved));
	assert_int_equal(unresolved.digest, HARMLESS);
	assert_false(unresolved_attempts_has(&attempts, 2));
	assert_int_equal(quarantine_crash_count(&table, HARMLESS), 0);
}

static void
unresolved_attempts_are_bounded_and_expire(void **state)
{
	static unresolved_attempts_t attempts;
	unresolved_attempt_t unresolved;

	(void)state;
	for (uint32_t i = 0; i < UNRESOLVED_ATTEMPTS_MAX + 1; i++) {
		unresolved = attempt(i + 1, i);
		unresolved_attempts_add(&attempts, &unresolved);
	}
	assert_int_equal(attempts.len, UNRESOLVED_ATTEMPTS_MAX);
	assert_false(unresolved_attempts_has(&attempts, 0));
	test_clock.now = timespec_add_ms(test_clock.now, 5000);
	unresolved = attempt(HARMLESS, 9999);
	unresolved_attempts_add(&attempts, &unresolved);
	unresolved_attempts_expire(
	    &attempts, clock_boottime(&test_clock.source), 4000);
	assert_int_equal(attempts.len, 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		a_request_is_quarantined_at_the_third_crash, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_run_without_a_crash_clears_the_request, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		crashes_expire_after_an_hour, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		one_daemon_runs_one_trial_at_a_time, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_quarantine_expires_without_a_trial, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		trials_are_permitted_once_the_version_is_replaced, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		a_quarantine_of_another_daemon_is_adopted, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		crashes_from_several_daemons_add_up, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		many_suspects_do_not_evict_a_quarantined_one, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		crashes_of_one_moment_count_once_against_a_part, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		crashes_count_by_the_time_at_which_they_happened, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		a_quarantined_part_explains_its_crashes, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_part_has_one_early_trial, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_part_that_was_cleared_is_suspected_again_soon, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		a_lost_connection_alone_is_no_crash, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		unresolved_attempts_are_bounded_and_expire, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
