#include "moortack/replication/feed_apply.h"

#include "moortack/replication/feed_delta.h"
#include "moortack/replication/row_cache.h"

/* Deletes the rows that a full table does not list, unless they are newer than
 * it. */
static void
unlisted_rows_delete(const feed_response_t *response, row_cache_t *cache,
    feed_row_cb_t on_row, void *arg)
{
	row_origin_t before = cache->origin;
	cached_row_t *row, *next;

	cache->origin = ROW_ORIGIN_PEER;
	for (row = cache->rows; row != NULL; row = next) {
		row_t deletion = {.key = cached_row_key(row),
		    .version = response->tables[row->table].deletions_version,
		    .deleted = true};

		next = row->hh.next;
		if (!response->tables[row->table].full ||
		    cached_row_is_marked(row, ROW_ORIGIN_PEER) ||
		    row->value == NULL ||
		    row->version >
			response->tables[row->table].deletions_version)
			continue;
		on_row(arg, row->table, &deletion);
	}
	cache->origin = before;
}

/* A full table has every row as of the table's version. It may have a row as it
 * was before a change that was seen only here: the row has been changed back
 * since, which is no change to those that did not see the first one. */
static void
listed_row_renew(const feed_response_t *response, const row_cache_t *cache,
    row_table_t table, row_t *row)
{
	const cached_row_t *cached = row_cache_find(cache, table, row->key);
	const feed_table_state_t *state = &response->tables[table];

	if (state->full && !row->deleted && cached != NULL &&
	    cached->version > row->version && cached->version <= state->version)
		row->version = state->version;
}

static bool
is_unsent(const feed_response_t *response, const cached_row_t *row)
{
	const feed_table_state_t *state = &response->tables[row->table];

	return state->full && !row_bucket_set_has(&state->sent, row->hash);
}

bool
feed_apply_confirm(
    const feed_response_t *response, row_cache_t *cache, uint64_t requested)
{
	for (cached_row_t *row = cache->rows; row != NULL; row = row->hh.next) {
		if (!is_unsent(response, row))
			continue;
		if (row->change > requested)
			return false;
		if (row->value != NULL)
			cached_row_mark(row, ROW_ORIGIN_PEER);
	}
	return true;
}

void
feed_apply_begin(const feed_response_t *response, row_cache_t *cache)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (response->tables[i].full)
			row_cache_clear_marks(
			    cache, (row_table_t)i, ROW_ORIGIN_PEER);
	}
}

static void
row_apply(const feed_response_t *response, row_cache_t *cache,
    row_table_t table, row_t *row, feed_row_cb_t on_row, void *arg)
{
	row_origin_t before = cache->origin;

	cache->origin = ROW_ORIGIN_PEER;
	listed_row_renew(response, cache, table, row);
	if (!row_cache_has_newer(cache, table, row))
		on_row(arg, table, row);
	cache->origin = before;
}

bool
feed_apply_next(const feed_response_t *response, row_cache_t *cache,
    feed_cursor_t *cursor, feed_row_cb_t on_row, void *arg)
{
	size_t len = json_array_size(response->rows);
	row_table_t table;
	row_t row;

	while (cursor->next < len) {
		size_t index = cursor->next++;

		if (!feed_response_row(response, index, &table, &row) ||
		    (table == ROW_TABLE_OPERATOR) != !cursor->operators_done)
			continue;
		row_apply(response, cache, table, &row, on_row, arg);
		return true;
	}
	if (cursor->operators_done)
		return false;
	*cursor = (feed_cursor_t){.operators_done = true};
	return true;
}

void
feed_apply_end(const feed_response_t *response, row_cache_t *cache,
    feed_row_cb_t on_row, void *arg)
{
	if (!feed_response_has_full_table(response))
		return;
	unlisted_rows_delete(response, cache, on_row, arg);
	for (int i = 0; i < ROW_TABLES; i++) {
		if (response->tables[i].full)
			cache->complete_since[i] =
			    response->tables[i].deletions_version;
	}
}

/* Whether the requester gets all rows of the table. One whose last request came
 * here has no rows but those that were sent to it, and those that it read
 * itself, for which it asks for all rows once they are known here: deletions
 * are changes to it, also if they show only by a full list. One that comes from
 * another daemon may miss a deletion, and a row that was deleted and written
 * again with the same meaning is no change that is sent. Operators' rows are
 * not taken back, so that the versions suffice. */
static bool
needs_full_table(const row_cache_t *cache, const feed_position_t *position,
    row_table_t table, bool incremental)
{
	if (position->versions[table] == 0)
		return true;
	return !incremental &&
	    (table != ROW_TABLE_OPERATOR ||
		position->versions[table] < cache->complete_since[table]);
}

/* Adds the rows that changed since the requester's last response, which is all
 * that it needs of tables that are not sent in full. */
static void
changes_add(const row_cache_t *cache, uint64_t since, feed_response_t *response)
{
	for (const cached_row_t *row = row_cache_first_after(cache, since);
	     row != NULL; row = row_cache_next_change(cache, row)) {
		if (!response->tables[row->table].full)
			feed_delta_add_row(response, row, since);
	}
}

/* Whether a table that is sent in full has the row.
 * @param newer than the requester's version */
static bool
full_table_has(
    const feed_table_state_t *state, const cached_row_t *row, bool newer)
{
	/* A deletion may be newer than the table's version, which goes back
	 * while this daemon relies on another with an older one. */
	return row_bucket_set_has(&state->sent, row->hash) &&
	    (row->value != NULL || newer);
}

/* Adds the rows that are newer than the requester's versions, and the rows of
 * the tables that are sent in full.
 * @param incremental the changes of the other tables have been added */
static void
rows_add(const row_cache_t *cache, const feed_position_t *position,
    bool incremental, feed_response_t *response)
{
	for (const cached_row_t *row = cache->rows; row != NULL;
	     row = row->hh.next) {
		const feed_table_state_t *state = &response->tables[row->table];
		bool newer = row->version > position->versions[row->table];

		if (state->full ? full_table_has(state, row, newer)
				: newer && !incremental)
			feed_response_add_row(response, row);
	}
}

/* What a full table has to have, by the requester's summary of its rows. */
static void
sent_buckets_fill(const row_cache_t *cache, const feed_position_t *position,
    row_table_t table, feed_table_state_t *state)
{
	state->sent.len = 0;
	if (state->full && position->summaries != NULL &&
	    position->summaries[table].len > 0)
		row_summary_compare(&cache->summaries[table],
		    &position->summaries[table], &state->sent);
}

bool
feed_tables_fill(const row_cache_t *cache, uint64_t incarnation,
    const feed_position_t *position, feed_response_t *response)
{
	bool incremental = position->incarnation == incarnation;

	for (int i = 0; i < ROW_TABLES; i++) {
		response->tables[i].full = needs_full_table(
		    cache, position, (row_table_t)i, incremental);
		sent_buckets_fill(
		    cache, position, (row_table_t)i, &response->tables[i]);
	}
	return incremental;
}

void
feed_rows_fill(const row_cache_t *cache, const feed_position_t *position,
    bool incremental, feed_response_t *response)
{
	if (incremental)
		changes_add(cache, position->change, response);
	if (!incremental || feed_response_has_full_table(response))
		rows_add(cache, position, incremental, response);
}
