#include <stdio.h>
#include <string.h>

#include "row_source_priv.h"

#define KEY_TIMEOUT_MS 1500
#define KEY_RETRY_MS 1500
/* A daemon that finds the key missing waits for this time and a random part of
 * the spread before it writes the key, so that not all write it at once: by
 * then it has read the key of another daemon, or knows the other daemons. */
#define KEY_WRITE_DELAY_MS 600
#define KEY_WRITE_JITTER_MS 300

static void
key_written(void *arg, const row_store_response_t *response)
{
	row_sync_t *self = arg;

	(void)response;
	/* Whichever daemon wrote it first, the key is in the table now. */
	self->key_write_pending = false;
	self->key_write_after =
	    timespec_add_ms(clock_boottime(self->clock), KEY_RETRY_MS);
	row_watch_poll_now(&self->watches[ROW_TABLE_SYSTEM].watch);
}

bool
fleet_key_check(const char *text, err_t *err)
{
	uint8_t bytes[FLEET_KEY_BYTES];

	if (strlen(text) != FLEET_KEY_SIZE - 1 ||
	    zmq_z85_decode(bytes, text) == NULL)
		return err_set(err, ERR_UNREADABLE,
		    "not a Z85-encoded key of 40 characters");
	return true;
}

static const cached_row_t *
key_row(const row_sync_t *self)
{
	return row_cache_find(&self->cache, ROW_TABLE_SYSTEM, FLEET_KEY_ROW);
}

/* The key in the store; NULL: none, or an invalid one. */
static const char *
key_stored(const row_sync_t *self)
{
	const cached_row_t *row = key_row(self);

	return row != NULL && row->value != NULL &&
		fleet_key_check(row->value, NULL)
	    ? row->value
	    : NULL;
}

/* Whether it is this daemon's turn to write the key, and it has waited for
 * others to do so. */
static bool
key_due(row_sync_t *self)
{
	struct timespec now = clock_boottime(self->clock);

	if (self->key_write_after.tv_sec == 0)
		self->key_write_after = timespec_add_ms(now,
		    KEY_WRITE_DELAY_MS +
			(int64_t)rng_below(self->rng, KEY_WRITE_JITTER_MS));
	return timespec_ms_between(self->key_write_after, now) >= 0 &&
	    !self->key_write_pending && membership_rank(self->members) == 0;
}

/* Writes the key, unless another daemon has changed it since it was read. */
static void
key_write(row_sync_t *self, const char *secret)
{
	const cached_row_t *row = key_row(self);
	row_change_t expected = {
	    .table = self->settings.tables[ROW_TABLE_SYSTEM],
	    .key = FLEET_KEY_ROW};
	row_change_t change = expected;

	if (row != NULL && row->value != NULL)
		expected.expected = row->version;
	change.value = secret;
	self->key_write_pending =
	    row_store_write(self->store, ROW_PURPOSE_FLEET_KEY, &expected, 1,
		&change, 1, KEY_TIMEOUT_MS, key_written, self);
}

/* Makes a key if the store has none. If several daemons do, the store accepts
 * the first key, and all of them read that one. */
static void
key_make(row_sync_t *self)
{
	char public[FLEET_KEY_SIZE], secret[FLEET_KEY_SIZE];

	if (!self->key_write_pending &&
	    timespec_ms_between(
		self->key_write_after, clock_boottime(self->clock)) >= 0 &&
	    zmq_curve_keypair(public, secret) == 0)
		key_write(self, secret);
}

void
fleet_key_find(row_sync_t *self)
{
	const char *secret = key_stored(self);

	if (!self->watches[ROW_TABLE_SYSTEM].watch.synced_once)
		return;
	if (secret != NULL)
		row_follow_start(self, secret);
	else
		key_make(self);
}

void
fleet_key_maintain(row_sync_t *self)
{
	const char *secret = key_stored(self);

	if (secret == NULL) {
		if (key_due(self))
			key_write(self, self->fleet_key);
		return;
	}
	self->key_write_after = (struct timespec){0};
	if (strcmp(secret, self->fleet_key) != 0)
		row_follow_reset(self);
}
