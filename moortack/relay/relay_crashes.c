#include <inttypes.h>

#include "relay_quarantine_priv.h"
#include "relay_request.h"

/* How long interrupted attempts are kept. A crashed endpoint that can't be
 * reached is removed from the store within three of its heartbeats. */
#define INTERRUPTED_EXPIRY_MS 8000
/* How long abandoned attempts are kept. An endpoint goes on running an
 * abandoned request for a moment, and may still crash on it. */
#define ABANDONED_EXPIRY_MS 1000
/* Delay of a probe. All connections of a process that ended are reset within a
 * few ms of each other. */
#define PROBE_DELAY_MS 20
/* The same after an abandoned attempt, whose request still runs for a moment.
 */
#define ABANDONED_PROBE_DELAY_MS 300
/* Time between a refused connection and the start of a probe of another
 * endpoint that shows that the links were sound then, and not only after a cut
 * that ended later. */
#define LINK_CHECK_DELAY_MS 10

static void
crash_log(const relay_quarantine_t *self, uint64_t digest,
    const endpoint_t *endpoint, const char *how)
{
	event_log_write_throttled(self->relay->log, EVENT_THROTTLED_SUSPECT,
	    "digest=%016" PRIx64 " crashes=%zu endpoint=%s how=%s", digest,
	    quarantine_crash_count(&self->table, digest), endpoint->info.id,
	    how);
}

/* Record the endpoint's crash for one suspect, and announce it to other daemons
 * by a message that is sent once it is full. */
static void
crash_record(relay_quarantine_t *self, gossip_message_t *message,
    uint64_t digest, const endpoint_t *endpoint, const char *how)
{
	if (quarantine_crash_outweighed(
		self, digest, message->endpoint_hash, message->version_hash) ||
	    !quarantine_record_crash(&self->table, digest,
		message->endpoint_hash, message->version_hash, message->age_ms,
		true))
		return;
	crash_log(self, digest, endpoint, how);
	message->digests[message->digests_len++] = digest;
	if (message->digests_len < GOSSIP_MESSAGE_DIGESTS_MAX)
		return;
	quarantine_announce(self, message);
	message->digests_len = 0;
}

/* Time since the endpoint crashed: since its connections were lost. */
static uint32_t
crash_age_ms(const relay_quarantine_t *self, const endpoint_t *endpoint)
{
	struct timespec ended_at, now = clock_boottime(self->relay->clock);

	if (!unresolved_attempts_last_end(
		&self->interrupted, endpoint->short_hash, &ended_at))
		return 0;
	return (uint32_t)timespec_ms_between(ended_at, now);
}

/* Record the endpoint's crash for the requests of these attempts and the parts
 * of their prompts. */
static void
crashes_record(relay_quarantine_t *self, unresolved_attempts_t *attempts,
    const endpoint_t *endpoint, uint32_t age_ms, const char *how)
{
	gossip_message_t message = {.kind = GOSSIP_CRASH,
	    .endpoint_hash = endpoint->short_hash,
	    .version_hash = endpoint_version_hash(endpoint),
	    .age_ms = age_ms};
	unresolved_attempt_t attempt;

	while (unresolved_attempts_take(
	    attempts, endpoint->short_hash, &attempt)) {
		if (attempt.digest != 0)
			crash_record(
			    self, &message, attempt.digest, endpoint, how);
		for (size_t i = 0; i < attempt.parts_len; i++)
			crash_record(
			    self, &message, attempt.parts[i], endpoint, how);
	}
	if (message.digests_len > 0)
		quarantine_announce(self, &message);
}

void
relay_quarantine_endpoint_crashed(
    relay_quarantine_t *self, const endpoint_t *endpoint, const char *how)
{
	struct timespec now = clock_boottime(self->relay->clock);
	uint32_t age_ms = crash_age_ms(self, endpoint);

	self->crash_count +=
	    unresolved_attempts_has(&self->interrupted, endpoint->short_hash);
	self->source = how;
	unresolved_attempts_expire(&self->abandoned, now, ABANDONED_EXPIRY_MS);
	crashes_record(self, &self->interrupted, endpoint, age_ms, how);
	crashes_record(self, &self->abandoned, endpoint, age_ms, how);
}

void
relay_quarantine_endpoint_removed(
    relay_quarantine_t *self, const endpoint_t *endpoint)
{
	/* It may have shut down in order without announcing that it leaves, so
	 * an abandoned attempt does not show a crash. */
	unresolved_attempts_drop(&self->abandoned, endpoint->short_hash);
	relay_quarantine_endpoint_crashed(self, endpoint, "gone");
}

/* Resume the requests that wait for the result of a probe; they are sent, or
 * fail. */
static void
waiting_requests_resume(relay_t *relay)
{
	relay_request_t *req, *next;

	for (req = relay->requests; req != NULL; req = next) {
		next = req->next;
		if (!req->awaits_probe)
			continue;
		req->awaits_probe = false;
		attempt_begin(req);
	}
}

static bool
is_unresolved(const relay_quarantine_t *self, const endpoint_t *endpoint)
{
	return unresolved_attempts_has(
		   &self->interrupted, endpoint->short_hash) ||
	    unresolved_attempts_has(&self->abandoned, endpoint->short_hash);
}

/* Whether this daemon's links are sound: it has opened a connection to an
 * endpoint since the attempts at this one ended. Without that, a refused
 * connection says nothing about the endpoint. */
static bool
links_are_proved(const relay_quarantine_t *self, const endpoint_t *endpoint)
{
	struct timespec ended_at;

	if (!unresolved_attempts_last_end(
		&self->interrupted, endpoint->short_hash, &ended_at) &&
	    !unresolved_attempts_last_end(
		&self->abandoned, endpoint->short_hash, &ended_at))
		return true;
	return relay_reach_opened_since(self->relay, ended_at);
}

/* Whether the endpoint refused a connection while the links were sound. */
static bool
refused_with_sound_links(const endpoint_t *endpoint, struct timespec sound_at)
{
	int64_t ms = timespec_ms_between(endpoint->port_closed_at, sound_at);

	return endpoint->port_closed_at.tv_sec != 0 &&
	    endpoint->in_flight == 0 && ms >= -LINK_CHECK_DELAY_MS &&
	    ms <= LINK_CHECK_DELAY_MS;
}

void
relay_quarantine_links_proved(
    relay_quarantine_t *self, struct timespec sound_at)
{
	size_t i = 0;

	/* All attempts at an endpoint that crashed are removed. */
	while (i < self->interrupted.len) {
		const endpoint_t *endpoint =
		    endpoint_set_find_by_short_hash(self->relay->endpoints,
			self->interrupted.attempts[i].incarnation);

		if (endpoint != NULL &&
		    refused_with_sound_links(endpoint, sound_at))
			relay_quarantine_endpoint_crashed(
			    self, endpoint, "port_closed");
		else
			i++;
	}
}

/* Nothing listens at the endpoint's address.
 * @return whether to probe again: attempts there are still unresolved */
static bool
endpoint_refused(relay_quarantine_t *self, endpoint_t *endpoint)
{
	/* An endpoint at which a request of this daemon is in flight has not
	 * ended, even if it refuses connections. */
	if (endpoint->in_flight > 0)
		return is_unresolved(self, endpoint);
	if (links_are_proved(self, endpoint)) {
		relay_quarantine_endpoint_crashed(
		    self, endpoint, "port_closed");
		return false;
	}
	endpoint->port_closed_at = clock_boottime(self->relay->clock);
	relay_reach_check_links(self->relay);
	return true;
}

/* @return whether to probe again: attempts there are still unresolved */
static bool
on_probe_done(void *arg, endpoint_t *endpoint, probe_result_t result)
{
	relay_quarantine_t *self = arg;
	bool again;

	stats_add(&self->relay->stats, STAT_CRASH_PROBES, 1);
	relay_ends_resolve(self->relay, endpoint, result);
	again = is_unresolved(self, endpoint);
	if (result == PROBE_ACCEPTED) {
		unresolved_attempts_drop(
		    &self->interrupted, endpoint->short_hash);
		unresolved_attempts_drop(
		    &self->abandoned, endpoint->short_hash);
		again = false;
	} else if (result == PROBE_REFUSED) {
		again = endpoint_refused(self, endpoint);
	}
	waiting_requests_resume(self->relay);
	return again;
}

void
quarantine_probe(
    relay_quarantine_t *self, endpoint_t *endpoint, int64_t after_ms)
{
	crash_probe_schedule(&self->probes, self->relay->base, endpoint,
	    after_ms, on_probe_done, self);
}

static bool
attempt_record(relay_request_t *req, unresolved_attempts_t *attempts)
{
	endpoint_t *endpoint = req->attempt.endpoint;
	unresolved_attempt_t attempt = {.digest = relay_request_digest(req),
	    .incarnation = endpoint->short_hash,
	    .version = endpoint_version_hash(endpoint),
	    .ended_at = clock_boottime(req->relay->clock)};

	/* An endpoint that is leaving ends once its requests are completed;
	 * that is no crash. */
	if (attempt.digest == 0 || endpoint_is_leaving(endpoint))
		return false;
	quarantine_add_parts(req, &attempt);
	/* A brittle one ends under requests that it refused, but may crash on a
	 * part of a prompt as well. */
	if (endpoint_brittle_milli(endpoint) >= 0) {
		attempt.digest = 0;
		if (attempt.parts_len == 0)
			return false;
	}
	unresolved_attempts_add(attempts, &attempt);
	return true;
}

void
relay_attempt_connection_lost(relay_request_t *req)
{
	relay_quarantine_t *self = &req->relay->quarantine;

	if (attempt_record(req, &self->interrupted))
		quarantine_probe(self, req->attempt.endpoint, PROBE_DELAY_MS);
}

void
relay_attempt_abandoned(relay_request_t *req)
{
	relay_quarantine_t *self = &req->relay->quarantine;

	if (attempt_record(req, &self->abandoned) &&
	    (quarantine_crash_count(&self->table, relay_request_digest(req)) >
		    0 ||
		relay_parts_suspicion(req) > 0))
		quarantine_probe(
		    self, req->attempt.endpoint, ABANDONED_PROBE_DELAY_MS);
}

void
relay_attempt_connection_refused(const relay_request_t *req)
{
	relay_quarantine_t *self = &req->relay->quarantine;
	endpoint_t *endpoint = req->attempt.endpoint;

	if (endpoint_refused(self, endpoint) && is_unresolved(self, endpoint))
		quarantine_probe(self, endpoint, PROBE_DELAY_MS);
}

/* An endpoint that crashes on an abandoned request may have no connections of
 * this daemon but idle ones. If one of these was closed after the attempt,
 * probe the endpoint. */
static void
abandoned_probe(relay_quarantine_t *self)
{
	for (size_t i = 0; i < self->abandoned.len; i++) {
		const unresolved_attempt_t *attempt =
		    &self->abandoned.attempts[i];
		endpoint_t *endpoint = endpoint_set_find_by_short_hash(
		    self->relay->endpoints, attempt->incarnation);

		if (endpoint != NULL &&
		    timespec_ms_between(
			attempt->ended_at, endpoint->idle_closed_at) >= 0)
			quarantine_probe(self, endpoint, PROBE_DELAY_MS);
	}
}

void
quarantine_check_unresolved(relay_quarantine_t *self)
{
	struct timespec now = clock_boottime(self->relay->clock);

	abandoned_probe(self);
	/* The last probe may have ended without a result. */
	if (self->probes == NULL)
		waiting_requests_resume(self->relay);

	unresolved_attempts_expire(
	    &self->interrupted, now, INTERRUPTED_EXPIRY_MS);
	unresolved_attempts_expire(&self->abandoned, now, ABANDONED_EXPIRY_MS);
}
