#include "moortack/replication/feed_wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool
feed_position_add_summaries(feed_position_t *position)
{
	if (position->summaries == NULL)
		position->summaries =
		    calloc(ROW_TABLES, sizeof(*position->summaries));
	return position->summaries != NULL;
}

void
feed_position_clear(feed_position_t *position)
{
	free(position->summaries);
	position->summaries = NULL;
}

static json_t *
summaries_encode(const row_summary_t *summaries)
{
	json_t *list = json_array();

	for (int i = 0; i < ROW_TABLES; i++)
		json_array_append_new(list,
		    summaries[i].len > 0 ? row_summary_encode(&summaries[i])
					 : json_null());
	return list;
}

static void
summaries_decode(const json_t *list, feed_position_t *position)
{
	if (list == NULL || !feed_position_add_summaries(position))
		return;
	for (size_t i = 0; i < ROW_TABLES; i++)
		row_summary_decode(
		    json_array_get(list, i), &position->summaries[i]);
}

char *
feed_request_encode(const feed_request_t *request)
{
	json_t *body = json_pack("{s:I, s:s, s:I, s:I, s:[I, I, I]}", "number",
	    (json_int_t)request->id, "name", request->name, "source",
	    (json_int_t)request->position.incarnation, "change",
	    (json_int_t)request->position.change, "versions",
	    (json_int_t)request->position.versions[ROW_TABLE_OPERATOR],
	    (json_int_t)request->position.versions[ROW_TABLE_ENDPOINTS],
	    (json_int_t)request->position.versions[ROW_TABLE_SYSTEM]);
	char *text;

	if (body == NULL)
		return NULL;
	if (request->report != NULL)
		json_object_set(body, "report", request->report);
	if (request->subtree != NULL)
		json_object_set(body, "below", request->subtree);
	if (request->row_request != NULL)
		json_object_set(body, "row", request->row_request);
	if (request->uplink != NULL)
		json_object_set(body, "up", request->uplink);
	if (request->position.summaries != NULL)
		json_object_set_new(body, "digests",
		    summaries_encode(request->position.summaries));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

/* @return NULL: full tables have all rows */
static json_t *
sent_buckets_encode(const feed_response_t *response)
{
	json_t *list = NULL;

	for (int i = 0; i < ROW_TABLES; i++) {
		const row_bucket_set_t *sent = &response->tables[i].sent;

		if (sent->len == 0)
			continue;
		if (list == NULL)
			list = json_pack("[n, n, n]");
		json_array_set_new(
		    list, (size_t)i, row_bucket_set_encode(sent));
	}
	return list;
}

/* @return false: it is not known which rows the response has */
static bool
sent_buckets_decode(const json_t *list, feed_response_t *response)
{
	for (size_t i = 0; i < ROW_TABLES; i++) {
		const json_t *buckets = json_array_get(list, i);

		if (buckets != NULL && !json_is_null(buckets) &&
		    !row_bucket_set_decode(buckets, &response->tables[i].sent))
			return false;
	}
	return true;
}

char *
feed_response_encode(const feed_response_t *response)
{
	json_t *tables = json_array();
	json_t *sent = sent_buckets_encode(response);
	json_t *body;
	char *text;

	for (size_t i = 0; i < ROW_TABLES; i++)
		json_array_append_new(tables,
		    json_pack("[I, I, I, b]",
			(json_int_t)response->tables[i].version,
			(json_int_t)response->tables[i].age_ms,
			(json_int_t)response->tables[i].deletions_version,
			(int)response->tables[i].full));
	body = json_pack("{s:I, s:I, s:I, s:b, s:I, s:o, s:I, s:I}", "number",
	    (json_int_t)response->request_id, "source",
	    (json_int_t)response->incarnation, "change",
	    (json_int_t)response->change, "lost",
	    (int)response->store_unavailable, "now_ms",
	    (json_int_t)response->store_now_ms, "tables", tables, "held_ms",
	    (json_int_t)response->held_ms, "vouched_ms",
	    (json_int_t)response->liveness_age_ms);
	if (body != NULL && sent != NULL)
		json_object_set(body, "buckets", sent);
	json_decref(sent);
	if (body != NULL && response->leaving)
		json_object_set_new(body, "leaving", json_true());
	if (body != NULL && response->path != NULL)
		json_object_set(body, "path", response->path);
	if (body != NULL && response->silent != NULL)
		json_object_set(body, "silent", response->silent);
	if (body != NULL && response->downlink != NULL)
		json_object_set(body, "down", response->downlink);
	text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	json_decref(body);
	return text;
}

char *
feed_rows_encode(const feed_response_t *response)
{
	return json_dumps(response->rows, JSON_COMPACT);
}

static uint64_t
number_at(const json_t *body, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(body, name));
}

bool
feed_request_decode(const char *text, size_t len, feed_request_t *request)
{
	json_t *body = json_loadb(text, len, 0, NULL);
	const char *name = json_string_value(json_object_get(body, "name"));

	*request = (feed_request_t){.id = number_at(body, "number"),
	    .position = {.incarnation = number_at(body, "source"),
		.change = number_at(body, "change")}};
	if (name == NULL || strlen(name) >= sizeof(request->name)) {
		json_decref(body);
		return false;
	}
	strcpy(request->name, name);
	for (size_t i = 0; i < ROW_TABLES; i++)
		request->position.versions[i] = (uint64_t)json_integer_value(
		    json_array_get(json_object_get(body, "versions"), i));
	request->report = json_incref(json_object_get(body, "report"));
	request->subtree = json_incref(json_object_get(body, "below"));
	request->row_request = json_incref(json_object_get(body, "row"));
	request->uplink = json_incref(json_object_get(body, "up"));
	summaries_decode(json_object_get(body, "digests"), &request->position);
	json_decref(body);
	return true;
}

bool
feed_response_decode(const char *text, size_t len, const char *rows,
    size_t rows_len, feed_response_t *response)
{
	json_t *body = json_loadb(text, len, 0, NULL);
	const json_t *tables = json_object_get(body, "tables");
	bool valid;

	*response = (feed_response_t){.request_id = number_at(body, "number"),
	    .incarnation = number_at(body, "source"),
	    .change = number_at(body, "change"),
	    .store_unavailable = json_is_true(json_object_get(body, "lost")),
	    .leaving = json_is_true(json_object_get(body, "leaving")),
	    .store_now_ms =
		json_integer_value(json_object_get(body, "now_ms"))};
	for (size_t i = 0; i < ROW_TABLES; i++) {
		const json_t *table = json_array_get(tables, i);

		response->tables[i] = (feed_table_state_t){
		    .version =
			(uint64_t)json_integer_value(json_array_get(table, 0)),
		    .age_ms = json_integer_value(json_array_get(table, 1)),
		    .deletions_version =
			(uint64_t)json_integer_value(json_array_get(table, 2)),
		    .full = json_is_true(json_array_get(table, 3))};
	}
	response->rows =
	    rows != NULL ? json_loadb(rows, rows_len, 0, NULL) : json_array();
	response->path = json_incref(json_object_get(body, "path"));
	response->held_ms =
	    json_integer_value(json_object_get(body, "held_ms"));
	response->liveness_age_ms =
	    json_integer_value(json_object_get(body, "vouched_ms"));
	response->silent = json_incref(json_object_get(body, "silent"));
	response->downlink = json_incref(json_object_get(body, "down"));
	valid = sent_buckets_decode(json_object_get(body, "buckets"), response);
	json_decref(body);
	if (valid && json_is_array(response->rows) && response->request_id != 0)
		return true;
	feed_response_clear(response);
	return false;
}

void
feed_request_clear(feed_request_t *request)
{
	json_decref(request->report);
	json_decref(request->subtree);
	json_decref(request->row_request);
	json_decref(request->uplink);
	feed_position_clear(&request->position);
	request->report = NULL;
	request->subtree = NULL;
	request->row_request = NULL;
	request->uplink = NULL;
}

void
feed_response_clear(feed_response_t *response)
{
	json_decref(response->rows);
	json_decref(response->path);
	json_decref(response->silent);
	json_decref(response->downlink);
	response->rows = NULL;
	response->path = NULL;
	response->silent = NULL;
	response->downlink = NULL;
}

bool
feed_response_has_full_table(const feed_response_t *response)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (response->tables[i].full)
			return true;
	}
	return false;
}

bool
feed_response_is_summarized(const feed_response_t *response)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (response->tables[i].full &&
		    response->tables[i].sent.len > 0)
			return true;
	}
	return false;
}

bool
feed_response_path_contains(const feed_response_t *response, const char *name)
{
	const json_t *name_json;
	size_t i;

	json_array_foreach(response->path, i, name_json)
	{
		if (json_is_string(name_json) &&
		    strcmp(json_string_value(name_json), name) == 0)
			return true;
	}
	return false;
}

void
feed_response_add_row(feed_response_t *response, const cached_row_t *row)
{
	json_t *value = row->value != NULL
	    ? json_stringn(row->value, row->value_len)
	    : json_null();

	json_array_append_new(response->rows,
	    json_pack("[i, s, I, o]", (int)row->table, cached_row_key(row),
		(json_int_t)row->version, value != NULL ? value : json_null()));
}

bool
feed_response_row(const feed_response_t *response, size_t index,
    row_table_t *table, row_t *row)
{
	const json_t *fields = json_array_get(response->rows, index);
	const json_t *value = json_array_get(fields, 3);
	json_int_t table_number = json_integer_value(json_array_get(fields, 0));

	*row = (row_t){.key = json_string_value(json_array_get(fields, 1)),
	    .value = json_string_value(value),
	    .value_len = json_string_length(value),
	    .version = (uint64_t)json_integer_value(json_array_get(fields, 2))};
	row->deleted = row->value == NULL;
	if (row->key == NULL || table_number < 0 || table_number >= ROW_TABLES)
		return false;
	*table = (row_table_t)table_number;
	return true;
}
