/**
 * @file
 * How long an answer takes to begin, by the tokens that are read before it: a
 * fading straight line through what was measured. A pure estimate.
 */
#ifndef MOORTACK_RELAY_PREFILL_RATE_H
#define MOORTACK_RELAY_PREFILL_RATE_H

#include <stdint.h>

/** Fading sums of tokens x and milliseconds y. */
typedef struct prefill_rate {
	double count;
	double x;
	double y;
	double xx;
	double xy;
	uint32_t taken;
} prefill_rate_t;

/** An answer began after @p ms. @param tokens of its prompt */
void prefill_rate_take(prefill_rate_t *, double tokens, double ms);

/** Milliseconds that a token more takes to be read; negative: too few were
 * measured, or of one size. */
double prefill_rate_slope(const prefill_rate_t *);

/** Milliseconds until the answer to a prompt of @p tokens begins; negative:
 * too few were measured. */
double prefill_rate_ms(const prefill_rate_t *, double tokens);

#endif
