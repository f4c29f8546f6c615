/**
 * @file
 * A relay node whose rows the test applies.
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
node_fixture_init(node_fixture_t *fixture)
{
	fixture->clock = (manual_clock_t){{&manual_clock_ops}, {1000, 0}};
	fixture->store = (row_store_t){.ops = &silent_store_ops};
	fixture->base = event_base_new();
	rng_system_init(&fixture->rng);
	assert_true(test_node_start(&fixture->node, fixture->base,
	    &fixture->clock.source, &fixture->rng, &fixture->store));
}

static inline void
node_fixture_finish(node_fixture_t *fixture)
{
	relay_node_finish(&fixture->node);
	event_base_free(fixture->base);
}

/** Advance the clock. */
static inline void
node_fixture_advance(node_fixture_t *fixture, int64_t ms)
{
	fixture->clock.now = timespec_add_ms(fixture->clock.now, ms);
}

/** Apply a row. @param text NULL: the row is removed */
static inline void
node_fixture_apply_row(node_fixture_t *fixture, row_table_t table,
    const char *key, const char *text, uint64_t version)
{
	row_t row = {.key = key,
	    .value = text,
	    .value_len = text != NULL ? strlen(text) : 0,
	    .version = version,
	    .deleted = text == NULL};

	relay_rows_ops.row(&fixture->node, table, &row);
}

#endif
