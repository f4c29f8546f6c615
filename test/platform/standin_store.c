/**
 * @file
 * A fake of the platform's store: rows in tables with versions from one
 * counter, a feed by long polling, and conditional transactions.
 *
 * GET /calls returns the number of calls by path and table. Faults: "down";
 * "forget" drops the history up to now; "page" is the most rows in a response
 * to a read; "save" copies the rows, "restore" goes back to the copy: later
 * changes are lost, their versions are assigned again, and the era in all
 * responses rises by one.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "standin/fake.h"
#include "standin/http_server.h"

#define KEY_SIZE 256
/* The most rows in a response to a read, unless the fault "page" is set. */
#define PAGE 500

/** A row, or the tombstone of one that was removed. */
typedef struct row {
	char name[KEY_SIZE]; /**< table and key, with a space between */
	char *value;	     /**< base64; NULL: removed */
	uint64_t version;
	UT_hash_handle hh;
} row_t;

/** A poll of the feed that waits for a change. */
typedef struct poll {
	struct evhttp_request *req;
	char table[KEY_SIZE];
	uint64_t after;
	struct timespec until;
	struct poll *next;
} poll_t;

typedef struct store {
	fake_t fake;
	size_t page; /**< the most rows in a response to a read */
	row_t *rows;
	uint64_t version;
	poll_t *polls;
	uint64_t forgotten; /**< the history up to this version was dropped */
	json_t *calls;	    /**< number of calls by path and table */
	int64_t era;
	row_t *saved; /**< copy of the rows */
	uint64_t saved_version;
} store_t;

static store_t store;

static row_t *
row_find(const char *table, const char *key, bool add)
{
	char name[KEY_SIZE];
	row_t *row;

	snprintf(name, sizeof(name), "%s %s", table, key);
	HASH_FIND_STR(store.rows, name, row);
	if (row != NULL || !add)
		return row;
	row = calloc(1, sizeof(*row));
	strcpy(row->name, name);
	HASH_ADD_STR(store.rows, name, row);
	return row;
}

static bool
row_in(const row_t *row, const char *table)
{
	size_t len = strlen(table);

	return strncmp(row->name, table, len) == 0 && row->name[len] == ' ';
}

static void
era_header_add(struct evhttp_request *req)
{
	char text[32];

	if (store.era == 0)
		return;
	snprintf(text, sizeof(text), "%" PRId64, store.era);
	standin_response_add_header(req, "Store-Era", text);
}

static json_t *
row_json(const row_t *row, const char *table)
{
	json_t *json = json_pack("{s:s, s:s, s:I}", "table", table, "key",
	    row->name + strlen(table) + 1, "row_version",
	    (json_int_t)row->version);

	if (row->value != NULL)
		json_object_set_new(json, "value", json_string(row->value));
	else
		json_object_set_new(json, "deleted", json_true());
	return json;
}

static int
row_compare(const row_t *a, const row_t *b)
{
	return strcmp(a->name, b->name);
}

/** The rows that a request reads. */
typedef struct range {
	const char *table;
	const char *from; /**< key of the first one */
	uint64_t after;	  /**< only rows of a higher version */
	size_t limit;
	bool deleted; /**< tombstones too */
} range_t;

static bool
row_in_range(const row_t *row, const range_t *range)
{
	return row_in(row, range->table) && row->version > range->after &&
	    strcmp(row->name + strlen(range->table) + 1, range->from) >= 0 &&
	    (range->deleted || row->value != NULL);
}

static void
rows_respond(struct evhttp_request *req, const range_t *range)
{
	json_t *rows = json_array();
	bool more = false;

	HASH_SORT(store.rows, row_compare);
	for (const row_t *row = store.rows; row != NULL; row = row->hh.next) {
		if (!row_in_range(row, range))
			continue;
		more = json_array_size(rows) == range->limit;
		if (more)
			break;
		json_array_append_new(rows, row_json(row, range->table));
	}
	era_header_add(req);
	standin_respond_json(req, 200,
	    json_pack("{s:o, s:b, s:I, s:I}", "rows", rows, "has_more", more,
		"row_version", (json_int_t)store.version, "now_ms",
		(json_int_t)timespec_to_ms(clock_boottime(&store.fake.clock))));
}

static void
changes_respond(struct evhttp_request *req, const char *table, uint64_t after)
{
	const range_t range = {.table = table,
	    .from = "",
	    .after = after,
	    .limit = SIZE_MAX,
	    .deleted = true};

	rows_respond(req, &range);
}

static bool
changed_since(const char *table, uint64_t after)
{
	for (const row_t *row = store.rows; row != NULL; row = row->hh.next) {
		if (row_in(row, table) && row->version > after)
			return true;
	}
	return false;
}

/* The caller closed the connection; libevent frees the request with it. */
static void
poll_closed(struct evhttp_connection *conn, void *arg)
{
	(void)conn;
	for (poll_t **at = &store.polls; *at != NULL; at = &(*at)->next) {
		if (*at != arg)
			continue;
		*at = (*at)->next;
		free(arg);
		return;
	}
}

/* Remove a waiting poll from the list, to respond to it. */
static struct evhttp_request *
poll_remove(poll_t **at)
{
	poll_t *poll = *at;
	struct evhttp_request *req = poll->req;

	*at = poll->next;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), NULL, NULL);
	return req;
}

static void
polls_respond(struct fake *fake)
{
	struct timespec now = clock_boottime(&fake->clock);
	poll_t **at = &store.polls;

	while (*at != NULL) {
		poll_t *poll = *at;

		if (!changed_since(poll->table, poll->after) &&
		    timespec_ms_between(now, poll->until) > 0) {
			at = &poll->next;
			continue;
		}
		changes_respond(poll_remove(at), poll->table, poll->after);
		free(poll);
	}
}

static void
feed(struct evhttp_request *req, const char *table)
{
	char text[KEY_SIZE] = "0";
	poll_t *poll;

	standin_request_query_param(req, "after", text, sizeof(text));
	if (strtoull(text, NULL, 10) < store.forgotten ||
	    strtoull(text, NULL, 10) > store.version) {
		era_header_add(req);
		evhttp_send_reply(req, 410, NULL, NULL);
		return;
	}
	poll = calloc(1, sizeof(*poll));
	poll->req = req;
	strcpy(poll->table, table);
	poll->after = strtoull(text, NULL, 10);
	strcpy(text, "0");
	standin_request_query_param(req, "wait_ms", text, sizeof(text));
	poll->until = timespec_add_ms(
	    clock_boottime(&store.fake.clock), strtoll(text, NULL, 10));
	poll->next = store.polls;
	store.polls = poll;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), poll_closed, poll);
	bufferevent_enable(evhttp_connection_get_bufferevent(
			       evhttp_request_get_connection(req)),
	    EV_READ);
	polls_respond(&store.fake);
}

static const char *
text_get(const json_t *row, const char *name)
{
	const char *text = json_string_value(json_object_get(row, name));

	return text != NULL ? text : "";
}

static bool
expectations_hold(const json_t *list)
{
	size_t i;
	const json_t *expected;

	json_array_foreach(list, i, expected)
	{
		const row_t *row = row_find(text_get(expected, "table"),
		    text_get(expected, "key"), false);
		uint64_t version =
		    row != NULL && row->value != NULL ? row->version : 0;

		if (version !=
		    (uint64_t)json_integer_value(
			json_object_get(expected, "row_version")))
			return false;
	}
	return true;
}

static void
changes_apply(const json_t *list, bool removal)
{
	size_t i;
	const json_t *change;

	json_array_foreach(list, i, change)
	{
		row_t *row = row_find(
		    text_get(change, "table"), text_get(change, "key"), true);

		free(row->value);
		row->value = removal ? NULL : strdup(text_get(change, "value"));
		row->version = store.version;
	}
}

static void
transaction(struct evhttp_request *req)
{
	json_t *body = standin_request_json(req, NULL);
	bool holds = expectations_hold(json_object_get(body, "expected"));

	if (holds) {
		store.version++;
		changes_apply(json_object_get(body, "write"), false);
		changes_apply(json_object_get(body, "remove"), true);
	}
	era_header_add(req);
	standin_respond_json(req, holds ? 200 : 412,
	    json_pack("{s:I, s:I}", "row_version", (json_int_t)store.version,
		"now_ms",
		(json_int_t)timespec_to_ms(clock_boottime(&store.fake.clock))));
	json_decref(body);
	polls_respond(&store.fake);
}

static void
call_count(const char *path, const char *table)
{
	char name[KEY_SIZE + KEY_SIZE];
	json_int_t count;

	snprintf(name, sizeof(name), "%s %s", path, table);
	count = json_integer_value(json_object_get(store.calls, name));
	json_object_set_new(store.calls, name, json_integer(count + 1));
}

static void
table_respond(struct evhttp_request *req, const char *table)
{
	char from[KEY_SIZE] = "";
	const range_t range = {
	    .table = table, .from = from, .limit = store.page};

	standin_request_query_param(req, "from", from, sizeof(from));
	rows_respond(req, &range);
}

static void
serve(struct fake *fake, struct evhttp_request *req)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	char table[KEY_SIZE] = "";

	(void)fake;
	standin_request_query_param(req, "table", table, sizeof(table));
	if (strcmp(path, "/calls") == 0) {
		standin_respond_json(req, 200, json_deep_copy(store.calls));
		return;
	}
	call_count(path, table);
	if (strcmp(path, "/-/rows-tx") == 0)
		transaction(req);
	else if (strcmp(path, "/-/rows-get") == 0)
		table_respond(req, table);
	else if (strcmp(path, "/-/rows-feed") == 0)
		feed(req, table);
	else
		evhttp_send_reply(req, 404, NULL, NULL);
}

static void
rows_free(row_t **rows)
{
	row_t *row, *next;

	HASH_ITER(hh, *rows, row, next)
	{
		HASH_DEL(*rows, row);
		free(row->value);
		free(row);
	}
}

static row_t *
rows_copy(const row_t *rows)
{
	row_t *copies = NULL;

	for (const row_t *row = rows; row != NULL; row = row->hh.next) {
		row_t *copy = calloc(1, sizeof(*copy));

		strcpy(copy->name, row->name);
		copy->value = row->value != NULL ? strdup(row->value) : NULL;
		copy->version = row->version;
		HASH_ADD_STR(copies, name, copy);
	}
	return copies;
}

static void
polls_expire(void)
{
	while (store.polls != NULL) {
		poll_t *poll = store.polls;
		struct evhttp_request *req = poll_remove(&store.polls);

		era_header_add(req);
		evhttp_send_reply(req, 410, NULL, NULL);
		free(poll);
	}
}

static void
restore(void)
{
	rows_free(&store.rows);
	store.rows = rows_copy(store.saved);
	store.version = store.saved_version;
	store.era++;
	polls_expire();
}

static void
fault(struct fake *fake, const json_t *faults)
{
	(void)fake;
	store.page = (size_t)fake_json_int(faults, "page", PAGE);
	if (json_is_true(json_object_get(faults, "save"))) {
		rows_free(&store.saved);
		store.saved = rows_copy(store.rows);
		store.saved_version = store.version;
	}
	if (json_is_true(json_object_get(faults, "restore")))
		restore();
	if (json_is_true(json_object_get(faults, "forget"))) {
		store.forgotten = ++store.version;
		polls_expire();
	}
}

int
main(int argc, const char **argv)
{
	store.version = 1;
	store.page = PAGE;
	store.calls = json_object();
	store.fake.handle_request = serve;
	store.fake.handle_fault = fault;
	store.fake.sample = polls_respond;
	store.fake.sample_ms = 20;
	store.fake.name = "standin-platform-store";
	return fake_main(&store.fake, argc, argv);
}
