/**
 * @file
 * A daemon's membership that knows a number of others, the even ones of which
 * are strong.
 */
#ifndef TEST_SUPPORT_MANY_MEMBERS_H
#define TEST_SUPPORT_MANY_MEMBERS_H

#include <stdio.h>
#include <string.h>

#include "moortack/replication/membership.h"

#define SILENT_MS 4500

/** Cores of the daemon of that number. */
static inline double
strength_of(int number)
{
	return number % 2 == 0 ? 0.5 : 0.125;
}

static inline void
member_take(membership_t *self, int number, const char *state)
{
	char key[64], value[160];
	row_t row = {.key = key, .value = value};

	snprintf(key, sizeof(key), MEMBER_PREFIX "10.0.0.%d:80", number);
	snprintf(value, sizeof(value),
	    "{\"place\":\"a\",\"peer\":\"10.0.0.%d:81\",\"state\":\"%s\","
	    "\"strength\":%g,\"beat\":1}",
	    number, state, strength_of(number));
	row.value_len = strlen(value);
	row.version = 10 + (uint64_t)number;
	membership_row(self, &row);
}

/** The membership of one of so many daemons that are ready. */
static inline void
membership_of(membership_t *self, row_store_t *store,
    const clock_source_t *clock, int own, int daemons)
{
	membership_settings_t settings = {.zone = "a",
	    .strength = strength_of(own),
	    .beat_alone_ms = 2000,
	    .life = {.silent_ms = SILENT_MS,
		.vouch_ms = 5000,
		.grant_ms = 2500,
		.lone_ms = 25000}};

	snprintf(settings.name, sizeof(settings.name), "10.0.0.%d:80", own);
	membership_init(self, store, clock, NULL, &settings);
	self->state = MEMBER_READY;
	for (int i = 0; i < daemons; i++) {
		if (i != own)
			member_take(self, i, "ready");
	}
}

#endif
