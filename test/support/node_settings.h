/**
 * @file
 * Settings and start of a relay node with the test's store and dialects.
 */
#ifndef TEST_SUPPORT_NODE_SETTINGS_H
#define TEST_SUPPORT_NODE_SETTINGS_H

#include "silent_store.h"

static const relay_node_settings_t test_node_settings = {
    .listen = {"127.0.0.1", 0},
    .name = "127.0.0.1:1",
    .zone = "a",
    .endpoints_poll_pause_ms = 600,
    .endpoint_rows_max_age_ms = 1300,
    .operator_poll_wait_ms = 500,
    .lapsed_keep_ms = 2000,
    .grace_ms = 1000,
    .log_lines_per_s = 1};

/** @return false: it could not be started */
static inline bool
test_node_start(relay_node_t *node, struct event_base *base,
    const clock_source_t *clock, rng_t *rng, row_store_t *store)
{
	static const caller_dialect_t callers;
	static const endpoint_dialect_t endpoints;
	static const rollout_status_encoder_t rollouts;
	const relay_ports_t ports = {base, clock, rng, store, &test_row_dialect,
	    &callers, &endpoints, &rollouts, NULL, NULL};
	err_t err;

	return relay_node_init(node, &ports, &test_node_settings, &err);
}

#endif
