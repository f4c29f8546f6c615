#include <inttypes.h>

#include "relay_quarantine_priv.h"
#include "relay_request.h"

/* An endpoint that crashed and can't be reached is gone from the store within
 * three of its heartbeats. */
#define EVIDENCE_MS 8000
/* An endpoint goes on for a moment with a run that was given up, and may crash
 * under it still. */
#define LEFT_MS 1000
/* All connections of a process that ended are reset within a few ms of each
 * other; a run that was given up is looked after later. */
#define PROBE_MS 20
#define PROBE_LEFT_MS 300

static void
suspicion_log(const relay_quarantine_t *self, uint64_t digest,
    const endpoint_t *endpoint, const char *how)
{
	event_log_write_throttled(self->relay->log, EVENT_THROTTLED_SUSPECT,
	    "digest=%016" PRIx64 " crashes=%zu endpoint=%s how=%s", digest,
	    quarantine_crashes(&self->table, digest), endpoint->facts.id, how);
}

/* Take the attempts that were under way there, and tell of them. */
static void
crashes_take(relay_quarantine_t *self, crash_evidence_t *evidence,
    const endpoint_t *endpoint, const char *how)
{
	gossip_message_t message = {.kind = GOSSIP_CRASH,
	    .endpoint = endpoint->short_hash,
	    .version = quarantine_version_of(endpoint)};
	broken_attempt_t broken;

	while (crash_evidence_take(evidence, endpoint->short_hash, &broken)) {
		if (!quarantine_crash(&self->table, broken.digest,
			broken.incarnation, broken.version, true))
			continue;
		suspicion_log(self, broken.digest, endpoint, how);
		message.digests[message.digests_len++] = broken.digest;
		if (message.digests_len < GOSSIP_MESSAGE_DIGESTS_MAX)
			continue;
		quarantine_tell(self, &message);
		message.digests_len = 0;
	}
	if (message.digests_len > 0)
		quarantine_tell(self, &message);
}

void
relay_quarantine_ended(
    relay_quarantine_t *self, const endpoint_t *endpoint, const char *how)
{
	struct timespec now = clock_boottime(self->relay->clock);

	self->crashes +=
	    crash_evidence_open(&self->evidence, endpoint->short_hash);
	self->source = how;
	crash_evidence_expire(&self->left, now, LEFT_MS);
	crashes_take(self, &self->evidence, endpoint, how);
	crashes_take(self, &self->left, endpoint, how);
}

void
relay_quarantine_gone(relay_quarantine_t *self, const endpoint_t *endpoint)
{
	/* It may have left in good order, without a word. */
	crash_evidence_drop(&self->left, endpoint->short_hash);
	relay_quarantine_ended(self, endpoint, "gone");
}

/* Requests that wait for what a probe tells go on, or end. */
static void
waiting_wake(relay_t *relay)
{
	relay_request_t *req, *next;

	for (req = relay->first; req != NULL; req = next) {
		next = req->next;
		if (!req->awaits_probe)
			continue;
		req->awaits_probe = false;
		attempt_begin(req);
	}
}

/* While a request of this daemon goes on there, the endpoint has not ended. */
static bool
on_probed(void *arg, endpoint_t *endpoint, probe_result_t result)
{
	relay_quarantine_t *self = arg;

	stats_add(&self->relay->stats, STAT_CRASH_PROBES, 1);
	if (result == PROBE_LISTENS) {
		crash_evidence_drop(&self->evidence, endpoint->short_hash);
		crash_evidence_drop(&self->left, endpoint->short_hash);
	} else if (result == PROBE_REFUSED && endpoint->in_flight == 0) {
		relay_quarantine_ended(self, endpoint, "port_closed");
	}
	waiting_wake(self->relay);
	return crash_evidence_open(&self->evidence, endpoint->short_hash);
}

static bool
attempt_note(relay_request_t *req, crash_evidence_t *evidence)
{
	endpoint_t *endpoint = req->attempt.endpoint;
	broken_attempt_t attempt = {.digest = relay_digest(req),
	    .incarnation = endpoint->short_hash,
	    .version = quarantine_version_of(endpoint),
	    .at = clock_boottime(req->relay->clock)};

	/* One that leaves ends when it is done. */
	if (attempt.digest == 0 || endpoint->facts.leaving)
		return false;
	crash_evidence_note(evidence, &attempt);
	return true;
}

void
relay_attempt_broke(relay_request_t *req)
{
	relay_quarantine_t *self = &req->relay->quarantine;

	if (attempt_note(req, &self->evidence))
		crash_probe_begin(&self->probes, req->relay->base,
		    req->attempt.endpoint, PROBE_MS, on_probed, self);
}

void
relay_attempt_left(relay_request_t *req)
{
	relay_quarantine_t *self = &req->relay->quarantine;

	if (attempt_note(req, &self->left) &&
	    quarantine_crashes(&self->table, relay_digest(req)) > 0)
		crash_probe_begin(&self->probes, req->relay->base,
		    req->attempt.endpoint, PROBE_LEFT_MS, on_probed, self);
}

void
relay_attempt_refused(const relay_request_t *req)
{
	const endpoint_t *endpoint = req->attempt.endpoint;

	if (endpoint->in_flight == 0)
		relay_quarantine_ended(
		    &req->relay->quarantine, endpoint, "port_closed");
}

/* An endpoint that crashes under a run that was given up breaks nothing of this
 * daemon's but connections that idle. */
static void
left_look(relay_quarantine_t *self)
{
	for (size_t i = 0; i < self->left.len; i++) {
		const broken_attempt_t *one = &self->left.broken[i];
		endpoint_t *endpoint = endpoint_set_find_short(
		    self->relay->endpoints, one->incarnation);

		if (endpoint != NULL &&
		    timespec_ms_between(one->at, endpoint->link_ended_at) >= 0)
			crash_probe_begin(&self->probes, self->relay->base,
			    endpoint, PROBE_MS, on_probed, self);
	}
}

void
quarantine_evidence_step(relay_quarantine_t *self)
{
	struct timespec now = clock_boottime(self->relay->clock);

	left_look(self);
	/* The last probe told nothing. */
	if (self->probes == NULL)
		waiting_wake(self->relay);

	crash_evidence_expire(&self->evidence, now, EVIDENCE_MS);
	crash_evidence_expire(&self->left, now, LEFT_MS);
}
