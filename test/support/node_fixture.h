/**
 * @file
 * A relay node that gets its rows from the test.
 */
#ifndef TEST_SUPPORT_NODE_FIXTURE_H
#define TEST_SUPPORT_NODE_FIXTURE_H

#include <event2/event.h>

#include "../../moortack/relay/relay_node_priv.h"
#include "manual_clock.h"
#include "node_settings.h"

typedef struct node_fixture {
	relay_node_t node;
	struct event_base *base;
	manual_clock_t clock;
	rng_t rng;
	row_store_t store;
} node_fixture_t;

static inline void
node_fixture_init(node_fixture_t *told)
{
	told->clock = (manual_clock_t){{&manual_ops}, {1000, 0}};
	told->store = (row_store_t){.ops = &silent_store_ops};
	told->base = event_base_new();
	rng_system_init(&told->rng);
	assert_true(test_node_start(&told->node, told->base,
	    &told->clock.source, &told->rng, &told->store));
}

static inline void
node_fixture_finish(node_fixture_t *told)
{
	relay_node_finish(&told->node);
	event_base_free(told->base);
}

static inline void
node_fixture_advance(node_fixture_t *told, int64_t ms)
{
	told->clock.now = timespec_after_ms(told->clock.now, ms);
}

/** @param text NULL: the row is removed */
static inline void
node_fixture_apply_row(node_fixture_t *told, row_table_t table, const char *key,
    const char *text, uint64_t version)
{
	row_t row = {.key = key,
	    .value = text,
	    .value_len = text != NULL ? strlen(text) : 0,
	    .version = version,
	    .deleted = text == NULL};

	relay_rows_ops.row(&told->node, table, &row);
}

#endif
