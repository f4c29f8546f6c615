/**
 * @file
 * The logger: one short line per event, with a fixed prefix for each part of
 * the system.
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

/** The parts of the system that log. */
typedef enum log_part {
	LOG_CONFIG,
	LOG_CTL,
	LOG_FRONT,
	LOG_LEDGER,
	LOG_MAIN,
	LOG_PEER,
	LOG_ROUTE,
	LOG_STANDIN,
	LOG_STORE,
	LOG_PART_COUNT
} log_part_t;

/** Most important first. */
typedef enum log_level { LOG_ERROR, LOG_WARN, LOG_INFO, LOG_DEBUG } log_level_t;

/** Set the program name printed on each line and the least important level
 * that is written. */
void log_init(const char *program, log_level_t level);

/** Write a line to standard error. Never pass secrets. */
void log_line(log_level_t level, log_part_t part, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#endif
