/**
 * @file
 * Whether a stream is completed before its deadline: the time that a model
 * takes for an output token, learned from events, and the probability that the
 * output ends in time. A pure estimate.
 */
#ifndef MOORTACK_RELAY_COMPLETION_H
#define MOORTACK_RELAY_COMPLETION_H

#include <stdint.h>

/** Time that a model takes for an output token; all zero: nothing is known. */
typedef struct decode_rate {
	double ms_per_token;
	uint32_t samples;
} decode_rate_t;

/** The output that a caller expects. */
typedef struct output_estimate {
	uint32_t tokens;     /**< by the caller's estimate; 0: none */
	uint32_t tokens_max; /**< limit; 0: none */
} output_estimate_t;

/** Records that so many output tokens took @p ms. */
void decode_rate_observe(decode_rate_t *, double tokens, double ms);
/** Milliseconds per output token; negative: too few samples. */
double decode_rate_ms_per_token(const decode_rate_t *);

/** Milliseconds that the model takes for the expected output; negative: the
 * rate or the output is unknown. */
double decode_rate_output_ms(const decode_rate_t *, const output_estimate_t *);
/** The probability that the output does not end within @p left_ms after its
 * first token; 0 also if the rate or the output is unknown. */
double completion_cut_probability(
    const decode_rate_t *, const output_estimate_t *, double left_ms);

#endif
