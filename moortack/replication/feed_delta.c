#include "moortack/replication/feed_delta.h"

#include <sodium.h>
#include <stdlib.h>

#include "moortack/replication/value_delta.h"

#define ENCODING sodium_base64_VARIANT_ORIGINAL_NO_PADDING
/* A delta that is no shorter than this part of the value isn't worth the time
 * of the processor that it costs the asker. */
#define WORTH_PART 4
/* Of a row that is told as a delta: table, key, version, the version that it
 * was made from, and its bytes. Other rows have four elements. */
#define DELTA_ELEMENTS 5

static char *
bytes_text(const feed_bytes_t *bytes)
{
	size_t room = sodium_base64_encoded_len(bytes->len, ENCODING);
	char *text = malloc(room);

	if (text != NULL)
		sodium_bin2base64(text, room,
		    (const unsigned char *)bytes->data, bytes->len, ENCODING);
	return text;
}

static bool
text_bytes(const json_t *text, feed_bytes_t *bytes)
{
	size_t len = json_string_length(text);

	if (!json_is_string(text))
		return false;
	bytes->data = malloc(len + 1);
	if (bytes->data == NULL)
		return false;
	if (sodium_base642bin((unsigned char *)bytes->data, len,
		json_string_value(text), len, NULL, &bytes->len, NULL,
		ENCODING) == 0)
		return true;
	free(bytes->data);
	return false;
}

static bool
delta_append(feed_response_t *answer, const cached_row_t *row,
    const row_prior_value_t *prior, const feed_bytes_t *delta)
{
	char *text = bytes_text(delta);
	json_t *told;

	if (text == NULL)
		return false;
	told =
	    json_pack("[i, s, I, I, s]", (int)row->table, cached_row_key(row),
		(json_int_t)row->version, (json_int_t)prior->version, text);
	free(text);
	return told != NULL && json_array_append_new(answer->rows, told) == 0;
}

static bool
as_delta(feed_response_t *answer, const cached_row_t *row, uint64_t since)
{
	const row_prior_value_t *prior = row_cache_prior_value(row, since);
	feed_bytes_t delta = {0};
	bool added;

	if (prior == NULL || row->value == NULL ||
	    !value_delta_make(prior->value, prior->value_len, row->value,
		row->value_len, &delta))
		return false;
	added = delta.len * WORTH_PART < row->value_len &&
	    delta_append(answer, row, prior, &delta);
	free(delta.data);
	return added;
}

void
feed_delta_add_row(
    feed_response_t *answer, const cached_row_t *row, uint64_t since)
{
	if (!as_delta(answer, row, since))
		feed_response_add_row(answer, row);
}

static uint64_t
version_at(const json_t *told, size_t at)
{
	return (uint64_t)json_integer_value(json_array_get(told, at));
}

static const cached_row_t *
known_row(const json_t *told, const row_cache_t *cache)
{
	json_int_t table = json_integer_value(json_array_get(told, 0));
	const char *key = json_string_value(json_array_get(told, 1));

	if (table < 0 || table >= ROW_TABLES || key == NULL)
		return NULL;
	return row_cache_find(cache, (row_table_t)table, key);
}

static json_t *
value_json(const char *value, size_t len)
{
	return value != NULL ? json_stringn(value, len) : json_null();
}

/* The value that a delta makes of the asker's, or NULL. */
static json_t *
value_made(const json_t *told, const cached_row_t *base)
{
	feed_bytes_t delta, value;
	json_t *made = NULL;

	if (base->value == NULL || base->version != version_at(told, 3) ||
	    !text_bytes(json_array_get(told, 4), &delta))
		return NULL;
	if (value_delta_apply(
		base->value, base->value_len, delta.data, delta.len, &value)) {
		made = value_json(value.data, value.len);
		free(value.data);
	}
	free(delta.data);
	return made;
}

static bool
resolve(json_t *told, const row_cache_t *cache)
{
	const cached_row_t *known = known_row(told, cache);
	json_t *value;

	if (known == NULL)
		return false;
	/* What the asker has read elsewhere meanwhile is as new. */
	value = known->version >= version_at(told, 2)
	    ? value_json(known->value, known->value_len)
	    : value_made(told, known);
	return value != NULL && json_array_remove(told, 4) == 0 &&
	    json_array_set_new(told, 3, value) == 0;
}

bool
feed_delta_resolve(feed_response_t *answer, const row_cache_t *cache)
{
	json_t *told;
	size_t i;

	json_array_foreach(answer->rows, i, told)
	{
		if (json_array_size(told) == DELTA_ELEMENTS &&
		    !resolve(told, cache))
			return false;
	}
	return true;
}
