/**
 * @file
 * The event log is limited in rate, also for each throttled kind, and never
 * blocks on standard output.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../support/manual_clock.h"
#include "common/event_log.h"

#define OUT_SIZE (1 << 16)

/* Standard output is redirected to a pipe while a test runs. */
typedef struct fixture {
	manual_clock_t clock;
	event_log_t log;
	int saved_stdout;
	int read_end;
	char out[OUT_SIZE];
} fixture_t;

static void
fixture_init(fixture_t *fixture, double per_s)
{
	int ends[2];

	memset(fixture, 0, sizeof(*fixture));
	fixture->clock = (manual_clock_t){{&manual_clock_ops}, {100, 0}};
	fflush(stdout);
	assert_int_equal(pipe(ends), 0);
	fixture->saved_stdout = dup(STDOUT_FILENO);
	assert_true(dup2(ends[1], STDOUT_FILENO) >= 0);
	close(ends[1]);
	fixture->read_end = ends[0];
	fcntl(fixture->read_end, F_SETFL, O_NONBLOCK);
	event_log_init(&fixture->log, &fixture->clock.source, per_s);
}

/* Restore standard output and return what was written to the pipe. */
static const char *
fixture_finish(fixture_t *fixture)
{
	ssize_t len = read(fixture->read_end, fixture->out, OUT_SIZE - 1);

	fixture->out[len > 0 ? len : 0] = '\0';
	dup2(fixture->saved_stdout, STDOUT_FILENO);
	close(fixture->saved_stdout);
	close(fixture->read_end);
	return fixture->out;
}

static unsigned
count_occurrences(const char *text, const char *part)
{
	unsigned count = 0;

	for (const char *at = strstr(text, part); at != NULL;
	     at = strstr(at + 1, part))
		count++;
	return count;
}

static void
throttled_events_do_not_displace_others(void **state)
{
	fixture_t fixture;
	const char *out;

	(void)state;
	fixture_init(&fixture, 100);
	for (int i = 0; i < 5000; i++)
		event_log_write_throttled(
		    &fixture.log, EVENT_THROTTLED_ENDPOINT, "id=%d", i);
	event_log_write(&fixture.log, "config", "version=2");
	event_log_tick(&fixture.log);
	fixture.clock.now.tv_sec += 2;
	event_log_tick(&fixture.log);
	event_log_tick(&fixture.log);
	event_log_write_throttled(
	    &fixture.log, EVENT_THROTTLED_ENDPOINT, "id=again");
	out = fixture_finish(&fixture);
	assert_int_equal(count_occurrences(out, "event=endpoint "), 9);
	assert_int_equal(count_occurrences(out, "event=config version=2"), 1);
	assert_int_equal(
	    count_occurrences(out, "event=left_out of=endpoint lines=4992"), 1);
	assert_int_equal(count_occurrences(out, "event=left_out"), 1);
	assert_int_equal(count_occurrences(out, "id=again"), 1);
	assert_int_equal(fixture.log.dropped, 0);
}

static void
lines_over_the_rate_are_dropped_and_counted(void **state)
{
	fixture_t fixture;
	const char *out;

	(void)state;
	fixture_init(&fixture, 10);
	for (int i = 0; i < 100; i++)
		event_log_write(&fixture.log, "request", "id=%d", i);
	fixture.clock.now.tv_sec += 1;
	event_log_write(&fixture.log, "request", "id=last");
	out = fixture_finish(&fixture);
	assert_int_equal(count_occurrences(out, "event=request "), 21);
	assert_int_equal(count_occurrences(out, "dropped_lines=80 id=last"), 1);
}

/* Nobody reads the pipe: lines are dropped and counted instead. */
static void
does_not_block_when_stdout_is_not_read(void **state)
{
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture, 1e9);
	for (int i = 0; i < 20000; i++)
		event_log_write(&fixture.log, "request", "id=%d", i);
	assert_true(fixture.log.dropped > 0);
	assert_int_equal(fixture.log.dropped + fixture.log.written, 20000);
	fixture_finish(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(throttled_events_do_not_displace_others),
	    cmocka_unit_test(lines_over_the_rate_are_dropped_and_counted),
	    cmocka_unit_test(does_not_block_when_stdout_is_not_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
