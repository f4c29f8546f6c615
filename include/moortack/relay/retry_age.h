/**
 * @file
 * How long ago a caller first tried, read from the time that it still waits:
 * one that was refused and came back has less of it left than others of its
 * route. A pure, fading estimate for one route.
 */
#ifndef MOORTACK_RELAY_RETRY_AGE_H
#define MOORTACK_RELAY_RETRY_AGE_H

#include <stdint.h>

typedef struct retry_age {
	double longest_ms; /**< that callers wait; fading */
	double
	    near_longest; /**< part of them that waits nearly as long; fading */
} retry_age_t;

/** A request came whose caller waits this long.
 * @return milliseconds since its first try; 0 where callers of the route wait
 * for times of their own, or say none, or few requests have come yet */
double retry_age_observe(retry_age_t *, int64_t deadline_ms);

#endif
