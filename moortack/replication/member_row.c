#include <math.h>
#include <stdio.h>
#include <string.h>

#include "membership_priv.h"

/* Cores; more than any VM has. */
#define STRENGTH_MAX 4096

const char *const member_state_names[] = {"starting", "ready", "leaving"};

static bool
state_parse(const char *name, member_state_t *state)
{
	for (size_t i = 0; name != NULL && i < 3; i++) {
		if (strcmp(member_state_names[i], name) != 0)
			continue;
		*state = (member_state_t)i;
		return true;
	}
	return false;
}

/* @param out MEMBER_NAME_SIZE bytes */
static bool
string_decode(const json_t *body, const char *field, char *out, err_t *err)
{
	const char *text = json_string_value(json_object_get(body, field));

	if (text == NULL || strlen(text) >= MEMBER_NAME_SIZE)
		return err_set(err, ERR_BAD_REQUEST,
		    "%s is missing, not a string or too long", field);
	strcpy(out, text);
	return true;
}

static bool
record_decode(const json_t *body, member_record_t *record, err_t *err)
{
	const json_t *strength = json_object_get(body, "strength");

	if (!string_decode(body, "place", record->zone, err) ||
	    !string_decode(body, "peer", record->peer_address, err))
		return false;
	record->strength = json_number_value(strength);
	if (!json_is_number(strength) || record->strength < 0 ||
	    record->strength > STRENGTH_MAX)
		return err_set(err, ERR_BAD_REQUEST,
		    "strength is missing or out of range");
	if (!state_parse(json_string_value(json_object_get(body, "state")),
		&record->state))
		return err_set(
		    err, ERR_BAD_REQUEST, "state is missing or unknown");
	record->written_at_ms =
	    json_integer_value(json_object_get(body, "at_ms"));
	if (record->written_at_ms < 0)
		return err_set(err, ERR_BAD_REQUEST, "at_ms is negative");
	record->report = json_object_get(body, "report");
	return true;
}

bool
member_record_decode(
    const char *name, json_t *body, member_record_t *record, err_t *err)
{
	*record = (member_record_t){.body = body};
	if (name[0] == '\0' || strlen(name) >= sizeof(record->name)) {
		member_record_finish(record);
		return err_set(
		    err, ERR_BAD_NAME, "the name is empty or too long");
	}
	strcpy(record->name, name);
	if (!json_is_object(body)) {
		member_record_finish(record);
		return err_set(
		    err, ERR_UNREADABLE, "the row is not a JSON object");
	}
	if (record_decode(body, record, err))
		return true;
	member_record_finish(record);
	return false;
}

bool
member_row_decode(const row_t *row, member_record_t *record, err_t *err)
{
	return member_record_decode(row->key + strlen(MEMBER_PREFIX),
	    json_loadb(row->value, row->value_len, 0, NULL), record, err);
}

static bool
is_ip_address(const char *text)
{
	http_address_t address;

	return http_address_parse(text, &address) &&
	    http_address_is_ipv4(&address);
}

bool
member_record_check_addresses(const member_record_t *record, err_t *err)
{
	if (!is_ip_address(record->name))
		return err_set(
		    err, ERR_BAD_NAME, "the name is not an IP:PORT address");
	if (record->peer_address[0] != '\0' &&
	    !is_ip_address(record->peer_address))
		return err_set(
		    err, ERR_BAD_REQUEST, "peer is not an IP:PORT address");
	return true;
}

void
member_record_finish(member_record_t *record)
{
	json_decref(record->body);
	record->body = NULL;
	record->report = NULL;
}
