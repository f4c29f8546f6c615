/**
 * @file
 * One daemon with a roll-out in progress, for unit tests.
 */
#ifndef TEST_SUPPORT_ROLLOUT_FIXTURE_H
#define TEST_SUPPORT_ROLLOUT_FIXTURE_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../moortack/relay/rollouts_priv.h"
#include "manual_clock.h"

#define ORDER 5
#define DURATION_MS 16000
/* Time by the store's clock. */
#define STORE_NOW_MS 900000

/* Frees the only roll-out of a test. */
static inline void
rollouts_clear(rollouts_t *rollouts)
{
	rollout_t *rollout = rollouts->by_service;

	HASH_DEL(rollouts->by_service, rollout);
	free(rollout);
}

/** A daemon and a service with base version v1 and a roll-out of v2 in
 * progress. */
typedef struct fixture {
	manual_clock_t clock;
	event_log_t log;
	row_watch_t watch;
	membership_t members;
	rollouts_t rollouts;
	const rollout_t *rollout;
} fixture_t;

static inline const char *
first_version(const void *relay, const char *service, const char *new_version)
{
	(void)relay;
	(void)service;
	(void)new_version;
	return "v1";
}

static inline void
state_apply(fixture_t *fixture, int order, const char *to, const char *base,
    const char *state, uint64_t version)
{
	char text[160];
	row_t row = {
	    .key = ROLLOUT_PREFIX "s", .value = text, .version = version};

	row.value_len = (size_t)snprintf(text, sizeof(text),
	    "{\"order\":%d,\"to\":\"%s\",\"base\":\"%s\",\"state\":\"%s\","
	    "\"began_ms\":%d}",
	    order, to, base, state, STORE_NOW_MS);
	rollouts_apply_state_row(&fixture->rollouts, &row, NULL);
}

static inline void
order_apply(fixture_t *fixture, uint64_t number, const char *to)
{
	rollout_order_t order = {
	    .service = "s", .duration_ms = DURATION_MS, .number = number};

	strcpy(order.to_version, to);
	rollouts_apply_order(&fixture->rollouts, &order);
}

static inline void
fixture_init(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->clock = (manual_clock_t){{&manual_clock_ops}, {1000, 0}};
	fixture->watch =
	    (row_watch_t){.clock = &fixture->clock.source, .suspended = true};
	fixture->rollouts = (rollouts_t){.clock = &fixture->clock.source,
	    .members = &fixture->members,
	    .orders_watch = &fixture->watch,
	    .states_watch = &fixture->watch,
	    .log = &fixture->log,
	    .replaced_version = first_version};
	event_log_init(&fixture->log, &fixture->clock.source, 1);
	row_watch_advance(&fixture->watch, 1, fixture->clock.now);
	rollouts_set_store_clock(&fixture->rollouts, STORE_NOW_MS);
	order_apply(fixture, ORDER, "v2");
	fixture->rollout = rollouts_find(&fixture->rollouts, "s");
	assert_string_equal(rollout_base_version(fixture->rollout), "v1");
	state_apply(fixture, ORDER, "v2", "v1", "in_progress", 9);
}

static inline uint32_t
none_on_old(const void *relay, const rollout_t *rollout, uint64_t route)
{
	(void)relay;
	(void)rollout;
	(void)route;
	return 0;
}

/* Another daemon whose report shows a bad new version, to which it sends half
 * of its requests. */
static inline void
reporting_daemon(member_t *member, membership_t *members)
{
	*member = (member_t){.name = "b", .state = MEMBER_READY};
	member->report =
	    json_pack("{s:{s:{s:i, s:f, s:i, s:[[s, i, i, i, i, i, i, i, i, "
		      "i, i]]}}}",
		"rollouts", "s", "order", ORDER, "share", 0.5, "old", 1,
		"tally", "00000000000000aa", 50, 50, 0, 0, 0, 50, 0, 0, 0, 0);
	HASH_ADD_STR(members->members, name, member);
}

#endif
