/**
 * @file
 * Estimates the time until a response starts from the number of uncached tokens
 * of its prompt: a linear regression over exponentially decaying samples. A
 * pure estimate.
 */
#ifndef MOORTACK_RELAY_PREFILL_RATE_H
#define MOORTACK_RELAY_PREFILL_RATE_H

#include <stdint.h>

/** Exponentially decaying sums over the samples. */
typedef struct prefill_rate {
	double weight;
	double sum_tokens;
	double sum_ms;
	double sum_tokens_squared;
	double sum_tokens_ms;
	uint32_t samples;
} prefill_rate_t;

/** Records that a response started after @p ms.
 * @param tokens uncached tokens of its prompt */
void prefill_rate_observe(prefill_rate_t *, double tokens, double ms);

/** Milliseconds per additional token. Negative: there are too few samples, or
 * all have about the same number of tokens. */
double prefill_rate_ms_per_token(const prefill_rate_t *);

/** Milliseconds until the response to a prompt with @p tokens uncached tokens
 * starts. Negative: there are too few samples. */
double prefill_rate_first_byte_ms(const prefill_rate_t *, double tokens);

#endif
