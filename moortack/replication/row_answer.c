#include <string.h>

#include "moortack/replication/feed_apply.h"
#include "row_source_priv.h"

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

/* Advances the tables to the versions and ages in the response, but for those
 * that it covers only in part. */
static void
tables_advance(row_sync_t *self, const feed_response_t *response,
    const bool partial[ROW_TABLES], struct timespec sent)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		const feed_table_state_t *table = &response->tables[i];

		/* With all rows, this daemon has what the sender has and no
		 * more: it continues from there, even if its own version is
		 * later. */
		if (table->full)
			row_watch_rewind(
			    &self->watches[i].watch, table->version);
		if (partial[i])
			continue;
		if (table->deletions_version > self->deletions_version[i])
			self->deletions_version[i] = table->deletions_version;
		if (table->age_ms < 0)
			continue;
		row_watch_advance(&self->watches[i].watch, table->version,
		    timespec_add_ms(sent, -table->age_ms));
		self->ops->synced(self->arg, (row_table_t)i, false);
	}
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

/** A response whose rows are being applied. */
typedef struct apply_context {
	row_sync_t *self;
	const feed_response_t *response;
} apply_context_t;

/* Whether the row has been deleted since: the sender has an older version than
 * this daemon, which does not have the row. */
static bool
row_deleted_since(
    const apply_context_t *context, row_table_t table, const row_t *row)
{
	const row_sync_t *self = context->self;
	const cached_row_t *cached =
	    row_cache_find(&self->cache, table, row->key);
	uint64_t version = self->watches[table].watch.version;

	return !row->deleted && row_may_reappear(table, row->key) &&
	    row->version <= version &&
	    context->response->tables[table].version < version &&
	    (cached == NULL || cached->value == NULL);
}

static void
on_row(void *arg, row_table_t table, const row_t *row)
{
	const apply_context_t *context = arg;

	if (!row_deleted_since(context, table, row))
		context->self->ops->row(context->self->arg, table, row);
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
row_response_apply(
    row_sync_t *self, const feed_response_t *response, struct timespec sent)
{
	apply_context_t context = {self, response};
	work_turn_t turn = work_begin(self->meter);
	bool partial[ROW_TABLES];
	bool request_all;

	json_decref(self->parent_path);
	self->parent_path = json_incref(response->path);
	self->applying = true;
	self->applying_older = sender_is_older(self, response);
	request_all = partial_tables_note(self, response, partial);
	feed_rows_apply(response, &self->cache, on_row, &context);
	self->applying = false;
	if (feed_response_has_full_table(response)) {
		unsent_rows_confirm(self, response);
		newer_rows_note(self, response);
		self->summary_outdated = false;
	}
	if (response->tables[ROW_TABLE_SYSTEM].full)
		row_sync_check_own_row(self);
	tables_advance(self, response, partial, sent);
	self->parent_incarnation = request_all ? 0 : response->incarnation;
	self->parent_change = response->change;
	work_end(self->meter, WORK_ROWS_APPLY, &turn,
	    json_array_size(response->rows));
}
