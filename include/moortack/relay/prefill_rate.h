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
	double weight;
	double sum_tokens;
	double sum_ms;
	double sum_tokens_squared;
	double sum_tokens_ms;
	uint32_t samples;
} prefill_rate_t;

/** An answer began after @p ms. @param tokens of its prompt */
void prefill_rate_observe(prefill_rate_t *, double tokens, double ms);

/** Milliseconds that a token more takes to be read; negative: too few were
 * measured, or of one size. */
double prefill_rate_ms_per_token(const prefill_rate_t *);

/** Milliseconds until the answer to a prompt of @p tokens begins; negative:
 * too few were measured. */
double prefill_rate_first_byte_ms(const prefill_rate_t *, double tokens);

#endif
