#include <inttypes.h>

#include "relay_request.h"

/* Number of recorded and possible crashes from which on the daemon does not
 * retry a request. */
#define RETRY_SUSPICION_LIMIT 2
/* With fewer available endpoints, a suspect could crash the last one. */
#define AVAILABLE_ENDPOINTS_MIN 2

static void
decision_log(const relay_request_t *req, uint64_t digest)
{
	const quarantine_t *table = &req->relay->quarantine.table;

	event_log_write_throttled(req->relay->log, EVENT_THROTTLED_SUSPECT,
	    "digest=%016" PRIx64 " id=%s crashes=%zu left_ms=%" PRId64
	    " how=%s",
	    digest, req->arrival.id, quarantine_crash_count(table, digest),
	    quarantine_remaining_ms(table, digest),
	    req->quarantine_trial ? "tried" : "refused");
}

bool
relay_quarantine_refuses(relay_request_t *req)
{
	relay_quarantine_t *self = &req->relay->quarantine;
	size_t causes;
	uint64_t digest;

	if (self->table.quarantined_count == 0 || req->quarantine_trial)
		return false;
	causes = relay_quarantined_causes(req, &digest);
	if (causes == 0)
		return false;
	/* The result of a trial says nothing if there are several causes. */
	req->quarantine_trial = causes == 1 &&
	    quarantine_admit(&self->table, digest,
		gossip_owns_digest(req->relay->gossip, digest));
	req->quarantined_cause = digest;
	decision_log(req, digest);
	return !req->quarantine_trial;
}

/* Number of crashes recorded for the request, and of interrupted attempts that
 * may turn out to be crashes. */
static size_t
request_suspicion(relay_request_t *req)
{
	const relay_quarantine_t *self = &req->relay->quarantine;

	size_t crashes, interrupted = 0;

	if (HASH_COUNT(self->table.suspects) == 0 && self->interrupted.len == 0)
		return 0;
	crashes =
	    quarantine_crash_count(&self->table, relay_request_digest(req));
	/* With the links lost, connections are lost to all endpoints. */
	if (relay_reach_verdict(req) == REACH_OK)
		interrupted = unresolved_attempts_count(
		    &self->interrupted, relay_request_digest(req));
	return crashes + interrupted;
}

/* The same for the request or the most suspected part of its prompt. */
static size_t
suspicion_count(relay_request_t *req)
{
	size_t request = request_suspicion(req);
	size_t part = relay_parts_suspicion(req);

	return part > request ? part : request;
}

bool
relay_request_suspected(relay_request_t *req)
{
	return suspicion_count(req) > 0;
}

bool
relay_suspect_forbids_retry(relay_request_t *req)
{
	return suspicion_count(req) >= RETRY_SUSPICION_LIMIT;
}

/* Number of endpoints of the request's service that are healthy, not leaving,
 * and not suspected of having crashed. */
static size_t
available_endpoints_count(const relay_request_t *req)
{
	const endpoint_group_t *group =
	    endpoint_set_find_group(req->relay->endpoints, req->service);
	size_t count = 0;

	for (size_t i = 0; group != NULL && i < group->len; i++)
		count += !endpoint_is_leaving(group->ring[i]) &&
		    !endpoint_is_ejected(group->ring[i]) &&
		    !unresolved_attempts_has(
			&req->relay->quarantine.interrupted,
			group->ring[i]->short_hash);
	return count;
}

/* After a single crash, a caller's new try is sent in any case: up to a hundred
 * requests were in flight at the endpoint that crashed, so this one most likely
 * was not the cause. */
bool
relay_suspect_may_send(relay_request_t *req)
{
	size_t suspicion = suspicion_count(req);

	return suspicion == 0 || (suspicion == 1 && req->sends == 0) ||
	    available_endpoints_count(req) >= AVAILABLE_ENDPOINTS_MIN;
}

bool
relay_suspect_await_probe(relay_request_t *req)
{
	const relay_quarantine_t *self = &req->relay->quarantine;

	req->awaits_probe = self->probes != NULL &&
	    unresolved_attempts_count(
		&self->interrupted, relay_request_digest(req)) > 0;
	return req->awaits_probe;
}
