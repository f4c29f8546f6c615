#include <stdio.h>
#include <string.h>

#include "row_source_priv.h"

#define KEY_TIMEOUT_MS 1500
#define KEY_RETRY_MS 1500
/* Daemons that start together don't all make a key: each looks for it again,
 * and for who else is there, before it does. */
#define KEY_LOOK_MS 600
#define KEY_SPREAD_MS 300
#define KEY_SIZE 41

static void
key_written(void *arg, const row_reply_t *reply)
{
	row_source_t *self = arg;

	(void)reply;
	/* Whoever was first, the key is in the table now. */
	self->key_writing = false;
	self->key_after =
	    timespec_after_ms(clock_elapsed(self->clock), KEY_RETRY_MS);
	row_watch_hurry(&self->watches[ROW_TABLE_OWN].watch);
}

/* The first daemon of all makes the fleet's key; the others read it. */
static void
key_make(row_source_t *self)
{
	char public[KEY_SIZE], secret[KEY_SIZE];
	row_change_t expected = {.table = self->settings.tables[ROW_TABLE_OWN],
	    .key = FLEET_KEY_ROW};
	row_change_t change = expected;
	struct timespec now = clock_elapsed(self->clock);

	if (self->key_after.tv_sec == 0)
		self->key_after = timespec_after_ms(now,
		    KEY_LOOK_MS + (int64_t)rng_below(self->rng, KEY_SPREAD_MS));
	if (timespec_ms_between(self->key_after, now) < 0)
		return;
	if (self->key_writing || membership_rank(self->members) != 0 ||
	    zmq_curve_keypair(public, secret) != 0)
		return;
	change.value = secret;
	self->key_writing = self->store->ops->write(self->store, &expected, 1,
	    &change, 1, KEY_TIMEOUT_MS, key_written, self);
}

void
fleet_key_look(row_source_t *self)
{
	const cached_row_t *row =
	    row_cache_find(&self->cache, ROW_TABLE_OWN, FLEET_KEY_ROW);

	if (!self->watches[ROW_TABLE_OWN].watch.settled_once)
		return;
	if (row != NULL && row->value != NULL)
		row_follow_start(self, row->value);
	else
		key_make(self);
}
