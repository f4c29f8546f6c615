/**
 * @file
 * The membership of a daemon that knows a number of others. Those with even
 * numbers are strong.
 */
#ifndef TEST_SUPPORT_MANY_MEMBERS_H
#define TEST_SUPPORT_MANY_MEMBERS_H

#include <stdio.h>
#include <string.h>

#include "moortack/replication/membership.h"

#define SILENCE_TIMEOUT_MS 4500

/** Cores of the daemon with this number. */
static inline double
daemon_strength(int number)
{
	return number % 2 == 0 ? 0.5 : 0.125;
}

static inline void
membership_apply_member_row(membership_t *self, int number, const char *state)
{
	char key[64], value[160];
	row_t row = {.key = key, .value = value};

	snprintf(key, sizeof(key), MEMBER_PREFIX "10.0.0.%d:80", number);
	snprintf(value, sizeof(value),
	    "{\"place\":\"a\",\"peer\":\"10.0.0.%d:81\",\"state\":\"%s\","
	    "\"strength\":%g,\"beat\":1}",
	    number, state, daemon_strength(number));
	row.value_len = strlen(value);
	row.version = 10 + (uint64_t)number;
	membership_apply_row(self, &row);
}

/** Makes the membership of daemon @p own of @p daemons, which are all ready. */
static inline void
membership_init_with_members(membership_t *self, row_store_t *store,
    const clock_source_t *clock, int own, int daemons)
{
	membership_settings_t settings = {.zone = "a",
	    .strength = daemon_strength(own),
	    .row_heartbeat_ms = 2000,
	    .liveness = {.silence_timeout_ms = SILENCE_TIMEOUT_MS,
		.summary_ttl_ms = 5000,
		.grace_ms = 2500,
		.authority_timeout_ms = 25000}};

	snprintf(settings.name, sizeof(settings.name), "10.0.0.%d:80", own);
	membership_init(self, store, clock, NULL, &settings);
	self->state = MEMBER_READY;
	for (int i = 0; i < daemons; i++) {
		if (i != own)
			membership_apply_member_row(self, i, "ready");
	}
}

#endif
