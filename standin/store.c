/**
 * @file
 * A fake of the platform's table, in memory. Faults: "down", "slow_ms",
 * "lose_replies" (that many transactions take effect and get no response) and
 * "writes_per_s" (the most transactions in a second; 0: no limit).
 */
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "standin/fake.h"
#include "standin/http_server.h"

#define SCAN_MAX 1000

typedef struct row {
	char *key;
	char *value;
	UT_hash_handle hh;
} row_t;

typedef struct store {
	fake_t fake;
	row_t *rows;
	int64_t lose_replies;
	int64_t writes_per_s;
	int64_t second;
	int64_t writes;	      /**< transactions in this second, counted
				 while writes_per_s is set */
	int64_t writes_total; /**< transactions that took effect */
	int64_t reads_total;
} store_t;

static const char *
row_get(const store_t *store, const char *key)
{
	row_t *row;

	HASH_FIND_STR(store->rows, key, row);
	return row != NULL ? row->value : NULL;
}

static void
row_put(store_t *store, const char *key, const char *value)
{
	row_t *row;

	HASH_FIND_STR(store->rows, key, row);
	if (row == NULL) {
		row = calloc(1, sizeof(*row));
		row->key = strdup(key);
		HASH_ADD_KEYPTR(
		    hh, store->rows, row->key, strlen(row->key), row);
	}
	free(row->value);
	row->value = strdup(value);
}

static void
row_delete(store_t *store, const char *key)
{
	row_t *row;

	HASH_FIND_STR(store->rows, key, row);
	if (row == NULL)
		return;
	HASH_DEL(store->rows, row);
	free(row->key);
	free(row->value);
	free(row);
}

static bool
check_passes(const store_t *store, const json_t *check)
{
	const char *key = json_string_value(json_object_get(check, "key"));
	const char *expected =
	    json_string_value(json_object_get(check, "value"));
	const char *actual = key != NULL ? row_get(store, key) : NULL;

	if (expected == NULL || actual == NULL)
		return expected == NULL && actual == NULL;
	return strcmp(expected, actual) == 0;
}

static void
puts_apply(store_t *store, const json_t *puts)
{
	json_t *put;
	size_t i;

	json_array_foreach(puts, i, put)
	{
		const char *key =
		    json_string_value(json_object_get(put, "key"));
		const char *value =
		    json_string_value(json_object_get(put, "value"));

		if (key != NULL && value != NULL)
			row_put(store, key, value);
		else if (key != NULL)
			row_delete(store, key);
	}
}

static bool
write_allowed(store_t *store)
{
	int64_t second = clock_wall(&store->fake.clock).tv_sec;

	if (second != store->second) {
		store->second = second;
		store->writes = 0;
	}
	return store->writes_per_s == 0 ||
	    store->writes++ < store->writes_per_s;
}

static void
txn(store_t *store, struct evhttp_request *req, const json_t *body)
{
	const json_t *checks = json_object_get(body, "checks");
	json_t *check;
	size_t i;

	if (!write_allowed(store)) {
		standin_respond_json(req, 429, json_object());
		return;
	}
	json_array_foreach(checks, i, check)
	{
		if (!check_passes(store, check)) {
			standin_respond_json(req, 409,
			    json_pack(
				"{s:O}", "key", json_object_get(check, "key")));
			return;
		}
	}
	puts_apply(store, json_object_get(body, "puts"));
	store->writes_total++;
	if (store->lose_replies > 0) {
		store->lose_replies--;
		fake_connection_drop(&store->fake, req);
		return;
	}
	standin_respond_json(req, 200, json_object());
}

static void
get(store_t *store, struct evhttp_request *req, const json_t *body)
{
	json_t *values = json_object();
	json_t *key;
	size_t i;

	store->reads_total++;
	json_array_foreach(json_object_get(body, "keys"), i, key)
	{
		const char *name = json_string_value(key);
		const char *value = name != NULL ? row_get(store, name) : NULL;

		if (value != NULL)
			json_object_set_new(values, name, json_string(value));
	}
	standin_respond_json(req, 200, json_pack("{s:o}", "values", values));
}

static int
row_compare(const void *a, const void *b)
{
	return strcmp((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

static json_t *
rows_after(const store_t *store, const char *prefix, const char *after)
{
	size_t count = HASH_COUNT(store->rows);
	row_t **found = calloc(count + 1, sizeof(*found));
	json_t *rows = json_array();
	size_t n = 0;
	row_t *row, *next;

	HASH_ITER(hh, store->rows, row, next)
	{
		if (strncmp(row->key, prefix, strlen(prefix)) == 0 &&
		    strcmp(row->key, after) > 0)
			found[n++] = row;
	}
	qsort(found, n, sizeof(*found), row_compare);
	for (size_t i = 0; i < n && i < SCAN_MAX; i++) {
		json_array_append_new(
		    rows, json_pack("[ss]", found[i]->key, found[i]->value));
	}
	free(found);
	return rows;
}

static void
scan(store_t *store, struct evhttp_request *req, const json_t *body)
{
	const char *prefix = json_string_value(json_object_get(body, "prefix"));
	const char *after = json_string_value(json_object_get(body, "after"));

	store->reads_total++;
	standin_respond_json(req, 200,
	    json_pack("{s:o}", "rows",
		rows_after(store, prefix ? prefix : "", after ? after : "")));
}

static void
request(fake_t *fake, struct evhttp_request *req)
{
	store_t *store = (store_t *)fake;
	const char *uri = evhttp_request_get_uri(req);
	json_t *body = standin_request_json(req, NULL);

	if (strcmp(uri, "/table/txn") == 0)
		txn(store, req, body);
	else if (strcmp(uri, "/table/get") == 0)
		get(store, req, body);
	else if (strcmp(uri, "/table/scan") == 0)
		scan(store, req, body);
	else if (strcmp(uri, "/usage") == 0)
		standin_respond_json(req, 200,
		    json_pack("{s:I,s:I,s:I}", "writes", store->writes_total,
			"reads", store->reads_total, "rows",
			(json_int_t)HASH_COUNT(store->rows)));
	else
		standin_respond_json(req, 404, json_object());
	json_decref(body);
}

static void
fault(fake_t *fake, const json_t *body)
{
	store_t *store = (store_t *)fake;

	store->lose_replies =
	    fake_json_int(body, "lose_replies", store->lose_replies);
	store->writes_per_s =
	    fake_json_int(body, "writes_per_s", store->writes_per_s);
}

int
main(int argc, const char **argv)
{
	store_t store = {.fake = {.handle_request = request,
			     .handle_fault = fault,
			     .name = "store"}};

	return fake_main(&store.fake, argc, argv);
}
