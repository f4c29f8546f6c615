#include "moortack/replication/feed_body.h"

#include <stdlib.h>
#include <string.h>

#include "moortack/replication/feed_apply.h"

static bool
versions_equal(const feed_position_t *a, const feed_position_t *b)
{
	return memcmp(a->versions, b->versions, sizeof(a->versions)) == 0;
}

/* Whether the body fits a request. Changes depend only on the requester's
 * newest one. In full tables, the versions of rows also matter where their
 * meaning is unchanged: they decide which deletions are sent. */
static bool
body_fits(const feed_body_t *body, const row_cache_t *cache,
    const feed_position_t *position, const feed_response_t *response)
{
	if (!body->valid || body->change != cache->last_change)
		return false;
	if (body->incremental)
		return body->position.change == position->change;
	/* No other requester has the same rows. */
	if (body->summarized || position->summaries != NULL)
		return false;
	for (int i = 0; i < ROW_TABLES; i++) {
		if (body->full[i] != response->tables[i].full)
			return false;
	}
	return body->put_count == cache->put_count &&
	    body->position.incarnation == position->incarnation &&
	    body->position.change == position->change &&
	    versions_equal(&body->position, position);
}

static bool
rows_pack(feed_response_t *response, feed_bytes_t *bytes)
{
	char *text = NULL;
	bool packed;

	*bytes = (feed_bytes_t){0};
	if (json_array_size(response->rows) == 0)
		return true;
	text = feed_rows_encode(response);
	packed = text != NULL && feed_pack(text, bytes);
	free(text);
	return packed;
}

static bool
body_encode(feed_body_t *body, const row_cache_t *cache,
    const feed_position_t *position, bool incremental,
    feed_response_t *response)
{
	free(body->bytes.data);
	*body = (feed_body_t){.incremental = incremental &&
		!feed_response_has_full_table(response),
	    .position = *position,
	    .summarized = position->summaries != NULL,
	    .change = cache->last_change,
	    .put_count = cache->put_count};
	body->position.summaries = NULL;
	for (int i = 0; i < ROW_TABLES; i++)
		body->full[i] = response->tables[i].full;
	response->rows = json_array();
	feed_rows_fill(cache, position, incremental, response);
	body->valid = rows_pack(response, &body->bytes);
	json_decref(response->rows);
	response->rows = NULL;
	return body->valid;
}

const feed_bytes_t *
feed_body_cache_get(feed_body_cache_t *bodies, const row_cache_t *cache,
    uint64_t incarnation, const feed_position_t *position,
    feed_response_t *response)
{
	bool incremental =
	    feed_tables_fill(cache, incarnation, position, response);
	feed_body_t *body =
	    incremental && !feed_response_has_full_table(response)
	    ? &bodies->incremental
	    : &bodies->full;

	if (!body_fits(body, cache, position, response)) {
		bodies->encoded++;
		if (!body_encode(body, cache, position, incremental, response))
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
