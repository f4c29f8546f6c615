#include "relay_request.h"

#include <stdlib.h>

/* Further parts of a prompt are left out. */
#define SHARED_PARTS_MAX 1024
#define RANK_MAX 9

int64_t
request_age_ms(const relay_request_t *req)
{
	return timespec_ms_between(
	    req->received_at, clock_boottime(req->relay->clock));
}

double
request_since_first_try_ms(const relay_request_t *req)
{
	return req->earlier_tries_ms + (double)request_age_ms(req);
}

int64_t
request_remaining_ms(const relay_request_t *req)
{
	return req->time_limit_ms - request_age_ms(req);
}

int
request_rank(const relay_request_t *req)
{
	int rank = req->route->priority;

	if (req->organisation != NULL && req->organisation->priority >= 0)
		rank = req->organisation->priority;
	return rank < RANK_MAX ? rank : RANK_MAX;
}

bool
request_idempotent(const relay_request_t *req)
{
	return req->route->kind == ROUTE_IDEMPOTENT ||
	    (req->route->kind == ROUTE_STREAM && req->route->resumable);
}

uint32_t
request_sends_max(const relay_request_t *req)
{
	return req->from_daemon && req->sends_max < req->route->attempts_max
	    ? req->sends_max
	    : req->route->attempts_max;
}

uint64_t
relay_request_digest(relay_request_t *req)
{
	const relay_quarantine_t *quarantine = &req->relay->quarantine;

	if (req->digest == 0 && quarantine->key_known)
		req->digest = request_digest(&quarantine->key,
		    req->organisation != NULL ? req->organisation->name : "",
		    http_inbound_request(req->caller)->target, req->body);
	return req->digest;
}

static void
parts_decode(relay_request_t *req)
{
	static uint64_t ids[SHARED_PARTS_MAX];
	const relay_t *relay = req->relay;
	size_t len = relay->caller_dialect->shared_parts(
	    http_inbound_request(req->caller), ids, SHARED_PARTS_MAX);

	req->parts_decoded = true;
	if (len == 0)
		return;
	req->part_digests = malloc(len * sizeof(ids[0]));
	if (req->part_digests == NULL)
		return;
	for (size_t i = 0; i < len; i++)
		req->part_digests[i] =
		    part_digest(&relay->quarantine.key, ids[i]);
	req->part_digests_len = len;
}

const uint64_t *
relay_request_parts(relay_request_t *req, size_t *len)
{
	if (!req->parts_decoded && req->relay->quarantine.key_known)
		parts_decode(req);
	*len = req->part_digests_len;
	return req->part_digests;
}
