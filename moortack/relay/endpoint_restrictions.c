#include "moortack/relay/endpoint_restrictions.h"

#include "common/clock_source.h"

static unsigned int
rate_limit_set(
    endpoint_restrictions_t *self, int64_t rate_milli, struct timespec now)
{
	bool changed = !self->rate_limited || self->rate_milli != rate_milli;

	self->rate_limited = true;
	self->rate_milli = rate_milli;
	self->rate_limited_at = now;
	return changed ? RESTRICTION_RATE_LIMITED : 0;
}

/* Responses overtake each other. One to a request that was sent before the
 * limit was last named may be older than the limit. */
static bool
ends_rate_limit(
    const endpoint_restrictions_t *self, const notice_context_t *context)
{
	return self->rate_limited && context->ran &&
	    timespec_us_between(self->rate_limited_at, context->sent_at) >= 0;
}

unsigned int
endpoint_restrictions_apply(endpoint_restrictions_t *self,
    const endpoint_notice_t *notice, const notice_context_t *context)
{
	switch (notice->rate) {
	case RATE_LIMITED:
		return rate_limit_set(self, notice->rate_milli, context->now);
	case RATE_NOT_LIMITED:
		if (!ends_rate_limit(self, context))
			return 0;
		self->rate_limited = false;
		return RESTRICTION_RATE_FREED;
	case RATE_UNREADABLE:
		break;
	}
	return 0;
}
