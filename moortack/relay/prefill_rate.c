#include "moortack/relay/prefill_rate.h"

/* Factor by which earlier samples decay with each response: about fifty of them
 * count, so that a change of load or version shows within seconds. */
#define DECAY 0.98
/* Minimum number of samples for an estimate. */
#define SAMPLES_MIN 5
/* Minimum variance of the token counts, relative to their squared mean, for a
 * slope. */
#define VARIANCE_MIN 0.01

void
prefill_rate_observe(prefill_rate_t *rate, double tokens, double ms)
{
	rate->weight = DECAY * rate->weight + 1;
	rate->sum_tokens = DECAY * rate->sum_tokens + tokens;
	rate->sum_ms = DECAY * rate->sum_ms + ms;
	rate->sum_tokens_squared =
	    DECAY * rate->sum_tokens_squared + tokens * tokens;
	rate->sum_tokens_ms = DECAY * rate->sum_tokens_ms + tokens * ms;
	rate->samples++;
}

double
prefill_rate_ms_per_token(const prefill_rate_t *rate)
{
	double mean_tokens, mean_ms, variance, slope;

	if (rate->samples < SAMPLES_MIN)
		return -1;
	mean_tokens = rate->sum_tokens / rate->weight;
	mean_ms = rate->sum_ms / rate->weight;
	variance =
	    rate->sum_tokens_squared / rate->weight - mean_tokens * mean_tokens;
	if (variance <= VARIANCE_MIN * mean_tokens * mean_tokens)
		return -1;
	slope = (rate->sum_tokens_ms / rate->weight - mean_tokens * mean_ms) /
	    variance;
	return slope > 0 ? slope : 0;
}

double
prefill_rate_first_byte_ms(const prefill_rate_t *rate, double tokens)
{
	double slope = prefill_rate_ms_per_token(rate);
	double ms;

	if (rate->samples < SAMPLES_MIN)
		return -1;
	ms = rate->sum_ms / rate->weight;
	if (slope >= 0)
		ms += slope * (tokens - rate->sum_tokens / rate->weight);
	return ms > 0 ? ms : 0;
}
