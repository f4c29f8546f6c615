#include "moortack/relay/feed_apply.h"

#include "moortack/relay/row_cache.h"

/* Rows that a whole answer does not name are gone, unless they are newer. */
static void
unnamed_end(
    const feed_answer_t *answer, row_cache_t *cache, feed_row_t told, void *arg)
{
	cached_row_t *row, *next;

	for (row = cache->rows; row != NULL; row = next) {
		row_t end = {.key = cached_row_key(row),
		    .version = answer->tables[row->table].known,
		    .deleted = true};

		next = row->hh.next;
		if (row->seen || row->value == NULL ||
		    row->version > answer->tables[row->table].known)
			continue;
		told(arg, row->table, &end);
	}
}

void
feed_apply(
    const feed_answer_t *answer, row_cache_t *cache, feed_row_t told, void *arg)
{
	size_t len = json_array_size(answer->rows);
	row_table_t table;
	row_t row;

	if (answer->whole) {
		for (int i = 0; i < ROW_TABLES; i++)
			row_cache_restart(cache, (row_table_t)i);
	}
	for (size_t i = 0; i < len; i++) {
		if (feed_answer_row(answer, i, &table, &row) &&
		    !row_cache_newer(cache, table, &row))
			told(arg, table, &row);
	}
	if (!answer->whole)
		return;
	unnamed_end(answer, cache, told, arg);
	for (int i = 0; i < ROW_TABLES; i++)
		cache->since[i] = answer->tables[i].known;
}

/* Whether all that the asker does not know is known here, ends too. */
static bool
knows_tables(const row_cache_t *cache, const feed_point_t *from)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (from->versions[i] == 0 ||
		    from->versions[i] < cache->since[i])
			return false;
	}
	return true;
}

void
feed_fill(const row_cache_t *cache, uint64_t incarnation,
    const feed_point_t *from, feed_answer_t *answer)
{
	bool again = from->source == incarnation;

	answer->whole = !knows_tables(cache, from);
	for (const cached_row_t *row = cache->rows; row != NULL;
	     row = row->hh.next) {
		bool told = again ? row->change > from->change
				  : row->version > from->versions[row->table];

		if (answer->whole ? row->value != NULL : told)
			feed_answer_add(answer, row);
	}
}
