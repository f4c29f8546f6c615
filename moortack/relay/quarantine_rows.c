#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "moortack/relay/relay.h"
#include "relay_quarantine_priv.h"

/* Rows that one call writes. */
#define ROWS_MAX 16
#define KEY_SIZE (sizeof(QUARANTINE_PREFIX) + 16)
#define WRITE_TIMEOUT_MS 1500
#define WRITE_RETRY_MS 2000
#define HEX_DIGITS 16

static void
key_write(char *key, uint64_t digest)
{
	snprintf(key, KEY_SIZE, "%s%016" PRIx64, QUARANTINE_PREFIX, digest);
}

static char *
value_text(const relay_quarantine_t *self, const suspect_t *suspect)
{
	int64_t at_ms = timespec_to_ms(suspect->crashed_at) +
	    self->relay->members->store_offset_ms;
	json_t *crashes = json_array();
	json_t *body;
	char *text;

	for (size_t i = 0; i < suspect->crashes_len; i++)
		json_array_append_new(
		    crashes, json_integer(suspect->crashes[i]));
	body = json_pack("{s:o, s:I, s:I}", "crashes", crashes, "version",
	    (json_int_t)suspect->version, "crashed_ms", (json_int_t)at_ms);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

/* The row is read back in any case; its version serves a write before that. */
static void
on_written(void *arg, const row_reply_t *reply)
{
	relay_quarantine_t *self = arg;
	bool done = reply->result == ROW_OK;

	self->writing = false;
	self->relay->members->written |= done;
	if (!done)
		self->write_after = timespec_add_ms(
		    clock_boottime(self->relay->clock), WRITE_RETRY_MS);
	for (suspect_t *one = self->table.suspects; one != NULL;
	     one = one->hh.next) {
		if (done && one->written > 0) {
			one->stored = one->written;
			one->stored_version = reply->version;
		}
		one->written = 0;
	}
	event_log_write(self->relay->log, "quarantine_write", "result=%d",
	    (int)reply->result);
}

static void
rows_send(relay_quarantine_t *self, row_change_t *expected,
    row_change_t *changes, size_t len)
{
	self->writing = row_store_write(self->store, ROW_FOR_QUARANTINE,
	    expected, len, changes, len, WRITE_TIMEOUT_MS, on_written, self);
}

static bool
write_due(const relay_quarantine_t *self)
{
	return !self->writing && self->relay->members->store_clock_known &&
	    timespec_ms_between(
		self->write_after, clock_boottime(self->relay->clock)) >= 0;
}

void
quarantine_rows_write(relay_quarantine_t *self)
{
	row_change_t expected[ROWS_MAX], changes[ROWS_MAX];
	char keys[ROWS_MAX][KEY_SIZE];
	char *values[ROWS_MAX];
	size_t len = 0;

	if (!write_due(self))
		return;
	for (suspect_t *one = self->table.suspects;
	     one != NULL && len < ROWS_MAX; one = one->hh.next) {
		if (!quarantine_writes(self, one))
			continue;
		values[len] = value_text(self, one);
		if (values[len] == NULL)
			break;
		key_write(keys[len], one->digest);
		expected[len] = (row_change_t){.table = MEMBER_TABLE,
		    .key = keys[len],
		    .expected = one->stored_version};
		changes[len] = expected[len];
		changes[len].value = values[len];
		one->written = one->crashes_len;
		len++;
	}
	if (len > 0)
		rows_send(self, expected, changes, len);
	for (size_t i = 0; i < len; i++)
		free(values[i]);
}

/* A row that stays for a failed write has expired for whoever reads it. */
void
quarantine_row_remove(relay_quarantine_t *self, const suspect_t *suspect)
{
	char key[KEY_SIZE];
	row_change_t expected = {.table = MEMBER_TABLE,
	    .key = key,
	    .expected = suspect->stored_version};
	row_change_t change = {.table = MEMBER_TABLE, .key = key};

	if (suspect->stored_version == 0 || !write_due(self))
		return;
	key_write(key, suspect->digest);
	rows_send(self, &expected, &change, 1);
}

static bool
key_read(const char *key, uint64_t *digest)
{
	const char *text = key + strlen(QUARANTINE_PREFIX);
	char *end;

	if (strlen(text) != HEX_DIGITS)
		return false;
	*digest = strtoull(text, &end, 16);
	return *end == '\0' && *digest != 0;
}

static size_t
crashes_read(const json_t *body, uint32_t *crashes)
{
	size_t len = 0, i;
	const json_t *one;

	json_array_foreach(json_object_get(body, "crashes"), i, one)
	{
		if (json_is_integer(one) && len < QUARANTINE_CRASHES)
			crashes[len++] = (uint32_t)json_integer_value(one);
	}
	return len;
}

/* @return how many crashes the row names; 0: it is none, or too old */
static size_t
value_take(relay_quarantine_t *self, uint64_t digest, const json_t *body)
{
	const membership_t *members = self->relay->members;
	int64_t age_ms = 0;
	uint32_t crashes[QUARANTINE_CRASHES];
	size_t len = crashes_read(body, crashes);

	if (members->store_clock_known)
		age_ms = timespec_to_ms(clock_boottime(self->relay->clock)) +
		    members->store_offset_ms -
		    json_integer_value(json_object_get(body, "crashed_ms"));
	self->source = "store";
	return quarantine_merge(&self->table, digest, crashes, len,
		   (uint32_t)json_integer_value(
		       json_object_get(body, "version")),
		   age_ms > 0 ? age_ms : 0)
	    ? len
	    : 0;
}

static bool
value_check(const json_t *body, err_t *err)
{
	uint32_t crashes[QUARANTINE_CRASHES];

	if (body == NULL)
		return err_set(err, ERR_UNREADABLE, "the row is no JSON");
	if (!json_is_integer(json_object_get(body, "crashed_ms")) ||
	    crashes_read(body, crashes) == 0)
		return err_set(
		    err, ERR_BAD_REQUEST, "crashed_ms or crashes is missing");
	return true;
}

/* What has expired, and nobody took out, the first daemon does. */
static void
stale_remove(relay_quarantine_t *self, uint64_t digest, const row_t *row)
{
	const suspect_t stale = {
	    .digest = digest, .stored_version = row->version};

	if (membership_rank(self->relay->members) == 0)
		quarantine_row_remove(self, &stale);
}

bool
relay_quarantine_row(relay_quarantine_t *self, const row_t *row, err_t *err)
{
	size_t crashes = 0;
	suspect_t *suspect;
	uint64_t digest;
	json_t *body;
	bool good = true;

	if (!key_read(row->key, &digest))
		return err_set(err, ERR_BAD_NAME, "the key names no request");
	if (!row->deleted) {
		body = json_loadb(row->value, row->value_len, 0, NULL);
		good = value_check(body, err);
		if (good)
			crashes = value_take(self, digest, body);
		json_decref(body);
	}
	suspect = quarantine_find(&self->table, digest);
	if (suspect == NULL) {
		if (good && !row->deleted)
			stale_remove(self, digest, row);
		return good;
	}
	/* A row that was taken out or spoilt is written again. */
	suspect->stored_version = row->deleted ? 0 : row->version;
	suspect->stored = crashes;
	if (quarantine_is_held(suspect))
		suspect->told = UINT32_MAX;
	return good;
}
