#include <inttypes.h>

#include "relay_request.h"

/* Crashes under a request from which on it is not sent again by itself. */
#define SUSPICION_STOPS 2
/* Where fewer endpoints are left, a suspect could crash the last one. */
#define LIVE_MIN 2

static void
decision_log(const relay_request_t *req, uint64_t digest)
{
	const quarantine_t *table = &req->relay->quarantine.table;

	event_log_write_throttled(req->relay->log, EVENT_THROTTLED_SUSPECT,
	    "digest=%016" PRIx64 " id=%s crashes=%zu left_ms=%" PRId64
	    " how=%s",
	    digest, req->arrival.id, quarantine_crashes(table, digest),
	    quarantine_left_ms(table, digest),
	    req->on_trial ? "tried" : "refused");
}

bool
relay_quarantine_refuses(relay_request_t *req)
{
	relay_quarantine_t *self = &req->relay->quarantine;
	uint64_t digest;

	if (self->table.held == 0 || req->on_trial)
		return false;
	digest = relay_digest(req);
	if (!quarantine_is_held(quarantine_find(&self->table, digest)))
		return false;
	req->on_trial = quarantine_admits(
	    &self->table, digest, gossip_owns(req->relay->gossip, digest));
	decision_log(req, digest);
	return !req->on_trial;
}

/* Crashes that count against the request, and those that may turn out so. */
static size_t
suspicion_of(relay_request_t *req)
{
	const relay_quarantine_t *self = &req->relay->quarantine;

	if (HASH_COUNT(self->table.suspects) == 0 && self->evidence.len == 0)
		return 0;
	return quarantine_crashes(&self->table, relay_digest(req)) +
	    crash_evidence_of(&self->evidence, relay_digest(req));
}

bool
relay_suspected(relay_request_t *req)
{
	return suspicion_of(req) > 0;
}

bool
relay_suspect_stops(relay_request_t *req)
{
	return suspicion_of(req) >= SUSPICION_STOPS;
}

/* Endpoints of the request's service that answered lately. */
static size_t
live_count(const relay_request_t *req)
{
	const endpoint_group_t *group =
	    endpoint_set_group(req->relay->endpoints, req->service);
	size_t count = 0;

	for (size_t i = 0; group != NULL && i < group->len; i++)
		count += !group->ring[i]->facts.leaving &&
		    !endpoint_ejected(group->ring[i]) &&
		    !crash_evidence_open(&req->relay->quarantine.evidence,
			group->ring[i]->short_hash);
	return count;
}

/* A caller's new try is one of up to a hundred requests that were under way at
 * an endpoint that crashed: not the one that crashed it, most likely. */
bool
relay_suspect_fits(relay_request_t *req)
{
	size_t suspicion = suspicion_of(req);

	return suspicion == 0 || (suspicion == 1 && req->sends == 0) ||
	    live_count(req) >= LIVE_MIN;
}

bool
relay_suspect_waits(relay_request_t *req)
{
	const relay_quarantine_t *self = &req->relay->quarantine;

	req->awaits_probe = self->probes != NULL &&
	    crash_evidence_of(&self->evidence, relay_digest(req)) > 0;
	return req->awaits_probe;
}
