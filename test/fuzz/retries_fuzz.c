/**
 * @file
 * The retries of one daemon stay within its share, and those of all daemons
 * within the budget, in every interval of the window's length, for any sequence
 * of requests, retries and restarts. A process knows only some of the daemons
 * in its first window. The reference model stores the times of all of them.
 */
#include "common/clock_source.h"
#include "input.h"
#include "moortack/relay/retry_share.h"

#define EVENTS_MAX 4096
#define WINDOW_MS 10000
#define DAEMONS 4
/* The window consists of slices, so that requests count a little longer. */
#define REQUESTS_MS (WINDOW_MS * 11 / 10)
/* A process that ended may have spent retries early in the window, for requests
 * before it. */
#define ALL_REQUESTS_MS (2 * REQUESTS_MS)

typedef struct daemon {
	retry_share_t share;
	int64_t started_ms;
	size_t requests_len, retries_len;
	/* At its start: what earlier processes counted. */
	size_t requests_earlier, retries_earlier;
	int64_t requests[EVENTS_MAX], retries[EVENTS_MAX];
} daemon_t;

static daemon_t daemons[DAEMONS];

static double
count_since(const int64_t *times, size_t len, int64_t from)
{
	double count = 0;

	for (size_t i = len; i > 0 && times[i - 1] > from; i--)
		count++;
	return count;
}

static void
check_process(
    const daemon_t *daemon, const retry_bounds_t *bounds, int64_t now_ms)
{
	FUZZ_CHECK(count_since(daemon->retries + daemon->retries_earlier,
		       daemon->retries_len - daemon->retries_earlier,
		       now_ms - WINDOW_MS) <= bounds->min_retries / DAEMONS +
		bounds->ratio *
		    count_since(daemon->requests + daemon->requests_earlier,
			daemon->requests_len - daemon->requests_earlier,
			now_ms - REQUESTS_MS));
}

static void
check_all(const retry_bounds_t *bounds, int64_t now_ms)
{
	double retries = 0, requests = 0;

	for (size_t i = 0; i < DAEMONS; i++) {
		retries += count_since(daemons[i].retries,
		    daemons[i].retries_len, now_ms - WINDOW_MS);
		requests += count_since(daemons[i].requests,
		    daemons[i].requests_len, now_ms - ALL_REQUESTS_MS);
	}
	FUZZ_CHECK(retries <= bounds->min_retries + bounds->ratio * requests);
}

static void
restart(daemon_t *daemon, const retry_bounds_t *bounds, int64_t now_ms)
{
	retry_share_init(&daemon->share, bounds, timespec_from_ms(now_ms));
	daemon->started_ms = now_ms;
	daemon->requests_earlier = daemon->requests_len;
	daemon->retries_earlier = daemon->retries_len;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	const retry_bounds_t bounds = {0.5, WINDOW_MS, 20};
	input_t input = {bytes, len, 0};
	int64_t now_ms = 1000000;

	for (size_t i = 0; i < DAEMONS; i++) {
		daemons[i].requests_len = daemons[i].retries_len = 0;
		restart(&daemons[i], &bounds, now_ms);
	}
	for (size_t events = 0; events < EVENTS_MAX && !input_at_end(&input);
	     events++) {
		struct timespec now = timespec_from_ms(now_ms);
		uint32_t op = input_below(&input, 64);
		daemon_t *daemon = &daemons[op / 16];
		uint32_t known = DAEMONS;

		switch (op % 16) {
		case 0:
			restart(daemon, &bounds, now_ms);
			break;
		case 1:
		case 2:
		case 3:
			now_ms += input_below(&input, 250) * 20;
			break;
		case 4:
		case 5:
		case 6:
		case 7:
			daemon->requests[daemon->requests_len++] = now_ms;
			retry_share_add_request(&daemon->share, &bounds, now);
			break;
		default:
			if (now_ms - daemon->started_ms < WINDOW_MS)
				known = 1 + input_below(&input, DAEMONS);
			if (!retry_share_spend(
				&daemon->share, &bounds, known, now))
				break;
			daemon->retries[daemon->retries_len++] = now_ms;
			check_process(daemon, &bounds, now_ms);
			check_all(&bounds, now_ms);
		}
	}
	return 0;
}
