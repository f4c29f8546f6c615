#include "moortack/relay/endpoint_set.h"

/* Consecutive failures after which an endpoint is ejected, and for how long:
 * the first time, and at most. The maximum is longer than the entry of a
 * crashed endpoint remains, which is three heartbeats of 1,200 ms. */
#define EJECT_FAILURES 3
#define EJECT_FIRST_MS INT64_C(500)
#define EJECT_MAX_MS 4000
#define EJECT_SHIFT_MAX 3

void
endpoint_record_success(endpoint_t *endpoint)
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
endpoint_record_failure(endpoint_t *endpoint)
{
	uint32_t excess;

	endpoint->failures++;
	if (endpoint->failures < EJECT_FAILURES)
		return;
	excess = endpoint->failures - EJECT_FAILURES;
	eject(endpoint,
	    EJECT_FIRST_MS << (excess < EJECT_SHIFT_MAX ? excess
							: EJECT_SHIFT_MAX));
}

void
endpoint_record_refused(endpoint_t *endpoint)
{
	if (endpoint->failures < EJECT_FAILURES - 1)
		endpoint->failures = EJECT_FAILURES - 1;
	endpoint_record_failure(endpoint);
}

void
endpoint_record_superseded(endpoint_t *endpoint)
{
	endpoint->failures = EJECT_FAILURES + EJECT_SHIFT_MAX;
	eject(endpoint, EJECT_MAX_MS);
}

bool
endpoint_is_ejected(const endpoint_t *endpoint)
{
	return timespec_ms_between(clock_boottime(endpoint->set->clock),
		   endpoint->ejected_until) > 0;
}
