/**
 * @file
 * Roll-outs as a daemon learns of them: in whatever order the operator's order,
 * the state's row and the store's clock arrive, the time since the order is the
 * same.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../support/manual_clock.h"
#include "moortack/relay/rollouts.h"

#define ORDER 5
#define DURATION_MS 16000
/* Of the store's clock. */
#define STORE_NOW_MS 900000
/* Well into the last steps of a roll-out. */
#define ELAPSED_MS 11000

/** What a daemon learns. */
typedef enum news {
	NEWS_ORDER,
	NEWS_STATE,
	NEWS_CLOCK,
} news_t;

static void
news_tell(rollouts_t *rollouts, news_t news)
{
	static char text[128];
	rollout_order_t order = {
	    .service = "s", .to = "v2", .duration_ms = DURATION_MS};
	row_t row = {.key = ROLLOUT_PREFIX "s", .value = text, .version = 9};

	switch (news) {
	case NEWS_ORDER:
		order.number = ORDER;
		rollouts_order(rollouts, &order);
		break;
	case NEWS_STATE:
		snprintf(text, sizeof(text),
		    "{\"order\":%d,\"state\":\"in_progress\",\"began_ms\":%d}",
		    ORDER, STORE_NOW_MS - ELAPSED_MS);
		row.value_len = strlen(text);
		rollouts_row(rollouts, &row);
		break;
	case NEWS_CLOCK:
		rollouts_store_clock(rollouts, STORE_NOW_MS);
		break;
	}
}

/* The share of requests that go to the new version, in percent. */
static int
share_after(news_t first, news_t second, news_t third)
{
	manual_clock_t clock = {{&manual_ops}, {1000, 0}};
	event_log_t log;
	row_watch_t watch = {.clock = &clock.source};
	membership_t members = {0};
	rollouts_t rollouts = {.clock = &clock.source,
	    .members = &members,
	    .orders = &watch,
	    .states = &watch,
	    .log = &log};
	int share = 0;

	event_log_init(&log, &clock.source, 1);
	row_watch_vouch(&watch, 1, clock.now);
	news_tell(&rollouts, first);
	news_tell(&rollouts, second);
	news_tell(&rollouts, third);
	for (int i = 0; i < 100; i++)
		share += rollout_prefers_new(rollouts_find(&rollouts, "s"),
		    UINT64_MAX / 100 * (uint64_t)i, false);
	free(rollouts.all);
	return share;
}

static void
the_time_of_an_order_is_known_in_whatever_order_it_is_told(void **state)
{
	(void)state;
	assert_int_equal(share_after(NEWS_CLOCK, NEWS_ORDER, NEWS_STATE), 100);
	assert_int_equal(share_after(NEWS_CLOCK, NEWS_STATE, NEWS_ORDER), 100);
	assert_int_equal(share_after(NEWS_STATE, NEWS_ORDER, NEWS_CLOCK), 100);
	assert_int_equal(share_after(NEWS_ORDER, NEWS_STATE, NEWS_CLOCK), 100);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		the_time_of_an_order_is_known_in_whatever_order_it_is_told),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
