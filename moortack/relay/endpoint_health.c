#include "moortack/relay/endpoint_set.h"

/* Failures in a row before an endpoint is passed over, and for how long: the
 * first time, and at most. The maximum is longer than the entry of a crashed
 * endpoint remains, which is three heartbeats of 1,200 ms. */
#define EJECT_FAILURES 3
#define EJECT_FIRST_MS INT64_C(500)
#define EJECT_MAX_MS 4000
#define EJECT_SHIFT_MAX 3

void
endpoint_worked(endpoint_t *endpoint)
{
	endpoint->failures = 0;
	endpoint->ejected_until = (struct timespec){0};
}

static void
eject(endpoint_t *endpoint, int64_t ms)
{
	endpoint->ejected_until =
	    timespec_add_ms(clock_boottime(endpoint->set->clock),
		ms < EJECT_MAX_MS ? ms : EJECT_MAX_MS);
}

void
endpoint_failed(endpoint_t *endpoint)
{
	uint32_t over;

	endpoint->failures++;
	if (endpoint->failures < EJECT_FAILURES)
		return;
	over = endpoint->failures - EJECT_FAILURES;
	eject(endpoint,
	    EJECT_FIRST_MS << (over < EJECT_SHIFT_MAX ? over
						      : EJECT_SHIFT_MAX));
}

void
endpoint_refused_connection(endpoint_t *endpoint)
{
	if (endpoint->failures < EJECT_FAILURES - 1)
		endpoint->failures = EJECT_FAILURES - 1;
	endpoint_failed(endpoint);
}

void
endpoint_superseded(endpoint_t *endpoint)
{
	endpoint->failures = EJECT_FAILURES + EJECT_SHIFT_MAX;
	eject(endpoint, EJECT_MAX_MS);
}

bool
endpoint_ejected(const endpoint_t *endpoint)
{
	return timespec_ms_between(clock_boottime(endpoint->set->clock),
		   endpoint->ejected_until) > 0;
}
