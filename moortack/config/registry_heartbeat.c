/**
 * @file
 * Heartbeats: members exchange the revision and the membership that they hold.
 */
#include <string.h>

#include "registry_priv.h"

/** Partners queried in one heartbeat round, starting with a random one. */
#define HEARTBEAT_FANOUT 8
/** Of these, the number queried for what they know of the other members. */
#define AGES_FANOUT 2
#define MEMBERS_MAX 1024
#define BITS_PER_BYTE 8
#define HEARTBEAT_TIMEOUT_INTERVALS 2
#define REVISIONS_PER_RESPONSE 128

static void
standing_fill(const registry_t *registry, Wire__Standing *standing)
{
	struct timespec now = clock_boottime(registry->process.clock);

	wire__standing__init(standing);
	standing->revision = registry->config->revision;
	standing->epoch = registry->members->epoch;
	standing->draining = registry->leaving;
	standing->sequence = registry->heartbeat_sequence;
	standing->store_age_ms = registry->freshness.store_read
	    ? timespec_ms_between(registry->freshness.store_read_at, now)
	    : -1;
}

static void
member_query(registry_t *registry, const member_t *member, bool want_ages)
{
	Wire__Standing standing;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	const peer_query_options_t options = {.to = member->incarnation,
	    .timeout_ms = (int)registry->options->heartbeat_ms *
		HEARTBEAT_TIMEOUT_INTERVALS,
	    .task = &registry->task,
	    .kind = REGISTRY_HEARTBEAT_RESPONSE};

	standing_fill(registry, &standing);
	standing.want_ages = want_ages;
	envelope.body_case = WIRE__ENVELOPE__BODY_STANDING;
	envelope.standing = &standing;
	peers_query(registry->peers, &options, &envelope);
}

void
registry_heartbeat(registry_t *registry)
{
	uint32_t count = registry->members->rows.len;
	bool all = count <= HEARTBEAT_FANOUT;
	uint32_t query_count = all ? count : HEARTBEAT_FANOUT;
	uint32_t first = rng_below(registry->process.rng, MEMBERS_PARTNERS_MAX);

	registry->heartbeat_sequence++;
	for (uint32_t i = 0; i < query_count; i++)
		member_query(registry,
		    members_partner_at(registry->members, first + i),
		    i < AGES_FANOUT);
	registry_silent_member_remove(
	    registry, clock_boottime(registry->process.clock));
}

static void
revisions_query(registry_t *registry, uint64_t from)
{
	Wire__RevisionsAsk rows = WIRE__REVISIONS_ASK__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	const peer_query_options_t options = {.to = from,
	    .timeout_ms = (int)registry->options->heartbeat_ms,
	    .task = &registry->task,
	    .kind = REGISTRY_REVISIONS_RESPONSE};

	rows.after = registry->config->revision;
	envelope.body_case = WIRE__ENVELOPE__BODY_REVISIONS_ASK;
	envelope.revisions_ask = &rows;
	peers_query(registry->peers, &options, &envelope);
}

static void
standing_compare(
    registry_t *registry, uint64_t from, const Wire__Standing *standing)
{
	if (standing->revision > registry->config->revision)
		revisions_query(registry, from);
	if (standing->epoch > registry->store_epoch)
		registry_members_read(registry);
}

/* Fills in what this daemon knows of the other members, for a sender that holds
 * the membership of the same epoch. */
static void
ages_fill(const registry_t *registry, Wire__Standing *standing, uint8_t *ages,
    uint8_t *holds)
{
	uint64_t incarnations[MEMBERS_MAX + 1];
	uint64_t self = registry->process.incarnation;
	uint32_t count;

	if (registry->members->rows.len > MEMBERS_MAX || !registry->joined)
		return;
	count = members_incarnations(registry->members, self, incarnations);
	freshness_ages_encode(&registry->freshness, incarnations, count, self,
	    clock_boottime(registry->process.clock), ages);
	memset(holds, 0, (count + BITS_PER_BYTE - 1) / BITS_PER_BYTE);
	for (uint32_t i = 0; i < count; i++) {
		const member_t *member =
		    members_find(registry->members, incarnations[i]);

		if (member == NULL ||
		    member->revision >= registry->config->revision)
			holds[i / BITS_PER_BYTE] |=
			    (uint8_t)(1 << i % BITS_PER_BYTE);
	}
	standing->ages.data = ages;
	standing->ages.len = count;
	standing->holds.data = holds;
	standing->holds.len = (count + BITS_PER_BYTE - 1) / BITS_PER_BYTE;
}

void
registry_heartbeat_query(registry_t *registry, const peer_query_t *query)
{
	const Wire__Standing *received = query->envelope->standing;
	member_t *member =
	    members_find(registry->members, query->envelope->from);
	uint8_t ages[MEMBERS_MAX + 1];
	uint8_t holds[MEMBERS_MAX / BITS_PER_BYTE + 1];
	Wire__Standing standing;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	if (member != NULL && member->draining != received->draining) {
		member->draining = received->draining;
		registry_members_publish(registry);
	}
	standing_compare(registry, query->envelope->from, received);
	standing_fill(registry, &standing);
	standing.sequence = received->sequence;
	if (received->want_ages && received->epoch == standing.epoch)
		ages_fill(registry, &standing, ages, holds);
	envelope.body_case = WIRE__ENVELOPE__BODY_STANDING;
	envelope.standing = &standing;
	peers_respond(registry->peers, query, &envelope);
}

static void
response_missed(registry_t *registry, member_t *member)
{
	if (member == NULL || !member->responsive)
		return;
	member->responsive = false;
	registry_members_publish(registry);
}

/* Applies what a response contains about the other members. */
static void
ages_apply(registry_t *registry, const Wire__Standing *standing,
    const peer_evidence_t *evidence)
{
	uint64_t incarnations[MEMBERS_MAX + 1];
	uint64_t self = registry->process.incarnation;
	uint32_t count;
	bool changed = false;

	if (registry->members->rows.len > MEMBERS_MAX ||
	    standing->epoch != registry->members->epoch)
		return;
	count = members_incarnations(registry->members, self, incarnations);
	if (standing->ages.len != count ||
	    standing->holds.len != (count + BITS_PER_BYTE - 1) / BITS_PER_BYTE)
		return;
	freshness_ages_merge(&registry->freshness, evidence, incarnations,
	    count, self, standing->ages.data);
	for (uint32_t i = 0; i < count; i++) {
		member_t *member =
		    members_find(registry->members, incarnations[i]);
		struct timespec responded_at;

		if (member == NULL)
			continue;
		responded_at = freshness_last_response_at(
		    &registry->freshness, incarnations[i]);
		if (timespec_ms_between(
			member->last_response_at, responded_at) > 0) {
			member->last_response_at = responded_at;
			/* Whether a partner responds is known from this
			 * daemon's own heartbeats. */
			changed |= !member->partner && !member->responsive;
			member->responsive |= !member->partner;
		}
		if ((standing->holds.data[i / BITS_PER_BYTE] >>
			    i % BITS_PER_BYTE &
			1) != 0 &&
		    standing->revision > member->revision)
			member->revision = standing->revision;
	}
	if (changed)
		registry_members_publish(registry);
}

void
registry_heartbeat_response(
    registry_t *registry, const peer_response_t *response)
{
	member_t *member = members_find(registry->members, response->from);
	const Wire__Standing *standing;
	peer_evidence_t evidence;
	bool changed;

	if (response->envelope == NULL ||
	    response->envelope->standing == NULL) {
		response_missed(registry, member);
		return;
	}
	if (member == NULL)
		return;
	standing = response->envelope->standing;
	evidence = (peer_evidence_t){.incarnation = response->from,
	    .queried_at = response->queried_at,
	    .revision = standing->revision,
	    .epoch = standing->epoch,
	    .store_read = standing->store_age_ms >= 0,
	    .store_read_at =
		timespec_add_ms(response->queried_at, -standing->store_age_ms)};
	freshness_peer_responded(&registry->freshness, &evidence);
	changed = !member->responsive || member->draining != standing->draining;
	member->responsive = true;
	member->draining = standing->draining;
	member->revision = standing->revision;
	member->last_response_at = response->queried_at;
	if (changed)
		registry_members_publish(registry);
	ages_apply(registry, standing, &evidence);
	standing_compare(registry, response->from, standing);
	registry_freshness_publish(registry);
}

void
registry_revisions_query(registry_t *registry, const peer_query_t *query)
{
	uint64_t after = query->envelope->revisions_ask->after;
	Wire__Revision rows[REVISIONS_PER_RESPONSE];
	Wire__Revision *pointers[REVISIONS_PER_RESPONSE];
	Wire__Revisions revisions = WIRE__REVISIONS__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	revisions.revisions = pointers;
	while (revisions.n_revisions < REVISIONS_PER_RESPONSE) {
		const revision_row_t *row = registry_revision_row(
		    registry, after + 1 + revisions.n_revisions);
		size_t n = revisions.n_revisions;

		if (row == NULL)
			break;
		wire__revision__init(&rows[n]);
		rows[n].number = row->number;
		rows[n].text = row->text;
		pointers[n] = &rows[n];
		revisions.n_revisions++;
	}
	envelope.body_case = WIRE__ENVELOPE__BODY_REVISIONS;
	envelope.revisions = &revisions;
	peers_respond(registry->peers, query, &envelope);
}

void
registry_revisions_response(
    registry_t *registry, const peer_response_t *response)
{
	const Wire__Revisions *revisions;

	if (response->envelope == NULL || response->envelope->revisions == NULL)
		return;
	revisions = response->envelope->revisions;
	for (size_t i = 0; i < revisions->n_revisions; i++)
		registry_revision_apply(registry,
		    revisions->revisions[i]->number,
		    revisions->revisions[i]->text);
	/* The peer no longer caches the next revision: the store has all. */
	if (revisions->n_revisions == 0)
		registry_revisions_read(registry);
	else
		registry_heartbeat(registry);
}
