/**
 * @file
 * Rows of other writers between good ones, through the store's answers and the
 * platform's decoders into two daemons: one reads a table with bad rows in it,
 * the other the same table without. The oracle is the other: what they know of
 * endpoints, configuration, daemons and roll-outs, and what they tell others,
 * is the same after each reading.
 */
#include <event2/event.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "../../moortack/relay/relay_node_priv.h"
#include "../fuzz/input.h"
#include "../support/manual_clock.h"
#include "../support/silent_store.h"
#include "platform/rows.h"
#include "platform/store_rows.h"

#define STEPS_MAX 40
#define KEYS 4
#define TEXT_SIZE 1024
#define VALUE_SIZE 512

/** A daemon that is told the rows. */
typedef struct reader {
	relay_node_t node;
	json_t *answer; /**< of the store, being made */
} reader_t;

typedef struct world {
	manual_clock_t clock;
	struct event_base *base;
	rng_t rng;
	row_store_t store;
	uint64_t version;
	reader_t clean;	 /**< reads no bad rows */
	reader_t spoilt; /**< reads them too */
} world_t;

static world_t world;

static const source_dialect_t sources = {.orders_table = ROWS_ORDERS,
    .config_key = ROWS_CONFIG_KEY,
    .rollout_prefix = ROWS_ROLLOUT_PREFIX,
    .evacuation_prefix = ROWS_EVACUATION_PREFIX,
    .evacuation_check = evacuation_row_check,
    .endpoints_table = ROWS_ENDPOINTS,
    .config = config_row_decode,
    .endpoint = endpoint_row_decode,
    .order = order_row_decode,
    .endpoint_same = endpoint_row_same};

static void
reader_start(reader_t *reader)
{
	static const caller_dialect_t callers;
	static const endpoint_dialect_t endpoints;
	static const rollout_status_encoder_t rollouts;
	relay_node_settings_t settings = {.listen = {"127.0.0.1", 0},
	    .name = "10.0.0.99:80",
	    .zone = "a",
	    .endpoints_pause_ms = 600,
	    .config_wait_ms = 500,
	    .lapse_ms = 2000,
	    .grace_ms = 1000,
	    .log_per_s = 1e-9};
	relay_ports_t ports = {world.base, &world.clock.source, &world.rng,
	    &world.store, &sources, &callers, &endpoints, &rollouts};
	err_t err;

	memset(reader, 0, sizeof(*reader));
	FUZZ_CHECK(relay_node_init(&reader->node, &ports, &settings, &err));
}

/* The rows that the tables have. ---------------------------------------------
 */

static row_table_t
table_of(uint32_t kind)
{
	static const row_table_t tables[] = {ROW_TABLE_ENDPOINTS,
	    ROW_TABLE_OPERATOR, ROW_TABLE_OPERATOR, ROW_TABLE_SYSTEM,
	    ROW_TABLE_SYSTEM};

	return tables[kind];
}

/* A good row of a kind, which is the same kind as in table_of(). */
static void
good_row(input_t *input, uint32_t kind, char *key, char *value)
{
	uint32_t i = input_below(input, KEYS);
	uint32_t more = input_below(input, 3);

	switch (kind) {
	case 0:
		snprintf(key, TEXT_SIZE, "i-%u", i);
		snprintf(value, VALUE_SIZE,
		    "{\"service\":\"s%u\",\"address\":\"10.1.0.%u:80\","
		    "\"zone\":\"a\",\"version\":\"v1\",\"state\":\"%s\","
		    "\"born\":%u,\"sequence\":%u}",
		    i % 2, i + 1, more == 1 ? "draining" : "ready", more, i);
		break;
	case 1:
		strcpy(key, ROWS_CONFIG_KEY);
		snprintf(value, VALUE_SIZE,
		    "{\"version\":%llu,\"routes\":[],\"services\":[]}",
		    (unsigned long long)world.version);
		break;
	case 2:
		snprintf(key, TEXT_SIZE, ROWS_ROLLOUT_PREFIX "s%u", i);
		snprintf(value, VALUE_SIZE,
		    "{\"service\":\"s%u\",\"to\":\"v%u\",\"duration_s\":12}", i,
		    more);
		break;
	case 3:
		snprintf(key, TEXT_SIZE, MEMBER_PREFIX "10.0.0.%u:80", i);
		snprintf(value, VALUE_SIZE,
		    "{\"place\":\"a\",\"peer\":\"10.0.0.%u:81\","
		    "\"state\":\"%s\",\"strength\":0.5,\"beat\":1}",
		    i, more == 1 ? "leaving" : "ready");
		break;
	default:
		snprintf(key, TEXT_SIZE, ROLLOUT_PREFIX "s%u", i);
		snprintf(value, VALUE_SIZE,
		    "{\"order\":%u,\"to\":\"v2\",\"base\":\"v1\","
		    "\"state\":\"in_progress\",\"began_ms\":5}",
		    i + 1);
		break;
	}
}

static json_t *
row_json(const char *key, size_t key_len, const char *value, size_t len)
{
	char text[2 * VALUE_SIZE];

	sodium_bin2base64(text, sizeof(text), (const uint8_t *)value, len,
	    sodium_base64_VARIANT_ORIGINAL);
	return json_pack("{s:s#, s:s, s:I}", "key", key, (int)key_len, "value",
	    text, "row_version", (json_int_t)world.version);
}

/* Break a good value: cut it, change bytes, or give a field another type. */
static size_t
value_break(input_t *input, char *value)
{
	static const char *const fields[] = {"service", "address", "zone",
	    "version", "state", "born", "routes", "to", "duration_s", "place",
	    "peer", "strength", "order", "base", "began_ms"};
	static const char *const values[] = {"null", "1.5", "-1", "\"\"", "[]",
	    "{}", "true", "1e300", "9007199254740993", "\"\\u0000\"",
	    "\"nowhere:80\"", "\"1.2.3.4:99999\""};
	size_t len = strlen(value);
	json_t *body = json_loads(value, 0, NULL);
	const char *field =
	    fields[input_below(input, sizeof(fields) / sizeof(fields[0]))];
	json_t *other = json_loads(
	    values[input_below(input, sizeof(values) / sizeof(values[0]))],
	    JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);

	switch (input_below(input, 4)) {
	case 0:
		len = input_below(input, 64);
		break;
	case 1:
		for (int i = 0; i < 4; i++)
			value[(input_below(input, 256) * 3) % len] =
			    (char)input_below(input, 256);
		break;
	default:
		json_object_set(body, field, other);
		len = json_dumpb(body, value, VALUE_SIZE, JSON_COMPACT);
		break;
	}
	json_decref(body);
	json_decref(other);
	return len < VALUE_SIZE ? len : VALUE_SIZE - 1;
}

/* Whether a configuration is good is the same whatever it is built on. */
static bool
config_decode(const char *text, size_t len)
{
	relay_config_t *alone = config_row_decode(text, len, NULL, NULL);
	relay_config_t *again = config_row_decode(text, len, alone, NULL);
	bool good = alone != NULL;

	FUZZ_CHECK(good == (again != NULL));
	if (good)
		FUZZ_CHECK(
		    HASH_COUNT(alone->routes) == HASH_COUNT(again->routes));
	relay_config_release(alone);
	relay_config_release(again);
	return good;
}

/* Whether the row, by the platform's and the product's decoders, names
 * something. */
static bool
names_something(uint32_t kind, const char *key, const char *value, size_t len)
{
	row_t row = {.key = key, .value = value, .value_len = len};
	char ended[VALUE_SIZE + 1];
	endpoint_info_t endpoint;
	rollout_order_t order;
	member_record_t member;
	bool good;

	memcpy(ended, value, len);
	ended[len] = '\0';
	row.value = ended;
	switch (kind) {
	case 0:
		return endpoint_row_decode(key, ended, len, &endpoint, NULL);
	case 1:
		return config_decode(ended, len);
	case 2:
		return order_row_decode(ended, len, 1, &order, NULL);
	case 3:
		good = member_row_decode(&row, &member, NULL);
		member_record_finish(&member);
		return good;
	default:
		return true;
	}
}

/* A row that names nothing, under a key that no good row has. */
static json_t *
bad_row(input_t *input, uint32_t kind)
{
	char key[TEXT_SIZE], value[VALUE_SIZE];
	size_t key_len, len;

	good_row(input, kind, key, value);
	len = value_break(input, value);
	key_len = strlen(key);
	switch (input_below(input, 4)) {
	case 0:
		memset(key + key_len, 'x', 150);
		key_len += 150;
		break;
	case 1:
		key[key_len++] = '\0';
		key[key_len++] = 'x';
		break;
	case 2:
		key[key_len++] = ' ';
		break;
	default:
		key[key_len++] = 'z';
		break;
	}
	key[key_len] = '\0';
	if (strlen(key) == key_len &&
	    (kind == 4 || names_something(kind, key, value, len)))
		return NULL;
	switch (input_below(input, 4)) {
	case 0:
		return json_pack("{s:s#, s:s, s:I}", "key", key, (int)key_len,
		    "value", "?no base64?", "row_version",
		    (json_int_t)world.version);
	case 1:
		return json_pack("{s:s#, s:i, s:I}", "key", key, (int)key_len,
		    "value", 5, "row_version", (json_int_t)world.version);
	default:
		return row_json(key, key_len, value, len);
	}
}

/* Readings. ------------------------------------------------------------------
 */

static void
row_add(reader_t *reader, json_t *row)
{
	json_array_append(json_object_get(reader->answer, "rows"), row);
}

static void
answer_begin(reader_t *reader)
{
	reader->answer = json_pack("{s:[], s:b}", "rows", "has_more", 0);
}

/* The answer goes through the store's text, as it does on the wire. */
static void
answer_take(reader_t *reader, row_table_t table, bool whole)
{
	row_watch_t *watch = &reader->node.source.watches[table].watch;
	row_reply_t reply = {
	    .result = ROW_OK, .version = world.version, .now_ms = 1};
	char *text = json_dumps(reader->answer, JSON_COMPACT);
	json_t *body = store_body_read(text, strlen(text));
	store_rows_t list;

	FUZZ_CHECK(body != NULL);
	store_rows_read(body, 0, &list);
	if (whole) {
		watch->read_version = world.version;
		watch->ops->full_read_begin(watch->arg);
	}
	for (size_t i = 0; i < list.len; i++)
		watch->ops->row(watch->arg, &list.rows[i]);
	row_watch_advance(watch, world.version, world.clock.now);
	watch->ops->synced(watch->arg, whole, &reply);
	store_rows_free(&list);
	json_decref(body);
	json_decref(reader->answer);
	reader->answer = NULL;
	free(text);
}

static void
read_table(input_t *input)
{
	uint32_t kind = input_below(input, 5);
	size_t rows = input_below(input, 6);
	bool whole = input_below(input, 2) == 1;

	world.version++;
	answer_begin(&world.clean);
	answer_begin(&world.spoilt);
	for (size_t i = 0; i < rows; i++) {
		char key[TEXT_SIZE], value[VALUE_SIZE];
		json_t *row;

		if (input_below(input, 2) == 0) {
			row = bad_row(input, kind);
			if (row != NULL)
				row_add(&world.spoilt, row);
		} else {
			good_row(input, kind, key, value);
			row = row_json(key, strlen(key), value, strlen(value));
			row_add(&world.clean, row);
			row_add(&world.spoilt, row);
		}
		json_decref(row);
	}
	answer_take(&world.clean, table_of(kind), whole);
	answer_take(&world.spoilt, table_of(kind), whole);
}

/* What they know. ------------------------------------------------------------
 */

static void
same_endpoints(const relay_node_t *a, const relay_node_t *b)
{
	FUZZ_CHECK(HASH_COUNT(a->endpoints.endpoints) ==
	    HASH_COUNT(b->endpoints.endpoints));
	for (const endpoint_t *one = a->endpoints.endpoints; one != NULL;
	     one = one->hh.next) {
		const endpoint_t *other =
		    endpoint_set_find(&b->endpoints, one->info.id);

		FUZZ_CHECK(other != NULL);
		FUZZ_CHECK(other->info.leaving == one->info.leaving);
		FUZZ_CHECK(other->info.started_ms == one->info.started_ms);
	}
}

static void
same_members(const relay_node_t *a, const relay_node_t *b)
{
	const member_t *other;

	FUZZ_CHECK(
	    HASH_COUNT(a->members.members) == HASH_COUNT(b->members.members));
	for (const member_t *one = a->members.members; one != NULL;
	     one = one->hh.next) {
		HASH_FIND_STR(b->members.members, one->name, other);
		FUZZ_CHECK(other != NULL && other->state == one->state);
	}
}

static void
same_rollouts(const relay_node_t *a, const relay_node_t *b)
{
	for (const rollout_t *one = a->rollouts.by_service; one != NULL;
	     one = one->hh.next) {
		const rollout_t *other =
		    rollouts_find(&b->rollouts, one->order.service);

		FUZZ_CHECK(other != NULL);
		FUZZ_CHECK(other->order.number == one->order.number);
		FUZZ_CHECK(other->state_order == one->state_order);
		FUZZ_CHECK(other->state == one->state);
	}
}

/* Others are told of the same endpoints and daemons. */
static void
same_told(const row_cache_t *a, const row_cache_t *b)
{
	for (const cached_row_t *row = b->rows; row != NULL;
	     row = row->hh.next) {
		const cached_row_t *other =
		    row_cache_find(a, row->table, cached_row_key(row));
		bool named = row->table == ROW_TABLE_ENDPOINTS ||
		    strncmp(cached_row_key(row), MEMBER_PREFIX,
			strlen(MEMBER_PREFIX)) == 0;

		FUZZ_CHECK(!named || row->value == NULL ||
		    (other != NULL && other->value != NULL));
	}
}

static void
same_known(void)
{
	const relay_node_t *a = &world.clean.node;
	const relay_node_t *b = &world.spoilt.node;

	same_endpoints(a, b);
	same_members(a, b);
	same_rollouts(a, b);
	same_told(&a->source.cache, &b->source.cache);
	FUZZ_CHECK((a->relay.config == NULL) == (b->relay.config == NULL));
	FUZZ_CHECK(a->relay.config == NULL ||
	    a->relay.config->version == b->relay.config->version);
	for (int i = 0; i < ROW_TABLES; i++)
		FUZZ_CHECK(a->source.watches[i].watch.synced_once ==
		    b->source.watches[i].watch.synced_once);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	world.clock = (manual_clock_t){{&manual_ops}, {1000, 0}};
	world.base = event_base_new();
	world.store = (row_store_t){.ops = &silent_ops};
	world.version = 10;
	rng_system_init(&world.rng);
	reader_start(&world.clean);
	reader_start(&world.spoilt);
	for (size_t i = 0; i < STEPS_MAX && !input_over(&input); i++) {
		read_table(&input);
		same_known();
	}
	relay_node_finish(&world.clean.node);
	relay_node_finish(&world.spoilt.node);
	event_base_free(world.base);
	return 0;
}
