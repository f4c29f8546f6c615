#include "moortack/relay/completion.h"

#include <math.h>

/* Callers' estimates are right at the median, and often off by this factor,
 * either way. */
#define ESTIMATE_ERROR_FACTOR 1.6
/* Fewer samples may be of one endpoint that is slow at the moment. */
#define SAMPLES_MIN 4
/* Weight of the newest sample; the first ones weigh alike. A stream of 300
 * tokens gives some ten samples, so that the estimate is of several streams. */
#define NEWEST_WEIGHT 0.02

void
decode_rate_observe(decode_rate_t *rate, double tokens, double ms)
{
	double weight;

	if (!(tokens > 0) || !(ms >= 0))
		return;
	rate->samples += rate->samples < UINT32_MAX;
	weight = fmax(1.0 / rate->samples, NEWEST_WEIGHT);
	rate->ms_per_token += weight * (ms / tokens - rate->ms_per_token);
}

double
decode_rate_ms_per_token(const decode_rate_t *rate)
{
	return rate->samples < SAMPLES_MIN ? -1 : rate->ms_per_token;
}

static double
expected_tokens(const output_estimate_t *output)
{
	if (output->tokens_max > 0 && output->tokens > output->tokens_max)
		return output->tokens_max;
	return output->tokens;
}

double
decode_rate_output_ms(
    const decode_rate_t *rate, const output_estimate_t *output)
{
	double ms_per_token = decode_rate_ms_per_token(rate);

	return ms_per_token < 0 || output->tokens == 0
	    ? -1
	    : ms_per_token * expected_tokens(output);
}

double
completion_cut_probability(
    const decode_rate_t *rate, const output_estimate_t *output, double left_ms)
{
	double expected_ms = decode_rate_output_ms(rate, output);

	if (expected_ms <= 0)
		return 0;
	if (left_ms <= 0)
		return 1;
	if (output->tokens_max > 0 &&
	    output->tokens_max * rate->ms_per_token <= left_ms)
		return 0;
	/* The error of the estimate is taken as log-normal. */
	return 0.5 *
	    erfc(log(left_ms / expected_ms) /
		(log(ESTIMATE_ERROR_FACTOR) * sqrt(2)));
}
