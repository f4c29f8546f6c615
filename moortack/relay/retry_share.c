#include "moortack/relay/retry_share.h"

#include <string.h>

#include "common/clock_source.h"

/* The window slides by slices: one more than fit is counted, so that no span
 * of the window's length holds more than the bound. */
#define WINDOW_SLICES (RETRY_SLICES - 1)
/* Part of the budget that is spent: daemons count apart, and some are seen
 * late. */
#define SAFE_SHARE 0.85

static void
share_slide(
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
		size_t at = (size_t)((slice - i) % RETRY_SLICES);

		share->requests[at] = 0;
		share->retries[at] = 0;
	}
	share->slice = slice;
}

static uint32_t
sum(const uint32_t *counts)
{
	uint32_t total = 0;

	for (size_t i = 0; i < RETRY_SLICES; i++)
		total += counts[i];
	return total;
}

void
retry_share_request(
    retry_share_t *share, const retry_bounds_t *bounds, struct timespec now)
{
	share_slide(share, bounds, now);
	share->requests[share->slice % RETRY_SLICES]++;
}

/* Retries that this daemon may make in the window. */
static double
allowed(
    const retry_share_t *share, const retry_bounds_t *bounds, uint32_t daemons)
{
	return SAFE_SHARE *
	    (bounds->floor / (daemons > 0 ? daemons : 1) +
		bounds->ratio * sum(share->requests));
}

bool
retry_share_spend(retry_share_t *share, const retry_bounds_t *bounds,
    uint32_t daemons, struct timespec now)
{
	share_slide(share, bounds, now);
	if (sum(share->retries) + 1 > allowed(share, bounds, daemons))
		return false;
	share->retries[share->slice % RETRY_SLICES]++;
	return true;
}

double
retry_share_left(retry_share_t *share, const retry_bounds_t *bounds,
    uint32_t daemons, struct timespec now)
{
	double most;

	share_slide(share, bounds, now);
	most = allowed(share, bounds, daemons);
	return most > 0 ? 1 - sum(share->retries) / most : 0;
}
