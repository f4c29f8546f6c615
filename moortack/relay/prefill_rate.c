#include "moortack/relay/prefill_rate.h"

/* Weight that what was measured before keeps at each new answer: some fifty
 * count, so that a change of load or version shows within seconds. */
#define FADING 0.98
/* Answers after which the line is believed. */
#define TAKEN_MIN 5
/* Least variance of tokens, in those of the mean squared, for a slope. */
#define VARIANCE_MIN 0.01

void
prefill_rate_take(prefill_rate_t *pace, double tokens, double ms)
{
	pace->count = FADING * pace->count + 1;
	pace->x = FADING * pace->x + tokens;
	pace->y = FADING * pace->y + ms;
	pace->xx = FADING * pace->xx + tokens * tokens;
	pace->xy = FADING * pace->xy + tokens * ms;
	pace->taken++;
}

double
prefill_rate_slope(const prefill_rate_t *pace)
{
	double mean_x, mean_y, variance, slope;

	if (pace->taken < TAKEN_MIN)
		return -1;
	mean_x = pace->x / pace->count;
	mean_y = pace->y / pace->count;
	variance = pace->xx / pace->count - mean_x * mean_x;
	if (variance <= VARIANCE_MIN * mean_x * mean_x)
		return -1;
	slope = (pace->xy / pace->count - mean_x * mean_y) / variance;
	return slope > 0 ? slope : 0;
}

double
prefill_rate_ms(const prefill_rate_t *pace, double tokens)
{
	double slope = prefill_rate_slope(pace);
	double ms;

	if (pace->taken < TAKEN_MIN)
		return -1;
	ms = pace->y / pace->count;
	if (slope >= 0)
		ms += slope * (tokens - pace->x / pace->count);
	return ms > 0 ? ms : 0;
}
