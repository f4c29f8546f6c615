/**
 * @file
 * Estimates the time until a response starts from the work of its prefill: the
 * uncached tokens of its prompt, and the pairs of tokens that attention covers,
 * which dominate in long prompts. A linear regression over exponentially
 * decaying samples. A pure estimate.
 */
#ifndef MOORTACK_RELAY_PREFILL_RATE_H
#define MOORTACK_RELAY_PREFILL_RATE_H

#include <stdbool.h>
#include <stdint.h>

/** The work of one prefill. */
typedef struct prefill_work {
	double tokens; /**< uncached tokens */
	double pairs;  /**< millions of pairs of an uncached token and a token
			  before it */
} prefill_work_t;

/** Exponentially decaying sums over the samples. */
typedef struct prefill_rate {
	double weight;
	double sum_tokens;
	double sum_pairs;
	double sum_ms;
	double sum_tokens_squared;
	double sum_pairs_squared;
	double sum_tokens_pairs;
	double sum_tokens_ms;
	double sum_pairs_ms;
	uint32_t samples;
} prefill_rate_t;

/** The prefill of a prompt with so many tokens. */
prefill_work_t prefill_work(uint32_t tokens, uint32_t uncached);

/** Records that a response started after @p ms. */
void prefill_rate_observe(prefill_rate_t *, prefill_work_t, double ms);

/** Milliseconds per additional token, attention included, at the mean length of
 * the samples. Negative: there are too few samples, or all have about the same
 * number of tokens. */
double prefill_rate_ms_per_token(const prefill_rate_t *);

/** Milliseconds until the response to a prompt starts. Negative: there are too
 * few samples. */
double prefill_rate_first_byte_ms(const prefill_rate_t *, prefill_work_t);

#endif
