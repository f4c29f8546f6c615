/**
 * @file
 * Detects that the VM was suspended, by the time that CLOCK_MONOTONIC, by which
 * timers run, did not count but CLOCK_BOOTTIME did.
 */
#ifndef COMMON_SUSPEND_WATCH_H
#define COMMON_SUSPEND_WATCH_H

#include <stdbool.h>

#include "common/clock_source.h"

typedef struct suspend_watch {
	struct timespec boottime;  /**< at the last poll */
	struct timespec monotonic; /**< at the last poll */
	bool polled;		   /**< at least once */
} suspend_watch_t;

/** @return milliseconds for which the VM was suspended since the last poll; 0
 * if it was not, or on the first poll */
int64_t suspend_watch_poll(suspend_watch_t *, const clock_source_t *);

#endif
