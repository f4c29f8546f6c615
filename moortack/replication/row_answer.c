#include <string.h>

#include "moortack/replication/feed_apply.h"
#include "row_source_priv.h"

/* Callers notice a few of these in a row, with 0.12 cores as well. */
#define TURN_US 5000

/* Whether the sender has fewer of the changes withheld here: its rows do not
 * show their outcome. */
static bool
sender_is_older(const row_sync_t *self, const feed_response_t *response)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (self->withheld_version[i] != 0 &&
		    response->tables[i].deletions_version <
			self->watches[i].watch.version)
			return true;
	}
	return false;
}

/* Notes which tables the response does not cover in full: those of which the
 * parent has an older version than this daemon had. Once the parent has caught
 * up, all rows have to be requested from it. Operators' rows are sent by
 * version, and always cover what is needed.
 * @return whether all rows have to be requested now */
static bool
partial_tables_note(
    row_sync_t *self, const feed_response_t *response, bool partial[ROW_TABLES])
{
	bool request_all = false;

	for (int i = 0; i < ROW_TABLES; i++) {
		const feed_table_state_t *table = &response->tables[i];
		uint64_t version = self->watches[i].watch.version;

		partial[i] = false;
		if (i == ROW_TABLE_OPERATOR)
			continue;
		if (table->version < version &&
		    version > self->ahead_version[i])
			self->ahead_version[i] = version;
		if (self->ahead_version[i] == 0)
			continue;
		partial[i] = !table->full;
		if (table->version < self->ahead_version[i])
			continue;
		self->ahead_version[i] = 0;
		request_all |= partial[i];
	}
	return request_all;
}

/* Advances a table to the version and age in the response, unless that covers
 * it only in part. */
static void
table_advance(
    row_sync_t *self, const feed_response_t *response, row_table_t table)
{
	const feed_table_state_t *state = &response->tables[table];
	row_watch_t *watch = &self->watches[table].watch;

	/* With all rows, this daemon has what the sender has and no more: it
	 * continues from there, even if its own version is later. */
	if (state->full)
		row_watch_rewind(watch, state->version);
	if (self->apply.partial[table])
		return;
	if (state->deletions_version > self->deletions_version[table])
		self->deletions_version[table] = state->deletions_version;
	if (state->age_ms < 0)
		return;
	row_watch_advance(watch, state->version,
	    timespec_add_ms(self->apply.sent, -state->age_ms));
	self->ops->synced(self->arg, table, false);
}

/* Whether a row may be deleted and written again, and has a version of the
 * store. Lists that daemons only send each other do not. */
static bool
row_may_reappear(row_table_t table, const char *key)
{
	return table == ROW_TABLE_ENDPOINTS ||
	    (table == ROW_TABLE_SYSTEM &&
		strncmp(key, MEMBER_PREFIX, strlen(MEMBER_PREFIX)) == 0);
}

/* Whether the row has been deleted since: the sender has an older version than
 * this daemon, which does not have the row. */
static bool
row_deleted_since(const row_sync_t *self, row_table_t table, const row_t *row)
{
	const cached_row_t *cached =
	    row_cache_find(&self->cache, table, row->key);
	uint64_t version = self->watches[table].watch.version;

	return !row->deleted && row_may_reappear(table, row->key) &&
	    row->version <= version &&
	    self->apply.response.tables[table].version < version &&
	    (cached == NULL || cached->value == NULL);
}

static void
on_row(void *arg, row_table_t table, const row_t *row)
{
	row_sync_t *self = arg;

	if (!row_deleted_since(self, table, row))
		self->ops->row(self->arg, table, row);
}

/* Notes the rows that are newer than a full table and therefore kept. The
 * sender may see them change back to what it has, which is no change to it. */
static void
newer_rows_note(row_sync_t *self, const feed_response_t *response)
{
	for (const cached_row_t *row = self->cache.rows; row != NULL;
	     row = row->hh.next) {
		const feed_table_state_t *state = &response->tables[row->table];

		if (state->full &&
		    row_may_reappear(row->table, cached_row_key(row)) &&
		    row->version > state->version &&
		    row->version > self->ahead_version[row->table])
			self->ahead_version[row->table] = row->version;
	}
}

/* The sender has the rows of the buckets that were not sent as well, up to the
 * version of its table. */
static void
unsent_rows_confirm(row_sync_t *self, const feed_response_t *response)
{
	for (cached_row_t *row = self->cache.rows; row != NULL;
	     row = row->hh.next) {
		const feed_table_state_t *state = &response->tables[row->table];

		if (state->full && row->value != NULL &&
		    !row_bucket_set_has(&state->sent, row->hash) &&
		    row_may_reappear(row->table, cached_row_key(row)))
			row_cache_confirm(&self->cache, row, state->version);
	}
}

void
row_apply_begin(
    row_sync_t *self, feed_response_t *response, struct timespec sent)
{
	row_apply_t *apply = &self->apply;

	row_apply_cancel(self);
	apply->active = true;
	apply->response = *response;
	*response = (feed_response_t){0};
	apply->sent = sent;
	apply->cursor = (feed_cursor_t){0};
	memset(apply->partial, 0, sizeof(apply->partial));
	json_decref(self->parent_path);
	self->parent_path = json_incref(apply->response.path);
	feed_apply_begin(&apply->response, &self->cache);
	feed_server_pause(&self->server, true);
}

/* Whether rows may go back to what they were earlier: until all are applied,
 * this daemon would have older rows than it tells its followers. */
static bool
is_applied_at_once(const row_sync_t *self)
{
	const feed_response_t *response = &self->apply.response;

	if (row_sync_withholds(self))
		return true;
	for (int i = 0; i < ROW_TABLES; i++) {
		if (response->tables[i].full &&
		    response->tables[i].version <
			self->watches[i].watch.version)
			return true;
	}
	return false;
}

static bool
turn_is_over(const row_sync_t *self, struct timespec started_at, size_t rows)
{
	size_t max = self->settings.turn_rows_max;

	if (is_applied_at_once(self))
		return false;
	return (max != 0 && rows >= max) ||
	    timespec_us_between(started_at, clock_monotonic(self->clock)) >=
	    TURN_US;
}

/* Applies rows for the time of one turn.
 * @return whether all are applied */
static bool
rows_apply(row_sync_t *self)
{
	row_apply_t *apply = &self->apply;
	struct timespec started_at = clock_monotonic(self->clock);
	work_turn_t turn = work_begin(self->meter);
	bool operators_done = apply->cursor.operators_done;
	size_t rows = 0;
	bool more = true;

	while (more && !turn_is_over(self, started_at, rows)) {
		more = feed_apply_next(&apply->response, &self->cache,
		    &apply->cursor, on_row, self);
		rows += more;
	}
	if (apply->cursor.operators_done && !operators_done) {
		table_advance(self, &apply->response, ROW_TABLE_OPERATOR);
		/* A configuration is passed on before the other rows. */
		feed_server_pause(&self->server, false);
		feed_server_pause(&self->server, true);
	}
	work_end(self->meter, WORK_ROWS_APPLY, &turn, rows);
	return !more;
}

/* All rows are applied.
 * @return false: the response does not tell which rows there are */
static bool
apply_end(row_sync_t *self)
{
	row_apply_t *apply = &self->apply;
	const feed_response_t *response = &apply->response;
	bool request_all;

	if (feed_response_is_summarized(response) &&
	    !feed_apply_confirm(
		response, &self->cache, self->summarized_change))
		return false;
	request_all = partial_tables_note(self, response, apply->partial);
	feed_apply_end(response, &self->cache, on_row, self);
	if (feed_response_has_full_table(response)) {
		unsent_rows_confirm(self, response);
		newer_rows_note(self, response);
		self->summaries_outdated = 0;
	}
	if (response->tables[ROW_TABLE_SYSTEM].full)
		row_sync_check_own_row(self);
	for (int i = 0; i < ROW_TABLES; i++)
		table_advance(self, response, (row_table_t)i);
	self->parent_incarnation = request_all ? 0 : response->incarnation;
	self->parent_change = response->change;
	return true;
}

/* Whether changes have been withheld since the request. Only all rows show
 * their outcome, and some of those in the response may be older. */
static bool
is_overtaken(const row_sync_t *self)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		const feed_table_state_t *state =
		    &self->apply.response.tables[i];

		if (self->withheld_version[i] != 0 &&
		    (!state->full || state->sent.len > 0))
			return true;
	}
	return false;
}

row_apply_result_t
row_apply_step(row_sync_t *self)
{
	row_apply_result_t result = ROW_APPLY_MORE;

	if (is_overtaken(self)) {
		feed_server_pause(&self->server, false);
		return ROW_APPLY_OUTDATED;
	}
	self->applying = true;
	self->applying_older = sender_is_older(self, &self->apply.response);
	if (rows_apply(self))
		result = apply_end(self) ? ROW_APPLY_DONE : ROW_APPLY_OUTDATED;
	self->applying = false;
	if (result != ROW_APPLY_MORE)
		feed_server_pause(&self->server, false);
	return result;
}

void
row_apply_cancel(row_sync_t *self)
{
	if (!self->apply.active)
		return;
	self->apply.active = false;
	feed_response_clear(&self->apply.response);
	feed_server_pause(&self->server, false);
}
