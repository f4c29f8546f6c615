#include "common/event_log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_SIZE 640
#define MS_PER_SEC 1000.0
/* Size of the token bucket, in seconds of the rate. */
#define BURST_S 2.0
/* Lines of a throttled kind written per second. Without this limit, starting
 * 295 daemons with 166 endpoints wrote 49,000 lines on endpoints, and one
 * daemon dropped 133 lines under the overall rate limit, including those on its
 * own decisions. */
#define THROTTLE_LINES_MAX 8
#define THROTTLE_WINDOW_MS 1000

void
event_log_init(
    event_log_t *log, const clock_source_t *clock, double lines_per_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	*log = (event_log_t){.clock = clock,
	    .lines_per_s = lines_per_s,
	    .tokens = lines_per_s * BURST_S,
	    .refilled_at = clock_boottime(clock)};
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static bool
token_acquire(event_log_t *log, struct timespec now)
{
	log->tokens += (double)timespec_ms_between(log->refilled_at, now) *
	    log->lines_per_s / MS_PER_SEC;
	if (log->tokens > log->lines_per_s * BURST_S)
		log->tokens = log->lines_per_s * BURST_S;
	log->refilled_at = now;
	if (log->tokens < 1)
		return false;
	log->tokens--;
	return true;
}

static void
event_log_vwrite(
    event_log_t *log, const char *event, const char *fmt, va_list ap)
{
	struct timespec now = clock_boottime(log->clock);
	char line[LINE_SIZE];
	size_t len;

	if (!token_acquire(log, now)) {
		log->dropped++;
		return;
	}
	len = (size_t)snprintf(line, sizeof(line),
	    "t=%" PRId64 ".%03" PRId64 " event=%s ", timespec_to_ms(now) / 1000,
	    timespec_to_ms(now) % 1000, event);
	if (log->dropped > log->dropped_reported) {
		len += (size_t)snprintf(line + len, sizeof(line) - len,
		    "dropped_lines=%" PRIu64 " ",
		    log->dropped - log->dropped_reported);
		log->dropped_reported = log->dropped;
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
event_log_write(event_log_t *log, const char *event, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	event_log_vwrite(log, event, fmt, ap);
	va_end(ap);
}

static const char *const throttled_events[EVENT_THROTTLE_COUNT] = {
    [EVENT_THROTTLED_ENDPOINT] = "endpoint",
    [EVENT_THROTTLED_ENDPOINT_REMOVED] = "endpoint_gone",
    [EVENT_THROTTLED_MEMBER] = "member",
    [EVENT_THROTTLED_MEMBER_REMOVED] = "member_gone",
    [EVENT_THROTTLED_SUSPECT] = "suspect",
    [EVENT_THROTTLED_LONG_TURN] = "long_turn",
    [EVENT_THROTTLED_LATE_TICK] = "late_tick",
};

/* Start a new window if the current one has ended, and report the lines that
 * were suppressed in it. */
static void
throttle_update_window(event_log_t *log, event_throttle_kind_t kind)
{
	event_throttle_t *throttle = &log->throttles[kind];
	struct timespec now = clock_boottime(log->clock);
	uint32_t suppressed = throttle->suppressed;

	if (timespec_ms_between(throttle->window_start, now) <
	    THROTTLE_WINDOW_MS)
		return;
	*throttle = (event_throttle_t){.window_start = now};
	if (suppressed > 0)
		event_log_write(log, "left_out", "of=%s lines=%" PRIu32,
		    throttled_events[kind], suppressed);
}

void
event_log_write_throttled(
    event_log_t *log, event_throttle_kind_t kind, const char *fmt, ...)
{
	event_throttle_t *throttle = &log->throttles[kind];
	va_list ap;

	throttle_update_window(log, kind);
	if (throttle->lines >= THROTTLE_LINES_MAX) {
		throttle->suppressed++;
		return;
	}
	throttle->lines++;
	va_start(ap, fmt);
	event_log_vwrite(log, throttled_events[kind], fmt, ap);
	va_end(ap);
}

void
event_log_tick(event_log_t *log)
{
	for (int kind = 0; kind < EVENT_THROTTLE_COUNT; kind++)
		throttle_update_window(log, (event_throttle_kind_t)kind);
}
