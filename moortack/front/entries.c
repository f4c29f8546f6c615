#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "common/http_request.h"
#include "front_priv.h"

#define ENTRIES_MAX 4
#define CANDIDATES_MAX 1024
#define TICKETS_MAX 100

typedef struct entry {
	const char *address;
	const char *place;
} entry_t;

/* Collect the members that respond and aren't draining, and this daemon. */
static uint32_t
entries_collect(const front_t *front, entry_t *out)
{
	uint32_t count = 0;

	if (!front->draining)
		out[count++] =
		    (entry_t){front->options->listen, front->options->place};
	for (handle_t h = 0;
	     h < front->members->rows.len && count < CANDIDATES_MAX; h++) {
		const member_t *member = members_at(front->members, h);

		if (member->responsive && !member->draining)
			out[count++] =
			    (entry_t){member->http_address, member->place};
	}
	return count;
}

static void
entries_shuffle(rng_t *rng, entry_t *entries, uint32_t count)
{
	for (uint32_t i = count; i > 1; i--) {
		uint32_t j = rng_below(rng, i);
		entry_t swap = entries[i - 1];

		entries[i - 1] = entries[j];
		entries[j] = swap;
	}
}

static bool
place_listed(const json_t *list, const char *place)
{
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		if (strcmp(json_string_value(json_object_get(item, "place")),
			place) == 0)
			return true;
	}
	return false;
}

/* Select one entry in each place first, so that a caller has another one when a
 * place is cut off; then any others. */
static json_t *
entries_select(const entry_t *entries, uint32_t count)
{
	json_t *list = json_array();
	bool used[CANDIDATES_MAX] = {false};

	for (int round = 0; round < 2; round++) {
		for (uint32_t i = 0;
		     i < count && json_array_size(list) < ENTRIES_MAX; i++) {
			if (used[i] ||
			    (round == 0 &&
				place_listed(list, entries[i].place)))
				continue;
			used[i] = true;
			json_array_append_new(list,
			    json_pack("{s:s,s:s}", "address",
				entries[i].address, "place", entries[i].place));
		}
	}
	return list;
}

void
entries_respond(front_t *front, http_request_t *req)
{
	entry_t entries[CANDIDATES_MAX];
	uint32_t count = entries_collect(front, entries);
	err_t err;

	if (auth_organisation(front, req) == HANDLE_NONE) {
		err_set(&err, ERR_AUTHENTICATION, "no such key");
		failure_respond(front, req, &err, NULL, NULL);
		return;
	}
	entries_shuffle(front->process.rng, entries, count);
	http_respond_json(req, 200,
	    json_pack("{s:o,s:I}", "entries", entries_select(entries, count),
		"ttl_ms", (json_int_t)front->options->entries_ttl_ms));
}

/* A partner in another place if there is one, else one in the same place; this
 * daemon if no partner responds. */
static uint64_t
second_witness_select(front_t *front)
{
	uint32_t first = rng_below(front->process.rng, MEMBERS_PARTNERS_MAX);
	uint64_t fallback = front->process.incarnation;

	for (uint32_t i = 0; i < MEMBERS_PARTNERS_MAX; i++) {
		const member_t *member =
		    members_partner_at(front->members, first + i);

		if (member == NULL || !member->responsive || member->draining)
			continue;
		if (strcmp(member->place, front->options->place) != 0)
			return member->incarnation;
		fallback = member->incarnation;
	}
	return fallback;
}

void
ticket_issue(front_t *front, const char *organisation, ticket_t *out)
{
	*out = (ticket_t){
	    .expires_ms = timespec_to_ms(clock_wall(front->process.clock)) +
		front->options->ticket_ttl_ms,
	    .witnesses = {
		front->process.incarnation, second_witness_select(front)}};
	randombytes_buf(out->id, sizeof(out->id));
	snprintf(
	    out->organisation, sizeof(out->organisation), "%s", organisation);
}

void
tickets_respond(front_t *front, http_request_t *req)
{
	handle_t organisation = auth_organisation(front, req);
	json_t *list;
	char text[16] = "1";
	int count;
	err_t err;

	if (organisation == HANDLE_NONE) {
		err_set(&err, ERR_AUTHENTICATION, "no such key");
		failure_respond(front, req, &err, NULL, NULL);
		return;
	}
	http_request_query_param(req, "count", text, sizeof(text));
	if (sscanf(text, "%d", &count) != 1 || count < 1 ||
	    count > TICKETS_MAX) {
		err_set(&err, ERR_BAD_REQUEST, "count must be from 1 to %d",
		    TICKETS_MAX);
		failure_respond(front, req, &err, NULL, NULL);
		return;
	}
	list = json_array();
	while (count-- > 0) {
		char sealed[TOKEN_TEXT_MAX];
		ticket_t ticket;

		ticket_issue(front,
		    config_organisation_at(front->config, organisation)->name,
		    &ticket);
		if (ticket_seal(&front->keyring, &ticket, sealed))
			json_array_append_new(list, json_string(sealed));
	}
	http_respond_json(req, 200,
	    json_pack("{s:o,s:I}", "tickets", list, "ttl_ms",
		(json_int_t)front->options->ticket_ttl_ms));
}
