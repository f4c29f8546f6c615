#include "moortack/quarantine/crash_evidence.h"

#include <string.h>

#include "common/clock_source.h"

static void
attempt_remove(unresolved_attempts_t *self, size_t index)
{
	self->len--;
	memmove(&self->attempts[index], &self->attempts[index + 1],
	    (self->len - index) * sizeof(self->attempts[0]));
}

void
unresolved_attempts_add(
    unresolved_attempts_t *self, const unresolved_attempt_t *attempt)
{
	if (self->len == UNRESOLVED_ATTEMPTS_MAX)
		attempt_remove(self, 0);
	self->attempts[self->len++] = *attempt;
}

bool
unresolved_attempts_has(const unresolved_attempts_t *self, uint32_t incarnation)
{
	for (size_t i = 0; i < self->len; i++) {
		if (self->attempts[i].incarnation == incarnation)
			return true;
	}
	return false;
}

bool
unresolved_attempts_last_end(const unresolved_attempts_t *self,
    uint32_t incarnation, struct timespec *out)
{
	for (size_t i = self->len; i > 0; i--) {
		if (self->attempts[i - 1].incarnation != incarnation)
			continue;
		*out = self->attempts[i - 1].ended_at;
		return true;
	}
	return false;
}

/* Whether the list has an earlier attempt of the same request at the same
 * incarnation. */
static bool
has_earlier_duplicate(const unresolved_attempts_t *self, size_t index)
{
	const unresolved_attempt_t *attempt = &self->attempts[index];

	for (size_t i = 0; i < index; i++) {
		if (self->attempts[i].digest == attempt->digest &&
		    self->attempts[i].incarnation == attempt->incarnation)
			return true;
	}
	return false;
}

size_t
unresolved_attempts_count(const unresolved_attempts_t *self, uint64_t digest)
{
	size_t count = 0;

	for (size_t i = 0; i < self->len; i++)
		count += self->attempts[i].digest == digest &&
		    !has_earlier_duplicate(self, i);
	return count;
}

static bool
attempt_has_part(const unresolved_attempt_t *attempt, uint64_t part)
{
	for (size_t i = 0; i < attempt->parts_len; i++) {
		if (attempt->parts[i] == part)
			return true;
	}
	return false;
}

bool
unresolved_attempts_has_part(const unresolved_attempts_t *self, uint64_t part)
{
	for (size_t i = 0; i < self->len; i++) {
		if (attempt_has_part(&self->attempts[i], part))
			return true;
	}
	return false;
}

bool
unresolved_attempts_take(unresolved_attempts_t *self, uint32_t incarnation,
    unresolved_attempt_t *out)
{
	for (size_t i = 0; i < self->len; i++) {
		if (self->attempts[i].incarnation != incarnation)
			continue;
		*out = self->attempts[i];
		attempt_remove(self, i);
		return true;
	}
	return false;
}

void
unresolved_attempts_drop(unresolved_attempts_t *self, uint32_t incarnation)
{
	unresolved_attempt_t dropped;

	while (unresolved_attempts_take(self, incarnation, &dropped))
		continue;
}

void
unresolved_attempts_expire(
    unresolved_attempts_t *self, struct timespec now, int64_t max_age_ms)
{
	while (self->len > 0 &&
	    timespec_ms_between(self->attempts[0].ended_at, now) >= max_age_ms)
		attempt_remove(self, 0);
}
