#include "relay_quarantine_priv.h"
#include "relay_request.h"

/* How long after its first event an endpoint that goes on with a stream has
 * answered the prompt without crashing on it. */
#define STREAM_PROOF_MS 500
/* A verdict does not count against a part that this daemon saw answered this
 * long before the last crash of the verdict, or later. */
#define REFUTATION_MS 10000

static int64_t
quarantine_now_ms(const relay_quarantine_t *self)
{
	return timespec_to_ms(clock_boottime(self->relay->clock));
}

/* The proof of a part that counts for crashes of this version: another version
 * may have answered it, as long as it is in use. */
static const proven_part_t *
part_proof(relay_quarantine_t *self, uint64_t part, uint32_t version)
{
	const proven_part_t *proof =
	    proven_parts_find(&self->proven, part, quarantine_now_ms(self));

	if (proof == NULL || proof->version == version ||
	    !endpoint_version_unused(self->relay->endpoints, proof->version))
		return proof;
	proven_parts_remove(&self->proven, part);
	return NULL;
}

bool
quarantine_crash_outweighed(relay_quarantine_t *self, uint64_t digest,
    uint32_t incarnation, uint32_t version)
{
	return digest_is_part(digest) &&
	    part_proof(self, digest, version) != NULL &&
	    proven_parts_outweigh(
		&self->proven, digest, incarnation, quarantine_now_ms(self));
}

bool
quarantine_verdict_refuted(
    relay_quarantine_t *self, uint64_t digest, uint32_t version, int64_t age_ms)
{
	const proven_part_t *proof;

	if (!digest_is_part(digest))
		return false;
	proof = part_proof(self, digest, version);
	return proof != NULL &&
	    quarantine_now_ms(self) - proof->answered_ms <
	    age_ms + REFUTATION_MS;
}

bool
quarantine_refutation_due(relay_quarantine_t *self, uint64_t digest)
{
	return proven_parts_refute(
	    &self->proven, digest, quarantine_now_ms(self));
}

void
relay_parts_answered(relay_request_t *req)
{
	relay_quarantine_t *self = &req->relay->quarantine;
	uint32_t version = endpoint_version_hash(req->attempt.endpoint);
	int64_t now_ms = quarantine_now_ms(self);
	size_t len;
	const uint64_t *parts = relay_request_parts(req, &len);

	req->attempt.parts_answered = true;
	proven_parts_count_answer(&self->proven);
	for (size_t i = 0; i < len; i++) {
		proven_parts_add(&self->proven, parts[i], version, now_ms);
		quarantine_report_answer(self, parts[i], req->quarantine_trial);
	}
}

void
relay_parts_event(relay_request_t *req)
{
	if (!req->attempt.parts_answered && req->attempt_events > 1 &&
	    timespec_ms_between(req->first_event_at, req->last_event_at) >=
		STREAM_PROOF_MS)
		relay_parts_answered(req);
}

/* Add the parts that are proven, or those that are not. If there is no room for
 * all, a random choice is kept, so that no part is left out of all crashes. */
static void
parts_add(relay_request_t *req, unresolved_attempt_t *attempt, bool proven)
{
	relay_quarantine_t *self = &req->relay->quarantine;
	int64_t now_ms = quarantine_now_ms(self);
	size_t room = UNRESOLVED_PARTS_MAX - attempt->parts_len;
	uint64_t *added = &attempt->parts[attempt->parts_len];
	size_t len, seen = 0;
	const uint64_t *parts = relay_request_parts(req, &len);

	for (size_t i = 0; i < len; i++) {
		size_t at = seen;

		if ((proven_parts_find(&self->proven, parts[i], now_ms) !=
			NULL) != proven)
			continue;
		if (seen++ >= room)
			at = (size_t)rng_below(req->relay->rng, seen);
		if (at < room)
			added[at] = parts[i];
	}
	attempt->parts_len += seen < room ? seen : room;
}

void
quarantine_add_parts(relay_request_t *req, unresolved_attempt_t *attempt)
{
	if (req->attempt.parts_answered)
		return;
	parts_add(req, attempt, false);
	parts_add(req, attempt, true);
}

/* Number of crashes recorded for the part, and one more if an attempt with it
 * was interrupted since: many at once are one failure. */
static size_t
part_suspicion(const relay_quarantine_t *self, uint64_t part)
{
	bool interrupted = !quarantine_failed_just_now(&self->table, part) &&
	    unresolved_attempts_has_part(&self->interrupted, part);

	return quarantine_crash_count(&self->table, part) + interrupted;
}

size_t
relay_parts_suspicion(relay_request_t *req)
{
	const relay_quarantine_t *self = &req->relay->quarantine;
	int64_t now_ms = quarantine_now_ms(self);
	size_t len, most = 0;
	const uint64_t *parts;

	if (HASH_COUNT(self->table.suspects) == 0 && self->interrupted.len == 0)
		return 0;
	parts = relay_request_parts(req, &len);
	for (size_t i = 0; i < len; i++) {
		size_t count;

		if (proven_parts_find(&self->proven, parts[i], now_ms) != NULL)
			continue;
		count = part_suspicion(self, parts[i]);
		if (count > most)
			most = count;
	}
	return most;
}

static bool
is_quarantined(const relay_quarantine_t *self, uint64_t digest)
{
	return suspect_is_quarantined(quarantine_find(&self->table, digest));
}

size_t
relay_quarantined_causes(relay_request_t *req, uint64_t *first)
{
	const relay_quarantine_t *self = &req->relay->quarantine;
	size_t len, count = 0;
	const uint64_t *parts;

	*first = 0;
	if (self->table.quarantined_count == 0)
		return 0;
	parts = relay_request_parts(req, &len);
	for (size_t i = len; i > 0; i--) {
		if (!is_quarantined(self, parts[i - 1]))
			continue;
		*first = parts[i - 1];
		count++;
	}
	if (is_quarantined(self, relay_request_digest(req))) {
		*first = relay_request_digest(req);
		count++;
	}
	return count;
}
