#include "moortack/quarantine/crash_evidence.h"

#include <string.h>

#include "common/clock_source.h"

static void
broken_remove(crash_evidence_t *self, size_t at)
{
	self->len--;
	memmove(&self->broken[at], &self->broken[at + 1],
	    (self->len - at) * sizeof(self->broken[0]));
}

void
crash_evidence_note(crash_evidence_t *self, const broken_attempt_t *attempt)
{
	if (self->len == CRASH_EVIDENCE_MAX)
		broken_remove(self, 0);
	self->broken[self->len++] = *attempt;
}

bool
crash_evidence_open(const crash_evidence_t *self, uint32_t incarnation)
{
	for (size_t i = 0; i < self->len; i++) {
		if (self->broken[i].incarnation == incarnation)
			return true;
	}
	return false;
}

/* Whether an earlier attempt of the same request broke at the same place. */
static bool
broken_before(const crash_evidence_t *self, size_t at)
{
	const broken_attempt_t *one = &self->broken[at];

	for (size_t i = 0; i < at; i++) {
		if (self->broken[i].digest == one->digest &&
		    self->broken[i].incarnation == one->incarnation)
			return true;
	}
	return false;
}

size_t
crash_evidence_of(const crash_evidence_t *self, uint64_t digest)
{
	size_t count = 0;

	for (size_t i = 0; i < self->len; i++)
		count +=
		    self->broken[i].digest == digest && !broken_before(self, i);
	return count;
}

bool
crash_evidence_take(
    crash_evidence_t *self, uint32_t incarnation, broken_attempt_t *out)
{
	for (size_t i = 0; i < self->len; i++) {
		if (self->broken[i].incarnation != incarnation)
			continue;
		*out = self->broken[i];
		broken_remove(self, i);
		return true;
	}
	return false;
}

void
crash_evidence_drop(crash_evidence_t *self, uint32_t incarnation)
{
	broken_attempt_t dropped;

	while (crash_evidence_take(self, incarnation, &dropped))
		continue;
}

void
crash_evidence_expire(
    crash_evidence_t *self, struct timespec now, int64_t max_age_ms)
{
	while (self->len > 0 &&
	    timespec_ms_between(self->broken[0].at, now) >= max_age_ms)
		broken_remove(self, 0);
}
