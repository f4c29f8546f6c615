/**
 * @file
 * A request of a follower and the response of its parent, encoded and decoded
 * as they are between daemons.
 */
#ifndef TEST_SUPPORT_FEED_TRANSFER_H
#define TEST_SUPPORT_FEED_TRANSFER_H

#include <stdlib.h>
#include <string.h>

#include "../../moortack/replication/row_source_priv.h"
#include "moortack/replication/feed_body.h"

/** The follower's request, as its parent receives it; false: not readable. */
static inline bool
feed_request_transfer(row_sync_t *follower, feed_request_t *received)
{
	feed_request_t request = {.id = 1, .name = "follower"};
	char *text;
	bool decoded;

	row_follow_position(follower, &request.position);
	text = feed_request_encode(&request);
	feed_request_clear(&request);
	decoded = feed_request_decode(text, strlen(text), received);
	free(text);
	return decoded;
}

/** The parent's response, as the follower receives it; false: not readable.
 * feed_response_clear() releases it. */
static inline bool
feed_response_transfer(
    row_sync_t *parent, feed_request_t *request, feed_response_t *received)
{
	feed_response_t response = {.request_id = request->id,
	    .incarnation = parent->incarnation,
	    .change = parent->cache.last_change};
	const feed_bytes_t *rows =
	    feed_body_cache_get(&parent->server.body_cache, &parent->cache,
		response.incarnation, &request->position, &response);
	feed_bytes_t body = {0};
	bool decoded;
	char *text;

	feed_request_clear(request);
	row_follow_fill_state(parent, &response);
	text = feed_response_encode(&response);
	feed_response_clear(&response);
	decoded = rows != NULL &&
	    (rows->len == 0 || feed_unpack(rows->data, rows->len, &body)) &&
	    feed_response_decode(
		text, strlen(text), body.data, body.len, received);
	free(text);
	free(body.data);
	return decoded;
}

/** Makes a daemon follow another one from its next request on. */
static inline void
feed_parent_set(row_sync_t *follower, const char *parent)
{
	if (strcmp(follower->parent, parent) == 0)
		return;
	strcpy(follower->parent, parent);
	follower->following = false;
	follower->parent_incarnation = 0;
	follower->parent_change = 0;
}

#endif
