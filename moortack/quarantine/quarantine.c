#include "moortack/quarantine/quarantine.h"

#include <stdlib.h>
#include <string.h>

/* Time after the last crash at which a suspect expires. */
#define SUSPECT_EXPIRY_MS 3600000
/* How long a request is quarantined before a trial is permitted. */
#define TRIAL_AFTER_MS 600000
/* The same for the first trial of a part. */
#define PART_TRIAL_AFTER_MS 2000
/* Time after the last crash at which a quarantine expires. */
#define QUARANTINE_EXPIRY_MS 900000
/* A trial that takes longer has no result: the next one may start. */
#define TRIAL_TIMEOUT_MS 60000
/* The same for a part: that of a request which was not sent, since few
 * endpoints are left, must not keep all others out for long. */
#define PART_TRIAL_TIMEOUT_MS 5000
/* Maximum difference between the times at which two daemons date the start of
 * the same quarantine. */
#define START_TOLERANCE_MS 5000
/* How long after a run without a crash further crashes of the request are
 * ignored, since they may have happened before and be reported late. */
#define CLEARED_PRECEDENCE_MS 30000
/* The same for parts: in a series of crashes, a part that did not crash one
 * endpoint may crash the next ones. */
#define PART_CLEARED_PRECEDENCE_MS 2000
/* Time in which one failure is noticed at all endpoints that it takes. */
#define MOMENT_MS 100
/* Suspects that are looked at to find one that is evicted. */
#define EVICTION_CANDIDATES 32

static bool
is_set(struct timespec at)
{
	return at.tv_sec != 0 || at.tv_nsec != 0;
}

static int64_t
age_ms(const quarantine_t *self, struct timespec at)
{
	return timespec_ms_between(at, clock_boottime(self->clock));
}

void
quarantine_init(quarantine_t *self, const clock_source_t *clock,
    const quarantine_ops_t *ops, void *arg)
{
	*self = (quarantine_t){.clock = clock, .ops = ops, .arg = arg};
}

static void
suspect_free(quarantine_t *self, suspect_t *suspect)
{
	if (is_set(suspect->quarantined_at))
		self->quarantined_count--;
	HASH_DEL(self->suspects, suspect);
	free(suspect);
}

void
quarantine_finish(quarantine_t *self)
{
	suspect_t *suspect, *next;

	HASH_ITER(hh, self->suspects, suspect, next)
	suspect_free(self, suspect);
}

suspect_t *
quarantine_find(const quarantine_t *self, uint64_t digest)
{
	suspect_t *suspect;

	HASH_FIND(hh, self->suspects, &digest, sizeof(digest), suspect);
	return suspect;
}

bool
suspect_is_quarantined(const suspect_t *suspect)
{
	return suspect != NULL && is_set(suspect->quarantined_at);
}

size_t
quarantine_crash_count(const quarantine_t *self, uint64_t digest)
{
	const suspect_t *suspect = quarantine_find(self, digest);

	return suspect != NULL ? suspect->crashes_len : 0;
}

static void
suspect_release(
    quarantine_t *self, suspect_t *suspect, quarantine_end_reason_t reason)
{
	if (!is_set(suspect->quarantined_at))
		return;
	self->ops->released(self->arg, suspect, reason);
	suspect->quarantined_at = (struct timespec){0};
	suspect->trial_allowed = false;
	self->quarantined_count--;
}

/* Whether a is evicted rather than b: requests that are not quarantined first,
 * then those with fewer crashes, then those whose last crash is older. */
static bool
evict_before(const suspect_t *a, const suspect_t *b)
{
	if (is_set(a->quarantined_at) != is_set(b->quarantined_at))
		return !is_set(a->quarantined_at);
	if (a->crashes_len != b->crashes_len)
		return a->crashes_len < b->crashes_len;
	return timespec_ms_between(a->last_crash_at, b->last_crash_at) > 0;
}

/* Move a suspect to the end of the list, so that it is not looked at again
 * before all others. */
static void
suspect_move_last(quarantine_t *self, suspect_t *suspect)
{
	HASH_DEL(self->suspects, suspect);
	HASH_ADD(hh, self->suspects, digest, sizeof(suspect->digest), suspect);
}

/* The best of a few suspects: a bounded search, as many suspects are added in a
 * series of crashes. */
static suspect_t *
victim_find(quarantine_t *self)
{
	suspect_t *suspect = self->suspects, *victim = self->suspects, *next;

	for (size_t i = 0; i < EVICTION_CANDIDATES && suspect != NULL; i++) {
		next = suspect->hh.next;
		if (evict_before(suspect, victim))
			victim = suspect;
		if (suspect != victim)
			suspect_move_last(self, suspect);
		suspect = next;
	}
	return victim;
}

static void
evict_if_full(quarantine_t *self)
{
	suspect_t *victim;

	if (HASH_COUNT(self->suspects) < QUARANTINE_MAX)
		return;
	victim = victim_find(self);
	suspect_release(self, victim, QUARANTINE_EVICTED);
	self->ops->removed(self->arg, victim);
	suspect_free(self, victim);
}

static suspect_t *
suspect_find_or_add(quarantine_t *self, uint64_t digest)
{
	suspect_t *suspect = quarantine_find(self, digest);

	if (suspect != NULL)
		return suspect;
	evict_if_full(self);
	suspect = calloc(1, sizeof(*suspect));
	if (suspect == NULL)
		return NULL;
	suspect->digest = digest;
	HASH_ADD(hh, self->suspects, digest, sizeof(suspect->digest), suspect);
	return suspect;
}

static bool
suspect_has_crash(const suspect_t *suspect, uint32_t incarnation)
{
	for (size_t i = 0; i < suspect->crashes_len; i++) {
		if (suspect->crashes[i] == incarnation)
			return true;
	}
	return false;
}

static void
suspect_drop_oldest_crash(suspect_t *suspect)
{
	suspect->crashes_len--;
	memmove(suspect->crashes, suspect->crashes + 1,
	    suspect->crashes_len * sizeof(suspect->crashes[0]));
}

static void
suspect_add_crash(suspect_t *suspect, uint32_t incarnation)
{
	if (suspect->crashes_len == QUARANTINE_CRASH_THRESHOLD)
		suspect_drop_oldest_crash(suspect);
	suspect->crashes[suspect->crashes_len++] = incarnation;
}

static void
suspect_quarantine(
    quarantine_t *self, suspect_t *suspect, struct timespec since)
{
	if (!is_set(suspect->quarantined_at))
		self->quarantined_count++;
	suspect->quarantined_at = since;
	suspect->trial_allowed = false;
	suspect->trial_started_at = (struct timespec){0};
	suspect->explained = false;
	suspect->announcements = 0;
	suspect->stored_crashes = 0;
	self->ops->quarantined(self->arg, suspect);
}

static bool
recently_cleared(const quarantine_t *self, const suspect_t *suspect)
{
	return is_set(suspect->cleared_at) &&
	    age_ms(self, suspect->cleared_at) <
	    (digest_is_part(suspect->digest) ? PART_CLEARED_PRECEDENCE_MS
					     : CLEARED_PRECEDENCE_MS);
}

/* Whether the crash belongs to the same failure as the last one. Crashes are
 * not always found in the order in which they happened. */
static bool
is_same_failure(const suspect_t *suspect, struct timespec crashed_at)
{
	return digest_is_part(suspect->digest) && suspect->crashes_len > 0 &&
	    llabs(timespec_ms_between(suspect->last_crash_at, crashed_at)) <
	    PART_CRASH_SPACING_MS;
}

bool
quarantine_failed_just_now(const quarantine_t *self, uint64_t digest)
{
	const suspect_t *suspect = quarantine_find(self, digest);

	return suspect != NULL && suspect->crashes_len > 0 &&
	    age_ms(self, suspect->last_crash_at) < MOMENT_MS;
}

static bool
early_trial_permitted(const quarantine_t *self, const suspect_t *suspect)
{
	return digest_is_part(suspect->digest) && !suspect->early_trial_used &&
	    age_ms(self, suspect->quarantined_at) >= PART_TRIAL_AFTER_MS;
}

static bool
trial_permitted(const quarantine_t *self, const suspect_t *suspect)
{
	return suspect->trial_allowed ||
	    age_ms(self, suspect->quarantined_at) >= TRIAL_AFTER_MS;
}

bool
quarantine_record_crash(quarantine_t *self, uint64_t digest,
    uint32_t incarnation, uint32_t version, int64_t age_ms,
    bool observed_locally)
{
	suspect_t *suspect = suspect_find_or_add(self, digest);
	struct timespec crashed_at =
	    timespec_add_ms(clock_boottime(self->clock), -age_ms);

	if (suspect == NULL || recently_cleared(self, suspect) ||
	    suspect_has_crash(suspect, incarnation) ||
	    is_same_failure(suspect, crashed_at))
		return false;
	suspect_add_crash(suspect, incarnation);
	suspect->version = version;
	if (timespec_ms_between(suspect->last_crash_at, crashed_at) > 0)
		suspect->last_crash_at = crashed_at;
	suspect->observed_locally |= observed_locally;
	suspect->early_trial_used |= is_set(suspect->trial_started_at);
	/* Runs that were in flight when the request was quarantined do not
	 * renew the quarantine. */
	if (suspect->crashes_len == QUARANTINE_CRASH_THRESHOLD &&
	    (!suspect_is_quarantined(suspect) ||
		trial_permitted(self, suspect)))
		suspect_quarantine(self, suspect, clock_boottime(self->clock));
	return true;
}

/* Whether the quarantine that started then is the known one, learned of by
 * another route. */
static bool
is_same_quarantine(const suspect_t *suspect, struct timespec since)
{
	return suspect_is_quarantined(suspect) &&
	    timespec_ms_between(suspect->quarantined_at, since) <
	    START_TOLERANCE_MS;
}

bool
quarantine_merge(quarantine_t *self, uint64_t digest, const uint32_t *crashes,
    size_t crashes_len, uint32_t version, int64_t age_ms)
{
	bool quarantined = crashes_len >= QUARANTINE_CRASH_THRESHOLD &&
	    age_ms < QUARANTINE_EXPIRY_MS;
	struct timespec since =
	    timespec_add_ms(clock_boottime(self->clock), -age_ms);
	suspect_t *suspect;

	if (age_ms >= SUSPECT_EXPIRY_MS)
		return false;
	/* After an expired quarantine, the request is only a suspect. */
	if (crashes_len >= QUARANTINE_CRASH_THRESHOLD && !quarantined)
		crashes_len = QUARANTINE_CRASH_THRESHOLD - 1;
	suspect = suspect_find_or_add(self, digest);
	if (suspect == NULL || recently_cleared(self, suspect) ||
	    is_same_quarantine(suspect, since))
		return true;
	for (size_t i = 0; i < crashes_len; i++) {
		if (!suspect_has_crash(suspect, crashes[i]))
			suspect_add_crash(suspect, crashes[i]);
	}
	suspect->version = version;
	if (timespec_ms_between(suspect->last_crash_at, since) > 0)
		suspect->last_crash_at = since;
	if (suspect->crashes_len == QUARANTINE_CRASH_THRESHOLD &&
	    (quarantined || !suspect_is_quarantined(suspect)))
		suspect_quarantine(self, suspect, since);
	return true;
}

bool
quarantine_clear(quarantine_t *self, uint64_t digest)
{
	suspect_t *suspect = quarantine_find(self, digest);

	if (suspect == NULL || suspect->crashes_len == 0)
		return false;
	suspect_release(self, suspect, QUARANTINE_CLEARED);
	suspect->crashes_len = 0;
	suspect->observed_locally = false;
	suspect->spread = false;
	suspect->early_trial_used = false;
	suspect->cleared_at = clock_boottime(self->clock);
	return true;
}

/* Whether there is a trial that may still have a result. */
static bool
trial_in_progress(const quarantine_t *self, const suspect_t *suspect)
{
	int64_t timeout_ms = digest_is_part(suspect->digest)
	    ? PART_TRIAL_TIMEOUT_MS
	    : TRIAL_TIMEOUT_MS;

	return is_set(suspect->trial_started_at) &&
	    age_ms(self, suspect->trial_started_at) < timeout_ms;
}

bool
quarantine_admit(quarantine_t *self, uint64_t digest, bool may_try)
{
	suspect_t *suspect = quarantine_find(self, digest);

	if (!suspect_is_quarantined(suspect))
		return true;
	if (!may_try ||
	    (!trial_permitted(self, suspect) &&
		!early_trial_permitted(self, suspect)) ||
	    trial_in_progress(self, suspect))
		return false;
	suspect->trial_started_at = clock_boottime(self->clock);
	return true;
}

int64_t
quarantine_remaining_ms(const quarantine_t *self, uint64_t digest)
{
	const suspect_t *suspect = quarantine_find(self, digest);
	int64_t remaining_ms;

	if (!suspect_is_quarantined(suspect) || trial_permitted(self, suspect))
		return 0;
	remaining_ms = TRIAL_AFTER_MS - age_ms(self, suspect->quarantined_at);
	return remaining_ms > 0 ? remaining_ms : 0;
}

void
quarantine_allow_trials(quarantine_t *self, uint32_t version)
{
	for (suspect_t *suspect = self->suspects; suspect != NULL;
	     suspect = suspect->hh.next) {
		if (suspect->version == version &&
		    is_set(suspect->quarantined_at))
			suspect->trial_allowed = true;
	}
}

static void
suspect_remove_crash(suspect_t *suspect, uint32_t incarnation)
{
	for (size_t i = 0; i < suspect->crashes_len; i++) {
		if (suspect->crashes[i] != incarnation)
			continue;
		suspect->crashes_len--;
		memmove(&suspect->crashes[i], &suspect->crashes[i + 1],
		    (suspect->crashes_len - i) * sizeof(suspect->crashes[0]));
		return;
	}
}

static void
crashes_explain(quarantine_t *self, const suspect_t *cause)
{
	for (suspect_t *suspect = self->suspects; suspect != NULL;
	     suspect = suspect->hh.next) {
		if (suspect_is_quarantined(suspect))
			continue;
		for (size_t i = 0; i < cause->crashes_len; i++)
			suspect_remove_crash(suspect, cause->crashes[i]);
	}
}

void
quarantine_explain_crashes(quarantine_t *self)
{
	if (self->quarantined_count == 0)
		return;
	for (suspect_t *suspect = self->suspects; suspect != NULL;
	     suspect = suspect->hh.next) {
		if (!suspect_is_quarantined(suspect) || suspect->explained ||
		    !digest_is_part(suspect->digest))
			continue;
		suspect->explained = true;
		crashes_explain(self, suspect);
	}
}

static bool
suspect_expired(const quarantine_t *self, const suspect_t *suspect)
{
	if (suspect->crashes_len == 0)
		return !recently_cleared(self, suspect);
	return age_ms(self, suspect->last_crash_at) >= SUSPECT_EXPIRY_MS;
}

/* Only the oldest crash is dropped, so that one more crash renews the
 * quarantine. */
static void
suspect_expire_quarantine(quarantine_t *self, suspect_t *suspect)
{
	if (!suspect_is_quarantined(suspect) ||
	    age_ms(self, suspect->last_crash_at) < QUARANTINE_EXPIRY_MS)
		return;
	suspect_release(self, suspect, QUARANTINE_EXPIRED);
	suspect_drop_oldest_crash(suspect);
}

void
quarantine_expire(quarantine_t *self)
{
	suspect_t *suspect, *next;

	HASH_ITER(hh, self->suspects, suspect, next)
	{
		suspect_expire_quarantine(self, suspect);
		if (!suspect_expired(self, suspect))
			continue;
		self->ops->removed(self->arg, suspect);
		suspect_free(self, suspect);
	}
}
