#include <jansson.h>
#include <string.h>

#include "moortack/duty/duty_lease.h"

static json_t *
past_encode(const duty_lease_row_t *row)
{
	json_t *past = json_array();

	for (size_t i = 0; i < row->past_len; i++)
		json_array_append_new(past,
		    json_pack("[s, I]", row->past[i].vm,
			(json_int_t)row->past[i].until_ms));
	return past;
}

char *
duty_lease_row_encode(const duty_lease_row_t *row)
{
	json_t *body = json_pack("{s:s, s:I, s:I, s:I, s:I, s:o}", "vm",
	    row->vm, "process", (json_int_t)row->process, "token",
	    (json_int_t)row->token, "until_ms", (json_int_t)row->until_ms,
	    "progress", (json_int_t)row->progress, "past", past_encode(row));
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;

	json_decref(body);
	return text;
}

/* @param out DUTY_VM_NAME_SIZE bytes */
static bool
vm_decode(const json_t *value, char *out)
{
	const char *text = json_string_value(value);

	if (text == NULL || strlen(text) >= DUTY_VM_NAME_SIZE)
		return false;
	strcpy(out, text);
	return true;
}

static bool
past_decode(const json_t *past, duty_lease_row_t *row)
{
	size_t i;
	const json_t *entry;

	if (!json_is_array(past) || json_array_size(past) > DUTY_PAST_MAX)
		return false;
	json_array_foreach(past, i, entry)
	{
		const json_t *until_ms = json_array_get(entry, 1);

		if (!json_is_integer(until_ms) ||
		    !vm_decode(json_array_get(entry, 0), row->past[i].vm))
			return false;
		row->past[i].until_ms = json_integer_value(until_ms);
		row->past_len++;
	}
	return true;
}

static bool
number_decode(const json_t *body, const char *name, int64_t *out, err_t *err)
{
	const json_t *value = json_object_get(body, name);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return err_set(err, ERR_BAD_REQUEST,
		    "%s is missing, negative or not an integer", name);
	*out = json_integer_value(value);
	return true;
}

static bool
body_decode(const json_t *body, duty_lease_row_t *row, err_t *err)
{
	int64_t process, token;

	if (!json_is_object(body))
		return err_set(
		    err, ERR_UNREADABLE, "the lease is not a JSON object");
	if (!vm_decode(json_object_get(body, "vm"), row->vm))
		return err_set(err, ERR_BAD_REQUEST,
		    "vm is missing, not a string or too long");
	if (!number_decode(body, "process", &process, err) ||
	    !number_decode(body, "token", &token, err) ||
	    !number_decode(body, "until_ms", &row->until_ms, err) ||
	    !number_decode(body, "progress", &row->progress, err))
		return false;
	if (!past_decode(json_object_get(body, "past"), row))
		return err_set(
		    err, ERR_BAD_REQUEST, "past is missing or malformed");
	row->process = (uint64_t)process;
	row->token = (uint64_t)token;
	return true;
}

bool
duty_lease_row_decode(
    const char *text, size_t len, duty_lease_row_t *row, err_t *err)
{
	json_t *body = json_loadb(text, len, 0, NULL);
	bool valid;

	*row = (duty_lease_row_t){0};
	valid = body_decode(body, row, err);
	json_decref(body);
	return valid;
}
