#include "moortack/reach/reach.h"

#include "common/clock_source.h"

/* A failure without another one for this long is forgotten: with few requests,
 * endpoints that failed minutes apart say nothing about the links. */
#define FAILURE_EXPIRY_MS 10000

static void
failures_clear(reach_t *self)
{
	self->failed_len = 0;
	self->failing_since = (struct timespec){0};
}

void
reach_record_opened(reach_t *self, struct timespec now)
{
	self->opened_at = now;
	self->response_at = now;
	failures_clear(self);
}

void
reach_record_response(reach_t *self, struct timespec now)
{
	self->response_at = now;
}

static bool
failure_known(const reach_t *self, uint64_t endpoint)
{
	for (size_t i = 0; i < self->failed_len; i++) {
		if (self->failed[i] == endpoint)
			return true;
	}
	return false;
}

void
reach_record_failure(reach_t *self, uint64_t endpoint, struct timespec now)
{
	if (self->failed_len > 0 &&
	    timespec_ms_between(self->failed_at, now) > FAILURE_EXPIRY_MS)
		failures_clear(self);
	if (self->failed_len == 0)
		self->failing_since = now;
	self->failed_at = now;
	if (self->failed_len < REACH_FAILED_MAX &&
	    !failure_known(self, endpoint))
		self->failed[self->failed_len++] = endpoint;
}

reach_verdict_t
reach_verdict(const reach_t *self, size_t endpoints)
{
	size_t needed =
	    endpoints < REACH_FAILED_MIN ? endpoints : REACH_FAILED_MIN;

	return needed > 0 && self->failed_len >= needed ? REACH_FAILING
							: REACH_OK;
}
