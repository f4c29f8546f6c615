#include "moortack/relay/endpoint_set.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A report older than this says little; measured lag of reports and queues. */
#define LOAD_FRESH_MS 1500
/* Weight of one look in the mean of what is under way: with five looks a second
 * some four seconds count. */
#define MEAN_WEIGHT 0.05
/* An entry of an earlier start is a heartbeat that came late, unless the
 * endpoint's clock was set back before it started again: then no other entry
 * follows. Three heartbeats of 1,200 ms, after which a silent endpoint's entry
 * goes, and the way. */
#define EARLIER_BELIEVED_MS 4000

void
endpoint_set_init(endpoint_set_t *set, const clock_source_t *clock)
{
	*set = (endpoint_set_t){.clock = clock};
	zone_table_init(&set->zones);
}

static endpoint_group_t *
group_of(endpoint_set_t *set, const char *service)
{
	endpoint_group_t *group = endpoint_set_group(set, service);

	if (group != NULL)
		return group;
	group = calloc(1, sizeof(*group));
	if (group == NULL)
		return NULL;
	strcpy(group->service, service);
	HASH_ADD_STR(set->groups, service, group);
	return group;
}

void
endpoint_set_observe(endpoint_set_t *set)
{
	for (endpoint_group_t *group = set->groups; group != NULL;
	     group = group->hh.next)
		group->in_flight_mean += MEAN_WEIGHT *
		    ((double)group->in_flight - group->in_flight_mean);
}

endpoint_t *
endpoint_hold(endpoint_t *endpoint)
{
	endpoint->shared++;
	return endpoint;
}

void
endpoint_release(endpoint_t *endpoint)
{
	if (--endpoint->shared > 0)
		return;
	endpoint_drop_links(endpoint);
	free(endpoint);
}

static void
earlier_drop(endpoint_t *endpoint)
{
	if (endpoint->earlier == NULL)
		return;
	free(endpoint->earlier);
	endpoint->earlier = NULL;
	endpoint->set->earlier_len--;
}

void
endpoint_lapse(endpoint_t *endpoint)
{
	earlier_drop(endpoint);
	endpoint->lapsed = true;
}

void
endpoint_set_remove(endpoint_set_t *set, endpoint_t *endpoint)
{
	earlier_drop(endpoint);
	HASH_DEL(set->endpoints, endpoint);
	HASH_DELETE(hh_short, set->by_short, endpoint);
	endpoint_group_remove(endpoint->group, endpoint);
	endpoint->group->in_flight -= endpoint->in_flight;
	endpoint->group = NULL;
	endpoint->present = false;
	endpoint_drop_links(endpoint);
	endpoint_release(endpoint);
}

void
endpoint_set_finish(endpoint_set_t *set)
{
	endpoint_t *endpoint, *next;
	endpoint_group_t *group, *next_group;

	HASH_ITER(hh, set->endpoints, endpoint, next)
	endpoint_set_remove(set, endpoint);
	HASH_ITER(hh, set->groups, group, next_group)
	{
		HASH_DEL(set->groups, group);
		free(group->ring);
		free(group);
	}
	zone_table_finish(&set->zones);
}

endpoint_t *
endpoint_set_find(const endpoint_set_t *set, const char *id)
{
	endpoint_t *endpoint;

	HASH_FIND_STR(set->endpoints, id, endpoint);
	return endpoint;
}

endpoint_t *
endpoint_set_find_short(const endpoint_set_t *set, uint32_t hash)
{
	endpoint_t *endpoint;

	HASH_FIND(hh_short, set->by_short, &hash, sizeof(hash), endpoint);
	return endpoint;
}

uint32_t
endpoint_set_leaving(const endpoint_set_t *set)
{
	uint32_t count = 0;

	for (const endpoint_t *one = set->endpoints; one != NULL;
	     one = one->hh.next)
		count += one->facts.leaving;
	return count;
}

bool
endpoint_accepts_requests(const endpoint_t *endpoint)
{
	return !endpoint->facts.leaving && !endpoint->zone->evacuated;
}

void
endpoint_mark_cold(endpoint_t *endpoint, int64_t ms)
{
	struct timespec until =
	    timespec_add_ms(clock_boottime(endpoint->set->clock), ms);

	if (ms > 0 && timespec_ms_between(endpoint->cold_until, until) > 0)
		endpoint->cold_until = until;
}

uint32_t
endpoint_set_zone_in_flight(const endpoint_set_t *set, const zone_t *zone)
{
	uint32_t count = 0;

	for (const endpoint_t *one = set->endpoints; one != NULL;
	     one = one->hh.next)
		count += one->zone == zone ? one->in_flight : 0;
	return count;
}

uint32_t
endpoint_set_evacuated_in_flight(const endpoint_set_t *set)
{
	uint32_t count = 0;

	for (const endpoint_t *one = set->endpoints; one != NULL;
	     one = one->hh.next)
		count += one->zone->evacuated ? one->in_flight : 0;
	return count;
}

endpoint_group_t *
endpoint_set_group(const endpoint_set_t *set, const char *service)
{
	endpoint_group_t *group;

	HASH_FIND_STR(set->groups, service, group);
	return group;
}

void
endpoint_set_learn(endpoint_set_t *set)
{
	for (endpoint_group_t *group = set->groups; group != NULL;
	     group = group->hh.next)
		endpoint_group_learn(group);
}

entry_order_t
endpoint_entry_order(const endpoint_t *known, const endpoint_facts_t *facts)
{
	if (known == NULL)
		return ENTRY_FIRST;
	if (facts->born_ms > known->facts.born_ms)
		return ENTRY_LATER;
	return facts->born_ms < known->facts.born_ms ? ENTRY_EARLIER
						     : ENTRY_SAME;
}

/* A process does not move: another address, or zone, is another endpoint. */
static bool
moved(const endpoint_t *endpoint, const endpoint_facts_t *facts)
{
	const endpoint_facts_t *known = &endpoint->facts;

	return strcmp(known->service, facts->service) != 0 ||
	    strcmp(known->zone, facts->zone) != 0 ||
	    strcmp(known->address.host, facts->address.host) != 0 ||
	    known->address.port != facts->address.port;
}

static void
earlier_keep(endpoint_t *endpoint, const endpoint_facts_t *facts)
{
	endpoint->facts.leaving |= facts->leaving;
	endpoint->lapsed = false;
	if (endpoint->earlier == NULL) {
		endpoint->earlier = malloc(sizeof(*endpoint->earlier));
		if (endpoint->earlier == NULL)
			return;
		endpoint->earlier_at = clock_boottime(endpoint->set->clock);
		endpoint->set->earlier_len++;
	}
	*endpoint->earlier = *facts;
}

/* Hashes tell incarnations apart: what other daemons tell of one, and what is
 * remembered of it, is not taken for another one's. */
static uint64_t
incarnation_hash(const endpoint_facts_t *facts)
{
	return XXH3_64bits_withSeed(
	    facts->id, strlen(facts->id), (uint64_t)facts->born_ms);
}

static endpoint_t *
endpoint_add(endpoint_set_t *set, const endpoint_facts_t *facts)
{
	endpoint_group_t *group = group_of(set, facts->service);
	zone_t *zone = zone_table_get(&set->zones, facts->zone);
	endpoint_t *endpoint = calloc(1, sizeof(*endpoint));

	if (group == NULL || zone == NULL || endpoint == NULL) {
		free(endpoint);
		return NULL;
	}
	endpoint->hash = incarnation_hash(facts);
	if (!endpoint_group_add(group, endpoint)) {
		free(endpoint);
		return NULL;
	}
	endpoint->facts = *facts;
	endpoint->set = set;
	endpoint->group = group;
	endpoint->zone = zone;
	endpoint->shared = 1;
	endpoint->present = true;
	prefill_queue_init(&endpoint->unread);
	endpoint_mark_cold(endpoint, facts->warm_in_ms);
	HASH_ADD_KEYPTR(hh, set->endpoints, endpoint->facts.id,
	    strlen(endpoint->facts.id), endpoint);
	endpoint->short_hash = (uint32_t)endpoint->hash;
	HASH_ADD(hh_short, set->by_short, short_hash,
	    sizeof(endpoint->short_hash), endpoint);
	return endpoint;
}

endpoint_t *
endpoint_set_take(endpoint_set_t *set, const endpoint_facts_t *facts)
{
	endpoint_t *endpoint = endpoint_set_find(set, facts->id);
	entry_order_t order = endpoint_entry_order(endpoint, facts);

	if (order == ENTRY_EARLIER) {
		earlier_keep(endpoint, facts);
		return endpoint;
	}
	if (order == ENTRY_LATER ||
	    (order == ENTRY_SAME && moved(endpoint, facts))) {
		endpoint_set_remove(set, endpoint);
		endpoint = NULL;
	}
	if (endpoint == NULL)
		return endpoint_add(set, facts);
	earlier_drop(endpoint);
	endpoint->facts = *facts;
	endpoint_mark_cold(endpoint, facts->warm_in_ms);
	endpoint->lapsed = false;
	return endpoint;
}

bool
endpoint_set_earlier(const endpoint_set_t *set, endpoint_facts_t *out)
{
	struct timespec now = clock_boottime(set->clock);

	if (set->earlier_len == 0)
		return false;
	for (const endpoint_t *one = set->endpoints; one != NULL;
	     one = one->hh.next) {
		if (one->earlier == NULL ||
		    timespec_ms_between(one->earlier_at, now) <
			EARLIER_BELIEVED_MS)
			continue;
		*out = *one->earlier;
		return true;
	}
	return false;
}

void
endpoint_take_up(endpoint_t *endpoint)
{
	endpoint->in_flight++;
	if (endpoint->group != NULL)
		endpoint->group->in_flight++;
}

void
endpoint_let_go(endpoint_t *endpoint)
{
	endpoint->in_flight--;
	if (endpoint->group != NULL)
		endpoint->group->in_flight--;
}

void
endpoint_told_load(endpoint_t *endpoint, const endpoint_load_t *load)
{
	endpoint->load = *load;
	endpoint->load_at = clock_boottime(endpoint->set->clock);
	endpoint->load_own = endpoint->in_flight;
	endpoint->load_known = true;
}

/* What all other callers together likely have there: each of them about as much
 * as this daemon has at an endpoint on average. */
static double
load_of_others(const endpoint_t *endpoint, uint32_t callers)
{
	const endpoint_group_t *group = endpoint->group;

	if (group == NULL || group->len == 0 || callers == 0)
		return 0;
	return (double)(callers - 1) * group->in_flight / (double)group->len;
}

double
endpoint_load_now(const endpoint_t *endpoint, uint32_t callers)
{
	double own = endpoint->in_flight;
	double told;

	if (!endpoint->load_known ||
	    timespec_ms_between(endpoint->load_at,
		clock_boottime(endpoint->set->clock)) > LOAD_FRESH_MS)
		return own + load_of_others(endpoint, callers);
	told = (double)endpoint->load.running + endpoint->load.waiting;
	told += own - endpoint->load_own;
	return told > own ? told : own;
}
