#include "common/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>

#define LINE_SIZE 512

static const char *const part_names[LOG_PART_COUNT] = {
    [LOG_CONFIG] = "config",
    [LOG_CTL] = "ctl",
    [LOG_FRONT] = "front",
    [LOG_LEDGER] = "ledger",
    [LOG_MAIN] = "main",
    [LOG_PEER] = "peer",
    [LOG_ROUTE] = "route",
    [LOG_STANDIN] = "standin",
    [LOG_STORE] = "store",
};
static const char *const level_names[] = {"error", "warn", "info", "debug"};

static const char *program_name = "moortack";
static log_level_t max_level = LOG_INFO;

void
log_init(const char *program, log_level_t level)
{
	program_name = program;
	max_level = level;
}

void
log_line(log_level_t level, log_part_t part, const char *fmt, ...)
{
	struct timespec now;
	struct tm tm;
	char text[LINE_SIZE];
	char timestamp[32];
	va_list ap;

	if (level > max_level)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	strftime(timestamp, sizeof(timestamp), "%H:%M:%S", &tm);
	fprintf(stderr, "%s.%03ld %s %s %s: %s\n", timestamp,
	    now.tv_nsec / 1000000, program_name, level_names[level],
	    part_names[part], text);
}
