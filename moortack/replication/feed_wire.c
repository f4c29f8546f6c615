#include "moortack/replication/feed_wire.h"

#include <stdio.h>
#include <string.h>

char *
feed_request_encode(const feed_request_t *question)
{
	json_t *body = json_pack("{s:I, s:s, s:I, s:I, s:[I, I, I]}", "number",
	    (json_int_t)question->id, "name", question->name, "source",
	    (json_int_t)question->position.incarnation, "change",
	    (json_int_t)question->position.change, "versions",
	    (json_int_t)question->position.versions[ROW_TABLE_OPERATOR],
	    (json_int_t)question->position.versions[ROW_TABLE_ENDPOINTS],
	    (json_int_t)question->position.versions[ROW_TABLE_SYSTEM]);
	char *text;

	if (body == NULL)
		return NULL;
	if (question->report != NULL)
		json_object_set(body, "report", question->report);
	if (question->subtree != NULL)
		json_object_set(body, "below", question->subtree);
	if (question->row_request != NULL)
		json_object_set(body, "row", question->row_request);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

char *
feed_response_encode(const feed_response_t *answer)
{
	json_t *tables = json_array();
	json_t *body;
	char *text;

	for (size_t i = 0; i < ROW_TABLES; i++)
		json_array_append_new(tables,
		    json_pack("[I, I, I, b]",
			(json_int_t)answer->tables[i].version,
			(json_int_t)answer->tables[i].age_ms,
			(json_int_t)answer->tables[i].deletions_version,
			(int)answer->tables[i].full));
	body = json_pack("{s:I, s:I, s:I, s:b, s:I, s:o, s:I, s:I}", "number",
	    (json_int_t)answer->request_id, "source",
	    (json_int_t)answer->incarnation, "change",
	    (json_int_t)answer->change, "lost", (int)answer->store_unavailable,
	    "now_ms", (json_int_t)answer->store_now_ms, "tables", tables,
	    "held_ms", (json_int_t)answer->held_ms, "vouched_ms",
	    (json_int_t)answer->liveness_age_ms);
	if (body != NULL && answer->leaving)
		json_object_set_new(body, "leaving", json_true());
	if (body != NULL && answer->path != NULL)
		json_object_set(body, "path", answer->path);
	if (body != NULL && answer->silent != NULL)
		json_object_set(body, "silent", answer->silent);
	text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	json_decref(body);
	return text;
}

char *
feed_rows_encode(const feed_response_t *answer)
{
	return json_dumps(answer->rows, JSON_COMPACT);
}

static uint64_t
number_at(const json_t *body, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(body, name));
}

bool
feed_request_decode(const char *text, size_t len, feed_request_t *question)
{
	json_t *body = json_loadb(text, len, 0, NULL);
	const char *name = json_string_value(json_object_get(body, "name"));

	*question = (feed_request_t){.id = number_at(body, "number"),
	    .position = {.incarnation = number_at(body, "source"),
		.change = number_at(body, "change")}};
	if (name == NULL || strlen(name) >= sizeof(question->name)) {
		json_decref(body);
		return false;
	}
	strcpy(question->name, name);
	for (size_t i = 0; i < ROW_TABLES; i++)
		question->position.versions[i] = (uint64_t)json_integer_value(
		    json_array_get(json_object_get(body, "versions"), i));
	question->report = json_incref(json_object_get(body, "report"));
	question->subtree = json_incref(json_object_get(body, "below"));
	question->row_request = json_incref(json_object_get(body, "row"));
	json_decref(body);
	return true;
}

bool
feed_response_decode(const char *text, size_t len, const char *rows,
    size_t rows_len, feed_response_t *answer)
{
	json_t *body = json_loadb(text, len, 0, NULL);
	const json_t *tables = json_object_get(body, "tables");

	*answer = (feed_response_t){.request_id = number_at(body, "number"),
	    .incarnation = number_at(body, "source"),
	    .change = number_at(body, "change"),
	    .store_unavailable = json_is_true(json_object_get(body, "lost")),
	    .leaving = json_is_true(json_object_get(body, "leaving")),
	    .store_now_ms =
		json_integer_value(json_object_get(body, "now_ms"))};
	for (size_t i = 0; i < ROW_TABLES; i++) {
		const json_t *table = json_array_get(tables, i);

		answer->tables[i] = (feed_table_state_t){
		    .version =
			(uint64_t)json_integer_value(json_array_get(table, 0)),
		    .age_ms = json_integer_value(json_array_get(table, 1)),
		    .deletions_version =
			(uint64_t)json_integer_value(json_array_get(table, 2)),
		    .full = json_is_true(json_array_get(table, 3))};
	}
	answer->rows =
	    rows != NULL ? json_loadb(rows, rows_len, 0, NULL) : json_array();
	answer->path = json_incref(json_object_get(body, "path"));
	answer->held_ms = json_integer_value(json_object_get(body, "held_ms"));
	answer->liveness_age_ms =
	    json_integer_value(json_object_get(body, "vouched_ms"));
	answer->silent = json_incref(json_object_get(body, "silent"));
	json_decref(body);
	if (json_is_array(answer->rows) && answer->request_id != 0)
		return true;
	feed_response_clear(answer);
	return false;
}

void
feed_request_clear(feed_request_t *question)
{
	json_decref(question->report);
	json_decref(question->subtree);
	json_decref(question->row_request);
	question->report = NULL;
	question->subtree = NULL;
	question->row_request = NULL;
}

void
feed_response_clear(feed_response_t *answer)
{
	json_decref(answer->rows);
	json_decref(answer->path);
	json_decref(answer->silent);
	answer->rows = NULL;
	answer->path = NULL;
	answer->silent = NULL;
}

bool
feed_response_has_full_table(const feed_response_t *answer)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (answer->tables[i].full)
			return true;
	}
	return false;
}

bool
feed_response_path_contains(const feed_response_t *answer, const char *name)
{
	const json_t *one;
	size_t i;

	json_array_foreach(answer->path, i, one)
	{
		if (json_is_string(one) &&
		    strcmp(json_string_value(one), name) == 0)
			return true;
	}
	return false;
}

void
feed_response_add_row(feed_response_t *answer, const cached_row_t *row)
{
	json_t *value = row->value != NULL
	    ? json_stringn(row->value, row->value_len)
	    : json_null();

	json_array_append_new(answer->rows,
	    json_pack("[i, s, I, o]", (int)row->table, cached_row_key(row),
		(json_int_t)row->version, value != NULL ? value : json_null()));
}

bool
feed_response_row(
    const feed_response_t *answer, size_t at, row_table_t *table, row_t *row)
{
	const json_t *list = json_array_get(answer->rows, at);
	const json_t *value = json_array_get(list, 3);
	json_int_t number = json_integer_value(json_array_get(list, 0));

	*row = (row_t){.key = json_string_value(json_array_get(list, 1)),
	    .value = json_string_value(value),
	    .value_len = json_string_length(value),
	    .version = (uint64_t)json_integer_value(json_array_get(list, 2))};
	row->deleted = row->value == NULL;
	if (row->key == NULL || number < 0 || number >= ROW_TABLES)
		return false;
	*table = (row_table_t)number;
	return true;
}
