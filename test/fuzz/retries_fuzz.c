/**
 * @file
 * The retries of one daemon stay within its share in every interval of the
 * window's length, for any sequence of requests and retries. The reference
 * model stores the times of all of them.
 */
#include "common/clock_source.h"
#include "input.h"
#include "moortack/relay/retry_share.h"

#define EVENTS_MAX 4096
#define WINDOW_MS 10000
#define DAEMONS 4
/* The window consists of slices, so that requests count a little longer. */
#define REQUESTS_MS (WINDOW_MS * 11 / 10)

static int64_t requests[EVENTS_MAX], retries[EVENTS_MAX];

static double
count_since(const int64_t *times, size_t len, int64_t from)
{
	double count = 0;

	for (size_t i = len; i > 0 && times[i - 1] > from; i--)
		count++;
	return count;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	const retry_bounds_t bounds = {0.5, WINDOW_MS, 20};
	input_t input = {bytes, len, 0};
	retry_share_t share = {0};
	size_t requests_len = 0, retries_len = 0;
	int64_t now_ms = 1000000;

	while (!input_at_end(&input) && requests_len < EVENTS_MAX &&
	    retries_len < EVENTS_MAX) {
		struct timespec now = timespec_from_ms(now_ms);

		switch (input_below(&input, 4)) {
		case 0:
			now_ms += input_below(&input, 250) * 20;
			break;
		case 1:
			requests[requests_len++] = now_ms;
			retry_share_add_request(&share, &bounds, now);
			break;
		default:
			if (!retry_share_spend(&share, &bounds, DAEMONS, now))
				break;
			retries[retries_len++] = now_ms;
			FUZZ_CHECK(count_since(retries, retries_len,
				       now_ms - WINDOW_MS) <=
			    bounds.min_retries / DAEMONS +
				bounds.ratio *
				    count_since(requests, requests_len,
					now_ms - REQUESTS_MS));
		}
	}
	return 0;
}
