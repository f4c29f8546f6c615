#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "common/http_request.h"
#include "front_priv.h"

static const char bearer_prefix[] = "Bearer ";

/* Hash the request's bearer key. Returns false when it has none. */
static bool
bearer_key_hash(http_request_t *req, char out[CONFIG_KEY_HASH_SIZE])
{
	const char *header = http_request_header(req, "Authorization");

	if (header == NULL ||
	    strncmp(header, bearer_prefix, sizeof(bearer_prefix) - 1) != 0)
		return false;
	api_key_hash(header + sizeof(bearer_prefix) - 1, out);
	return true;
}

handle_t
auth_organisation(const front_t *front, http_request_t *req)
{
	char hash[CONFIG_KEY_HASH_SIZE];

	if (!bearer_key_hash(req, hash))
		return HANDLE_NONE;
	return config_organisation_find_by_key(front->config, hash);
}

const operator_row_t *
auth_operator(const front_t *front, http_request_t *req)
{
	char hash[CONFIG_KEY_HASH_SIZE];

	if (!bearer_key_hash(req, hash))
		return NULL;
	for (handle_t h = 0; h < front->operators.len; h++) {
		const operator_row_t *row = table_at(&front->operators, h);

		if (sodium_memcmp(
			row->key_hash, hash, CONFIG_KEY_HASH_SIZE - 1) == 0)
			return row;
	}
	return NULL;
}

static bool
kind_allowed(const operator_row_t *row, const char *kind)
{
	const char *kinds = row->kinds;
	size_t len = strlen(kind);

	if (strcmp(kinds, "*") == 0)
		return true;
	while (*kinds != '\0') {
		size_t word = strcspn(kinds, "+");

		if (word == len && strncmp(kinds, kind, len) == 0)
			return true;
		kinds += word + (kinds[word] == '+');
	}
	return false;
}

bool
operator_is_allowed(const operator_row_t *row, const json_t *intent, err_t *err)
{
	json_t *change;
	size_t i;

	json_array_foreach(json_object_get(intent, "changes"), i, change)
	{
		const char *kind =
		    json_string_value(json_object_get(change, "set"));

		if (kind == NULL)
			kind = json_string_value(
			    json_object_get(change, "remove"));
		if (kind != NULL && !kind_allowed(row, kind))
			return err_set(err, ERR_FORBIDDEN,
			    "the key of %s may not change a %.32s", row->name,
			    kind);
	}
	return true;
}

/* Parse NAME:HASH:KINDS. */
static bool
operator_parse(operator_row_t *row, const char *text, size_t len)
{
	char copy[SETTING_TEXT_SIZE];
	char *hash;
	char *kinds;

	snprintf(copy, sizeof(copy), "%.*s", (int)len, text);
	hash = strchr(copy, ':');
	if (hash == NULL)
		return false;
	*hash++ = '\0';
	kinds = strchr(hash, ':');
	if (kinds == NULL)
		return false;
	*kinds++ = '\0';
	if (*copy == '\0' || strlen(copy) >= sizeof(row->name) ||
	    strlen(hash) != CONFIG_KEY_HASH_SIZE - 1 || *kinds == '\0' ||
	    strlen(kinds) >= sizeof(row->kinds))
		return false;
	snprintf(row->name, sizeof(row->name), "%.47s", copy);
	snprintf(row->key_hash, sizeof(row->key_hash), "%.64s", hash);
	snprintf(row->kinds, sizeof(row->kinds), "%.47s", kinds);
	return true;
}

bool
operators_parse(table_t *operators, const char *text, err_t *err)
{
	while (*text != '\0') {
		size_t len = strcspn(text, ",");
		operator_row_t *row = table_add(operators);

		if (row == NULL || !operator_parse(row, text, len))
			return err_set(err, ERR_SETTING,
			    "operators: expected NAME:KEYHASH:KINDS joined by "
			    "',', with KINDS '*' or kinds joined by '+'");
		text += len + (text[len] == ',');
	}
	return true;
}
