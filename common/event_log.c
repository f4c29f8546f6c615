#include "common/event_log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_SIZE 640
#define MS_PER_SEC 1000.0
/* Lines that may come at once, as seconds of the rate. */
#define BURST_S 2.0
/* Lines of one kind that are written in a second. A start of 295 daemons with
 * 166 endpoints wrote 49,000 lines on endpoints, and 133 lines of one daemon
 * were dropped beside them, also those on what it does. */
#define CROWD_LINES 8
#define CROWD_MS 1000

void
event_log_init(event_log_t *log, const clock_source_t *clock, double per_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	*log = (event_log_t){.clock = clock,
	    .per_s = per_s,
	    .room = per_s * BURST_S,
	    .seen = clock_elapsed(clock)};
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static bool
room_take(event_log_t *log, struct timespec now)
{
	log->room += (double)timespec_ms_between(log->seen, now) * log->per_s /
	    MS_PER_SEC;
	if (log->room > log->per_s * BURST_S)
		log->room = log->per_s * BURST_S;
	log->seen = now;
	if (log->room < 1)
		return false;
	log->room--;
	return true;
}

static void
event_write(event_log_t *log, const char *event, const char *fmt, va_list ap)
{
	struct timespec now = clock_elapsed(log->clock);
	char line[LINE_SIZE];
	size_t len;

	if (!room_take(log, now)) {
		log->dropped++;
		return;
	}
	len = (size_t)snprintf(line, sizeof(line),
	    "t=%" PRId64 ".%03" PRId64 " event=%s ", timespec_ms(now) / 1000,
	    timespec_ms(now) % 1000, event);
	if (log->dropped > log->dropped_told) {
		len += (size_t)snprintf(line + len, sizeof(line) - len,
		    "dropped_lines=%" PRIu64 " ",
		    log->dropped - log->dropped_told);
		log->dropped_told = log->dropped;
	}
	len += (size_t)vsnprintf(line + len, sizeof(line) - len, fmt, ap);
	if (len > sizeof(line) - 2)
		len = sizeof(line) - 2;
	line[len++] = '\n';
	if (write(STDOUT_FILENO, line, len) == (ssize_t)len)
		log->written++;
	else
		log->dropped++;
}

void
event_line(event_log_t *log, const char *event, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	event_write(log, event, fmt, ap);
	va_end(ap);
}

static const char *const crowd_events[EVENT_CROWDS] = {
    [EVENT_CROWD_ENDPOINT] = "endpoint",
    [EVENT_CROWD_ENDPOINT_GONE] = "endpoint_gone",
    [EVENT_CROWD_MEMBER] = "member",
    [EVENT_CROWD_MEMBER_GONE] = "member_gone",
};

/* A second that is over is told of, and the next one begins. */
static void
crowd_turn(event_log_t *log, event_crowd_kind_t kind)
{
	event_crowd_t *crowd = &log->crowds[kind];
	struct timespec now = clock_elapsed(log->clock);
	uint32_t left_out = crowd->left_out;

	if (timespec_ms_between(crowd->since, now) < CROWD_MS)
		return;
	*crowd = (event_crowd_t){.since = now};
	if (left_out > 0)
		event_line(log, "left_out", "of=%s lines=%" PRIu32,
		    crowd_events[kind], left_out);
}

void
event_line_crowd(
    event_log_t *log, event_crowd_kind_t kind, const char *fmt, ...)
{
	event_crowd_t *crowd = &log->crowds[kind];
	va_list ap;

	crowd_turn(log, kind);
	if (crowd->lines >= CROWD_LINES) {
		crowd->left_out++;
		return;
	}
	crowd->lines++;
	va_start(ap, fmt);
	event_write(log, crowd_events[kind], fmt, ap);
	va_end(ap);
}

void
event_log_tick(event_log_t *log)
{
	for (int kind = 0; kind < EVENT_CROWDS; kind++)
		crowd_turn(log, (event_crowd_kind_t)kind);
}
