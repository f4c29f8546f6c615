#include "moortack/relay/refusal_limit.h"

#include "common/clock_source.h"
#include "moortack/relay/endpoint_restrictions.h"

/* A service is still brittle this long after one of its endpoints said so: all
 * of them say it in each response. */
#define NOTICE_HOLDS_MS 5000
/* Time between two reports to other daemons for a service. */
#define NEWS_INTERVAL_MS 2000
/* Part of what an endpoint bears in a second that is given out for each slot of
 * one second: any second overlaps two slots, and clocks differ a little. */
#define SLOT_PART_PERCENT 40
#define PERCENT 100

bool
brittle_notice_holds(const brittle_notice_t *self, struct timespec now)
{
	return self->at.tv_sec != 0 &&
	    timespec_ms_between(self->at, now) <= NOTICE_HOLDS_MS;
}

bool
brittle_notice_apply(brittle_notice_t *self, int64_t milli, struct timespec at)
{
	bool held = brittle_notice_holds(self, at);
	bool news;

	if (timespec_us_between(self->ended_at, at) < 0)
		return false;
	news = !held || milli < self->milli ||
	    timespec_ms_between(self->told_at, at) > NEWS_INTERVAL_MS;
	if (!held || milli < self->milli)
		self->milli = milli;
	if (timespec_ms_between(self->at, at) > 0)
		self->at = at;
	if (news)
		self->told_at = at;
	return news;
}

bool
brittle_notice_end(brittle_notice_t *self, struct timespec sent_at)
{
	if (self->at.tv_sec == 0 || timespec_us_between(self->at, sent_at) < 0)
		return false;
	self->at = (struct timespec){0};
	self->ended_at = sent_at;
	return true;
}

uint32_t
refusal_quota(int64_t milli, uint64_t hash, int64_t slot, uint32_t room)
{
	return rate_slot_quota(
		   milli * SLOT_PART_PERCENT / PERCENT, hash, slot) +
	    room;
}

uint32_t
refusal_share_of(const refusal_share_t *self, uint32_t quota)
{
	if (self->daemons == 0)
		return 0;
	return quota / self->daemons + (self->rank < quota % self->daemons);
}

uint32_t
refusal_share_used(const refusal_share_t *self, uint32_t unresolved)
{
	return unresolved + self->refused;
}
