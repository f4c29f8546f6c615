#include "moortack/relay/retry_share.h"

#include <math.h>
#include <string.h>

#include "common/clock_source.h"

/* Of the ratio, what each request earns. */
#define EARNED_PART 0.85
/* Of the ratio, what each request of the window allows to save. The rest is for
 * retries that arrive later than they were spent. */
#define SAVED_PART 0.13
/* Of a daemon's fixed part. The rest covers daemons that it learns of late. */
#define FIXED_PART 0.95
/* Of that, what can be saved, but a whole retry if the fixed part allows one.
 */
#define FIXED_SAVED_PART 0.4
/* Starts of a daemon in a window that the rest allows for, and what each may
 * have of it. */
#define STARTS_IN_WINDOW 2
#define START_PART 0.45
/* Retries that the requests of the latest slices earned can always be saved: a
 * process that has just started has no others. */
#define RECENT_SLICES 3
/* Of the ratio, what each request of the window reserves for failures. */
#define RESERVED_PART 0.05

/* A daemon's fixed part of a window. */
typedef struct fixed_part {
	double saved_max;
	double start;  /* at the start of a process */
	double refill; /* over a window */
} fixed_part_t;

static fixed_part_t
fixed_part(const retry_bounds_t *bounds, uint32_t daemons)
{
	double total =
	    FIXED_PART * bounds->min_retries / (daemons > 0 ? daemons : 1);
	fixed_part_t part;

	part.saved_max = fmax(fmin(1, total), FIXED_SAVED_PART * total);
	part.start = fmin(1, START_PART * (total - part.saved_max));
	part.refill = total - part.saved_max - STARTS_IN_WINDOW * part.start;
	return part;
}

static void
share_advance(
    retry_share_t *share, const retry_bounds_t *bounds, struct timespec now)
{
	int64_t width = bounds->window_ms / RETRY_SLICES;
	int64_t slice = timespec_to_ms(now) / (width > 0 ? width : 1);
	int64_t steps = slice - share->slice;

	if (steps <= 0)
		return;
	if (steps > RETRY_SLICES)
		steps = RETRY_SLICES;
	for (int64_t i = 0; i < steps; i++)
		share->requests[(slice - i) % RETRY_SLICES] = 0;
	share->slice = slice;
}

void
retry_share_add_request(
    retry_share_t *share, const retry_bounds_t *bounds, struct timespec now)
{
	share_advance(share, bounds, now);
	share->requests[share->slice % RETRY_SLICES]++;
	share->saved += EARNED_PART * bounds->ratio;
}

/* Requests of the latest slices. */
static uint32_t
requests_of(const retry_share_t *share, int64_t slices)
{
	uint32_t total = 0;

	for (int64_t i = 0; i < slices && i <= share->slice; i++)
		total += share->requests[(share->slice - i) % RETRY_SLICES];
	return total;
}

retry_balance_t
retry_share_balance(retry_share_t *share, const retry_bounds_t *bounds,
    uint32_t daemons, struct timespec now)
{
	fixed_part_t fixed = fixed_part(bounds, daemons);
	retry_balance_t balance = {0};
	int64_t now_ms = timespec_to_ms(now);

	share_advance(share, bounds, now);
	if (!share->started)
		share->saved += fixed.start;
	else if (now_ms > share->refilled_ms && bounds->window_ms > 0)
		share->saved += fixed.refill *
		    (double)(now_ms - share->refilled_ms) /
		    (double)bounds->window_ms;
	share->started = true;
	share->refilled_ms = now_ms;
	balance.requests = requests_of(share, RETRY_SLICES);
	balance.saved_max = fixed.saved_max +
	    bounds->ratio *
		fmax(SAVED_PART * balance.requests,
		    EARNED_PART * requests_of(share, RECENT_SLICES));
	share->saved = fmin(share->saved, balance.saved_max);
	balance.saved = share->saved;
	return balance;
}

bool
retry_share_spend(retry_share_t *share, const retry_bounds_t *bounds,
    uint32_t daemons, struct timespec now)
{
	if (retry_share_balance(share, bounds, daemons, now).saved < 1)
		return false;
	share->saved--;
	return true;
}

bool
retry_share_has_spare(retry_share_t *share, const retry_bounds_t *bounds,
    uint32_t daemons, struct timespec now)
{
	retry_balance_t balance =
	    retry_share_balance(share, bounds, daemons, now);

	return balance.saved - 1 >=
	    RESERVED_PART * bounds->ratio * balance.requests;
}
