#include "moortack/replication/feed_rows.h"

#include "moortack/replication/feed_delta.h"
#include "moortack/replication/row_cache.h"

/* Rows that a whole answer does not name are gone, unless they are newer. */
static void
unnamed_end(const feed_response_t *answer, row_cache_t *cache,
    feed_row_cb_t told, void *arg)
{
	cached_row_t *row, *next;

	for (row = cache->rows; row != NULL; row = next) {
		row_t end = {.key = cached_row_key(row),
		    .version = answer->tables[row->table].deletions_version,
		    .deleted = true};

		next = row->hh.next;
		if (!answer->tables[row->table].full ||
		    cached_row_is_marked(row, ROW_ORIGIN_PEER) ||
		    row->value == NULL ||
		    row->version > answer->tables[row->table].deletions_version)
			continue;
		told(arg, row->table, &end);
	}
}

/* A whole answer tells how each row is as of its version, also with the row of
 * before a change that was seen here and not there: it has become what it was,
 * which is no change to those who did not see it. */
static void
named_renew(const feed_response_t *answer, const row_cache_t *cache,
    row_table_t table, row_t *row)
{
	const cached_row_t *known = row_cache_find(cache, table, row->key);
	const feed_table_state_t *told = &answer->tables[table];

	if (told->full && !row->deleted && known != NULL &&
	    known->version > row->version && known->version <= told->version)
		row->version = told->version;
}

static void
rows_apply(const feed_response_t *answer, row_cache_t *cache,
    feed_row_cb_t told, void *arg)
{
	size_t len = json_array_size(answer->rows);
	row_table_t table;
	row_t row;

	for (int i = 0; i < ROW_TABLES; i++) {
		if (answer->tables[i].full)
			row_cache_clear_marks(
			    cache, (row_table_t)i, ROW_ORIGIN_PEER);
	}
	for (size_t i = 0; i < len; i++) {
		if (!feed_response_row(answer, i, &table, &row))
			continue;
		named_renew(answer, cache, table, &row);
		if (!row_cache_has_newer(cache, table, &row))
			told(arg, table, &row);
	}
	if (!feed_response_has_full_table(answer))
		return;
	unnamed_end(answer, cache, told, arg);
	for (int i = 0; i < ROW_TABLES; i++) {
		if (answer->tables[i].full)
			cache->complete_since[i] =
			    answer->tables[i].deletions_version;
	}
}

void
feed_rows_apply(const feed_response_t *answer, row_cache_t *cache,
    feed_row_cb_t told, void *arg)
{
	row_origin_t before = cache->origin;

	cache->origin = ROW_ORIGIN_PEER;
	rows_apply(answer, cache, told, arg);
	cache->origin = before;
}

/* Whether the asker is told all rows of the table: it may miss an end, or it
 * comes from another daemon, and rows that went and came back without a change
 * of meaning are told to nobody. Orders are not taken back. */
static bool
wants_whole(const row_cache_t *cache, const feed_position_t *from,
    row_table_t table, bool again)
{
	return from->versions[table] == 0 ||
	    from->versions[table] < cache->complete_since[table] ||
	    (!again && table != ROW_TABLE_OPERATOR);
}

/* The rows that changed since the asker's last answer: all that it needs,
 * unless a table is told whole. */
static void
changes_add(const row_cache_t *cache, uint64_t since, feed_response_t *answer)
{
	for (const cached_row_t *row = row_cache_first_after(cache, since);
	     row != NULL; row = row_cache_next_change(cache, row)) {
		if (!answer->tables[row->table].full)
			feed_delta_add_row(answer, row, since);
	}
}

/* The rows that are newer than the asker's versions, and all of the tables that
 * are told whole.
 * @param again the asker was told the changes of the other tables */
static void
rows_add(const row_cache_t *cache, const feed_position_t *from, bool again,
    feed_response_t *answer)
{
	for (const cached_row_t *row = cache->rows; row != NULL;
	     row = row->hh.next) {
		bool newer = row->version > from->versions[row->table];

		/* An end may be later than the version that is told: that goes
		 * back while this daemon relies on one that knows less. */
		if (answer->tables[row->table].full
			? row->value != NULL || newer
			: newer && !again)
			feed_response_add_row(answer, row);
	}
}

bool
feed_tables_fill(const row_cache_t *cache, uint64_t incarnation,
    const feed_position_t *from, feed_response_t *answer)
{
	bool again = from->incarnation == incarnation;

	for (int i = 0; i < ROW_TABLES; i++)
		answer->tables[i].full =
		    wants_whole(cache, from, (row_table_t)i, again);
	return again;
}

void
feed_rows_fill(const row_cache_t *cache, const feed_position_t *from,
    bool again, feed_response_t *answer)
{
	if (again)
		changes_add(cache, from->change, answer);
	if (!again || feed_response_has_full_table(answer))
		rows_add(cache, from, again, answer);
}
