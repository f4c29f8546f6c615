#include "moortack/reach/reach.h"

#include "common/clock_source.h"

/* A failure without another one for this long is forgotten: with few requests,
 * endpoints that failed minutes apart say nothing about the links. */
#define FAILURE_EXPIRY_MS 10000

static size_t
at_most(size_t wanted, size_t endpoints)
{
	return endpoints < wanted ? endpoints : wanted;
}

static void
failures_clear(reach_t *self)
{
	self->failed_len = 0;
	self->failing_since = (struct timespec){0};
	self->restored_len = 0;
	self->lost = false;
}

/* @return the new length */
static size_t
hash_add(uint64_t *hashes, size_t len, size_t max, uint64_t hash)
{
	for (size_t i = 0; i < len; i++) {
		if (hashes[i] == hash)
			return len;
	}
	if (len < max)
		hashes[len++] = hash;
	return len;
}

void
reach_record_opened(
    reach_t *self, uint64_t endpoint, size_t endpoints, struct timespec now)
{
	self->opened_at = now;
	self->response_at = now;
	self->restored_len = hash_add(
	    self->restored, self->restored_len, REACH_RESTORED_MIN, endpoint);
	if (!self->lost ||
	    self->restored_len >= at_most(REACH_RESTORED_MIN, endpoints))
		failures_clear(self);
}

void
reach_record_response(reach_t *self, struct timespec now)
{
	self->response_at = now;
}

void
reach_record_failure(reach_t *self, uint64_t endpoint, struct timespec now)
{
	if (self->failed_len > 0 && !self->lost &&
	    timespec_ms_between(self->failed_at, now) > FAILURE_EXPIRY_MS)
		failures_clear(self);
	if (self->failed_len == 0)
		self->failing_since = now;
	self->failed_at = now;
	self->restored_len = 0;
	self->failed_len = hash_add(
	    self->failed, self->failed_len, REACH_FAILED_MAX, endpoint);
}

bool
reach_record_others_contact(
    reach_t *self, struct timespec contact_at, size_t endpoints)
{
	/* Endpoints that another daemon reached before the first failure may
	 * have gone down in between. */
	if (reach_verdict(self, endpoints) != REACH_FAILING ||
	    timespec_ms_between(self->failing_since, contact_at) < 0)
		return false;
	self->lost = true;
	return true;
}

reach_verdict_t
reach_verdict(const reach_t *self, size_t endpoints)
{
	size_t needed = at_most(REACH_FAILED_MIN, endpoints);

	if (self->lost)
		return REACH_LOST;
	return needed > 0 && self->failed_len >= needed ? REACH_FAILING
							: REACH_OK;
}

int64_t
reach_contact_age_ms(const reach_t *self, size_t endpoints, struct timespec now)
{
	if (self->response_at.tv_sec == 0 ||
	    reach_verdict(self, endpoints) != REACH_OK)
		return -1;
	return timespec_ms_between(self->response_at, now);
}
