/**
 * @file
 * Notices that the VM was suspended: the time that the steady clock, by which
 * timers run, did not count.
 */
#ifndef COMMON_SUSPEND_WATCH_H
#define COMMON_SUSPEND_WATCH_H

#include <stdbool.h>

#include "common/clock_source.h"

typedef struct suspend_watch {
	struct timespec boottime; /**< at the last look */
	struct timespec monotonic;
	bool polled;
} suspend_watch_t;

/** @return milliseconds for which the VM was suspended since the last look; 0:
 * it was not */
int64_t suspend_watch_poll(suspend_watch_t *, const clock_source_t *);

#endif
