#include "moortack/replication/feed_wire.h"

#include <stdio.h>
#include <string.h>

char *
feed_question_text(const feed_question_t *question)
{
	json_t *body = json_pack("{s:I, s:s, s:I, s:I, s:[I, I, I]}", "number",
	    (json_int_t)question->number, "name", question->name, "source",
	    (json_int_t)question->from.source, "change",
	    (json_int_t)question->from.change, "versions",
	    (json_int_t)question->from.versions[ROW_TABLE_ORDERS],
	    (json_int_t)question->from.versions[ROW_TABLE_ENDPOINTS],
	    (json_int_t)question->from.versions[ROW_TABLE_OWN]);
	char *text;

	if (body == NULL)
		return NULL;
	if (question->report != NULL)
		json_object_set(body, "report", question->report);
	if (question->below != NULL)
		json_object_set(body, "below", question->below);
	if (question->row != NULL)
		json_object_set(body, "row", question->row);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

char *
feed_answer_text(const feed_answer_t *answer)
{
	json_t *tables = json_array();
	json_t *body;
	char *text;

	for (size_t i = 0; i < ROW_TABLES; i++)
		json_array_append_new(tables,
		    json_pack("[I, I, I, b]",
			(json_int_t)answer->tables[i].version,
			(json_int_t)answer->tables[i].age_ms,
			(json_int_t)answer->tables[i].known,
			(int)answer->tables[i].whole));
	body = json_pack("{s:I, s:I, s:I, s:b, s:I, s:o, s:I, s:I}", "number",
	    (json_int_t)answer->number, "source", (json_int_t)answer->source,
	    "change", (json_int_t)answer->change, "lost", (int)answer->lost,
	    "now_ms", (json_int_t)answer->store_now_ms, "tables", tables,
	    "held_ms", (json_int_t)answer->held_ms, "vouched_ms",
	    (json_int_t)answer->vouched_ms);
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
feed_rows_text(const feed_answer_t *answer)
{
	return json_dumps(answer->rows, JSON_COMPACT);
}

static uint64_t
number_at(const json_t *body, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(body, name));
}

bool
feed_question_read(const char *text, size_t len, feed_question_t *question)
{
	json_t *body = json_loadb(text, len, 0, NULL);
	const char *name = json_string_value(json_object_get(body, "name"));

	*question = (feed_question_t){.number = number_at(body, "number"),
	    .from = {.source = number_at(body, "source"),
		.change = number_at(body, "change")}};
	if (name == NULL || strlen(name) >= sizeof(question->name)) {
		json_decref(body);
		return false;
	}
	strcpy(question->name, name);
	for (size_t i = 0; i < ROW_TABLES; i++)
		question->from.versions[i] = (uint64_t)json_integer_value(
		    json_array_get(json_object_get(body, "versions"), i));
	question->report = json_incref(json_object_get(body, "report"));
	question->below = json_incref(json_object_get(body, "below"));
	question->row = json_incref(json_object_get(body, "row"));
	json_decref(body);
	return true;
}

bool
feed_answer_read(const char *text, size_t len, const char *rows,
    size_t rows_len, feed_answer_t *answer)
{
	json_t *body = json_loadb(text, len, 0, NULL);
	const json_t *tables = json_object_get(body, "tables");

	*answer = (feed_answer_t){.number = number_at(body, "number"),
	    .source = number_at(body, "source"),
	    .change = number_at(body, "change"),
	    .lost = json_is_true(json_object_get(body, "lost")),
	    .leaving = json_is_true(json_object_get(body, "leaving")),
	    .store_now_ms =
		json_integer_value(json_object_get(body, "now_ms"))};
	for (size_t i = 0; i < ROW_TABLES; i++) {
		const json_t *table = json_array_get(tables, i);

		answer->tables[i] = (feed_table_t){
		    .version =
			(uint64_t)json_integer_value(json_array_get(table, 0)),
		    .age_ms = json_integer_value(json_array_get(table, 1)),
		    .known =
			(uint64_t)json_integer_value(json_array_get(table, 2)),
		    .whole = json_is_true(json_array_get(table, 3))};
	}
	answer->rows =
	    rows != NULL ? json_loadb(rows, rows_len, 0, NULL) : json_array();
	answer->path = json_incref(json_object_get(body, "path"));
	answer->held_ms = json_integer_value(json_object_get(body, "held_ms"));
	answer->vouched_ms =
	    json_integer_value(json_object_get(body, "vouched_ms"));
	answer->silent = json_incref(json_object_get(body, "silent"));
	json_decref(body);
	if (json_is_array(answer->rows) && answer->number != 0)
		return true;
	feed_answer_clear(answer);
	return false;
}

void
feed_question_clear(feed_question_t *question)
{
	json_decref(question->report);
	json_decref(question->below);
	json_decref(question->row);
	question->report = NULL;
	question->below = NULL;
	question->row = NULL;
}

void
feed_answer_clear(feed_answer_t *answer)
{
	json_decref(answer->rows);
	json_decref(answer->path);
	json_decref(answer->silent);
	answer->rows = NULL;
	answer->path = NULL;
	answer->silent = NULL;
}

bool
feed_answer_whole(const feed_answer_t *answer)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (answer->tables[i].whole)
			return true;
	}
	return false;
}

bool
feed_answer_through(const feed_answer_t *answer, const char *name)
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
feed_answer_add(feed_answer_t *answer, const cached_row_t *row)
{
	json_t *value = row->value != NULL
	    ? json_stringn(row->value, row->value_len)
	    : json_null();

	json_array_append_new(answer->rows,
	    json_pack("[i, s, I, o]", (int)row->table, cached_row_key(row),
		(json_int_t)row->version, value != NULL ? value : json_null()));
}

bool
feed_answer_row(
    const feed_answer_t *answer, size_t at, row_table_t *table, row_t *row)
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
