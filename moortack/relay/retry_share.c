#include "moortack/relay/retry_share.h"

#include <string.h>

#include "common/clock_source.h"

/* The window moves by whole slices. One slice more than its length is counted,
 * so that no interval of the window's length exceeds the limit. */
#define WINDOW_SLICES (RETRY_SLICES - 1)
/* Part of the budget that may be spent: each daemon counts for itself, and
 * learns late of new daemons. */
#define BUDGET_SAFETY_FACTOR 0.85

static void
share_advance(
    retry_share_t *share, const retry_bounds_t *bounds, struct timespec now)
{
	int64_t width = bounds->window_ms / WINDOW_SLICES;
	int64_t slice = timespec_to_ms(now) / (width > 0 ? width : 1);
	int64_t steps = slice - share->slice;

	if (steps <= 0)
		return;
	if (steps > RETRY_SLICES)
		steps = RETRY_SLICES;
	for (int64_t i = 0; i < steps; i++) {
		size_t index = (size_t)((slice - i) % RETRY_SLICES);

		share->requests[index] = 0;
		share->retries[index] = 0;
	}
	share->slice = slice;
}

static uint32_t
counts_sum(const uint32_t *counts)
{
	uint32_t total = 0;

	for (size_t i = 0; i < RETRY_SLICES; i++)
		total += counts[i];
	return total;
}

void
retry_share_add_request(
    retry_share_t *share, const retry_bounds_t *bounds, struct timespec now)
{
	share_advance(share, bounds, now);
	share->requests[share->slice % RETRY_SLICES]++;
}

retry_usage_t
retry_share_usage(retry_share_t *share, const retry_bounds_t *bounds,
    uint32_t daemons, struct timespec now)
{
	retry_usage_t usage;

	share_advance(share, bounds, now);
	usage.requests = counts_sum(share->requests);
	usage.retries = counts_sum(share->retries);
	usage.earned = BUDGET_SAFETY_FACTOR * bounds->ratio * usage.requests;
	usage.fixed = BUDGET_SAFETY_FACTOR * bounds->min_retries /
	    (daemons > 0 ? daemons : 1);
	return usage;
}

bool
retry_share_spend(retry_share_t *share, const retry_bounds_t *bounds,
    uint32_t daemons, struct timespec now)
{
	retry_usage_t usage = retry_share_usage(share, bounds, daemons, now);

	if (usage.retries + 1 > usage.earned + usage.fixed)
		return false;
	share->retries[share->slice % RETRY_SLICES]++;
	return true;
}

double
retry_share_remaining(retry_share_t *share, const retry_bounds_t *bounds,
    uint32_t daemons, struct timespec now)
{
	retry_usage_t usage = retry_share_usage(share, bounds, daemons, now);
	double limit = usage.earned + usage.fixed;

	/* Less than one retry can't be used. */
	return usage.retries + 1 <= limit ? 1 - usage.retries / limit : 0;
}
