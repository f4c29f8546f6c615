#include <string.h>
#include <xxhash.h>

#include "contents_calls.h"
#include "moortack/relay/endpoint_owner.h"

/* Least time between two choices of the endpoints to follow. */
#define CHOICE_INTERVAL_MS 1000
/* A prompt's parts are reported once it is prefilled, which may take as long as
 * its latency objective (2.5 s in one deployment), and with the next call. */
#define RECENT_SENDS_MS 3000

static int64_t
now_ms(const relay_t *relay)
{
	return timespec_to_ms(clock_boottime(relay->clock));
}

static bool
endpoint_wanted(const relay_t *relay, const owned_endpoints_t *owned,
    const endpoint_t *endpoint)
{
	const relay_service_t *service = relay->config != NULL
	    ? relay_config_find_service(relay->config, endpoint->info.service)
	    : NULL;

	return relay->gossip->uses_owners && endpoint->in_set &&
	    service != NULL && service->contents_calls_max > 0 &&
	    owned_endpoints_has(
		owned, endpoint->info.zone, endpoint->short_hash);
}

static followed_endpoint_t *
followed_find(const relay_contents_t *contents, const endpoint_t *endpoint)
{
	for (size_t i = 0; i < contents->len; i++) {
		if (contents->followed[i]->endpoint == endpoint)
			return contents->followed[i];
	}
	return NULL;
}

static void
followed_prune(relay_t *relay, const owned_endpoints_t *owned)
{
	relay_contents_t *contents = &relay->contents;
	size_t len = 0;

	for (size_t i = 0; i < contents->len; i++) {
		followed_endpoint_t *self = contents->followed[i];

		if (endpoint_wanted(relay, owned, self->endpoint))
			contents->followed[len++] = self;
		else
			followed_free(self);
	}
	contents->len = len;
}

static void
group_follow(relay_t *relay, const owned_endpoints_t *owned,
    const endpoint_group_t *group)
{
	relay_contents_t *contents = &relay->contents;

	for (size_t i = 0; i < group->len; i++) {
		endpoint_t *endpoint = group->ring[i];
		followed_endpoint_t *followed;

		if (!owned_endpoints_has(
			owned, endpoint->info.zone, endpoint->short_hash) ||
		    followed_find(contents, endpoint) != NULL)
			continue;
		followed = contents->len < CONTENTS_FOLLOWED_MAX
		    ? followed_begin(relay, endpoint)
		    : NULL;
		if (followed != NULL)
			contents->followed[contents->len++] = followed;
		else
			contents->skipped++;
	}
}

static void
groups_follow(relay_t *relay, const owned_endpoints_t *owned)
{
	for (const endpoint_group_t *group = relay->endpoints->groups;
	     group != NULL; group = group->hh.next) {
		const relay_service_t *service =
		    relay_config_find_service(relay->config, group->service);

		if (service != NULL && service->contents_calls_max > 0)
			group_follow(relay, owned, group);
	}
}

static void
endpoints_choose(relay_t *relay)
{
	owned_endpoints_t owned;

	owned_endpoints_init(&owned, relay->members);
	followed_prune(relay, &owned);
	relay->contents.skipped = 0;
	if (relay->gossip->uses_owners && relay->config != NULL)
		groups_follow(relay, &owned);
	owned_endpoints_finish(&owned);
}

/* Whether this daemon may own endpoints. */
static bool
may_own(const relay_t *relay)
{
	return relay->gossip->uses_owners &&
	    relay->members->state == MEMBER_READY;
}

/* Changes with the set of daemons among which endpoints have owners. */
static uint64_t
members_hash(const relay_t *relay)
{
	const membership_t *members = relay->members;
	uint64_t hash = may_own(relay);

	for (const member_t *member = members->members; member != NULL;
	     member = member->hh.next) {
		if (gossip_peer_available(members, member))
			hash += XXH3_64bits(member->name, strlen(member->name));
	}
	return hash;
}

void
relay_contents_tick(relay_t *relay)
{
	relay_contents_t *contents = &relay->contents;
	struct timespec now = clock_boottime(relay->clock);
	uint64_t version = relay->config != NULL ? relay->config->version : 0;
	uint64_t members;
	work_turn_t turn;

	if (contents->dialect == NULL ||
	    timespec_ms_between(contents->chosen_at, now) < CHOICE_INTERVAL_MS)
		return;
	members = members_hash(relay);
	/* Until then nothing is chosen, and the first choice is not delayed. */
	if (may_own(relay))
		contents->chosen_at = now;
	if (members == contents->members_hash &&
	    relay->endpoints->changes == contents->endpoint_changes &&
	    version == contents->config_version)
		return;
	contents->members_hash = members;
	contents->endpoint_changes = relay->endpoints->changes;
	contents->config_version = version;
	turn = work_begin(relay->meter);
	endpoints_choose(relay);
	work_end(relay->meter, WORK_CONTENTS, &turn, contents->len);
}

void
relay_contents_finish(relay_t *relay)
{
	while (relay->contents.len > 0)
		followed_free(relay->contents.followed[--relay->contents.len]);
}

uint32_t
relay_contents_add_recent(const relay_t *relay, uint64_t endpoint,
    const prefix_list_t *prefixes, uint32_t count)
{
	while (count < prefixes->len &&
	    prefix_index_sent_within(&relay->prefix_index,
		prefixes->hashes[count], endpoint, now_ms(relay),
		RECENT_SENDS_MS))
		count++;
	return count;
}

bool
relay_contents_match(const relay_t *relay, const endpoint_t *endpoint,
    const prefix_list_t *prefixes, uint32_t *count)
{
	const followed_endpoint_t *self =
	    followed_find(&relay->contents, endpoint);

	if (self == NULL || !followed_is_known(self))
		return false;
	*count = 0;
	while (*count < prefixes->len &&
	    (endpoint_contents_has(&self->contents, prefixes->parts[*count]) ||
		prefix_index_sent_within(&relay->prefix_index,
		    prefixes->hashes[*count], endpoint->hash, now_ms(relay),
		    RECENT_SENDS_MS)))
		(*count)++;
	return true;
}

uint32_t
relay_contents_known(const relay_t *relay)
{
	uint32_t count = 0;

	for (size_t i = 0; i < relay->contents.len; i++)
		count += followed_is_known(relay->contents.followed[i]);
	return count;
}

size_t
relay_contents_parts(const relay_t *relay)
{
	size_t count = 0;

	for (size_t i = 0; i < relay->contents.len; i++)
		count += endpoint_contents_count(
		    &relay->contents.followed[i]->contents);
	return count;
}
