/**
 * @file
 * Observers of a zone's endpoints at odd times and with odd values. Checks that
 * a price lies within the waits that were observed, that it falls with age, and
 * that it is unknown once nothing was observed for long enough.
 */
#include <math.h>
#include <string.h>

#include "input.h"
#include "moortack/scheduling/price.h"

#define WAIT_MAX_MS 60000.0

static double
value_next(input_t *input)
{
	static const double odd[] = {
	    NAN, INFINITY, -INFINITY, -1, 1e300, 5e-324, WAIT_MAX_MS};
	uint32_t kind = input_below(input, 64);

	return kind < sizeof(odd) / sizeof(odd[0])
	    ? odd[kind]
	    : input_below(input, 256) * (double)kind;
}

static int64_t
time_next(input_t *input, int64_t now_ms)
{
	switch (input_below(input, 32)) {
	case 0:
		return INT64_MAX;
	case 1:
		return INT64_MIN;
	case 2:
		return now_ms > 0 ? now_ms - input_below(input, 256) : now_ms;
	case 3:
		return now_ms < INT64_MAX / 2
		    ? now_ms + 100 * (int64_t)input_below(input, 64)
		    : 0;
	default:
		return now_ms < INT64_MAX / 2 ? now_ms + input_below(input, 64)
					      : 0;
	}
}

/* The highest wait that an observation may mean. */
static double
bounded(double wait_ms, double busy)
{
	if (busy >= 1)
		wait_ms = fmax(wait_ms, PRICE_REQUEST_MS);
	return fmin(fmax(wait_ms, 0), WAIT_MAX_MS);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};
	double highest_ms = 0;
	int64_t now_ms = 1000;
	price_t price;

	price_init(&price);
	while (!input_at_end(&input)) {
		double before_ms;
		double wait_ms = value_next(&input);
		double busy = value_next(&input);
		double after_ms;

		now_ms = time_next(&input, now_ms);
		before_ms = price_wait_ms(&price, now_ms);
		price_observe(&price, wait_ms, busy, now_ms);
		after_ms = price_wait_ms(&price, now_ms);
		if (isnan(wait_ms) || isnan(busy)) {
			FUZZ_CHECK(after_ms == before_ms);
			continue;
		}
		wait_ms = bounded(wait_ms, busy);
		highest_ms = fmax(highest_ms, wait_ms);
		FUZZ_CHECK(after_ms >= 0 && after_ms <= highest_ms);
		/* Towards the observation, and not beyond it. */
		if (before_ms >= 0)
			FUZZ_CHECK(after_ms >= fmin(before_ms, wait_ms) &&
			    after_ms <= fmax(before_ms, wait_ms));
		FUZZ_CHECK(price_now(&price, now_ms) >= 0);
		if (now_ms > INT64_MAX - 2 * PRICE_AGE_MAX_MS)
			continue;
		FUZZ_CHECK(price_wait_ms(&price, now_ms + 500) <= after_ms);
		FUZZ_CHECK(
		    price_wait_ms(&price, now_ms + PRICE_AGE_MAX_MS + 1) < 0);
	}
	return 0;
}
