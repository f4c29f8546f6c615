/**
 * @file
 * What several daemons know of endpoints, while they read a store that is lost
 * at times, follow each other and change whom they follow. The oracle is the
 * store: once all is calm, each daemon knows just what it has, and nothing that
 * a daemon tells as known up to a moment was gone or leaving before it.
 */
#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#include "../../moortack/relay/relay_node_priv.h"
#include "../../moortack/replication/row_source_priv.h"
#include "../support/manual_clock.h"
#include "../support/silent_store.h"
#include "input.h"
#include "moortack/replication/feed_apply.h"

#define DAEMONS 3
/* Rows are long enough to be told as what changed of them. */
#define TEXT_PAD 400
#define TEXT_SIZE (TEXT_PAD + 32)
#define ENDPOINTS 4
#define STEPS_MAX 120
#define LAPSE_MS 2000
#define CALM_ROUNDS 8
#define CALM_STEP_MS 700
#define TIME_STEP_MS 150

/** An endpoint's row in the store. */
typedef struct entry {
	bool present;
	bool leaving;
	unsigned born;	  /**< of the incarnation that wrote it */
	unsigned started; /**< incarnations so far */
	uint64_t version; /**< of the row, or of its end */
} entry_t;

/** A daemon, and a whole read of the store that it has not taken yet. */
typedef struct daemon {
	relay_node_t node;
	bool cut; /**< the store does not answer it */
	bool reading;
	entry_t read[ENDPOINTS];
	uint64_t read_version;
	struct timespec asked;
} daemon_t;

typedef struct world {
	manual_clock_t clock;
	struct event_base *base;
	rng_t rng;
	row_store_t store;
	uint64_t version;
	uint64_t forgotten; /**< changes up to here are no longer known */
	entry_t entries[ENDPOINTS];
	daemon_t daemons[DAEMONS];
} world_t;

static world_t world;

static void
daemon_start(daemon_t *daemon, size_t number)
{
	static const caller_dialect_t callers;
	static const endpoint_dialect_t endpoints;
	static const rollout_dialect_t rollouts;
	relay_node_settings_t settings = {.listen = {"127.0.0.1", 0},
	    .zone = "a",
	    .old_ms = 2400,
	    .endpoints_old_ms = 1300,
	    .config_wait_ms = 500,
	    .endpoints_pause_ms = 600,
	    .lapse_ms = LAPSE_MS,
	    .grace_ms = 1000,
	    .log_per_s = 1e-9};
	relay_ports_t ports = {world.base, &world.clock.source, &world.rng,
	    &world.store, &told_sources, &callers, &endpoints, &rollouts};
	err_t err;

	memset(daemon, 0, sizeof(*daemon));
	snprintf(settings.name, sizeof(settings.name), "d%zu", number);
	FUZZ_CHECK(relay_node_init(&daemon->node, &ports, &settings, &err));
	daemon->node.source.cache.prior_min = TEXT_PAD;
	for (int i = 0; i < ROW_TABLES; i++)
		row_watch_vouch(
		    &daemon->node.source.watches[i].watch, 1, world.clock.now);
	daemon->node.source.watches[ROW_TABLE_ENDPOINTS].watch.version = 0;
}

static row_watch_t *
watch_of(daemon_t *daemon)
{
	return &daemon->node.source.watches[ROW_TABLE_ENDPOINTS].watch;
}

static void
entry_tell(daemon_t *daemon, size_t number, const entry_t *entry)
{
	row_watch_t *watch = watch_of(daemon);
	char key[8], text[TEXT_SIZE];
	row_t row = {.key = key, .version = entry->version};

	snprintf(key, sizeof(key), "e%zu", number);
	snprintf(text, sizeof(text), "%s@%u%*s",
	    entry->leaving ? "leaving" : "ready", entry->born, TEXT_PAD, "");
	row.deleted = !entry->present;
	row.value = entry->present ? text : NULL;
	row.value_len = entry->present ? strlen(text) : 0;
	watch->ops->row(watch->arg, &row);
}

/* The other tables do not change: they are known as of now. */
static void
read_settle(daemon_t *daemon, uint64_t version, struct timespec asked, bool all)
{
	row_watch_t *watch = watch_of(daemon);
	row_reply_t reply = {.result = ROW_OK, .version = version, .now_ms = 1};

	watch->version = version;
	if (timespec_ms_between(watch->known, asked) > 0)
		watch->known = asked;
	watch->settled_once = true;
	for (int i = 0; i < ROW_TABLES; i++) {
		if (i != ROW_TABLE_ENDPOINTS)
			row_watch_vouch(
			    &daemon->node.source.watches[i].watch, 1, asked);
	}
	watch->ops->settled(watch->arg, all, &reply);
}

static bool
store_answers(daemon_t *daemon)
{
	row_watch_t *watch = watch_of(daemon);

	if (watch->reachable == daemon->cut) {
		watch->reachable = !daemon->cut;
		watch->ops->reachable(watch->arg, !daemon->cut);
	}
	return !daemon->cut;
}

/* A whole read that was answered then arrives now. */
static void
whole_take(daemon_t *daemon)
{
	row_watch_t *watch = watch_of(daemon);

	daemon->reading = false;
	/* As unit_row_watch has it of the real one. */
	if (daemon->read_version < watch->version)
		return;
	watch->read_version = daemon->read_version;
	watch->ops->restart(watch->arg);
	for (size_t i = 0; i < ENDPOINTS; i++) {
		if (daemon->read[i].present)
			entry_tell(daemon, i, &daemon->read[i]);
	}
	read_settle(daemon, daemon->read_version, daemon->asked, true);
}

static void
whole_begin(daemon_t *daemon)
{
	memcpy(daemon->read, world.entries, sizeof(world.entries));
	daemon->read_version = world.version;
	daemon->asked = world.clock.now;
	daemon->reading = true;
}

static void
store_read(daemon_t *daemon)
{
	uint64_t after = watch_of(daemon)->version;

	if (!store_answers(daemon))
		return;
	if (after == 0 || after < world.forgotten) {
		whole_begin(daemon);
		whole_take(daemon);
		return;
	}
	for (size_t i = 0; i < ENDPOINTS; i++) {
		if (world.entries[i].version > after)
			entry_tell(daemon, i, &world.entries[i]);
	}
	read_settle(daemon, world.version, world.clock.now, false);
}

static void
follow_none(daemon_t *daemon)
{
	daemon->node.source.followed[0] = '\0';
	daemon->node.source.following = false;
}

static void
follow(daemon_t *child, daemon_t *parent)
{
	row_source_t *source = &child->node.source;
	feed_answer_t answer = {.source = parent->node.source.incarnation,
	    .change = parent->node.source.cache.change};
	const feed_bytes_t *rows;
	feed_bytes_t told = {0};
	feed_point_t from;
	char *text;

	if (strcmp(source->followed, parent->node.settings.name) != 0) {
		follow_none(child);
		strcpy(source->followed, parent->node.settings.name);
		source->followed_source = 0;
		source->followed_change = 0;
	}
	row_follow_ask(source, &from);
	rows = feed_bodies_for(&parent->node.source.server.bodies,
	    &parent->node.source.cache, answer.source, &from, &answer);
	row_follow_state(&parent->node.source, &answer);
	answer.number = 1;
	text = feed_answer_text(&answer);
	feed_answer_clear(&answer);
	FUZZ_CHECK(rows != NULL);
	if (rows->len > 0)
		FUZZ_CHECK(feed_unpack(rows->data, rows->len, &told));
	FUZZ_CHECK(
	    feed_answer_read(text, strlen(text), told.data, told.len, &answer));
	free(text);
	free(told.data);
	row_follow_take(source, &answer, world.clock.now);
	feed_answer_clear(&answer);
}

static void
pass(int64_t ms)
{
	world.clock.now = timespec_add_ms(world.clock.now, ms);
	for (size_t i = 0; i < DAEMONS; i++) {
		relay_node_t *node = &world.daemons[i].node;

		relay_rows_lapsed_end(node);
		relay_rows_earlier_take(node);
		if (node->source.following)
			relay_rows_lapses_drop(node);
	}
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
		/* It starts again under its id. */
		entry->born = ++entry->started;
		entry->leaving = false;
		entry->present = true;
		break;
	case 3:
		/* A heartbeat of an earlier start comes late. */
		entry->born -= entry->born > 0;
		break;
	default:
		entry->present = false;
		entry->leaving = false;
		break;
	}
	entry->version = ++world.version;
}

static void
step(input_t *input)
{
	daemon_t *one = &world.daemons[input_below(input, DAEMONS)];
	daemon_t *two = &world.daemons[input_below(input, DAEMONS)];

	switch (input_below(input, 9)) {
	case 0:
	case 1:
		entry_change(input);
		break;
	case 2:
		follow_none(one);
		store_read(one);
		break;
	case 3:
	case 4:
		if (one != two)
			follow(one, two);
		break;
	case 5:
		pass(TIME_STEP_MS * (int64_t)input_below(input, 32));
		break;
	case 6:
		one->cut = !one->cut;
		store_answers(one);
		break;
	case 7:
		if (one->reading)
			whole_take(one);
		else if (store_answers(one))
			whole_begin(one);
		break;
	default:
		world.forgotten = world.version;
		break;
	}
}

/* All reach the store; whom the others follow stays as the input says. */
static void
calm(input_t *input)
{
	size_t parents[DAEMONS];

	for (size_t i = 0; i < DAEMONS; i++) {
		parents[i] = input_below(input, (uint32_t)i + 1);
		world.daemons[i].cut = false;
		if (world.daemons[i].reading)
			whole_take(&world.daemons[i]);
		follow_none(&world.daemons[i]);
	}
	for (size_t round = 0; round < CALM_ROUNDS; round++) {
		for (size_t i = 0; i < DAEMONS; i++) {
			if (parents[i] == i)
				store_read(&world.daemons[i]);
			else
				follow(&world.daemons[i],
				    &world.daemons[parents[i]]);
		}
		pass(CALM_STEP_MS);
	}
}

static void
same_as_store(daemon_t *daemon)
{
	for (size_t i = 0; i < ENDPOINTS; i++) {
		const entry_t *entry = &world.entries[i];
		const endpoint_t *known;
		char key[8];

		snprintf(key, sizeof(key), "e%zu", i);
		known = endpoint_set_find(&daemon->node.endpoints, key);
		FUZZ_CHECK((known != NULL) == entry->present);
		FUZZ_CHECK(
		    known == NULL || known->facts.leaving == entry->leaving);
		FUZZ_CHECK(
		    known == NULL || known->facts.born_ms == entry->born);
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
	world.store = (row_store_t){.ops = &silent_ops};
	world.version = 10;
	rng_system_init(&world.rng);
	for (size_t i = 0; i < DAEMONS; i++)
		daemon_start(&world.daemons[i], i);
	for (size_t i = 0; i < STEPS_MAX && !input_at_end(&input); i++)
		step(&input);
	calm(&input);
	for (size_t i = 0; i < DAEMONS; i++)
		same_as_store(&world.daemons[i]);
	for (size_t i = 0; i < DAEMONS; i++)
		relay_node_finish(&world.daemons[i].node);
	event_base_free(world.base);
	return 0;
}
