/**
 * @file
 * How long an answer takes to begin, by the tokens that are read before it: a
 * fading straight line through what was measured. A pure estimate.
 */
#ifndef MOORTACK_RELAY_READ_PACE_H
#define MOORTACK_RELAY_READ_PACE_H

#include <stdint.h>

/** Fading sums of tokens x and milliseconds y. */
typedef struct read_pace {
	double count;
	double x;
	double y;
	double xx;
	double xy;
	uint32_t taken;
} read_pace_t;

/** An answer began after @p ms. @param tokens of its prompt */
void read_pace_take(read_pace_t *, double tokens, double ms);

/** Milliseconds that a token more takes to be read; negative: too few were
 * measured, or of one size. */
double read_pace_slope(const read_pace_t *);

/** Milliseconds until the answer to a prompt of @p tokens begins; negative:
 * too few were measured. */
double read_pace_ms(const read_pace_t *, double tokens);

#endif
