#include "moortack/member/members.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

members_t *
members_new(void)
{
	members_t *members = calloc(1, sizeof(*members));

	if (members == NULL)
		return NULL;
	members->references = 1;
	table_init(&members->rows, sizeof(member_t));
	return members;
}

members_t *
members_acquire(members_t *members)
{
	members->references++;
	return members;
}

void
members_release(members_t *members)
{
	if (members == NULL || --members->references > 0)
		return;
	table_finish(&members->rows);
	free(members);
}

members_t *
members_copy(const members_t *from)
{
	members_t *members = members_new();

	if (members == NULL)
		return NULL;
	members->epoch = from->epoch;
	for (handle_t h = 0; h < from->rows.len; h++) {
		member_t *row = table_add(&members->rows);

		if (row == NULL) {
			members_release(members);
			return NULL;
		}
		*row = *members_at(from, h);
	}
	return members;
}

member_t *
members_at(const members_t *members, handle_t handle)
{
	return table_at(&members->rows, handle);
}

member_t *
members_find(const members_t *members, uint64_t incarnation)
{
	for (handle_t h = 0; h < members->rows.len; h++) {
		member_t *member = members_at(members, h);

		if (member->incarnation == incarnation)
			return member;
	}
	return NULL;
}

typedef struct hashed_member {
	uint64_t hash;
	handle_t handle;
} hashed_member_t;

static int
hash_compare(const void *a, const void *b)
{
	uint64_t x = ((const hashed_member_t *)a)->hash;
	uint64_t y = ((const hashed_member_t *)b)->hash;

	return x < y ? -1 : x > y;
}

void
members_partners_select(members_t *members, uint64_t self)
{
	uint32_t count = members->rows.len;
	hashed_member_t *hashed = calloc(count + 1, sizeof(*hashed));

	if (hashed == NULL)
		return;
	for (handle_t h = 0; h < count; h++) {
		uint64_t other = members_at(members, h)->incarnation;

		members_at(members, h)->partner = false;
		hashed[h].handle = h;
		hashed[h].hash =
		    XXH3_64bits_withSeed(&other, sizeof(other), self);
	}
	qsort(hashed, count, sizeof(*hashed), hash_compare);
	for (uint32_t i = 0; i < count && i < MEMBERS_PARTNERS_MAX; i++)
		members_at(members, hashed[i].handle)->partner = true;
	free(hashed);
}

member_t *
members_partner_at(const members_t *members, uint32_t n)
{
	uint32_t partners = members->rows.len < MEMBERS_PARTNERS_MAX
	    ? members->rows.len
	    : MEMBERS_PARTNERS_MAX;

	if (partners == 0)
		return NULL;
	n %= partners;
	for (handle_t h = 0; h < members->rows.len; h++) {
		member_t *member = members_at(members, h);

		if (member->partner && n-- == 0)
			return member;
	}
	return NULL;
}

/* The table lists rows in the order of their keys, which are the
 * incarnations. */
uint32_t
members_incarnations(const members_t *members, uint64_t self, uint64_t *out)
{
	uint32_t count = 0;
	bool self_added = false;

	for (handle_t h = 0; h < members->rows.len; h++) {
		uint64_t incarnation = members_at(members, h)->incarnation;

		if (!self_added && incarnation > self) {
			out[count++] = self;
			self_added = true;
		}
		out[count++] = incarnation;
	}
	if (!self_added)
		out[count++] = self;
	return count;
}

void
incarnation_format(uint64_t incarnation, char out[INCARNATION_TEXT_SIZE])
{
	snprintf(out, INCARNATION_TEXT_SIZE, "%016" PRIx64, incarnation);
}

json_t *
member_to_json(const member_t *member)
{
	char text[INCARNATION_TEXT_SIZE];

	incarnation_format(member->incarnation, text);
	return json_pack("{s:s,s:s,s:s,s:s}", "incarnation", text, "peer",
	    member->peer_address, "http", member->http_address, "place",
	    member->place);
}

bool
member_parse(const char *text, member_t *out)
{
	json_t *row = json_loads(text, 0, NULL);
	const char *incarnation, *peer, *http, *place;
	bool valid;

	*out = (member_t){0};
	valid =
	    json_unpack(row, "{s:s,s:s,s:s,s:s}", "incarnation", &incarnation,
		"peer", &peer, "http", &http, "place", &place) == 0;
	if (valid) {
		out->incarnation = strtoull(incarnation, NULL, 16);
		snprintf(
		    out->peer_address, sizeof(out->peer_address), "%s", peer);
		snprintf(
		    out->http_address, sizeof(out->http_address), "%s", http);
		snprintf(out->place, sizeof(out->place), "%s", place);
	}
	json_decref(row);
	return valid && out->incarnation != 0;
}
