#include "moortack/relay/relay_quarantine.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "relay_quarantine_priv.h"
#include "relay_request.h"

/* Crashes from which on a suspicion outlasts the daemons that know of it. */
#define CRASHES_STORED 2
/* How often others are told of a verdict. */
#define TELLS 2
/* When a daemon that saw one of the crashes tells in the place of one that did
 * not, and writes: the way to it, and back through the store. */
#define OTHERS_TELL_MS 300
#define OTHERS_WRITE_MS 4000
/* How often it is looked whether a version that crashed is still in use. */
#define LOOK_MS 2000
#define SERVICE_MASK 0xffff0000U

/* The upper half names the service, so that its other versions are told apart
 * from other services'. */
uint32_t
quarantine_version_of(const endpoint_t *endpoint)
{
	const endpoint_facts_t *facts = &endpoint->facts;
	uint64_t service = XXH3_64bits(facts->service, strlen(facts->service));
	uint64_t version = XXH3_64bits_withSeed(
	    facts->version, strlen(facts->version), service);

	return ((uint32_t)service & SERVICE_MASK) |
	    ((uint32_t)version & ~SERVICE_MASK);
}

static void
on_held(void *arg, const suspect_t *suspect)
{
	relay_quarantine_t *self = arg;

	event_log_write(self->relay->log, "quarantine",
	    "digest=%016" PRIx64 " source=%s crashes=%zu endpoints=%08" PRIx32
	    ",%08" PRIx32 ",%08" PRIx32 " held_ms=%" PRId64 " witnessed=%d",
	    suspect->digest, self->source, suspect->crashes_len,
	    suspect->crashes[0], suspect->crashes[1], suspect->crashes[2],
	    timespec_ms_between(
		suspect->held_at, clock_boottime(self->relay->clock)),
	    suspect->witnessed);
	event_active(self->stop, 0, 0);
}

static void
on_released(void *arg, const suspect_t *suspect, quarantine_end_t why)
{
	static const char *const names[] = {[QUARANTINE_CLEARED] = "cleared",
	    [QUARANTINE_EXPIRED] = "expired",
	    [QUARANTINE_EVICTED] = "evicted"};
	relay_quarantine_t *self = arg;

	event_log_write(self->relay->log, "quarantine_end",
	    "digest=%016" PRIx64 " why=%s held_ms=%" PRId64, suspect->digest,
	    names[why],
	    timespec_ms_between(
		suspect->held_at, clock_boottime(self->relay->clock)));
}

static void
on_forgotten(void *arg, const suspect_t *suspect)
{
	relay_quarantine_t *self = arg;

	if (suspect->stored_version != 0 &&
	    gossip_owns(self->relay->gossip, suspect->digest))
		quarantine_row_remove(self, suspect);
}

static const quarantine_ops_t table_ops = {on_held, on_released, on_forgotten};

/* Told now, and once more with the next tick. */
void
quarantine_tell(relay_quarantine_t *self, const gossip_message_t *message)
{
	gossip_tell_owners(self->relay->gossip, message);
	if (self->again_len < QUARANTINE_MESSAGES_MAX)
		self->again[self->again_len++] = *message;
}

static void
cleared_take(relay_quarantine_t *self, uint64_t digest, const char *source)
{
	suspect_t *suspect = quarantine_find(&self->table, digest);

	self->source = source;
	if (!quarantine_clear(&self->table, digest))
		return;
	self->cleared++;
	if (gossip_owns(self->relay->gossip, digest))
		quarantine_row_remove(self, suspect);
}

void
relay_attempt_survived(relay_request_t *req)
{
	relay_quarantine_t *self = &req->relay->quarantine;
	gossip_message_t message = {.kind = GOSSIP_CLEARED, .digests_len = 1};

	if (HASH_COUNT(self->table.suspects) == 0 ||
	    quarantine_crashes(&self->table, relay_digest(req)) == 0)
		return;
	message.digests[0] = relay_digest(req);
	event_log_write_throttled(self->relay->log, EVENT_THROTTLED_SUSPECT,
	    "digest=%016" PRIx64 " crashes=0 endpoint=%s how=cleared",
	    relay_digest(req), req->endpoint_id);
	if (req->on_trial)
		gossip_tell_each(req->relay->gossip, &message);
	quarantine_tell(self, &message);
	cleared_take(self, relay_digest(req), "run");
}

void
relay_quarantine_told(void *arg, const gossip_message_t *message)
{
	relay_quarantine_t *self = &((relay_t *)arg)->quarantine;
	suspect_t *suspect;

	self->source = "told";
	for (size_t i = 0; i < message->digests_len; i++) {
		uint64_t digest = message->digests[i];

		if (message->kind == GOSSIP_CRASH) {
			quarantine_crash(&self->table, digest,
			    message->endpoint, message->version, false);
		} else if (message->kind == GOSSIP_CLEARED) {
			cleared_take(self, digest, "told");
		} else {
			quarantine_merge(&self->table, digest, message->crashes,
			    message->crashes_len, message->version,
			    message->held_ms);
			suspect = quarantine_find(&self->table, digest);
			if (suspect != NULL)
				suspect->told = TELLS;
		}
	}
}

/* Whether this daemon is to act on a verdict: as the owner of the request's
 * digest, or as one that saw a crash while the owner does not act. */
static bool
acts_after(const relay_quarantine_t *self, const suspect_t *suspect, int64_t ms)
{
	struct timespec now = clock_boottime(self->relay->clock);

	return gossip_owns(self->relay->gossip, suspect->digest) ||
	    (suspect->witnessed &&
		timespec_ms_between(suspect->crashed_at, now) >= ms);
}

bool
quarantine_writes(const relay_quarantine_t *self, const suspect_t *suspect)
{
	return suspect->crashes_len >= CRASHES_STORED &&
	    suspect->crashes_len > suspect->stored &&
	    acts_after(self, suspect, OTHERS_WRITE_MS);
}

static void
verdict_tell(relay_quarantine_t *self, suspect_t *suspect)
{
	gossip_message_t message = {.kind = GOSSIP_HELD,
	    .digests = {suspect->digest},
	    .digests_len = 1,
	    .version = suspect->version,
	    .crashes_len = suspect->crashes_len,
	    .held_ms = (uint32_t)timespec_ms_between(
		suspect->held_at, clock_boottime(self->relay->clock))};

	memcpy(message.crashes, suspect->crashes, sizeof(message.crashes));
	gossip_tell_each(self->relay->gossip, &message);
	suspect->told++;
}

/* Whether the service has endpoints, and none of the version that crashed. */
static bool
version_gone(const endpoint_set_t *set, uint32_t version)
{
	bool others = false;

	for (const endpoint_t *one = set->endpoints; one != NULL;
	     one = one->hh.next) {
		uint32_t known = quarantine_version_of(one);

		if (known == version)
			return false;
		others |= (known & SERVICE_MASK) == (version & SERVICE_MASK);
	}
	return others;
}

/* @param look at the versions in use */
static void
held_step(relay_quarantine_t *self, suspect_t *suspect, bool look)
{
	if (!quarantine_is_held(suspect))
		return;
	if (suspect->told < TELLS && acts_after(self, suspect, OTHERS_TELL_MS))
		verdict_tell(self, suspect);
	if (look && !suspect->on_trial &&
	    version_gone(self->relay->endpoints, suspect->version))
		quarantine_version_gone(&self->table, suspect->version);
}

void
relay_quarantine_tick(relay_quarantine_t *self)
{
	struct timespec now = clock_boottime(self->relay->clock);
	bool look = timespec_ms_between(self->looked_at, now) >= LOOK_MS;
	suspect_t *one, *next;

	for (size_t i = 0; i < self->again_len; i++)
		gossip_tell_owners(self->relay->gossip, &self->again[i]);
	self->again_len = 0;
	quarantine_evidence_step(self);
	if (look)
		self->looked_at = now;
	if (HASH_COUNT(self->table.suspects) == 0)
		return;
	quarantine_expire(&self->table);
	HASH_ITER(hh, self->table.suspects, one, next)
	held_step(self, one, look);
	quarantine_rows_write(self);
}

/* Its run may still be kept from crashing one more. */
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
	for (req = self->relay->first; req != NULL; req = next) {
		next = req->next;
		suspect = quarantine_find(&self->table, relay_digest(req));
		if (quarantine_is_held(suspect) && !suspect->stopped &&
		    !req->on_trial)
			request_stop(req);
	}
	for (suspect = self->table.suspects; suspect != NULL;
	     suspect = suspect->hh.next) {
		suspect->stopped |= quarantine_is_held(suspect);
		held_step(self, suspect, false);
	}
	quarantine_rows_write(self);
}

void
relay_quarantine_set_secret(relay_quarantine_t *self, const char *secret)
{
	request_digest_key_derive(&self->key, secret);
	self->keyed = true;
}

bool
relay_quarantine_init(
    relay_quarantine_t *self, relay_t *relay, row_store_t *store)
{
	*self =
	    (relay_quarantine_t){.relay = relay, .store = store, .source = "-"};
	quarantine_init(&self->table, relay->clock, &table_ops, self);
	self->stop = event_new(relay->base, -1, 0, on_stop, self);
	return self->stop != NULL;
}

void
relay_quarantine_finish(relay_quarantine_t *self)
{
	crash_probes_finish(&self->probes);
	quarantine_finish(&self->table);
	if (self->stop != NULL)
		event_free(self->stop);
}

void
relay_quarantine_write(const relay_quarantine_t *self, struct evbuffer *out)
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
	    HASH_COUNT(self->table.suspects), self->table.held, self->crashes,
	    self->cleared);
}
