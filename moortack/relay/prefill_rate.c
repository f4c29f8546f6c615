#include "moortack/relay/prefill_rate.h"

/* Weight that what was measured before keeps at each new answer: some fifty
 * count, so that a change of load or version shows within seconds. */
#define FADING 0.98
/* Answers after which the line is believed. */
#define TAKEN_MIN 5
/* Least variance of tokens, in those of the mean squared, for a slope. */
#define VARIANCE_MIN 0.01

void
prefill_rate_observe(prefill_rate_t *pace, double tokens, double ms)
{
	pace->weight = FADING * pace->weight + 1;
	pace->sum_tokens = FADING * pace->sum_tokens + tokens;
	pace->sum_ms = FADING * pace->sum_ms + ms;
	pace->sum_tokens_squared =
	    FADING * pace->sum_tokens_squared + tokens * tokens;
	pace->sum_tokens_ms = FADING * pace->sum_tokens_ms + tokens * ms;
	pace->samples++;
}

double
prefill_rate_ms_per_token(const prefill_rate_t *pace)
{
	double mean_x, mean_y, variance, slope;

	if (pace->samples < TAKEN_MIN)
		return -1;
	mean_x = pace->sum_tokens / pace->weight;
	mean_y = pace->sum_ms / pace->weight;
	variance = pace->sum_tokens_squared / pace->weight - mean_x * mean_x;
	if (variance <= VARIANCE_MIN * mean_x * mean_x)
		return -1;
	slope =
	    (pace->sum_tokens_ms / pace->weight - mean_x * mean_y) / variance;
	return slope > 0 ? slope : 0;
}

double
prefill_rate_first_byte_ms(const prefill_rate_t *pace, double tokens)
{
	double slope = prefill_rate_ms_per_token(pace);
	double ms;

	if (pace->samples < TAKEN_MIN)
		return -1;
	ms = pace->sum_ms / pace->weight;
	if (slope >= 0)
		ms += slope * (tokens - pace->sum_tokens / pace->weight);
	return ms > 0 ? ms : 0;
}
