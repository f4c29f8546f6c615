/**
 * @file
 * A clock that is advanced by the test.
 */
#ifndef TEST_SUPPORT_MANUAL_CLOCK_H
#define TEST_SUPPORT_MANUAL_CLOCK_H

#include "common/clock_source.h"

typedef struct manual_clock {
	clock_source_t source;
	struct timespec now; /**< returned for all clocks */
} manual_clock_t;

static inline struct timespec
manual_clock_now(const clock_source_t *clock)
{
	return ((const manual_clock_t *)clock)->now;
}

static const clock_ops_t manual_clock_ops = {
    manual_clock_now, manual_clock_now, manual_clock_now, manual_clock_now};

#endif
