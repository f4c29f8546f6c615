#include "relay_request.h"

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
