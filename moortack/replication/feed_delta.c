#include "moortack/replication/feed_delta.h"

#include <sodium.h>
#include <stdlib.h>

#include "moortack/replication/value_delta.h"

#define BASE64_VARIANT sodium_base64_VARIANT_ORIGINAL_NO_PADDING
/* A delta has to be shorter than the value divided by this, to be worth the
 * processor time that it costs the requester. */
#define MIN_SAVING_FACTOR 4
/* Elements of a row that is sent as a delta: table, key, version, version of
 * the value that it was made from, and its bytes. Other rows have four. */
#define DELTA_ELEMENTS 5

static char *
base64_encode(const feed_bytes_t *bytes)
{
	size_t size = sodium_base64_encoded_len(bytes->len, BASE64_VARIANT);
	char *text = malloc(size);

	if (text != NULL)
		sodium_bin2base64(text, size,
		    (const unsigned char *)bytes->data, bytes->len,
		    BASE64_VARIANT);
	return text;
}

static bool
base64_decode(const json_t *text, feed_bytes_t *bytes)
{
	size_t len = json_string_length(text);

	if (!json_is_string(text))
		return false;
	bytes->data = malloc(len + 1);
	if (bytes->data == NULL)
		return false;
	if (sodium_base642bin((unsigned char *)bytes->data, len,
		json_string_value(text), len, NULL, &bytes->len, NULL,
		BASE64_VARIANT) == 0)
		return true;
	free(bytes->data);
	return false;
}

static bool
delta_append(feed_response_t *response, const cached_row_t *row,
    const row_prior_value_t *prior, const feed_bytes_t *delta)
{
	char *text = base64_encode(delta);
	json_t *row_json;

	if (text == NULL)
		return false;
	row_json =
	    json_pack("[i, s, I, I, s]", (int)row->table, cached_row_key(row),
		(json_int_t)row->version, (json_int_t)prior->version, text);
	free(text);
	return row_json != NULL &&
	    json_array_append_new(response->rows, row_json) == 0;
}

static bool
delta_add(feed_response_t *response, const cached_row_t *row, uint64_t since)
{
	const row_prior_value_t *prior = row_cache_prior_value(row, since);
	feed_bytes_t delta = {0};
	bool added;

	if (prior == NULL || row->value == NULL ||
	    !value_delta_make(prior->value, prior->value_len, row->value,
		row->value_len, &delta))
		return false;
	added = delta.len * MIN_SAVING_FACTOR < row->value_len &&
	    delta_append(response, row, prior, &delta);
	free(delta.data);
	return added;
}

void
feed_delta_add_row(
    feed_response_t *response, const cached_row_t *row, uint64_t since)
{
	if (!delta_add(response, row, since))
		feed_response_add_row(response, row);
}

static uint64_t
version_at(const json_t *row_json, size_t index)
{
	return (uint64_t)json_integer_value(json_array_get(row_json, index));
}

static const cached_row_t *
cached_row_of(const json_t *row_json, const row_cache_t *cache)
{
	json_int_t table = json_integer_value(json_array_get(row_json, 0));
	const char *key = json_string_value(json_array_get(row_json, 1));

	if (table < 0 || table >= ROW_TABLES || key == NULL)
		return NULL;
	return row_cache_find(cache, (row_table_t)table, key);
}

static json_t *
value_json(const char *value, size_t len)
{
	return value != NULL ? json_stringn(value, len) : json_null();
}

/* Restores a row's value from its delta and the requester's value; NULL if they
 * do not fit. */
static json_t *
value_restore(const json_t *row_json, const cached_row_t *base)
{
	feed_bytes_t delta, value;
	json_t *restored = NULL;

	if (base->value == NULL || base->version != version_at(row_json, 3) ||
	    !base64_decode(json_array_get(row_json, 4), &delta))
		return NULL;
	if (value_delta_apply(
		base->value, base->value_len, delta.data, delta.len, &value)) {
		restored = value_json(value.data, value.len);
		free(value.data);
	}
	free(delta.data);
	return restored;
}

static bool
row_resolve(json_t *row_json, const row_cache_t *cache)
{
	const cached_row_t *cached = cached_row_of(row_json, cache);
	json_t *value;

	if (cached == NULL)
		return false;
	/* The requester has read a value from elsewhere that is as new, or
	 * newer. */
	value = cached->version >= version_at(row_json, 2)
	    ? value_json(cached->value, cached->value_len)
	    : value_restore(row_json, cached);
	return value != NULL && json_array_remove(row_json, 4) == 0 &&
	    json_array_set_new(row_json, 3, value) == 0;
}

bool
feed_delta_resolve(feed_response_t *response, const row_cache_t *cache)
{
	json_t *row_json;
	size_t i;

	json_array_foreach(response->rows, i, row_json)
	{
		if (json_array_size(row_json) == DELTA_ELEMENTS &&
		    !row_resolve(row_json, cache))
			return false;
	}
	return true;
}
