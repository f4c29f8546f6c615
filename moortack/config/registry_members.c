#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "registry_priv.h"

/** Members asked in one heartbeat round; in a larger fleet, at random. */
#define HEARTBEAT_FANOUT 8
/** Of them, those that are asked for what they know of the others. */
#define AGES_ASKED 2
#define MEMBERS_MAX 1024
#define BITS 8
#define HEARTBEAT_TIMEOUTS 2
#define ROWS_ASKED_MAX 128

static void
members_body_release(void *body)
{
	members_release(body);
}

static void
members_tell(registry_t *registry)
{
	members_t *front = members_copy(registry->members);

	if (front == NULL)
		return;
	task_post(registry->ports.billing, registry->ports.billing_members,
	    members_share(front), members_body_release);
	task_post(registry->ports.front, registry->ports.members, front,
	    members_body_release);
}

static void
self_key(const registry_t *registry, char *out, size_t size)
{
	char text[INCARNATION_TEXT_SIZE];

	incarnation_text(registry->process.incarnation, text);
	snprintf(out, size, "member/%s", text);
}

static void
join_done(void *arg, store_result_t result, const json_t *reply)
{
	registry_t *registry = arg;

	(void)reply;
	registry->joining = false;
	/* Joined, lost or raced: the list tells. */
	if (result != STORE_REFUSED)
		registry_members_read(registry);
}

/* Change a row of the membership and count the epoch up, or neither. */
static bool
member_row_put(
    registry_t *registry, const char *key, const char *value, store_done_t done)
{
	char before[NUMBER_SIZE];
	char after[NUMBER_SIZE];

	snprintf(before, sizeof(before), "%" PRIu64, registry->store_epoch);
	snprintf(after, sizeof(after), "%" PRIu64, registry->store_epoch + 1);
	return store_txn(registry->store,
	    json_pack("[o]",
		store_row("epoch", registry->store_epoch > 0 ? before : NULL)),
	    json_pack(
		"[o,o]", store_row("epoch", after), store_row(key, value)),
	    done, registry);
}

void
registry_join(registry_t *registry)
{
	member_t self = {.incarnation = registry->process.incarnation};
	char key[KEY_SIZE];
	json_t *row;
	char *text;

	if (registry->joining || registry->leaving)
		return;
	snprintf(self.peer_address, sizeof(self.peer_address), "%.63s",
	    registry->options->peer_advertise);
	snprintf(self.http_address, sizeof(self.http_address), "%.63s",
	    registry->options->listen);
	snprintf(
	    self.place, sizeof(self.place), "%.47s", registry->options->place);
	self_key(registry, key, sizeof(key));
	row = member_json(&self);
	text = json_dumps(row, JSON_COMPACT);
	json_decref(row);
	if (text != NULL)
		registry->joining =
		    member_row_put(registry, key, text, join_done);
	free(text);
}

static void
row_changed(void *arg, store_result_t result, const json_t *reply)
{
	(void)reply;
	if (result == STORE_OK)
		registry_members_read(arg);
}

void
registry_leave_now(registry_t *registry)
{
	char key[KEY_SIZE];

	registry->leaving = true;
	registry->joined = false;
	self_key(registry, key, sizeof(key));
	member_row_put(registry, key, NULL, row_changed);
	registry_heartbeat(registry);
}

static void
member_take_over(registry_t *registry, members_t *members, member_t *row)
{
	const member_t *old = members_find(registry->members, row->incarnation);
	member_t *added;

	row->heard_at = clock_elapsed(registry->process.clock);
	if (old != NULL) {
		row->heard_at = old->heard_at;
		row->answers = old->answers;
		row->draining = old->draining;
		row->revision = old->revision;
	} else {
		timeline_add(registry->process.timeline, EVENT_PEER_SEEN,
		    row->peer_address, "%s", row->place);
	}
	added = table_add(&members->rows);
	if (added != NULL)
		*added = *row;
}

static void
lost_forget(registry_t *registry, const members_t *members)
{
	for (handle_t h = 0; h < registry->members->rows.len; h++) {
		const member_t *old = members_at(registry->members, h);

		if (members_find(members, old->incarnation) != NULL)
			continue;
		freshness_peer_forget(&registry->freshness, old->incarnation);
		timeline_add(registry->process.timeline, EVENT_PEER_LOST,
		    old->peer_address, "%s", old->place);
	}
}

static bool
rows_take(registry_t *registry, members_t *members, const json_t *rows)
{
	bool self = false;
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		const char *text = json_string_value(json_array_get(row, 1));
		member_t member;

		if (text == NULL || !member_parse(text, &member))
			continue;
		if (member.incarnation == registry->process.incarnation)
			self = true;
		else
			member_take_over(registry, members, &member);
	}
	return self;
}

static void
members_take(registry_t *registry, const json_t *rows)
{
	members_t *members = members_new();

	if (members == NULL)
		return;
	members->epoch = registry->store_epoch;
	registry->joined = rows_take(registry, members, rows);
	lost_forget(registry, members);
	members_release(registry->members);
	registry->members = members;
	registry->freshness.epoch = members->epoch;
	registry->freshness.members =
	    members->rows.len + (registry->joined ? 1 : 0);
	peers_members(registry->peers, members);
	members_tell(registry);
	if (!registry->joined)
		registry_join(registry);
}

/* The epoch is read before and after the list, so that the two belong
 * together. */
typedef struct members_read {
	registry_t *registry;
	uint64_t epoch;
	json_t *rows;
} members_read_t;

static void
read_end(members_read_t *read)
{
	read->registry->members_pending = false;
	json_decref(read->rows);
	free(read);
}

static uint64_t
epoch_of(const json_t *reply)
{
	const char *epoch = store_value(reply, "epoch");

	return epoch != NULL ? strtoull(epoch, NULL, 10) : 0;
}

static void
epoch_read_again(void *arg, store_result_t result, const json_t *reply)
{
	members_read_t *read = arg;

	if (result == STORE_OK && epoch_of(reply) == read->epoch) {
		read->registry->store_epoch = read->epoch;
		members_take(read->registry, read->rows);
	}
	read_end(read);
}

static void
list_read(void *arg, store_result_t result, const json_t *reply)
{
	members_read_t *read = arg;

	read->rows = json_incref(json_object_get(reply, "rows"));
	if (result != STORE_OK ||
	    !store_get(read->registry->store, json_pack("[s]", "epoch"),
		epoch_read_again, read))
		read_end(read);
}

static void
epoch_read(void *arg, store_result_t result, const json_t *reply)
{
	members_read_t *read = arg;

	read->epoch = epoch_of(reply);
	if (result != STORE_OK ||
	    !store_scan(read->registry->store, "member/", "", list_read, read))
		read_end(read);
}

void
registry_members_read(registry_t *registry)
{
	members_read_t *read;

	if (registry->members_pending)
		return;
	read = calloc(1, sizeof(*read));
	if (read == NULL)
		return;
	read->registry = registry;
	registry->members_pending = true;
	if (!store_get(
		registry->store, json_pack("[s]", "epoch"), epoch_read, read))
		read_end(read);
}

static void
standing_fill(const registry_t *registry, Wire__Standing *standing)
{
	struct timespec now = clock_elapsed(registry->process.clock);

	wire__standing__init(standing);
	standing->revision = registry->config->revision;
	standing->epoch = registry->members->epoch;
	standing->draining = registry->leaving;
	standing->sequence = registry->heartbeat;
	standing->store_age_ms = registry->freshness.store_read
	    ? timespec_ms_between(registry->freshness.store_at, now)
	    : -1;
}

static void
dead_remove(registry_t *registry, const member_t *member)
{
	char incarnation[INCARNATION_TEXT_SIZE];
	char key[KEY_SIZE];

	incarnation_text(member->incarnation, incarnation);
	snprintf(key, sizeof(key), "member/%s", incarnation);
	log_line(LOG_WARN, LOG_CONFIG, "Peer %s is silent and is taken off.",
	    member->peer_address);
	member_row_put(registry, key, NULL, row_changed);
}

/* A silent member is taken off by whoever notices first, one at a time. */
static void
dead_check(registry_t *registry, struct timespec now)
{
	if (registry->store_lost || !registry->joined ||
	    registry->members_pending ||
	    !freshness_majority(&registry->freshness, now))
		return;
	for (handle_t h = 0; h < registry->members->rows.len; h++) {
		const member_t *member = members_at(registry->members, h);

		if (timespec_ms_between(member->heard_at, now) >=
		    registry->options->dead_ms) {
			dead_remove(registry, member);
			return;
		}
	}
}

static void
member_ask(registry_t *registry, const member_t *member, bool want_ages)
{
	Wire__Standing standing;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	const peer_ask_t ask = {.to = member->incarnation,
	    .timeout_ms =
		(int)registry->options->heartbeat_ms * HEARTBEAT_TIMEOUTS,
	    .task = &registry->task,
	    .kind = REGISTRY_STOOD};

	standing_fill(registry, &standing);
	standing.want_ages = want_ages;
	envelope.body_case = WIRE__ENVELOPE__BODY_STANDING;
	envelope.standing = &standing;
	peers_ask(registry->peers, &ask, &envelope);
}

void
registry_heartbeat(registry_t *registry)
{
	uint32_t count = registry->members->rows.len;
	bool all = count <= HEARTBEAT_FANOUT;
	uint32_t asked = all ? count : HEARTBEAT_FANOUT;

	registry->heartbeat++;
	for (uint32_t i = 0; i < asked; i++) {
		uint32_t pick =
		    all ? i : rng_below(registry->process.rng, count);

		member_ask(registry, members_at(registry->members, pick),
		    !all && i < AGES_ASKED);
	}
	dead_check(registry, clock_elapsed(registry->process.clock));
}

static void
rows_ask(registry_t *registry, uint64_t from)
{
	Wire__RevisionsAsk rows = WIRE__REVISIONS_ASK__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	const peer_ask_t ask = {.to = from,
	    .timeout_ms = (int)registry->options->heartbeat_ms,
	    .task = &registry->task,
	    .kind = REGISTRY_ROWS};

	rows.after = registry->config->revision;
	envelope.body_case = WIRE__ENVELOPE__BODY_REVISIONS_ASK;
	envelope.revisions_ask = &rows;
	peers_ask(registry->peers, &ask, &envelope);
}

static void
standing_learn(
    registry_t *registry, uint64_t from, const Wire__Standing *standing)
{
	if (standing->revision > registry->config->revision)
		rows_ask(registry, from);
	if (standing->epoch > registry->store_epoch)
		registry_members_read(registry);
}

/* What this daemon knows of the others, for an asker of the same epoch. */
static void
ages_fill(const registry_t *registry, Wire__Standing *standing, uint8_t *ages,
    uint8_t *holds)
{
	uint64_t ranked[MEMBERS_MAX + 1];
	uint64_t self = registry->process.incarnation;
	uint32_t count;

	if (registry->members->rows.len > MEMBERS_MAX || !registry->joined)
		return;
	count = members_ranked(registry->members, self, ranked);
	freshness_ages(&registry->freshness, ranked, count, self,
	    clock_elapsed(registry->process.clock), ages);
	memset(holds, 0, (count + BITS - 1) / BITS);
	for (uint32_t i = 0; i < count; i++) {
		const member_t *member =
		    members_find(registry->members, ranked[i]);

		if (member == NULL ||
		    member->revision >= registry->config->revision)
			holds[i / BITS] |= (uint8_t)(1 << i % BITS);
	}
	standing->ages.data = ages;
	standing->ages.len = count;
	standing->holds.data = holds;
	standing->holds.len = (count + BITS - 1) / BITS;
}

void
registry_standing(registry_t *registry, const peer_question_t *question)
{
	const Wire__Standing *theirs = question->envelope->standing;
	member_t *member =
	    members_find(registry->members, question->envelope->from);
	uint8_t ages[MEMBERS_MAX + 1];
	uint8_t holds[MEMBERS_MAX / BITS + 1];
	Wire__Standing standing;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	if (member != NULL && member->draining != theirs->draining) {
		member->draining = theirs->draining;
		members_tell(registry);
	}
	standing_learn(registry, question->envelope->from, theirs);
	standing_fill(registry, &standing);
	standing.sequence = theirs->sequence;
	if (theirs->want_ages && theirs->epoch == standing.epoch)
		ages_fill(registry, &standing, ages, holds);
	envelope.body_case = WIRE__ENVELOPE__BODY_STANDING;
	envelope.standing = &standing;
	peers_answer(registry->peers, question, &envelope);
}

static void
answer_missed(registry_t *registry, member_t *member)
{
	if (member == NULL || !member->answers)
		return;
	member->answers = false;
	members_tell(registry);
}

/* What an answer brought of the other members. */
static void
ages_take(registry_t *registry, const Wire__Standing *standing,
    const peer_evidence_t *evidence)
{
	uint64_t ranked[MEMBERS_MAX + 1];
	uint64_t self = registry->process.incarnation;
	uint32_t count;
	bool changed = false;

	if (registry->members->rows.len > MEMBERS_MAX ||
	    standing->epoch != registry->members->epoch)
		return;
	count = members_ranked(registry->members, self, ranked);
	if (standing->ages.len != count ||
	    standing->holds.len != (count + BITS - 1) / BITS)
		return;
	freshness_merge(&registry->freshness, evidence, ranked, count, self,
	    standing->ages.data);
	for (uint32_t i = 0; i < count; i++) {
		member_t *member = members_find(registry->members, ranked[i]);
		struct timespec heard;

		if (member == NULL)
			continue;
		heard = freshness_heard_at(&registry->freshness, ranked[i]);
		if (timespec_ms_between(member->heard_at, heard) > 0) {
			member->heard_at = heard;
			changed |= !member->answers;
			member->answers = true;
		}
		if ((standing->holds.data[i / BITS] >> i % BITS & 1) != 0 &&
		    standing->revision > member->revision)
			member->revision = standing->revision;
	}
	if (changed)
		members_tell(registry);
}

void
registry_stood(registry_t *registry, const peer_answer_t *answer)
{
	member_t *member = members_find(registry->members, answer->from);
	const Wire__Standing *standing;
	peer_evidence_t evidence;
	bool changed;

	if (answer->envelope == NULL || answer->envelope->standing == NULL) {
		answer_missed(registry, member);
		return;
	}
	if (member == NULL)
		return;
	standing = answer->envelope->standing;
	evidence = (peer_evidence_t){.incarnation = answer->from,
	    .asked_at = answer->asked_at,
	    .revision = standing->revision,
	    .epoch = standing->epoch,
	    .store_read = standing->store_age_ms >= 0,
	    .store_at =
		timespec_after_ms(answer->asked_at, -standing->store_age_ms)};
	freshness_peer_answered(&registry->freshness, &evidence);
	changed = !member->answers || member->draining != standing->draining;
	member->answers = true;
	member->draining = standing->draining;
	member->revision = standing->revision;
	member->heard_at = answer->asked_at;
	if (changed)
		members_tell(registry);
	ages_take(registry, standing, &evidence);
	standing_learn(registry, answer->from, standing);
	registry_freshness_tell(registry);
}

void
registry_rows_asked(registry_t *registry, const peer_question_t *question)
{
	uint64_t after = question->envelope->revisions_ask->after;
	Wire__Revision rows[ROWS_ASKED_MAX];
	Wire__Revision *pointers[ROWS_ASKED_MAX];
	Wire__Revisions revisions = WIRE__REVISIONS__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	revisions.revisions = pointers;
	while (revisions.n_revisions < ROWS_ASKED_MAX) {
		const revision_row_t *row =
		    registry_row(registry, after + 1 + revisions.n_revisions);
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
	peers_answer(registry->peers, question, &envelope);
}

void
registry_rows_answered(registry_t *registry, const peer_answer_t *answer)
{
	const Wire__Revisions *revisions;

	if (answer->envelope == NULL || answer->envelope->revisions == NULL)
		return;
	revisions = answer->envelope->revisions;
	for (size_t i = 0; i < revisions->n_revisions; i++)
		registry_take(registry, revisions->revisions[i]->number,
		    revisions->revisions[i]->text);
	/* The peer kept too few of them: the store has all. */
	if (revisions->n_revisions == 0)
		registry_rows_read(registry);
	else
		registry_heartbeat(registry);
}
