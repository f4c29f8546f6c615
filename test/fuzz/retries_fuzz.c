/**
 * @file
 * The retries of all daemons stay within the budget in every window, as the
 * users count it: for any requests, retries, bounds and moments at which
 * daemons start again without knowing what was spent before. A daemon starts
 * twice in a window at most. The reference model stores the times of all
 * requests and retries.
 */
#include <math.h>
#include <stdbool.h>

#include "common/clock_source.h"
#include "input.h"
#include "moortack/relay/retry_share.h"

#define EVENTS_MAX 8192
#define DAEMONS_MAX 6
#define STARTS_MAX 2
#define BURST_MAX 64
/* Steps of a window in which even requests come. */
#define STEPS 50
/* Part of a window, and of the ratio, of requests just before a window. */
#define RECENT_PART 0.15
#define RECENT_EARNED 0.85

typedef struct event_times {
	int64_t ms[EVENTS_MAX];
	size_t len;
} event_times_t;

typedef struct daemon {
	retry_share_t share;
	int64_t started_ms[STARTS_MAX]; /* the latest starts */
} daemon_t;

static event_times_t requests, retries;
static daemon_t daemons[DAEMONS_MAX];

/* Events after one time, up to another. */
static double
count_between(const event_times_t *times, int64_t after, int64_t until)
{
	double count = 0;

	for (size_t i = times->len; i > 0 && times->ms[i - 1] > after; i--)
		count += times->ms[i - 1] <= until;
	return count;
}

/* Requests of the window that ends now, the one before, or the one half a
 * window before, whichever has most. */
static double
requests_counted(int64_t window_ms, int64_t now_ms)
{
	double most = 0;

	for (int64_t shift = 0; shift <= 2; shift++) {
		int64_t until = now_ms - shift * window_ms / 2;

		most = fmax(
		    most, count_between(&requests, until - window_ms, until));
	}
	return most;
}

static void
check_budget(const retry_bounds_t *bounds, bool even, int64_t now_ms)
{
	int64_t from = now_ms - bounds->window_ms;
	double counted = requests_counted(bounds->window_ms, now_ms);

	if (!even)
		counted += RECENT_EARNED *
		    count_between(&requests,
			from -
			    (int64_t)(RECENT_PART * (double)bounds->window_ms),
			from);
	FUZZ_CHECK(count_between(&retries, from, now_ms) <=
	    bounds->min_retries + bounds->ratio * counted);
}

static void
restart(daemon_t *daemon, const retry_bounds_t *bounds, int64_t now_ms)
{
	if (now_ms - daemon->started_ms[0] <= bounds->window_ms)
		return;
	daemon->share = (retry_share_t){0};
	daemon->started_ms[0] = daemon->started_ms[1];
	daemon->started_ms[1] = now_ms;
}

static void
requests_add(daemon_t *daemon, const retry_bounds_t *bounds, uint32_t count,
    int64_t now_ms)
{
	for (uint32_t i = 0; i < count && requests.len < EVENTS_MAX; i++) {
		requests.ms[requests.len++] = now_ms;
		retry_share_add_request(
		    &daemon->share, bounds, timespec_from_ms(now_ms));
	}
}

static void
retries_spend(daemon_t *daemon, const retry_bounds_t *bounds, uint32_t count,
    uint32_t known, int64_t now_ms)
{
	for (uint32_t i = 0; i < count && retries.len < EVENTS_MAX; i++) {
		if (!retry_share_spend(&daemon->share, bounds, known,
			timespec_from_ms(now_ms)))
			break;
		retries.ms[retries.len++] = now_ms;
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};
	uint32_t count = 1 + input_below(&input, DAEMONS_MAX);
	const retry_bounds_t bounds = {0.1 * (1 + input_below(&input, 15)),
	    1000 * (1 + input_below(&input, 20)), input_below(&input, 100)};
	uint32_t even =
	    input_below(&input, 4); /* requests in a step; 0: uneven */
	int64_t now_ms = 1000000;

	requests.len = retries.len = 0;
	for (uint32_t i = 0; i < count; i++)
		daemons[i] = (daemon_t){0};
	while (!input_at_end(&input) && requests.len < EVENTS_MAX) {
		uint32_t op = input_below(&input, 16);
		daemon_t *daemon = &daemons[input_below(&input, count)];
		uint32_t number = input_below(&input, BURST_MAX);

		if (op < 4) {
			for (uint32_t step = 0; step < number; step++) {
				now_ms += bounds.window_ms / STEPS;
				for (uint32_t i = 0; i < count; i++)
					requests_add(
					    &daemons[i], &bounds, even, now_ms);
			}
		} else if (op == 4) {
			restart(daemon, &bounds, now_ms);
		} else if (op == 5) {
			for (uint32_t i = 0; i < count; i++)
				restart(&daemons[i], &bounds, now_ms);
		} else if (op < 10) {
			if (even == 0)
				requests_add(daemon, &bounds, number, now_ms);
		} else if (op < 13) {
			retries_spend(daemon, &bounds, number, count, now_ms);
		} else {
			for (uint32_t i = 0; i < count; i++)
				retries_spend(&daemons[i], &bounds, BURST_MAX,
				    count, now_ms);
		}
		check_budget(&bounds, even > 0, now_ms);
	}
	return 0;
}
