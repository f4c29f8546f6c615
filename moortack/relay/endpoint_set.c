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
	endpoint_group_t *group = endpoint_set_find_group(set, service);

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
endpoint_set_sample_in_flight(endpoint_set_t *set)
{
	for (endpoint_group_t *group = set->groups; group != NULL;
	     group = group->hh.next)
		group->in_flight_mean += MEAN_WEIGHT *
		    ((double)group->in_flight - group->in_flight_mean);
}

endpoint_t *
endpoint_hold(endpoint_t *endpoint)
{
	endpoint->refs++;
	return endpoint;
}

void
endpoint_release(endpoint_t *endpoint)
{
	if (--endpoint->refs > 0)
		return;
	endpoint_close_idle(endpoint);
	free(endpoint);
}

static void
earlier_drop(endpoint_t *endpoint)
{
	if (endpoint->earlier_entry == NULL)
		return;
	free(endpoint->earlier_entry);
	endpoint->earlier_entry = NULL;
	endpoint->set->earlier_entries--;
}

void
endpoint_mark_lapsed(endpoint_t *endpoint)
{
	earlier_drop(endpoint);
	endpoint->lapsed = true;
}

void
endpoint_set_remove(endpoint_set_t *set, endpoint_t *endpoint)
{
	earlier_drop(endpoint);
	HASH_DEL(set->endpoints, endpoint);
	HASH_DELETE(hh_short, set->by_short_hash, endpoint);
	endpoint_group_remove(endpoint->group, endpoint);
	endpoint->group->in_flight -= endpoint->in_flight;
	endpoint->group = NULL;
	endpoint->in_set = false;
	endpoint_close_idle(endpoint);
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
endpoint_set_find_by_short_hash(const endpoint_set_t *set, uint32_t hash)
{
	endpoint_t *endpoint;

	HASH_FIND(hh_short, set->by_short_hash, &hash, sizeof(hash), endpoint);
	return endpoint;
}

uint32_t
endpoint_set_count_leaving(const endpoint_set_t *set)
{
	uint32_t count = 0;

	for (const endpoint_t *one = set->endpoints; one != NULL;
	     one = one->hh.next)
		count += one->info.leaving;
	return count;
}

bool
endpoint_accepts_requests(const endpoint_t *endpoint)
{
	return !endpoint->info.leaving && !endpoint->zone->evacuated;
}

void
endpoint_mark_cold(endpoint_t *endpoint, int64_t ms)
{
	struct timespec until =
	    timespec_after_ms(clock_elapsed(endpoint->set->clock), ms);

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
endpoint_set_find_group(const endpoint_set_t *set, const char *service)
{
	endpoint_group_t *group;

	HASH_FIND_STR(set->groups, service, group);
	return group;
}

void
endpoint_set_learn_base_versions(endpoint_set_t *set)
{
	for (endpoint_group_t *group = set->groups; group != NULL;
	     group = group->hh.next)
		endpoint_group_learn_base_version(group);
}

incarnation_order_t
endpoint_compare_incarnation(
    const endpoint_t *known, const endpoint_info_t *facts)
{
	if (known == NULL)
		return INCARNATION_FIRST;
	if (facts->started_ms > known->info.started_ms)
		return INCARNATION_LATER;
	return facts->started_ms < known->info.started_ms ? INCARNATION_EARLIER
							  : INCARNATION_SAME;
}

/* A process does not move: another address, or zone, is another endpoint. */
static bool
moved(const endpoint_t *endpoint, const endpoint_info_t *facts)
{
	const endpoint_info_t *known = &endpoint->info;

	return strcmp(known->service, facts->service) != 0 ||
	    strcmp(known->zone, facts->zone) != 0 ||
	    strcmp(known->address.host, facts->address.host) != 0 ||
	    known->address.port != facts->address.port;
}

static void
earlier_keep(endpoint_t *endpoint, const endpoint_info_t *facts)
{
	endpoint->info.leaving |= facts->leaving;
	endpoint->lapsed = false;
	if (endpoint->earlier_entry == NULL) {
		endpoint->earlier_entry =
		    malloc(sizeof(*endpoint->earlier_entry));
		if (endpoint->earlier_entry == NULL)
			return;
		endpoint->earlier_entry_at =
		    clock_elapsed(endpoint->set->clock);
		endpoint->set->earlier_entries++;
	}
	*endpoint->earlier_entry = *facts;
}

/* Hashes tell incarnations apart: what other daemons tell of one, and what is
 * remembered of it, is not taken for another one's. */
static uint64_t
incarnation_hash(const endpoint_info_t *facts)
{
	return XXH3_64bits_withSeed(
	    facts->id, strlen(facts->id), (uint64_t)facts->started_ms);
}

static endpoint_t *
endpoint_add(endpoint_set_t *set, const endpoint_info_t *facts)
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
	endpoint->info = *facts;
	endpoint->set = set;
	endpoint->group = group;
	endpoint->zone = zone;
	endpoint->refs = 1;
	endpoint->in_set = true;
	prefill_queue_init(&endpoint->prefill_queue);
	endpoint_mark_cold(endpoint, facts->warmup_remaining_ms);
	HASH_ADD_KEYPTR(hh, set->endpoints, endpoint->info.id,
	    strlen(endpoint->info.id), endpoint);
	endpoint->short_hash = (uint32_t)endpoint->hash;
	HASH_ADD(hh_short, set->by_short_hash, short_hash,
	    sizeof(endpoint->short_hash), endpoint);
	return endpoint;
}

endpoint_t *
endpoint_set_update(endpoint_set_t *set, const endpoint_info_t *facts)
{
	endpoint_t *endpoint = endpoint_set_find(set, facts->id);
	incarnation_order_t order =
	    endpoint_compare_incarnation(endpoint, facts);

	if (order == INCARNATION_EARLIER) {
		earlier_keep(endpoint, facts);
		return endpoint;
	}
	if (order == INCARNATION_LATER ||
	    (order == INCARNATION_SAME && moved(endpoint, facts))) {
		endpoint_set_remove(set, endpoint);
		endpoint = NULL;
	}
	if (endpoint == NULL)
		return endpoint_add(set, facts);
	earlier_drop(endpoint);
	endpoint->info = *facts;
	endpoint_mark_cold(endpoint, facts->warmup_remaining_ms);
	endpoint->lapsed = false;
	return endpoint;
}

bool
endpoint_set_find_earlier(const endpoint_set_t *set, endpoint_info_t *out)
{
	struct timespec now = clock_elapsed(set->clock);

	if (set->earlier_entries == 0)
		return false;
	for (const endpoint_t *one = set->endpoints; one != NULL;
	     one = one->hh.next) {
		if (one->earlier_entry == NULL ||
		    timespec_ms_between(one->earlier_entry_at, now) <
			EARLIER_BELIEVED_MS)
			continue;
		*out = *one->earlier_entry;
		return true;
	}
	return false;
}

void
endpoint_request_started(endpoint_t *endpoint)
{
	endpoint->in_flight++;
	if (endpoint->group != NULL)
		endpoint->group->in_flight++;
}

void
endpoint_request_ended(endpoint_t *endpoint)
{
	endpoint->in_flight--;
	if (endpoint->group != NULL)
		endpoint->group->in_flight--;
}

void
endpoint_record_load(endpoint_t *endpoint, const endpoint_load_t *load)
{
	endpoint->load = *load;
	endpoint->load_reported_at = clock_elapsed(endpoint->set->clock);
	endpoint->load_reported_in_flight = endpoint->in_flight;
	endpoint->load_reported = true;
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
endpoint_estimate_load(const endpoint_t *endpoint, uint32_t callers)
{
	double own = endpoint->in_flight;
	double told;

	if (!endpoint->load_reported ||
	    timespec_ms_between(endpoint->load_reported_at,
		clock_elapsed(endpoint->set->clock)) > LOAD_FRESH_MS)
		return own + load_of_others(endpoint, callers);
	told = (double)endpoint->load.running + endpoint->load.waiting;
	told += own - endpoint->load_reported_in_flight;
	return told > own ? told : own;
}
