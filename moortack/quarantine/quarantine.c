#include "moortack/quarantine/quarantine.h"

#include <stdlib.h>
#include <string.h>

/* How long a crash counts against a request that is not refused yet. */
#define SUSPECT_MS 3600000
/* How long a request is refused before it is tried again, and after its last
 * crash at most. */
#define HELD_MS 600000
#define HELD_MOST_MS 900000
/* A run on trial that has not ended by then ends without a verdict. */
#define TRIAL_MS 60000
/* Two daemons date one verdict this far apart at most. */
#define RENEWED_MS 5000
/* How long a run without a crash outweighs crashes that are told later. */
#define CLEARED_MS 30000

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
	if (is_set(suspect->held_at))
		self->held--;
	HASH_DEL(self->suspects, suspect);
	free(suspect);
}

void
quarantine_finish(quarantine_t *self)
{
	suspect_t *one, *next;

	HASH_ITER(hh, self->suspects, one, next)
	suspect_free(self, one);
}

suspect_t *
quarantine_find(const quarantine_t *self, uint64_t digest)
{
	suspect_t *suspect;

	HASH_FIND(hh, self->suspects, &digest, sizeof(digest), suspect);
	return suspect;
}

bool
quarantine_is_held(const suspect_t *suspect)
{
	return suspect != NULL && is_set(suspect->held_at);
}

size_t
quarantine_crashes(const quarantine_t *self, uint64_t digest)
{
	const suspect_t *suspect = quarantine_find(self, digest);

	return suspect != NULL ? suspect->crashes_len : 0;
}

static void
suspect_release(quarantine_t *self, suspect_t *suspect, quarantine_end_t why)
{
	if (!is_set(suspect->held_at))
		return;
	self->ops->released(self->arg, suspect, why);
	suspect->held_at = (struct timespec){0};
	suspect->on_trial = false;
	self->held--;
}

/* Whether a is the better one to forget: the fewer crashes, the older. */
static bool
forgotten_before(const suspect_t *a, const suspect_t *b)
{
	if (is_set(a->held_at) != is_set(b->held_at))
		return !is_set(a->held_at);
	if (a->crashes_len != b->crashes_len)
		return a->crashes_len < b->crashes_len;
	return timespec_ms_between(a->crashed_at, b->crashed_at) > 0;
}

static void
room_make(quarantine_t *self)
{
	suspect_t *victim = self->suspects;

	if (HASH_COUNT(self->suspects) < QUARANTINE_MAX)
		return;
	for (suspect_t *one = self->suspects; one != NULL; one = one->hh.next) {
		if (forgotten_before(one, victim))
			victim = one;
	}
	suspect_release(self, victim, QUARANTINE_EVICTED);
	self->ops->forgotten(self->arg, victim);
	suspect_free(self, victim);
}

static suspect_t *
suspect_of(quarantine_t *self, uint64_t digest)
{
	suspect_t *suspect = quarantine_find(self, digest);

	if (suspect != NULL)
		return suspect;
	room_make(self);
	suspect = calloc(1, sizeof(*suspect));
	if (suspect == NULL)
		return NULL;
	suspect->digest = digest;
	HASH_ADD(hh, self->suspects, digest, sizeof(suspect->digest), suspect);
	return suspect;
}

static bool
crash_known(const suspect_t *suspect, uint32_t incarnation)
{
	for (size_t i = 0; i < suspect->crashes_len; i++) {
		if (suspect->crashes[i] == incarnation)
			return true;
	}
	return false;
}

/* Forget the oldest crash. */
static void
crash_drop(suspect_t *suspect)
{
	suspect->crashes_len--;
	memmove(suspect->crashes, suspect->crashes + 1,
	    suspect->crashes_len * sizeof(suspect->crashes[0]));
}

static void
crash_add(suspect_t *suspect, uint32_t incarnation)
{
	if (suspect->crashes_len == QUARANTINE_CRASHES)
		crash_drop(suspect);
	suspect->crashes[suspect->crashes_len++] = incarnation;
}

static void
suspect_hold(quarantine_t *self, suspect_t *suspect, struct timespec since)
{
	if (!is_set(suspect->held_at))
		self->held++;
	suspect->held_at = since;
	suspect->on_trial = false;
	suspect->tried_at = (struct timespec){0};
	suspect->stopped = false;
	suspect->told = 0;
	suspect->stored = 0;
	self->ops->held(self->arg, suspect);
}

static bool
cleared_lately(const quarantine_t *self, const suspect_t *suspect)
{
	return is_set(suspect->cleared_at) &&
	    age_ms(self, suspect->cleared_at) < CLEARED_MS;
}

static bool
trial_open(const quarantine_t *self, const suspect_t *suspect)
{
	return suspect->on_trial || age_ms(self, suspect->held_at) >= HELD_MS;
}

bool
quarantine_crash(quarantine_t *self, uint64_t digest, uint32_t incarnation,
    uint32_t version, bool witnessed)
{
	suspect_t *suspect = suspect_of(self, digest);

	if (suspect == NULL || cleared_lately(self, suspect) ||
	    crash_known(suspect, incarnation))
		return false;
	crash_add(suspect, incarnation);
	suspect->version = version;
	suspect->crashed_at = clock_boottime(self->clock);
	suspect->witnessed |= witnessed;
	/* Runs that were under way as it was refused renew nothing. */
	if (suspect->crashes_len == QUARANTINE_CRASHES &&
	    (!quarantine_is_held(suspect) || trial_open(self, suspect)))
		suspect_hold(self, suspect, suspect->crashed_at);
	return true;
}

/* Whether it is the verdict that is known, told on another way. */
static bool
held_since(const suspect_t *suspect, struct timespec since)
{
	return quarantine_is_held(suspect) &&
	    timespec_ms_between(suspect->held_at, since) < RENEWED_MS;
}

bool
quarantine_merge(quarantine_t *self, uint64_t digest, const uint32_t *crashes,
    size_t crashes_len, uint32_t version, int64_t age_ms)
{
	bool verdict =
	    crashes_len >= QUARANTINE_CRASHES && age_ms < HELD_MOST_MS;
	struct timespec since =
	    timespec_add_ms(clock_boottime(self->clock), -age_ms);
	suspect_t *suspect;

	if (age_ms >= SUSPECT_MS)
		return false;
	/* A verdict that has expired is a suspicion. */
	if (crashes_len >= QUARANTINE_CRASHES && !verdict)
		crashes_len = QUARANTINE_CRASHES - 1;
	suspect = suspect_of(self, digest);
	if (suspect == NULL || cleared_lately(self, suspect) ||
	    held_since(suspect, since))
		return true;
	for (size_t i = 0; i < crashes_len; i++) {
		if (!crash_known(suspect, crashes[i]))
			crash_add(suspect, crashes[i]);
	}
	suspect->version = version;
	if (timespec_ms_between(suspect->crashed_at, since) > 0)
		suspect->crashed_at = since;
	if (suspect->crashes_len == QUARANTINE_CRASHES &&
	    (verdict || !quarantine_is_held(suspect)))
		suspect_hold(self, suspect, since);
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
	suspect->witnessed = false;
	suspect->cleared_at = clock_boottime(self->clock);
	return true;
}

bool
quarantine_admits(quarantine_t *self, uint64_t digest, bool tries)
{
	suspect_t *suspect = quarantine_find(self, digest);

	if (!quarantine_is_held(suspect))
		return true;
	if (!tries || !trial_open(self, suspect) ||
	    (is_set(suspect->tried_at) &&
		age_ms(self, suspect->tried_at) < TRIAL_MS))
		return false;
	suspect->tried_at = clock_boottime(self->clock);
	return true;
}

int64_t
quarantine_left_ms(const quarantine_t *self, uint64_t digest)
{
	const suspect_t *suspect = quarantine_find(self, digest);
	int64_t left;

	if (!quarantine_is_held(suspect) || trial_open(self, suspect))
		return 0;
	left = HELD_MS - age_ms(self, suspect->held_at);
	return left > 0 ? left : 0;
}

void
quarantine_version_gone(quarantine_t *self, uint32_t version)
{
	for (suspect_t *one = self->suspects; one != NULL; one = one->hh.next) {
		if (one->version == version && is_set(one->held_at))
			one->on_trial = true;
	}
}

static bool
forgettable(const quarantine_t *self, const suspect_t *suspect)
{
	if (suspect->crashes_len == 0)
		return !cleared_lately(self, suspect);
	return age_ms(self, suspect->crashed_at) >= SUSPECT_MS;
}

/* The verdict ends, and one more crash renews it. */
static void
verdict_expire(quarantine_t *self, suspect_t *suspect)
{
	if (!quarantine_is_held(suspect) ||
	    age_ms(self, suspect->crashed_at) < HELD_MOST_MS)
		return;
	suspect_release(self, suspect, QUARANTINE_EXPIRED);
	crash_drop(suspect);
}

void
quarantine_expire(quarantine_t *self)
{
	suspect_t *one, *next;

	HASH_ITER(hh, self->suspects, one, next)
	{
		verdict_expire(self, one);
		if (!forgettable(self, one))
			continue;
		self->ops->forgotten(self->arg, one);
		suspect_free(self, one);
	}
}
