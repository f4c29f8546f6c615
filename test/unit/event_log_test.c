/**
 * @file
 * Lines on standard output: bounded in rate, and never waited for.
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

/* Standard output is a pipe while a test runs. */
typedef struct world {
	manual_clock_t clock;
	event_log_t log;
	int stdout_kept;
	int reader;
	char out[OUT_SIZE];
} world_t;

static void
world_init(world_t *world, double per_s)
{
	int ends[2];

	memset(world, 0, sizeof(*world));
	world->clock = (manual_clock_t){{&manual_clock_ops}, {100, 0}};
	fflush(stdout);
	assert_int_equal(pipe(ends), 0);
	world->stdout_kept = dup(STDOUT_FILENO);
	assert_true(dup2(ends[1], STDOUT_FILENO) >= 0);
	close(ends[1]);
	world->reader = ends[0];
	fcntl(world->reader, F_SETFL, O_NONBLOCK);
	event_log_init(&world->log, &world->clock.source, per_s);
}

/* What was written since; standard output is what it was again. */
static const char *
world_finish(world_t *world)
{
	ssize_t len = read(world->reader, world->out, OUT_SIZE - 1);

	world->out[len > 0 ? len : 0] = '\0';
	dup2(world->stdout_kept, STDOUT_FILENO);
	close(world->stdout_kept);
	close(world->reader);
	return world->out;
}

static unsigned
count_of(const char *text, const char *part)
{
	unsigned count = 0;

	for (const char *at = strstr(text, part); at != NULL;
	     at = strstr(at + 1, part))
		count++;
	return count;
}

static void
many_lines_of_one_kind_leave_room_for_the_others(void **state)
{
	world_t world;
	const char *out;

	(void)state;
	world_init(&world, 100);
	for (int i = 0; i < 5000; i++)
		event_log_write_throttled(
		    &world.log, EVENT_THROTTLED_ENDPOINT, "id=%d", i);
	event_log_write(&world.log, "config", "version=2");
	event_log_tick(&world.log);
	world.clock.now.tv_sec += 2;
	event_log_tick(&world.log);
	event_log_tick(&world.log);
	event_log_write_throttled(
	    &world.log, EVENT_THROTTLED_ENDPOINT, "id=again");
	out = world_finish(&world);
	assert_int_equal(count_of(out, "event=endpoint "), 9);
	assert_int_equal(count_of(out, "event=config version=2"), 1);
	assert_int_equal(
	    count_of(out, "event=left_out of=endpoint lines=4992"), 1);
	assert_int_equal(count_of(out, "event=left_out"), 1);
	assert_int_equal(count_of(out, "id=again"), 1);
	assert_int_equal(world.log.dropped, 0);
}

static void
more_lines_than_the_rate_are_dropped_and_counted(void **state)
{
	world_t world;
	const char *out;

	(void)state;
	world_init(&world, 10);
	for (int i = 0; i < 100; i++)
		event_log_write(&world.log, "request", "id=%d", i);
	world.clock.now.tv_sec += 1;
	event_log_write(&world.log, "request", "id=last");
	out = world_finish(&world);
	assert_int_equal(count_of(out, "event=request "), 21);
	assert_int_equal(count_of(out, "dropped_lines=80 id=last"), 1);
}

/* Nobody reads: the daemon goes on, and says later what is missing. */
static void
a_reader_that_stands_still_is_not_waited_for(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 1e9);
	for (int i = 0; i < 20000; i++)
		event_log_write(&world.log, "request", "id=%d", i);
	assert_true(world.log.dropped > 0);
	assert_int_equal(world.log.dropped + world.log.written, 20000);
	world_finish(&world);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(many_lines_of_one_kind_leave_room_for_the_others),
	    cmocka_unit_test(more_lines_than_the_rate_are_dropped_and_counted),
	    cmocka_unit_test(a_reader_that_stands_still_is_not_waited_for),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
