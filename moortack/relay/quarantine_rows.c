#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "moortack/relay/relay.h"
#include "relay_quarantine_priv.h"

/* Maximum number of rows in one write. */
#define ROWS_PER_WRITE_MAX 16
#define KEY_SIZE (sizeof(QUARANTINE_PREFIX) + 16)
#define WRITE_TIMEOUT_MS 1500
#define WRITE_RETRY_MS 2000
#define HEX_DIGITS 16

static void
key_format(char *key, uint64_t digest)
{
	snprintf(key, KEY_SIZE, "%s%016" PRIx64, QUARANTINE_PREFIX, digest);
}

static char *
value_encode(const relay_quarantine_t *self, const suspect_t *suspect)
{
	int64_t at_ms = timespec_to_ms(suspect->last_crash_at) +
	    self->relay->members->store_clock_offset_ms;
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

/* The rows are read back in any case; until then, the version from the response
 * is the one that the next write expects. */
static void
on_written(void *arg, const row_store_response_t *response)
{
	relay_quarantine_t *self = arg;
	bool done = response->result == ROW_OK;

	self->write_pending = false;
	self->relay->members->read_back_pending |= done;
	if (!done)
		self->write_after = timespec_add_ms(
		    clock_boottime(self->relay->clock), WRITE_RETRY_MS);
	for (suspect_t *suspect = self->table.suspects; suspect != NULL;
	     suspect = suspect->hh.next) {
		if (done && suspect->pending_crashes > 0) {
			suspect->stored_crashes = suspect->pending_crashes;
			suspect->stored_version = response->version;
		}
		suspect->pending_crashes = 0;
	}
	event_log_write(self->relay->log, "quarantine_write", "result=%d",
	    (int)response->result);
}

static void
rows_submit(relay_quarantine_t *self, row_change_t *expected,
    row_change_t *changes, size_t len)
{
	self->write_pending =
	    row_store_write(self->store, ROW_PURPOSE_QUARANTINE, expected, len,
		changes, len, WRITE_TIMEOUT_MS, on_written, self);
}

static bool
write_possible(const relay_quarantine_t *self)
{
	return !self->write_pending &&
	    self->relay->members->store_clock_known &&
	    timespec_ms_between(
		self->write_after, clock_boottime(self->relay->clock)) >= 0;
}

void
quarantine_rows_write(relay_quarantine_t *self)
{
	row_change_t expected[ROWS_PER_WRITE_MAX], changes[ROWS_PER_WRITE_MAX];
	char keys[ROWS_PER_WRITE_MAX][KEY_SIZE];
	char *values[ROWS_PER_WRITE_MAX];
	size_t len = 0;

	if (!write_possible(self))
		return;
	for (suspect_t *suspect = self->table.suspects;
	     suspect != NULL && len < ROWS_PER_WRITE_MAX;
	     suspect = suspect->hh.next) {
		if (!quarantine_should_write(self, suspect))
			continue;
		values[len] = value_encode(self, suspect);
		if (values[len] == NULL)
			break;
		key_format(keys[len], suspect->digest);
		expected[len] = (row_change_t){.table = SYSTEM_TABLE,
		    .key = keys[len],
		    .expected = suspect->stored_version};
		changes[len] = expected[len];
		changes[len].value = values[len];
		suspect->pending_crashes = suspect->crashes_len;
		len++;
	}
	if (len > 0)
		rows_submit(self, expected, changes, len);
	for (size_t i = 0; i < len; i++)
		free(values[i]);
}

/* If the write fails, the row stays; readers ignore it once it has expired. */
void
quarantine_row_remove(relay_quarantine_t *self, const suspect_t *suspect)
{
	char key[KEY_SIZE];
	row_change_t expected = {.table = SYSTEM_TABLE,
	    .key = key,
	    .expected = suspect->stored_version};
	row_change_t change = {.table = SYSTEM_TABLE, .key = key};

	if (suspect->stored_version == 0 || !write_possible(self))
		return;
	key_format(key, suspect->digest);
	rows_submit(self, &expected, &change, 1);
}

static bool
key_decode(const char *key, uint64_t *digest)
{
	const char *text = key + strlen(QUARANTINE_PREFIX);
	char *end;

	if (strlen(text) != HEX_DIGITS)
		return false;
	*digest = strtoull(text, &end, 16);
	return *end == '\0' && *digest != 0;
}

static size_t
crashes_decode(const json_t *body, uint32_t *crashes)
{
	size_t len = 0, i;
	const json_t *incarnation;

	json_array_foreach(json_object_get(body, "crashes"), i, incarnation)
	{
		if (json_is_integer(incarnation) &&
		    len < QUARANTINE_CRASH_THRESHOLD)
			crashes[len++] =
			    (uint32_t)json_integer_value(incarnation);
	}
	return len;
}

/* @return number of crashes in the row; 0: none, or it has expired */
static size_t
value_apply(relay_quarantine_t *self, uint64_t digest, const json_t *body)
{
	const membership_t *members = self->relay->members;
	int64_t age_ms = 0;
	uint32_t crashes[QUARANTINE_CRASH_THRESHOLD];
	size_t len = crashes_decode(body, crashes);
	uint32_t version =
	    (uint32_t)json_integer_value(json_object_get(body, "version"));

	if (members->store_clock_known)
		age_ms = timespec_to_ms(clock_boottime(self->relay->clock)) +
		    members->store_clock_offset_ms -
		    json_integer_value(json_object_get(body, "crashed_ms"));
	self->source = "store";
	if (age_ms < 0)
		age_ms = 0;
	if (quarantine_verdict_refuted(self, digest, version, age_ms))
		return len;
	return quarantine_merge(
		   &self->table, digest, crashes, len, version, age_ms)
	    ? len
	    : 0;
}

static bool
value_check(const json_t *body, err_t *err)
{
	uint32_t crashes[QUARANTINE_CRASH_THRESHOLD];

	if (body == NULL)
		return err_set(err, ERR_UNREADABLE, "the row is not JSON");
	if (!json_is_integer(json_object_get(body, "crashed_ms")) ||
	    crashes_decode(body, crashes) == 0)
		return err_set(err, ERR_BAD_REQUEST,
		    "crashed_ms or crashes is missing or invalid");
	return true;
}

/* An expired row that is still in the store is removed by the first of the
 * daemons. */
static void
expired_row_remove(relay_quarantine_t *self, uint64_t digest, const row_t *row)
{
	const suspect_t stale = {
	    .digest = digest, .stored_version = row->version};

	if (membership_rank(self->relay->members) == 0)
		quarantine_row_remove(self, &stale);
}

bool
relay_quarantine_apply_row(
    relay_quarantine_t *self, const row_t *row, err_t *err)
{
	size_t crashes = 0;
	suspect_t *suspect;
	uint64_t digest;
	json_t *body;
	bool good = true;

	if (!key_decode(row->key, &digest))
		return err_set(
		    err, ERR_BAD_NAME, "the key is not a request digest");
	if (!row->deleted) {
		body = json_loadb(row->value, row->value_len, 0, NULL);
		good = value_check(body, err);
		if (good)
			crashes = value_apply(self, digest, body);
		json_decref(body);
	}
	suspect = quarantine_find(&self->table, digest);
	if (suspect == NULL) {
		if (good && !row->deleted)
			expired_row_remove(self, digest, row);
		return good;
	}
	/* A row that was removed or is invalid is written again. */
	suspect->stored_version = row->deleted ? 0 : row->version;
	suspect->stored_crashes = crashes;
	/* All daemons read the row, so the quarantine need not be announced. */
	if (suspect_is_quarantined(suspect))
		suspect->announcements = UINT32_MAX;
	return good;
}
