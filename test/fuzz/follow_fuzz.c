/**
 * @file
 * The endpoints that several daemons have, while they read a store that is
 * unavailable at times, follow each other and change parents. The oracle is
 * the store: once nothing changes any more, each daemon has exactly the
 * store's rows, and no row that a daemon reports as valid up to a time was
 * deleted or leaving before it.
 */
#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#include "../../moortack/relay/relay_node_priv.h"
#include "../support/feed_transfer.h"
#include "../support/manual_clock.h"
#include "../support/silent_store.h"
#include "input.h"

#define DAEMONS 3
/* Rows are long enough to be sent as deltas. */
#define TEXT_PAD 400
#define TEXT_SIZE (TEXT_PAD + 32)
#define ENDPOINTS 4
#define STEPS_MAX 120
#define LAPSE_MS 2000
#define SETTLE_ROUNDS 8
#define SETTLE_STEP_MS 700
#define TIME_STEP_MS 150

/** An endpoint's row in the store. */
typedef struct entry {
	bool present;
	bool leaving;
	unsigned start_number; /**< of the start that wrote the row */
	unsigned start_count;  /**< starts of the endpoint so far */
	uint64_t version;      /**< of the row, or of its deletion */
} entry_t;

/** A daemon, and a full read of the store whose response it has not received
 * yet. */
typedef struct daemon {
	relay_node_t node;
	bool store_cut; /**< the store is unavailable to it */
	bool read_pending;
	entry_t read[ENDPOINTS];
	uint64_t read_version;
	struct timespec requested_at;
} daemon_t;

typedef struct world {
	manual_clock_t clock;
	struct event_base *base;
	rng_t rng;
	row_store_t store;
	uint64_t version;
	uint64_t compacted_version; /**< the store no longer has the changes up
				       to here */
	entry_t entries[ENDPOINTS];
	daemon_t daemons[DAEMONS];
	bool summaries;	      /**< followers send summaries of their rows */
	size_t turn_rows_max; /**< rows that are applied at once; 0: all */
} world_t;

static world_t world;

static void
daemon_start(daemon_t *daemon, size_t number)
{
	static const caller_dialect_t callers;
	static const endpoint_dialect_t endpoints;
	static const rollout_status_encoder_t rollouts;
	relay_node_settings_t settings = {.listen = {"127.0.0.1", 0},
	    .zone = "a",
	    .operator_rows_max_age_ms = 2400,
	    .endpoint_rows_max_age_ms = 1300,
	    .operator_poll_wait_ms = 500,
	    .endpoints_poll_pause_ms = 600,
	    .lapsed_keep_ms = LAPSE_MS,
	    .grace_ms = 1000,
	    .log_lines_per_s = 1e-9};
	relay_ports_t ports = {world.base, &world.clock.source, &world.rng,
	    &world.store, &test_row_dialect, &callers, &endpoints, &rollouts,
	    NULL, NULL};
	err_t err;

	memset(daemon, 0, sizeof(*daemon));
	snprintf(settings.name, sizeof(settings.name), "d%zu", number);
	FUZZ_CHECK(relay_node_init(&daemon->node, &ports, &settings, &err));
	daemon->node.row_sync.cache.prior_min_len = TEXT_PAD;
	daemon->node.row_sync.settings.turn_rows_max = world.turn_rows_max;
	for (int i = 0; i < ROW_TABLES; i++)
		row_watch_advance(&daemon->node.row_sync.watches[i].watch, 1,
		    world.clock.now);
	daemon->node.row_sync.watches[ROW_TABLE_ENDPOINTS].watch.version = 0;
}

static row_watch_t *
watch_of(daemon_t *daemon)
{
	return &daemon->node.row_sync.watches[ROW_TABLE_ENDPOINTS].watch;
}

static void
entry_deliver(daemon_t *daemon, size_t number, const entry_t *entry)
{
	row_watch_t *watch = watch_of(daemon);
	char key[8], text[TEXT_SIZE];
	row_t row = {.key = key, .version = entry->version};

	snprintf(key, sizeof(key), "e%zu", number);
	snprintf(text, sizeof(text), "%s@%u%*s",
	    entry->leaving ? "leaving" : "ready", entry->start_number, TEXT_PAD,
	    "");
	row.deleted = !entry->present;
	row.value = entry->present ? text : NULL;
	row.value_len = entry->present ? strlen(text) : 0;
	watch->ops->row(watch->arg, &row);
}

/* The other tables do not change: they are up to date as of now. */
static void
read_complete(daemon_t *daemon, uint64_t version, struct timespec requested_at,
    bool full_read)
{
	row_watch_t *watch = watch_of(daemon);
	row_store_response_t response = {
	    .result = ROW_OK, .version = version, .now_ms = 1};

	watch->version = version;
	if (timespec_ms_between(watch->synced_at, requested_at) > 0)
		watch->synced_at = requested_at;
	watch->synced_once = true;
	for (int i = 0; i < ROW_TABLES; i++) {
		if (i != ROW_TABLE_ENDPOINTS)
			row_watch_advance(
			    &daemon->node.row_sync.watches[i].watch, 1,
			    requested_at);
	}
	watch->ops->synced(watch->arg, full_read, &response);
}

static bool
store_available(daemon_t *daemon)
{
	row_watch_t *watch = watch_of(daemon);

	if (watch->reachable == daemon->store_cut) {
		watch->reachable = !daemon->store_cut;
		watch->ops->reachable(watch->arg, !daemon->store_cut);
	}
	return !daemon->store_cut;
}

/* The response to a full read arrives, with the rows of when it was sent. */
static void
full_read_deliver(daemon_t *daemon)
{
	row_watch_t *watch = watch_of(daemon);

	daemon->read_pending = false;
	/* As row_watch.c does it; see unit_row_watch. */
	if (daemon->read_version < watch->version)
		return;
	watch->read_version = daemon->read_version;
	watch->ops->full_read_begin(watch->arg);
	for (size_t i = 0; i < ENDPOINTS; i++) {
		if (daemon->read[i].present)
			entry_deliver(daemon, i, &daemon->read[i]);
	}
	read_complete(daemon, daemon->read_version, daemon->requested_at, true);
}

static void
full_read_begin(daemon_t *daemon)
{
	memcpy(daemon->read, world.entries, sizeof(world.entries));
	daemon->read_version = world.version;
	daemon->requested_at = world.clock.now;
	daemon->read_pending = true;
}

static void
store_read(daemon_t *daemon)
{
	uint64_t after = watch_of(daemon)->version;

	if (!store_available(daemon))
		return;
	if (after == 0 || after < world.compacted_version) {
		full_read_begin(daemon);
		full_read_deliver(daemon);
		return;
	}
	for (size_t i = 0; i < ENDPOINTS; i++) {
		if (world.entries[i].version > after)
			entry_deliver(daemon, i, &world.entries[i]);
	}
	read_complete(daemon, world.version, world.clock.now, false);
}

static void
unfollow(daemon_t *daemon)
{
	row_apply_cancel(&daemon->node.row_sync);
	daemon->node.row_sync.parent[0] = '\0';
	daemon->node.row_sync.following = false;
}

static void
entry_change(input_t *input)
{
	entry_t *entry = &world.entries[input_below(input, ENDPOINTS)];

	switch (input_below(input, 5)) {
	case 0:
		entry->leaving = false;
		entry->present = true;
		break;
	case 1:
		entry->leaving = entry->present;
		break;
	case 2:
		/* The endpoint restarts under its id. */
		entry->start_number = ++entry->start_count;
		entry->leaving = false;
		entry->present = true;
		break;
	case 3:
		/* A heartbeat of an earlier start arrives late. */
		entry->start_number -= entry->start_number > 0;
		break;
	default:
		entry->present = false;
		entry->leaving = false;
		break;
	}
	entry->version = ++world.version;
}

/* What happens to rows while a request is under way: a follower may read the
 * store beside. */
static void
rows_change_meanwhile(daemon_t *follower, daemon_t *parent, input_t *input)
{
	daemon_t *daemon;

	if (input == NULL)
		return;
	if (input_below(input, 2) == 0)
		entry_change(input);
	daemon = input_below(input, 2) == 0 ? follower : parent;
	if (daemon->read_pending)
		full_read_deliver(daemon);
	else
		store_read(daemon);
}

/* Applies what is left of the last response. */
static void
rows_apply_all(daemon_t *daemon)
{
	row_sync_t *sync = &daemon->node.row_sync;

	while (sync->apply.active && !row_follow_continue(sync))
		;
}

/* @param input NULL: nothing happens meanwhile */
static void
follow(daemon_t *follower, daemon_t *parent, input_t *input)
{
	row_sync_t *sync = &follower->node.row_sync;
	feed_response_t response;
	feed_request_t request;

	rows_apply_all(follower);
	feed_parent_set(sync, parent->node.settings.name);
	if (!world.summaries)
		sync->summaries_outdated = UINT32_MAX;
	FUZZ_CHECK(feed_request_transfer(sync, &request));
	rows_change_meanwhile(follower, parent, input);
	FUZZ_CHECK(feed_response_transfer(
	    &parent->node.row_sync, &request, &response));
	row_follow_response(sync, &response, world.clock.now);
	feed_response_clear(&response);
}

static void
time_advance(int64_t ms)
{
	world.clock.now = timespec_add_ms(world.clock.now, ms);
	for (size_t i = 0; i < DAEMONS; i++) {
		relay_node_t *node = &world.daemons[i].node;

		relay_endpoints_remove_lapsed(node);
		relay_endpoints_accept_earlier(node);
		if (node->row_sync.following)
			relay_endpoints_stop_keeping_lapsed(node);
	}
}

static void
step(input_t *input)
{
	daemon_t *first = &world.daemons[input_below(input, DAEMONS)];
	daemon_t *second = &world.daemons[input_below(input, DAEMONS)];
	/* The corpus has few such bytes: its inputs keep their meaning. */
	bool rows_change =
	    !input_at_end(input) && input->bytes[input->at] >= 0xc0;

	if (second->node.row_sync.apply.active)
		row_follow_continue(&second->node.row_sync);
	switch (input_below(input, 9)) {
	case 0:
	case 1:
		entry_change(input);
		break;
	case 2:
		unfollow(first);
		store_read(first);
		break;
	case 3:
	case 4:
		if (first != second)
			follow(first, second, rows_change ? input : NULL);
		break;
	case 5:
		time_advance(TIME_STEP_MS * (int64_t)input_below(input, 32));
		break;
	case 6:
		first->store_cut = !first->store_cut;
		store_available(first);
		break;
	case 7:
		if (first->read_pending)
			full_read_deliver(first);
		else if (store_available(first))
			full_read_begin(first);
		break;
	default:
		world.compacted_version = world.version;
		break;
	}
}

/* The store is available to all; the input chooses the parents. */
static void
settle(input_t *input)
{
	size_t parents[DAEMONS];

	for (size_t i = 0; i < DAEMONS; i++) {
		parents[i] = input_below(input, (uint32_t)i + 1);
		world.daemons[i].store_cut = false;
		if (world.daemons[i].read_pending)
			full_read_deliver(&world.daemons[i]);
		rows_apply_all(&world.daemons[i]);
		unfollow(&world.daemons[i]);
	}
	for (size_t round = 0; round < SETTLE_ROUNDS; round++) {
		for (size_t i = 0; i < DAEMONS; i++) {
			if (parents[i] == i)
				store_read(&world.daemons[i]);
			else
				follow(&world.daemons[i],
				    &world.daemons[parents[i]], NULL);
			rows_apply_all(&world.daemons[i]);
		}
		time_advance(SETTLE_STEP_MS);
	}
}

static void
check_same_as_store(daemon_t *daemon)
{
	for (size_t i = 0; i < ENDPOINTS; i++) {
		const entry_t *entry = &world.entries[i];
		const endpoint_t *known;
		char key[8];

		snprintf(key, sizeof(key), "e%zu", i);
		known = endpoint_set_find(&daemon->node.endpoints, key);
		FUZZ_CHECK((known != NULL) == entry->present);
		FUZZ_CHECK(
		    known == NULL || known->info.leaving == entry->leaving);
		FUZZ_CHECK(known == NULL ||
		    known->info.started_ms == entry->start_number);
		FUZZ_CHECK(known == NULL || !known->lapsed);
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	world.clock = (manual_clock_t){{&manual_clock_ops}, {1000, 0}};
	world.base = event_base_new();
	world.store = (row_store_t){.ops = &silent_store_ops};
	world.version = 10;
	/* Inputs of the corpus from before there were summaries keep their
	 * meaning. */
	world.summaries = len > 0 && bytes[0] >= 0x80;
	world.turn_rows_max = len > 0 && bytes[0] >= 0xa0 ? 1 : 0;
	rng_system_init(&world.rng);
	for (size_t i = 0; i < DAEMONS; i++)
		daemon_start(&world.daemons[i], i);
	for (size_t i = 0; i < STEPS_MAX && !input_at_end(&input); i++)
		step(&input);
	settle(&input);
	for (size_t i = 0; i < DAEMONS; i++)
		check_same_as_store(&world.daemons[i]);
	for (size_t i = 0; i < DAEMONS; i++)
		relay_node_finish(&world.daemons[i].node);
	event_base_free(world.base);
	return 0;
}
