#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "registry_priv.h"

static void
members_body_release(void *body)
{
	members_release(body);
}

void
registry_members_publish(registry_t *registry)
{
	members_t *front = members_copy(registry->members);

	if (front == NULL)
		return;
	task_post(registry->subscribers.billing_task,
	    registry->subscribers.billing_members_kind, members_acquire(front),
	    members_body_release);
	task_post(registry->subscribers.front_task,
	    registry->subscribers.members_kind, front, members_body_release);
}

static void
own_key(const registry_t *registry, char *out, size_t size)
{
	char text[INCARNATION_TEXT_SIZE];

	incarnation_format(registry->process.incarnation, text);
	snprintf(out, size, "member/%s", text);
}

static void
join_done(void *arg, store_result_t result, const json_t *response)
{
	registry_t *registry = arg;

	(void)response;
	registry->join_pending = false;
	/* Joined, no response, or a conflict: the list of members shows which.
	 */
	if (result != STORE_RATE_LIMITED)
		registry_members_read(registry);
}

/* Changes a row of the membership and increments the epoch, in a transaction.
 */
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
		store_row_new(
		    "epoch", registry->store_epoch > 0 ? before : NULL)),
	    json_pack("[o,o]", store_row_new("epoch", after),
		store_row_new(key, value)),
	    done, registry);
}

void
registry_join(registry_t *registry)
{
	member_t self = {.incarnation = registry->process.incarnation};
	char key[KEY_SIZE];
	json_t *row;
	char *text;

	if (registry->join_pending || registry->leaving)
		return;
	snprintf(self.peer_address, sizeof(self.peer_address), "%.63s",
	    registry->options->peer_advertise);
	snprintf(self.http_address, sizeof(self.http_address), "%.63s",
	    registry->options->listen);
	snprintf(
	    self.place, sizeof(self.place), "%.47s", registry->options->place);
	own_key(registry, key, sizeof(key));
	row = member_to_json(&self);
	text = json_dumps(row, JSON_COMPACT);
	json_decref(row);
	if (text != NULL)
		registry->join_pending =
		    member_row_put(registry, key, text, join_done);
	free(text);
}

static void
member_row_written(void *arg, store_result_t result, const json_t *response)
{
	(void)response;
	if (result == STORE_OK)
		registry_members_read(arg);
}

void
registry_leave_start(registry_t *registry)
{
	char key[KEY_SIZE];

	registry->leaving = true;
	registry->joined = false;
	own_key(registry, key, sizeof(key));
	member_row_put(registry, key, NULL, member_row_written);
	registry_heartbeat(registry);
}

static void
member_add(registry_t *registry, members_t *members, member_t *row)
{
	const member_t *old = members_find(registry->members, row->incarnation);
	member_t *added;

	row->last_response_at = clock_boottime(registry->process.clock);
	if (old != NULL) {
		row->last_response_at = old->last_response_at;
		row->responsive = old->responsive;
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
removed_members_forget(registry_t *registry, const members_t *members)
{
	for (handle_t h = 0; h < registry->members->rows.len; h++) {
		const member_t *old = members_at(registry->members, h);

		if (members_find(members, old->incarnation) != NULL)
			continue;
		freshness_peer_remove(&registry->freshness, old->incarnation);
		timeline_add(registry->process.timeline, EVENT_PEER_LOST,
		    old->peer_address, "%s", old->place);
	}
}

static bool
rows_parse(registry_t *registry, members_t *members, const json_t *rows)
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
			member_add(registry, members, &member);
	}
	return self;
}

static void
members_replace(registry_t *registry, const json_t *rows)
{
	members_t *members = members_new();

	if (members == NULL)
		return;
	members->epoch = registry->store_epoch;
	registry->joined = rows_parse(registry, members, rows);
	members_partners_select(members, registry->process.incarnation);
	removed_members_forget(registry, members);
	members_release(registry->members);
	registry->members = members;
	registry->freshness.epoch = members->epoch;
	registry->freshness.member_count =
	    members->rows.len + (registry->joined ? 1 : 0);
	peers_members_set(registry->peers, members);
	registry_members_publish(registry);
	if (!registry->joined)
		registry_join(registry);
}

/** A read of the list of members. The epoch is read before and after the list,
 * so that the two are known to belong together. */
typedef struct members_read {
	registry_t *registry;
	uint64_t epoch;
	json_t *rows;
} members_read_t;

static void
members_read_finish(members_read_t *read)
{
	read->registry->members_pending = false;
	json_decref(read->rows);
	free(read);
}

static uint64_t
epoch_of(const json_t *response)
{
	const char *epoch = store_response_value(response, "epoch");

	return epoch != NULL ? strtoull(epoch, NULL, 10) : 0;
}

static void
epoch_reread(void *arg, store_result_t result, const json_t *response)
{
	members_read_t *read = arg;

	if (result == STORE_OK && epoch_of(response) == read->epoch) {
		read->registry->store_epoch = read->epoch;
		members_replace(read->registry, read->rows);
	}
	members_read_finish(read);
}

static void
member_rows_read(void *arg, store_result_t result, const json_t *response)
{
	members_read_t *read = arg;

	read->rows = json_incref(json_object_get(response, "rows"));
	if (result != STORE_OK ||
	    !store_get(read->registry->store, json_pack("[s]", "epoch"),
		epoch_reread, read))
		members_read_finish(read);
}

static void
epoch_read(void *arg, store_result_t result, const json_t *response)
{
	members_read_t *read = arg;

	read->epoch = epoch_of(response);
	if (result != STORE_OK ||
	    !store_scan(
		read->registry->store, "member/", "", member_rows_read, read))
		members_read_finish(read);
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
		members_read_finish(read);
}

static void
silent_member_remove(registry_t *registry, const member_t *member)
{
	char incarnation[INCARNATION_TEXT_SIZE];
	char key[KEY_SIZE];

	incarnation_format(member->incarnation, incarnation);
	snprintf(key, sizeof(key), "member/%s", incarnation);
	log_line(LOG_WARN, LOG_CONFIG, "Peer %s is silent and is taken off.",
	    member->peer_address);
	member_row_put(registry, key, NULL, member_row_written);
}

/* The first daemon that notices that a member doesn't respond removes it, one
 * member at a time. A daemon removes only its own partners: what it knows of
 * the others is indirect, and may be missing although they respond. Each member
 * is a partner of some other. */
void
registry_silent_member_remove(registry_t *registry, struct timespec now)
{
	if (registry->store_unavailable || !registry->joined ||
	    registry->members_pending ||
	    !freshness_half_responded(&registry->freshness, now))
		return;
	for (handle_t h = 0; h < registry->members->rows.len; h++) {
		const member_t *member = members_at(registry->members, h);

		if (member->partner &&
		    timespec_ms_between(member->last_response_at, now) >=
			registry->options->dead_ms) {
			silent_member_remove(registry, member);
			return;
		}
	}
}
