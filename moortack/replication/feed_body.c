#include "moortack/replication/feed_body.h"

#include <stdlib.h>
#include <string.h>

#include "moortack/replication/feed_apply.h"

static bool
same_versions(const feed_point_t *a, const feed_point_t *b)
{
	return memcmp(a->versions, b->versions, sizeof(a->versions)) == 0;
}

/* Changes depend on the asker's newest one alone. Of whole tables, versions of
 * rows that mean the same decide which ends are told. */
static bool
fits(const feed_body_t *body, const row_cache_t *cache,
    const feed_point_t *from, const feed_answer_t *answer)
{
	if (!body->made || body->change != cache->change)
		return false;
	if (body->again)
		return body->from.change == from->change;
	for (int i = 0; i < ROW_TABLES; i++) {
		if (body->whole[i] != answer->tables[i].whole)
			return false;
	}
	return body->renewed == cache->renewed &&
	    body->from.source == from->source &&
	    body->from.change == from->change &&
	    same_versions(&body->from, from);
}

static bool
rows_pack(feed_answer_t *answer, feed_bytes_t *bytes)
{
	char *text = NULL;
	bool packed;

	*bytes = (feed_bytes_t){0};
	if (json_array_size(answer->rows) == 0)
		return true;
	text = feed_rows_text(answer);
	packed = text != NULL && feed_pack(text, bytes);
	free(text);
	return packed;
}

static bool
body_make(feed_body_t *body, const row_cache_t *cache, const feed_point_t *from,
    bool again, feed_answer_t *answer)
{
	free(body->bytes.data);
	*body = (feed_body_t){.again = again && !feed_answer_whole(answer),
	    .from = *from,
	    .change = cache->change,
	    .renewed = cache->renewed};
	for (int i = 0; i < ROW_TABLES; i++)
		body->whole[i] = answer->tables[i].whole;
	answer->rows = json_array();
	feed_fill_rows(cache, from, again, answer);
	body->made = rows_pack(answer, &body->bytes);
	json_decref(answer->rows);
	answer->rows = NULL;
	return body->made;
}

const feed_bytes_t *
feed_bodies_for(feed_bodies_t *bodies, const row_cache_t *cache,
    uint64_t incarnation, const feed_point_t *from, feed_answer_t *answer)
{
	bool again = feed_fill_tables(cache, incarnation, from, answer);
	feed_body_t *body = again && !feed_answer_whole(answer)
	    ? &bodies->changes
	    : &bodies->whole;

	if (!fits(body, cache, from, answer)) {
		bodies->made++;
		if (!body_make(body, cache, from, again, answer))
			return NULL;
	}
	return &body->bytes;
}

void
feed_bodies_finish(feed_bodies_t *bodies)
{
	free(bodies->changes.bytes.data);
	free(bodies->whole.bytes.data);
}
