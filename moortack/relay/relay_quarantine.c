#include "moortack/relay/relay_quarantine.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "relay_quarantine_priv.h"
#include "relay_request.h"

/* Number of crashes from which on a suspected request is stored, and so
 * outlasts the daemons that know of it. Of parts, many are suspected and few
 * quarantined: only those are stored. */
#define STORED_CRASHES_MIN 2
/* How often a quarantine is announced to other daemons. */
#define ANNOUNCEMENTS_MAX 2
/* How long after a crash a daemon that detected it announces the quarantine,
 * and writes the row, if the owner of the digest has not: the time that the
 * crash takes to reach the owner, and that the row takes to come back through
 * the store. */
#define NON_OWNER_ANNOUNCE_MS 300
#define NON_OWNER_WRITE_MS 4000
/* How often to check whether the versions that crashed are still in use. */
#define VERSIONS_CHECK_MS 2000
#define SERVICE_MASK 0xffff0000U

/* The upper half is a hash of the service, so that other versions of the
 * service can be distinguished from those of other services. */
uint32_t
endpoint_version_hash(const endpoint_t *endpoint)
{
	const endpoint_info_t *facts = &endpoint->info;
	uint64_t service = XXH3_64bits(facts->service, strlen(facts->service));
	uint64_t version = XXH3_64bits_withSeed(
	    facts->version, strlen(facts->version), service);

	return ((uint32_t)service & SERVICE_MASK) |
	    ((uint32_t)version & ~SERVICE_MASK);
}

static void
on_quarantined(void *arg, const suspect_t *suspect)
{
	relay_quarantine_t *self = arg;

	event_log_write(self->relay->log, "quarantine",
	    "digest=%016" PRIx64 " source=%s crashes=%zu endpoints=%08" PRIx32
	    ",%08" PRIx32 ",%08" PRIx32 " held_ms=%" PRId64 " witnessed=%d",
	    suspect->digest, self->source, suspect->crashes_len,
	    suspect->crashes[0], suspect->crashes[1], suspect->crashes[2],
	    timespec_ms_between(
		suspect->quarantined_at, clock_boottime(self->relay->clock)),
	    suspect->observed_locally);
	event_active(self->stop_event, 0, 0);
}

static void
on_released(void *arg, const suspect_t *suspect, quarantine_end_reason_t reason)
{
	static const char *const names[] = {[QUARANTINE_CLEARED] = "cleared",
	    [QUARANTINE_EXPIRED] = "expired",
	    [QUARANTINE_EVICTED] = "evicted"};
	relay_quarantine_t *self = arg;

	event_log_write(self->relay->log, "quarantine_end",
	    "digest=%016" PRIx64 " why=%s held_ms=%" PRId64, suspect->digest,
	    names[reason],
	    timespec_ms_between(
		suspect->quarantined_at, clock_boottime(self->relay->clock)));
}

static void
on_removed(void *arg, const suspect_t *suspect)
{
	relay_quarantine_t *self = arg;

	if (suspect->stored_version != 0 &&
	    gossip_owns_digest(self->relay->gossip, suspect->digest))
		quarantine_row_remove(self, suspect);
}

static const quarantine_ops_t table_ops = {
    on_quarantined, on_released, on_removed};

/* Sent now, and once more at the next tick. */
void
quarantine_announce(relay_quarantine_t *self, const gossip_message_t *message)
{
	gossip_send_to_owners(self->relay->gossip, message);
	if (self->resend_len < QUARANTINE_RESEND_MAX)
		self->resend[self->resend_len++] = *message;
}

gossip_message_t
quarantine_cleared_message(uint64_t digest)
{
	return (gossip_message_t){
	    .kind = GOSSIP_CLEARED, .digests = {digest}, .digests_len = 1};
}

void
quarantine_suspect_clear(
    relay_quarantine_t *self, uint64_t digest, const char *source)
{
	suspect_t *suspect = quarantine_find(&self->table, digest);

	self->source = source;
	if (!quarantine_clear(&self->table, digest))
		return;
	self->cleared_count++;
	event_log_write_throttled(self->relay->log, EVENT_THROTTLED_SUSPECT,
	    "digest=%016" PRIx64 " crashes=0 source=%s how=cleared", digest,
	    source);
	if (gossip_owns_digest(self->relay->gossip, digest))
		quarantine_row_remove(self, suspect);
}

void
quarantine_report_answer(
    relay_quarantine_t *self, uint64_t digest, bool was_trial)
{
	gossip_message_t message = quarantine_cleared_message(digest);

	if (quarantine_crash_count(&self->table, digest) == 0)
		return;
	if (was_trial)
		gossip_broadcast(self->relay->gossip, &message);
	quarantine_announce(self, &message);
	quarantine_suspect_clear(self, digest, "run");
}

void
relay_attempt_completed(relay_request_t *req)
{
	relay_quarantine_t *self = &req->relay->quarantine;

	if (HASH_COUNT(self->table.suspects) > 0 && relay_end_shows_life(req))
		quarantine_report_answer(
		    self, relay_request_digest(req), req->quarantine_trial);
}

/* Whether a told crash may complete the quarantine of a part: only its owner
 * hears of all crashes, and of the answers that outweigh them. A daemon that
 * detects the next crash itself needs no owner. */
static bool
crash_may_count(const relay_quarantine_t *self, uint64_t digest)
{
	return !digest_is_part(digest) ||
	    quarantine_crash_count(&self->table, digest) + 1 <
	    QUARANTINE_CRASH_THRESHOLD ||
	    gossip_owns_digest(self->relay->gossip, digest);
}

/* Tell the daemon that suspects a part, and the owner of its digest, that it
 * was answered. */
static void
suspicion_refute(
    relay_quarantine_t *self, const struct sockaddr_in *from, uint64_t part)
{
	gossip_message_t message = quarantine_cleared_message(part);

	if (!quarantine_refutation_due(self, part))
		return;
	gossip_send_to(self->relay->gossip, from, &message);
	gossip_send_to_owner(self->relay->gossip, &message);
}

static void
crash_receive(relay_quarantine_t *self, const struct sockaddr_in *from,
    const gossip_message_t *message, uint64_t digest)
{
	if (quarantine_crash_outweighed(
		self, digest, message->endpoint_hash, message->version_hash))
		suspicion_refute(self, from, digest);
	else if (crash_may_count(self, digest))
		quarantine_record_crash(&self->table, digest,
		    message->endpoint_hash, message->version_hash,
		    message->age_ms, false);
}

/* All daemons that were told of a quarantine have to learn that it has ended.
 */
static void
cleared_receive(relay_quarantine_t *self, uint64_t digest)
{
	gossip_message_t message = quarantine_cleared_message(digest);

	if (digest_is_part(digest) &&
	    suspect_is_quarantined(quarantine_find(&self->table, digest)) &&
	    gossip_owns_digest(self->relay->gossip, digest))
		gossip_broadcast(self->relay->gossip, &message);
	quarantine_suspect_clear(self, digest, "told");
}

/* Another daemon has quarantined the part. If its owner does not, all daemons
 * that were told have to learn of that. */
static void
part_quarantine_check(relay_quarantine_t *self, uint64_t part)
{
	gossip_message_t message = quarantine_cleared_message(part);

	if (!suspect_is_quarantined(quarantine_find(&self->table, part)) &&
	    gossip_owns_digest(self->relay->gossip, part))
		gossip_broadcast(self->relay->gossip, &message);
}

/* A suspicion or a quarantine of another daemon. */
static void
suspect_receive(relay_quarantine_t *self, const struct sockaddr_in *from,
    const gossip_message_t *message, uint64_t digest)
{
	bool quarantined = message->crashes_len >= QUARANTINE_CRASH_THRESHOLD;
	size_t known = quarantine_crash_count(&self->table, digest);
	suspect_t *suspect;

	if (quarantine_verdict_refuted(
		self, digest, message->version_hash, message->age_ms))
		suspicion_refute(self, from, digest);
	else
		quarantine_merge(&self->table, digest, message->crashes,
		    message->crashes_len, message->version_hash,
		    message->age_ms);
	if (quarantined && digest_is_part(digest))
		part_quarantine_check(self, digest);
	suspect = quarantine_find(&self->table, digest);
	if (suspect == NULL)
		return;
	suspect->spread = true;
	if (quarantined)
		suspect->announcements = ANNOUNCEMENTS_MAX;
	else if (self->relay->gossip->uses_owners &&
	    suspect->crashes_len > known)
		gossip_spread(self->relay->gossip, message);
}

void
relay_quarantine_receive(
    void *arg, const struct sockaddr_in *from, const gossip_message_t *message)
{
	relay_quarantine_t *self = &((relay_t *)arg)->quarantine;

	self->source = "told";
	for (size_t i = 0; i < message->digests_len; i++) {
		uint64_t digest = message->digests[i];

		if (message->kind == GOSSIP_CRASH)
			crash_receive(self, from, message, digest);
		else if (message->kind == GOSSIP_CLEARED)
			cleared_receive(self, digest);
		else
			suspect_receive(self, from, message, digest);
	}
}

/* Whether this daemon announces or stores the suspect: as the owner of the
 * digest, or, if the owner has not done so by the end of the delay, as a daemon
 * that detected one of the crashes.
 * @param delay_ms after the last crash */
static bool
should_act(
    const relay_quarantine_t *self, const suspect_t *suspect, int64_t delay_ms)
{
	struct timespec now = clock_boottime(self->relay->clock);

	return gossip_owns_digest(self->relay->gossip, suspect->digest) ||
	    (suspect->observed_locally &&
		timespec_ms_between(suspect->last_crash_at, now) >= delay_ms);
}

bool
quarantine_should_write(
    const relay_quarantine_t *self, const suspect_t *suspect)
{
	size_t min = digest_is_part(suspect->digest)
	    ? QUARANTINE_CRASH_THRESHOLD
	    : STORED_CRASHES_MIN;

	return suspect->crashes_len >= min &&
	    suspect->crashes_len > suspect->stored_crashes &&
	    should_act(self, suspect, NON_OWNER_WRITE_MS);
}

static gossip_message_t
suspect_message(const relay_quarantine_t *self, const suspect_t *suspect)
{
	gossip_message_t message = {.kind = GOSSIP_QUARANTINED,
	    .digests = {suspect->digest},
	    .digests_len = 1,
	    .version_hash = suspect->version,
	    .crashes_len = suspect->crashes_len,
	    .age_ms = (uint32_t)timespec_ms_between(
		suspect_is_quarantined(suspect) ? suspect->quarantined_at
						: suspect->last_crash_at,
		clock_boottime(self->relay->clock))};

	memcpy(message.crashes, suspect->crashes, sizeof(message.crashes));
	return message;
}

static void
suspect_announce(relay_quarantine_t *self, suspect_t *suspect)
{
	gossip_message_t message = suspect_message(self, suspect);

	gossip_broadcast(self->relay->gossip, &message);
	suspect->announcements++;
}

/* In a fleet where crashes are reported to owners only, let a daemon that saw
 * the part answered refute the suspicion before the part is quarantined. */
static void
suspicion_spread(relay_quarantine_t *self, suspect_t *suspect)
{
	gossip_message_t message;

	if (suspect->spread || !self->relay->gossip->uses_owners ||
	    !digest_is_part(suspect->digest) ||
	    suspect->crashes_len + 1 < QUARANTINE_CRASH_THRESHOLD)
		return;
	/* The owner is found by a look at all members: once for a suspect. */
	suspect->spread = true;
	if (!gossip_owns_digest(self->relay->gossip, suspect->digest))
		return;
	message = suspect_message(self, suspect);
	gossip_spread(self->relay->gossip, &message);
}

bool
endpoint_version_unused(const endpoint_set_t *set, uint32_t version)
{
	bool others = false;

	for (const endpoint_t *endpoint = set->endpoints; endpoint != NULL;
	     endpoint = endpoint->hh.next) {
		uint32_t hash = endpoint_version_hash(endpoint);

		if (hash == version)
			return false;
		others |= (hash & SERVICE_MASK) == (version & SERVICE_MASK);
	}
	return others;
}

/* @param check_versions check whether the version is still in use */
static void
quarantined_step(
    relay_quarantine_t *self, suspect_t *suspect, bool check_versions)
{
	if (!suspect_is_quarantined(suspect)) {
		suspicion_spread(self, suspect);
		return;
	}
	if (suspect->announcements < ANNOUNCEMENTS_MAX &&
	    should_act(self, suspect, NON_OWNER_ANNOUNCE_MS))
		suspect_announce(self, suspect);
	if (check_versions && !suspect->trial_allowed &&
	    endpoint_version_unused(self->relay->endpoints, suspect->version))
		quarantine_allow_trials(&self->table, suspect->version);
}

void
relay_quarantine_tick(relay_quarantine_t *self)
{
	struct timespec now = clock_boottime(self->relay->clock);
	bool check_versions = timespec_ms_between(self->versions_checked_at,
				  now) >= VERSIONS_CHECK_MS;
	suspect_t *suspect, *next;

	for (size_t i = 0; i < self->resend_len; i++)
		gossip_send_to_owners(self->relay->gossip, &self->resend[i]);
	self->resend_len = 0;
	quarantine_check_unresolved(self);
	if (check_versions)
		self->versions_checked_at = now;
	if (HASH_COUNT(self->table.suspects) == 0)
		return;
	quarantine_explain_crashes(&self->table);
	quarantine_expire(&self->table);
	HASH_ITER(hh, self->table.suspects, suspect, next)
	quarantined_step(self, suspect, check_versions);
	quarantine_rows_write(self);
}

/* Whether to end the request in flight: unless its endpoint has answered a part
 * that is quarantined now, and will hardly crash on it any more. */
static bool
request_must_stop(relay_request_t *req)
{
	if (req->quarantine_trial ||
	    relay_quarantined_causes(req, &req->quarantined_cause) == 0)
		return false;
	return !req->attempt.parts_answered ||
	    !digest_is_part(req->quarantined_cause);
}

/* Ending the request may keep it from crashing one more endpoint. */
static void
request_stop(relay_request_t *req)
{
	stats_add(&req->relay->stats, STAT_SUSPECTS_STOPPED, 1);
	request_fail(req,
	    req->may_have_run ? ERR_UNKNOWN_OUTCOME : ERR_QUARANTINED,
	    "quarantined");
}

static void
on_stop(evutil_socket_t fd, short what, void *arg)
{
	relay_quarantine_t *self = arg;
	relay_request_t *req, *next;
	suspect_t *suspect;

	(void)fd;
	(void)what;
	for (req = self->relay->requests; req != NULL; req = next) {
		next = req->next;
		if (request_must_stop(req))
			request_stop(req);
	}
	for (suspect = self->table.suspects; suspect != NULL;
	     suspect = suspect->hh.next)
		quarantined_step(self, suspect, false);
	quarantine_rows_write(self);
}

void
relay_quarantine_set_secret(relay_quarantine_t *self, const char *secret)
{
	request_digest_key_derive(&self->key, secret);
	self->key_known = true;
}

bool
relay_quarantine_init(
    relay_quarantine_t *self, relay_t *relay, row_store_t *store)
{
	*self =
	    (relay_quarantine_t){.relay = relay, .store = store, .source = "-"};
	quarantine_init(&self->table, relay->clock, &table_ops, self);
	self->stop_event = event_new(relay->base, -1, 0, on_stop, self);
	return self->stop_event != NULL && proven_parts_init(&self->proven);
}

void
relay_quarantine_finish(relay_quarantine_t *self)
{
	crash_probes_finish(&self->probes);
	quarantine_finish(&self->table);
	proven_parts_finish(&self->proven);
	if (self->stop_event != NULL)
		event_free(self->stop_event);
}

void
relay_quarantine_write_metrics(
    const relay_quarantine_t *self, struct evbuffer *out)
{
	evbuffer_add_printf(out,
	    "# TYPE moortack_relay_suspects gauge\n"
	    "moortack_relay_suspects %u\n"
	    "# TYPE moortack_relay_quarantined gauge\n"
	    "moortack_relay_quarantined %zu\n"
	    "# HELP moortack_relay_crashes_total Endpoints that crashed under "
	    "requests of this daemon.\n"
	    "# TYPE moortack_relay_crashes_total counter\n"
	    "moortack_relay_crashes_total %" PRIu64 "\n"
	    "# HELP moortack_relay_cleared_total Suspected requests that ran "
	    "without a crash.\n"
	    "# TYPE moortack_relay_cleared_total counter\n"
	    "moortack_relay_cleared_total %" PRIu64 "\n",
	    HASH_COUNT(self->table.suspects), self->table.quarantined_count,
	    self->crash_count, self->cleared_count);
}
