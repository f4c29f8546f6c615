#include "moortack/replication/row_source.h"

#include <stdio.h>
#include <string.h>

#include "row_source_priv.h"

/* Rows that are gone are told of for a minute: who knows less has to be told
 * all. */
#define VERSIONS_KNOWN_MS 20000
/* A daemon that starts reads only the rows of the daemons, and is told the
 * others by the one that it follows; for so long it waits for the key to ask
 * with. */
#define KEY_WAIT_MS 2000

static source_watch_t *
watch_at(row_source_t *self, row_table_t table)
{
	return &self->watches[table];
}

const row_watch_t *
row_source_watch(const row_source_t *self, row_table_t table)
{
	return &self->watches[table].watch;
}

void
row_source_keep_back(row_source_t *self, row_table_t table, uint64_t version)
{
	self->kept_back[table] = version;
}

uint64_t
row_source_told(const row_source_t *self, row_table_t table)
{
	uint64_t version = row_source_watch(self, table)->version;
	uint64_t kept_back = self->kept_back[table];

	return kept_back != 0 && kept_back <= version ? kept_back - 1 : version;
}

uint64_t
row_source_known(const row_source_t *self, row_table_t table)
{
	const row_watch_t *watch = row_source_watch(self, table);

	if (self->kept_back[table] != 0 ||
	    row_watch_age_ms(watch) >= VERSIONS_KNOWN_MS)
		return 0;
	return watch->version;
}

bool
row_source_put(row_source_t *self, row_table_t table, const row_t *row)
{
	bool changed = row_cache_put(&self->cache, table, row);

	if (changed && self->server.flush != NULL)
		feed_server_changed(&self->server);
	return changed;
}

/* While the store does not answer, one table is asked for. */
static void
watches_apply(row_source_t *self)
{
	bool lost = !self->watches[ROW_TABLE_PROBE].watch.reachable &&
	    row_source_settled(self);

	for (int i = 0; i < ROW_TABLES; i++) {
		self->watches[i].watch.beside = self->followed[0] != '\0';
		row_watch_suspend(&self->watches[i].watch,
		    self->idle[i] || (lost && i != ROW_TABLE_PROBE));
	}
}

void
row_source_suspend(row_source_t *self, bool suspend)
{
	for (int i = 0; i < ROW_TABLES; i++)
		self->idle[i] = suspend;
	watches_apply(self);
}

void
row_source_beside(row_source_t *self, row_table_t table)
{
	self->idle[table] = false;
	watches_apply(self);
}

bool
row_source_settled(const row_source_t *self)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (!self->watches[i].watch.settled_once)
			return false;
	}
	return true;
}

void
row_source_leave(row_source_t *self)
{
	self->leaving = true;
	row_follow_tell_lost(self);
}

/* Neither the store nor another daemon tells anything. */
static bool
hears_nothing(const row_source_t *self)
{
	if (self->following || row_parent_store_read(self))
		return false;
	return self->parent_lost ||
	    !self->watches[ROW_TABLE_PROBE].watch.reachable;
}

void
row_source_tick(row_source_t *self)
{
	row_cache_trim(&self->cache);
	if (self->settings.peer_address[0] == '\0')
		return;
	row_follow_tell_lost(self);
	membership_hold(
	    self->members, hears_nothing(self) && row_source_settled(self));
	if (!self->keyed && self->context == NULL)
		fleet_key_look(self);
	if (self->keyed)
		fleet_key_keep(self);
	if (self->keyed)
		row_follow_tick(self);
	else if (timespec_ms_between(
		     self->began, clock_boottime(self->clock)) >= KEY_WAIT_MS)
		row_source_suspend(self, false);
}

/* A row as the store has it. If that is news here, whoever is followed may not
 * have seen it, and has nothing to tell of a row that has become what it was
 * before since. */
static void
own_row_take(row_source_t *self, row_table_t table, const row_t *row)
{
	uint64_t change = self->cache.change;

	self->ops->row(self->arg, table, row);
	if (self->followed[0] != '\0' && table != ROW_TABLE_ORDERS &&
	    self->cache.change != change && row->version > self->ahead[table])
		self->ahead[table] = row->version;
}

static void
on_row(void *arg, const row_t *row)
{
	source_watch_t *watch = arg;

	own_row_take(watch->source, watch->table, row);
}

static void
on_restart(void *arg)
{
	source_watch_t *watch = arg;

	row_cache_restart(
	    &watch->source->cache, watch->table, ROW_READER_STORE);
	watch->source->ops->restart(watch->source->arg, watch->table);
}

/* A whole read names every row that there is. */
static void
unread_end(row_source_t *self, row_table_t table)
{
	cached_row_t *row, *next;

	for (row = self->cache.rows; row != NULL; row = next) {
		row_t end = {.key = cached_row_key(row),
		    .version = self->watches[table].watch.read_version,
		    .deleted = true};

		next = row->hh.next;
		if (row->table != table || row->value == NULL ||
		    row_cache_named(row, ROW_READER_STORE))
			continue;
		own_row_take(self, table, &end);
	}
}

void
row_source_own_look(row_source_t *self)
{
	char key[sizeof(MEMBER_PREFIX) + MEMBER_NAME_SIZE];
	const cached_row_t *own;

	snprintf(key, sizeof(key), "%s%s", MEMBER_PREFIX,
	    self->members->settings.name);
	own = row_cache_find(&self->cache, ROW_TABLE_OWN, key);
	if (own == NULL || own->value == NULL)
		membership_row_missing(self->members);
}

static void
on_settled(void *arg, bool whole, const row_reply_t *reply)
{
	source_watch_t *watch = arg;
	row_source_t *self = watch->source;

	if (whole) {
		unread_end(self, watch->table);
		self->cache.since[watch->table] = watch->watch.read_version;
		if (watch->table == ROW_TABLE_OWN)
			row_source_own_look(self);
	}
	if (self->old && self->server.flush != NULL)
		feed_server_refresh(&self->server);
	row_follow_tell_lost(self);
	self->ops->store_clock(self->arg, reply->now_ms);
	self->ops->settled(self->arg, watch->table, whole);
	if (watch->table == ROW_TABLE_OWN && !row_source_settled(self))
		row_source_tick(self);
}

static void
on_reachable(void *arg, bool now)
{
	source_watch_t *watch = arg;

	row_source_t *self = watch->source;

	row_follow_tell_lost(self);
	if (watch->table == ROW_TABLE_PROBE) {
		watches_apply(self);
		if (now)
			membership_forgive(self->members);
	}
	self->ops->reachable(self->arg, watch->table, now);
}

static const row_watch_ops_t watch_ops = {
    on_row, on_restart, on_settled, on_reachable};

bool
row_source_init(row_source_t *self, const row_source_ops_t *ops, void *arg)
{
	self->ops = ops;
	self->arg = arg;
	self->incarnation = rng_u64(self->rng) >> 1 | 1;
	for (int i = 0; i < ROW_TABLES; i++) {
		source_watch_t *watch = watch_at(self, (row_table_t)i);

		watch->source = self;
		watch->table = (row_table_t)i;
		if (!row_watch_init(&watch->watch, self->base, self->store,
			self->clock, self->settings.tables[i],
			&self->settings.paces[i], &watch_ops, watch))
			return false;
		self->idle[i] = i != ROW_TABLE_OWN &&
		    self->settings.peer_address[0] != '\0';
	}
	self->began = clock_boottime(self->clock);
	watches_apply(self);
	if (self->settings.start_within_ms > 0)
		row_watch_start_in(&self->watches[ROW_TABLE_OWN].watch,
		    (int64_t)rng_below(
			self->rng, (uint32_t)self->settings.start_within_ms));
	return true;
}

void
row_source_finish(row_source_t *self)
{
	row_follow_stop_peers(self);
	json_decref(self->followed_path);
	for (int i = 0; i < ROW_TABLES; i++)
		row_watch_finish(&self->watches[i].watch);
	row_cache_finish(&self->cache);
}
