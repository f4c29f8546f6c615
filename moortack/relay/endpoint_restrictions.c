#include "moortack/relay/endpoint_restrictions.h"

#include <stdlib.h>

#include "common/clock_source.h"

/* One request in ten seconds. */
#define RATE_MILLI_MIN 100
/* By how much the clocks of two daemons may differ, which both follow the
 * store's. */
#define CLOCK_ERROR_MS 200
/* Changes by less than this part of a limit are not reported: an endpoint may
 * name another limit in each response. */
#define REPORTED_CHANGE 8

/* Responses overtake each other. One to a request that was sent before the
 * limit was last named may be older than it. */
static bool
is_newer_than_limit(
    const endpoint_restrictions_t *self, const notice_context_t *context)
{
	return timespec_us_between(self->rate_limited_at, context->sent_at) >=
	    0;
}

static bool
differs_clearly(const endpoint_restrictions_t *self)
{
	int64_t before = self->rate_reported_milli;

	return llabs(self->rate_milli - before) > before / REPORTED_CHANGE;
}

static unsigned int
rate_limit_set(endpoint_restrictions_t *self, int64_t rate_milli,
    const notice_context_t *context)
{
	bool was_limited = self->rate_limited;

	/* Of two limits whose order is not known the lower one counts. */
	if (self->rate_limited && rate_milli > self->rate_milli &&
	    !is_newer_than_limit(self, context))
		return 0;
	self->rate_limited = true;
	self->rate_milli = rate_milli;
	if (timespec_us_between(self->rate_limited_at, context->now) > 0)
		self->rate_limited_at = context->now;
	if (was_limited && !differs_clearly(self))
		return 0;
	self->rate_reported_milli = rate_milli;
	return RESTRICTION_RATE_LIMITED;
}

/* A refusal may have been sent without knowledge of the limit. */
static unsigned int
rate_limit_end(endpoint_restrictions_t *self, const notice_context_t *context)
{
	if (!self->rate_limited || !context->ran ||
	    !is_newer_than_limit(self, context))
		return 0;
	self->rate_limited = false;
	self->rate_freed_at = context->sent_at;
	return RESTRICTION_RATE_FREED;
}

static unsigned int
rate_apply(endpoint_restrictions_t *self, const endpoint_notice_t *notice,
    const notice_context_t *context)
{
	switch (notice->rate) {
	case RATE_LIMITED:
		return rate_limit_set(self, notice->rate_milli, context);
	case RATE_NOT_LIMITED:
		return rate_limit_end(self, context);
	case RATE_UNREADABLE:
		break;
	}
	return 0;
}

unsigned int
endpoint_restrictions_apply_report(
    endpoint_restrictions_t *self, const rate_report_t *report)
{
	const notice_context_t context = {.ran = true,
	    .sent_at = timespec_add_ms(report->at, -CLOCK_ERROR_MS),
	    .now = report->at};

	if (!report->limited)
		return rate_limit_end(self, &context);
	if (!self->rate_limited &&
	    timespec_ms_between(report->at, self->rate_freed_at) >
		CLOCK_ERROR_MS)
		return 0;
	return rate_limit_set(self, report->rate_milli, &context);
}

static unsigned int
drain_apply(endpoint_restrictions_t *self, const endpoint_notice_t *notice)
{
	if (self->draining || !notice->draining)
		return 0;
	self->draining = true;
	return RESTRICTION_DRAINING;
}

int64_t
endpoint_restrictions_backoff_ms(
    const endpoint_restrictions_t *self, struct timespec now)
{
	int64_t ms = timespec_ms_between(now, self->backoff_until);

	return ms > 0 ? ms : 0;
}

/* Each back-off that was asked for holds to its end, also after a shorter one.
 */
static unsigned int
backoff_apply(endpoint_restrictions_t *self, const endpoint_notice_t *notice,
    const notice_context_t *context)
{
	int64_t before_ms =
	    endpoint_restrictions_backoff_ms(self, context->now);

	if (notice->backoff_ms <= before_ms)
		return 0;
	self->backoff_until = timespec_add_ms(context->now, notice->backoff_ms);
	return before_ms == 0 ? RESTRICTION_BACKOFF : 0;
}

unsigned int
endpoint_restrictions_apply(endpoint_restrictions_t *self,
    const endpoint_notice_t *notice, const notice_context_t *context)
{
	return rate_apply(self, notice, context) | drain_apply(self, notice) |
	    backoff_apply(self, notice, context);
}

uint32_t
rate_slot_quota(int64_t rate_milli, uint64_t endpoint_hash, int64_t slot)
{
	/* RATE_MILLI slots have a whole number of requests, so this many are
	 * counted at most. */
	int64_t cycle = slot % RATE_MILLI;
	int64_t phase = (int64_t)(endpoint_hash % RATE_MILLI);

	if (rate_milli < RATE_MILLI_MIN)
		rate_milli = RATE_MILLI_MIN;
	return (uint32_t)(((cycle + 1) * rate_milli + phase) / RATE_MILLI -
	    (cycle * rate_milli + phase) / RATE_MILLI);
}

bool
endpoint_restrictions_any(
    const endpoint_restrictions_t *self, struct timespec now)
{
	return self->rate_limited || self->draining ||
	    endpoint_restrictions_backoff_ms(self, now) > 0;
}
