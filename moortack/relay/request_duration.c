#include "moortack/relay/request_duration.h"

#include <math.h>

/* Weights of a new sample, as in the estimate of round-trip times of TCP. */
#define MEAN_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
/* Deviations above the mean by which requests that can't be repeated have to
 * fit. */
#define DEVIATIONS 2.0
/* Time for the response to leave the daemon. */
#define RESPONSE_MS 200

void
request_duration_observe(request_duration_t *self, double ms)
{
	if (!self->known) {
		*self = (request_duration_t){ms, ms / 2, true};
		return;
	}
	self->deviation_ms +=
	    DEVIATION_WEIGHT * (fabs(ms - self->mean_ms) - self->deviation_ms);
	self->mean_ms += MEAN_WEIGHT * (ms - self->mean_ms);
}

bool
request_duration_allows(
    const request_duration_t *self, const stop_input_t *input)
{
	double remaining_ms = (double)(input->remaining_ms - RESPONSE_MS);
	double expected_ms = self->mean_ms;

	if ((double)input->limit_ms <= remaining_ms)
		return true;
	if (input->certain_only)
		return false;
	if (!input->repeatable)
		expected_ms += DEVIATIONS * self->deviation_ms;
	return expected_ms <= remaining_ms;
}
