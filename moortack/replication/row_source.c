#include "moortack/replication/row_source.h"

#include <stdio.h>
#include <string.h>

#include "row_source_priv.h"

/* Tombstones are kept for a minute: a daemon whose rows are older than this
 * requests all rows. */
#define VERSION_VALID_MS 20000
/* A starting daemon reads only the rows of the daemons, and gets the others
 * from its parent. It waits this long for the key that it needs for the
 * requests. */
#define KEY_WAIT_MS 2000

static table_watch_t *
table_watch_at(row_sync_t *self, row_table_t table)
{
	return &self->watches[table];
}

const row_watch_t *
row_sync_watch(const row_sync_t *self, row_table_t table)
{
	return &self->watches[table].watch;
}

void
row_sync_withhold(row_sync_t *self, row_table_t table, uint64_t version)
{
	self->withheld_version[table] = version;
}

uint64_t
row_sync_published_version(const row_sync_t *self, row_table_t table)
{
	uint64_t version = row_sync_watch(self, table)->version;
	uint64_t withheld = self->withheld_version[table];

	return withheld != 0 && withheld <= version ? withheld - 1 : version;
}

uint64_t
row_sync_requested_version(const row_sync_t *self, row_table_t table)
{
	const row_watch_t *watch = row_sync_watch(self, table);

	if (self->withheld_version[table] != 0 ||
	    row_watch_age_ms(watch) >= VERSION_VALID_MS)
		return 0;
	return watch->version;
}

bool
row_sync_put(row_sync_t *self, row_table_t table, const row_t *row)
{
	bool changed = row_cache_put(&self->cache, table, row);

	if (changed && self->server.flush != NULL)
		feed_server_cache_changed(&self->server);
	return changed;
}

/* While the store is unavailable, only one table is polled. */
static void
watches_update(row_sync_t *self)
{
	bool unavailable = !self->watches[ROW_TABLE_PROBE].watch.reachable &&
	    row_sync_synced(self);

	for (int i = 0; i < ROW_TABLES; i++) {
		self->watches[i].watch.by_follower = self->parent[0] != '\0';
		row_watch_suspend(&self->watches[i].watch,
		    self->suspended[i] ||
			(unavailable && i != ROW_TABLE_PROBE));
	}
}

void
row_sync_suspend_reads(row_sync_t *self, bool suspend)
{
	for (int i = 0; i < ROW_TABLES; i++)
		self->suspended[i] = suspend;
	watches_update(self);
}

void
row_sync_resume_table(row_sync_t *self, row_table_t table)
{
	self->suspended[table] = false;
	watches_update(self);
}

bool
row_sync_synced(const row_sync_t *self)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (!self->watches[i].watch.synced_once)
			return false;
	}
	return true;
}

void
row_sync_stop_serving(row_sync_t *self)
{
	self->leaving = true;
	row_follow_update_status(self);
}

/* Whether neither the store nor another daemon sends rows. */
static bool
is_cut_off(const row_sync_t *self)
{
	if (self->following || row_parent_bypassed(self))
		return false;
	return self->parent_store_unavailable ||
	    !self->watches[ROW_TABLE_PROBE].watch.reachable;
}

void
row_sync_tick(row_sync_t *self)
{
	row_cache_trim(&self->cache);
	if (self->settings.peer_address[0] == '\0')
		return;
	row_follow_update_status(self);
	membership_set_frozen(
	    self->members, is_cut_off(self) && row_sync_synced(self));
	if (!self->has_key && self->context == NULL)
		fleet_key_find(self);
	if (self->has_key)
		fleet_key_maintain(self);
	if (self->has_key)
		row_parent_update(self);
	else if (timespec_ms_between(self->started_at,
		     clock_boottime(self->clock)) >= KEY_WAIT_MS)
		row_sync_suspend_reads(self, false);
}

/* Applies a row that was read from the store. If that is a change here, the
 * parent may not have seen it: it sends nothing if the row has been changed
 * back since. */
static void
store_row_apply(row_sync_t *self, row_table_t table, const row_t *row)
{
	uint64_t change = self->cache.last_change;

	self->ops->row(self->arg, table, row);
	if (self->parent[0] != '\0' && table != ROW_TABLE_OPERATOR &&
	    self->cache.last_change != change &&
	    row->version > self->ahead_version[table])
		self->ahead_version[table] = row->version;
}

static void
on_row(void *arg, const row_t *row)
{
	table_watch_t *watch = arg;

	store_row_apply(watch->sync, watch->table, row);
}

static void
on_full_read_begin(void *arg)
{
	table_watch_t *watch = arg;

	row_cache_clear_marks(
	    &watch->sync->cache, watch->table, ROW_ORIGIN_STORE);
	watch->sync->ops->full_read_begin(watch->sync->arg, watch->table);
}

/* Deletes the rows that a full read did not return. */
static void
unreturned_rows_delete(row_sync_t *self, row_table_t table)
{
	cached_row_t *row, *next;

	for (row = self->cache.rows; row != NULL; row = next) {
		row_t deletion = {.key = cached_row_key(row),
		    .version = self->watches[table].watch.read_version,
		    .deleted = true};

		next = row->hh.next;
		if (row->table != table || row->value == NULL ||
		    cached_row_is_marked(row, ROW_ORIGIN_STORE))
			continue;
		store_row_apply(self, table, &deletion);
	}
}

void
row_sync_check_own_row(row_sync_t *self)
{
	char key[sizeof(MEMBER_PREFIX) + MEMBER_NAME_SIZE];
	const cached_row_t *own;

	snprintf(key, sizeof(key), "%s%s", MEMBER_PREFIX,
	    self->members->settings.name);
	own = row_cache_find(&self->cache, ROW_TABLE_SYSTEM, key);
	if (own == NULL || own->value == NULL)
		membership_own_row_missing(self->members);
}

static void
on_synced(void *arg, bool full_read, const row_store_response_t *response)
{
	table_watch_t *watch = arg;
	row_sync_t *self = watch->sync;

	if (full_read) {
		unreturned_rows_delete(self, watch->table);
		self->cache.complete_since[watch->table] =
		    watch->watch.read_version;
		if (watch->table == ROW_TABLE_SYSTEM)
			row_sync_check_own_row(self);
	}
	if (self->parent_stale && self->server.flush != NULL)
		feed_server_respond_all(&self->server);
	row_follow_update_status(self);
	self->ops->store_clock(self->arg, response->now_ms);
	self->ops->synced(self->arg, watch->table, full_read);
	if (watch->table == ROW_TABLE_SYSTEM && !row_sync_synced(self))
		row_sync_tick(self);
}

static void
on_reachable(void *arg, bool available)
{
	table_watch_t *watch = arg;

	row_sync_t *self = watch->sync;

	row_follow_update_status(self);
	if (watch->table == ROW_TABLE_PROBE) {
		watches_update(self);
		if (available)
			membership_clear_backoffs(self->members);
	}
	self->ops->reachable(self->arg, watch->table, available);
}

static const row_watch_ops_t watch_ops = {
    on_row, on_full_read_begin, on_synced, on_reachable};

bool
row_sync_init(row_sync_t *self, const row_sync_ops_t *ops, void *arg)
{
	self->ops = ops;
	self->arg = arg;
	self->incarnation = rng_u64(self->rng) >> 1 | 1;
	for (int i = 0; i < ROW_TABLES; i++) {
		table_watch_t *watch = table_watch_at(self, (row_table_t)i);

		watch->sync = self;
		watch->table = (row_table_t)i;
		if (!row_watch_init(&watch->watch, self->base, self->store,
			self->clock, self->settings.tables[i],
			&self->settings.timings[i], &watch_ops, watch))
			return false;
		self->suspended[i] = i != ROW_TABLE_SYSTEM &&
		    self->settings.peer_address[0] != '\0';
	}
	self->apply.timer =
	    event_new(self->base, -1, 0, row_apply_on_timer, self);
	if (self->apply.timer == NULL)
		return false;
	self->started_at = clock_boottime(self->clock);
	watches_update(self);
	if (self->settings.start_jitter_ms > 0)
		row_watch_start_after(&self->watches[ROW_TABLE_SYSTEM].watch,
		    (int64_t)rng_below(
			self->rng, (uint32_t)self->settings.start_jitter_ms));
	return true;
}

void
row_sync_finish(row_sync_t *self)
{
	row_follow_stop(self);
	row_apply_cancel(self);
	if (self->apply.timer != NULL)
		event_free(self->apply.timer);
	json_decref(self->parent_path);
	for (int i = 0; i < ROW_TABLES; i++)
		row_watch_finish(&self->watches[i].watch);
	row_cache_finish(&self->cache);
}
