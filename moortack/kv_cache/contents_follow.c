#include "moortack/kv_cache/contents_follow.h"

/* Least time from one call to the next: events arrive in batches, and a call
 * that waits for less than this is priced as a probe. */
#define CALL_INTERVAL_MS 200
/* Least time between two lists, as each delays the endpoint's work. */
#define LIST_INTERVAL_MS 5000
/* The interval doubles up to this with lists that fail: an endpoint whose list
 * takes too long is not delayed by it again and again. */
#define LIST_INTERVAL_MAX_MS 40000
/* For how long contents with a gap are of use: two lists may fail. Afterwards
 * too many of the parts may have been dropped unnoticed. */
#define GAP_MAX_MS 10000
/* Back-off after the first failure, and the longest. */
#define BACKOFF_MIN_MS 200
#define BACKOFF_MAX_MS 5000

static int64_t
later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

void
contents_follow_init(
    contents_follow_t *self, int64_t now_ms, int64_t spread_ms, uint64_t random)
{
	*self = (contents_follow_t){.needs_list = true,
	    .next_ms = now_ms + (int64_t)(random % (uint64_t)spread_ms),
	    .list_ms = now_ms,
	    .success_ms = -1,
	    .gap_ms = -1};
}

follow_step_t
contents_follow_next(const contents_follow_t *self, int64_t now_ms)
{
	int64_t at_ms = self->next_ms;

	if (self->not_offered)
		return (follow_step_t){.action = FOLLOW_STOP};
	if (self->calling)
		return (follow_step_t){FOLLOW_WAIT, INT64_MAX, 0};
	if (self->needs_list && now_ms >= self->list_ms && now_ms >= at_ms)
		return (follow_step_t){.action = FOLLOW_LIST};
	/* After a gap the contents are still of use, and events go on. */
	if (self->needs_list && self->success_ms < 0)
		return (follow_step_t){
		    FOLLOW_WAIT, later(at_ms, self->list_ms), 0};
	if (now_ms < at_ms)
		return (follow_step_t){FOLLOW_WAIT, at_ms, 0};
	return (follow_step_t){.action = FOLLOW_EVENTS, .since = self->since};
}

static int64_t
list_interval_ms(const contents_follow_t *self)
{
	int64_t ms = LIST_INTERVAL_MS;

	for (uint32_t i = 0; i < self->list_failures; i++) {
		if (ms >= LIST_INTERVAL_MAX_MS)
			break;
		ms *= 2;
	}
	return ms;
}

void
contents_follow_sent(contents_follow_t *self, int64_t now_ms)
{
	self->listing =
	    contents_follow_next(self, now_ms).action == FOLLOW_LIST;
	if (self->listing)
		self->list_ms = now_ms + list_interval_ms(self);
	self->calling = true;
	self->sent_ms = now_ms;
}

void
contents_follow_succeeded(contents_follow_t *self, contents_result_t result,
    uint64_t next, int64_t now_ms)
{
	self->calling = false;
	self->failures = 0;
	if (self->listing) {
		self->list_failures = 0;
		self->list_ms = self->sent_ms + LIST_INTERVAL_MS;
	}
	self->since = next;
	self->needs_list = result != CONTENTS_COMPLETE;
	if (!self->needs_list)
		self->gap_ms = -1;
	else if (self->gap_ms < 0)
		self->gap_ms = now_ms;
	self->success_ms = result != CONTENTS_LOST ? now_ms : -1;
	self->next_ms = later(self->sent_ms + CALL_INTERVAL_MS, now_ms);
}

/* From half the back-off to all of it. */
static int64_t
backoff_ms(uint32_t failures, uint64_t random)
{
	int64_t ms = BACKOFF_MIN_MS;

	while (failures-- > 1 && ms < BACKOFF_MAX_MS)
		ms *= 2;
	if (ms > BACKOFF_MAX_MS)
		ms = BACKOFF_MAX_MS;
	return ms / 2 + (int64_t)(random % (uint64_t)(ms / 2 + 1));
}

void
contents_follow_failed(contents_follow_t *self, follow_failure_t failure,
    int64_t now_ms, uint64_t random)
{
	self->calling = false;
	self->not_offered |= failure == FOLLOW_NOT_OFFERED;
	self->failures++;
	if (self->listing && failure != FOLLOW_REFUSED)
		self->list_failures++;
	/* The events after it can't be had: only a list shows the contents. */
	if (failure == FOLLOW_INVALID && !self->listing) {
		self->needs_list = true;
		self->success_ms = -1;
	}
	self->next_ms = later(self->sent_ms + CALL_INTERVAL_MS,
	    now_ms + backoff_ms(self->failures, random));
	/* A list that was refused did not delay the endpoint. */
	if (failure == FOLLOW_REFUSED && self->listing)
		self->list_ms = self->next_ms;
}

bool
contents_follow_is_fresh(const contents_follow_t *self, int64_t now_ms)
{
	return self->success_ms >= 0 && !self->not_offered &&
	    now_ms - self->success_ms < FOLLOW_FRESH_MS &&
	    (self->gap_ms < 0 || now_ms - self->gap_ms < GAP_MAX_MS);
}
