#include "moortack/replication/feed_body.h"

#include <stdlib.h>
#include <string.h>

#include "moortack/replication/feed_rows.h"

static bool
same_versions(const feed_position_t *a, const feed_position_t *b)
{
	return memcmp(a->versions, b->versions, sizeof(a->versions)) == 0;
}

/* Changes depend on the asker's newest one alone. Of whole tables, versions of
 * rows that mean the same decide which ends are told. */
static bool
fits(const feed_body_t *body, const row_cache_t *cache,
    const feed_position_t *from, const feed_response_t *answer)
{
	if (!body->valid || body->change != cache->last_change)
		return false;
	if (body->incremental)
		return body->position.change == from->change;
	for (int i = 0; i < ROW_TABLES; i++) {
		if (body->full[i] != answer->tables[i].full)
			return false;
	}
	return body->put_count == cache->put_count &&
	    body->position.incarnation == from->incarnation &&
	    body->position.change == from->change &&
	    same_versions(&body->position, from);
}

static bool
rows_pack(feed_response_t *answer, feed_bytes_t *bytes)
{
	char *text = NULL;
	bool packed;

	*bytes = (feed_bytes_t){0};
	if (json_array_size(answer->rows) == 0)
		return true;
	text = feed_rows_encode(answer);
	packed = text != NULL && feed_pack(text, bytes);
	free(text);
	return packed;
}

static bool
body_make(feed_body_t *body, const row_cache_t *cache,
    const feed_position_t *from, bool again, feed_response_t *answer)
{
	free(body->bytes.data);
	*body = (feed_body_t){
	    .incremental = again && !feed_response_has_full_table(answer),
	    .position = *from,
	    .change = cache->last_change,
	    .put_count = cache->put_count};
	for (int i = 0; i < ROW_TABLES; i++)
		body->full[i] = answer->tables[i].full;
	answer->rows = json_array();
	feed_rows_fill(cache, from, again, answer);
	body->valid = rows_pack(answer, &body->bytes);
	json_decref(answer->rows);
	answer->rows = NULL;
	return body->valid;
}

const feed_bytes_t *
feed_body_cache_get(feed_body_cache_t *bodies, const row_cache_t *cache,
    uint64_t incarnation, const feed_position_t *from, feed_response_t *answer)
{
	bool again = feed_tables_fill(cache, incarnation, from, answer);
	feed_body_t *body = again && !feed_response_has_full_table(answer)
	    ? &bodies->incremental
	    : &bodies->full;

	if (!fits(body, cache, from, answer)) {
		bodies->encoded++;
		if (!body_make(body, cache, from, again, answer))
			return NULL;
	}
	return &body->bytes;
}

void
feed_body_cache_finish(feed_body_cache_t *bodies)
{
	free(bodies->incremental.bytes.data);
	free(bodies->full.bytes.data);
}
