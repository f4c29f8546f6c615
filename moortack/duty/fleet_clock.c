#include "moortack/duty/fleet_clock.h"

#include <stdlib.h>
#include <string.h>

/* Followers send a request twice a second; one that sent none for this long
 * follows another daemon or is down. */
#define SAMPLE_TTL_MS 4000
/* Samples of which the median is taken. The tree gives a daemon fewer
 * followers; further ones are left out. */
#define SAMPLES_MAX 256
/* A daemon that has just lost its parent keeps the parent's value until
 * followers have told it theirs. */
#define PARENT_VALUE_TTL_MS 3000

void
fleet_clock_init(fleet_clock_t *self, const clock_source_t *clock)
{
	*self = (fleet_clock_t){.clock = clock};
}

static void
sample_free(fleet_clock_t *self, fleet_clock_sample_t *sample)
{
	HASH_DEL(self->samples, sample);
	free(sample);
}

void
fleet_clock_finish(fleet_clock_t *self)
{
	fleet_clock_sample_t *sample, *next;

	HASH_ITER(hh, self->samples, sample, next)
	sample_free(self, sample);
}

void
fleet_clock_set_store_offset(fleet_clock_t *self, int64_t offset_ms)
{
	self->store_clock_known = true;
	self->store_offset_ms = offset_ms;
}

void
fleet_clock_add_sample(fleet_clock_t *self, const char *name, int64_t ahead_ms)
{
	fleet_clock_sample_t *sample;

	HASH_FIND_STR(self->samples, name, sample);
	if (sample == NULL) {
		if (strlen(name) >= FLEET_CLOCK_NAME_SIZE)
			return;
		sample = calloc(1, sizeof(*sample));
		if (sample == NULL)
			return;
		strcpy(sample->name, name);
		HASH_ADD_STR(self->samples, name, sample);
	}
	sample->ahead_ms = ahead_ms;
	sample->received_at = clock_boottime(self->clock);
}

void
fleet_clock_set_parent(fleet_clock_t *self, int64_t ahead_ms)
{
	self->has_parent = true;
	self->parent_ahead_ms = ahead_ms;
}

void
fleet_clock_clear_parent(fleet_clock_t *self)
{
	if (self->has_parent)
		self->parent_lost_at = clock_boottime(self->clock);
	self->has_parent = false;
}

static int64_t
own_ahead_ms(const fleet_clock_t *self)
{
	return timespec_to_ms(clock_wall(self->clock)) -
	    timespec_to_ms(clock_boottime(self->clock)) - self->store_offset_ms;
}

static int
ms_compare(const void *a, const void *b)
{
	int64_t first = *(const int64_t *)a;
	int64_t second = *(const int64_t *)b;

	return (first > second) - (first < second);
}

void
fleet_clock_tick(fleet_clock_t *self)
{
	int64_t values[SAMPLES_MAX + 1];
	struct timespec now = clock_boottime(self->clock);
	fleet_clock_sample_t *sample, *next;
	size_t len = 1;

	if (!self->store_clock_known)
		return;
	values[0] = own_ahead_ms(self);
	HASH_ITER(hh, self->samples, sample, next)
	{
		if (timespec_ms_between(sample->received_at, now) >=
		    SAMPLE_TTL_MS)
			sample_free(self, sample);
		else if (len <= SAMPLES_MAX)
			values[len++] = sample->ahead_ms;
	}
	qsort(values, len, sizeof(values[0]), ms_compare);
	self->median_known = true;
	self->median_ms = values[len / 2];
}

bool
fleet_clock_median_ms(const fleet_clock_t *self, int64_t *ahead_ms)
{
	*ahead_ms = self->median_ms;
	return self->median_known;
}

/* Whether the parent's value counts. */
static bool
parent_value_holds(const fleet_clock_t *self)
{
	struct timespec lost_at = self->parent_lost_at;

	if (self->has_parent)
		return true;
	return (lost_at.tv_sec != 0 || lost_at.tv_nsec != 0) &&
	    timespec_ms_between(lost_at, clock_boottime(self->clock)) <
	    PARENT_VALUE_TTL_MS;
}

bool
fleet_clock_ahead_ms(const fleet_clock_t *self, int64_t *ahead_ms)
{
	if (!parent_value_holds(self))
		return fleet_clock_median_ms(self, ahead_ms);
	*ahead_ms = self->parent_ahead_ms;
	return self->store_clock_known;
}

int64_t
fleet_clock_now_ms(const fleet_clock_t *self)
{
	int64_t ahead_ms;

	if (!fleet_clock_ahead_ms(self, &ahead_ms))
		return timespec_to_ms(clock_wall(self->clock));
	return timespec_to_ms(clock_boottime(self->clock)) +
	    self->store_offset_ms + ahead_ms;
}
