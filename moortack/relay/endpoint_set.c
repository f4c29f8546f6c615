#include "moortack/relay/endpoint_set.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Older load reports are ignored. From the measured delay of reports and the
 * time that requests wait in queues. */
#define LOAD_REPORT_MAX_AGE_MS 1500
/* Weight of one sample in the moving average of requests in flight: at five
 * samples a second it covers about four seconds. */
#define IN_FLIGHT_SAMPLE_WEIGHT 0.05
/* An entry of an earlier incarnation is a heartbeat that came late, unless the
 * endpoint's clock was set back before it restarted: then no other entry
 * follows. Three heartbeats of 1,200 ms, after which the entry of a silent
 * endpoint is removed, and the transfer time. */
#define EARLIER_ENTRY_ACCEPT_MS 4000

void
endpoint_set_init(endpoint_set_t *set, const clock_source_t *clock)
{
	*set = (endpoint_set_t){.clock = clock};
	zone_table_init(&set->zones);
}

static endpoint_group_t *
group_get(endpoint_set_t *set, const char *service)
{
	endpoint_group_t *group = endpoint_set_find_group(set, service);

	if (group != NULL)
		return group;
	group = calloc(1, sizeof(*group));
	if (group == NULL)
		return NULL;
	strcpy(group->service, service);
	group->service_hash = (uint32_t)XXH3_64bits(service, strlen(service));
	HASH_ADD_STR(set->groups, service, group);
	return group;
}

void
endpoint_set_sample_in_flight(endpoint_set_t *set)
{
	for (endpoint_group_t *group = set->groups; group != NULL;
	     group = group->hh.next)
		group->in_flight_mean += IN_FLIGHT_SAMPLE_WEIGHT *
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
earlier_entry_discard(endpoint_t *endpoint)
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
	earlier_entry_discard(endpoint);
	endpoint->lapsed = true;
}

/* Another process may have the same id at another address. */
static uint64_t
restrictions_key(const endpoint_t *endpoint)
{
	const http_address_t *address = &endpoint->info.address;

	return XXH3_64bits_withSeed(address->host, strlen(address->host),
	    endpoint->hash + address->port);
}

void
endpoint_set_remove(endpoint_set_t *set, endpoint_t *endpoint)
{
	earlier_entry_discard(endpoint);
	restriction_memory_store(&set->removed_restrictions,
	    restrictions_key(endpoint), &endpoint->restrictions,
	    clock_boottime(set->clock));
	set->changes++;
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
	restriction_memory_finish(&set->removed_restrictions);
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

endpoint_counts_t
endpoint_set_count(const endpoint_set_t *set)
{
	endpoint_counts_t counts = {0};

	for (const endpoint_t *endpoint = set->endpoints; endpoint != NULL;
	     endpoint = endpoint->hh.next) {
		counts.leaving += endpoint->info.leaving;
		counts.draining += endpoint->restrictions.draining;
		counts.backing_off += endpoint_backoff_ms(endpoint) > 0;
		counts.rate_limited += endpoint->restrictions.rate_limited;
	}
	return counts;
}

bool
endpoint_is_leaving(const endpoint_t *endpoint)
{
	return endpoint->info.leaving || endpoint->restrictions.draining;
}

int64_t
endpoint_backoff_ms(const endpoint_t *endpoint)
{
	return endpoint_restrictions_backoff_ms(
	    &endpoint->restrictions, clock_boottime(endpoint->set->clock));
}

bool
endpoint_accepts_requests(const endpoint_t *endpoint)
{
	return !endpoint_is_leaving(endpoint) && !endpoint->zone->evacuated;
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

	for (const endpoint_t *endpoint = set->endpoints; endpoint != NULL;
	     endpoint = endpoint->hh.next)
		count += endpoint->zone == zone ? endpoint->in_flight : 0;
	return count;
}

uint32_t
endpoint_set_evacuated_in_flight(const endpoint_set_t *set)
{
	uint32_t count = 0;

	for (const endpoint_t *endpoint = set->endpoints; endpoint != NULL;
	     endpoint = endpoint->hh.next)
		count += endpoint->zone->evacuated ? endpoint->in_flight : 0;
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

void
endpoint_set_forget_base_versions(endpoint_set_t *set)
{
	for (endpoint_group_t *group = set->groups; group != NULL;
	     group = group->hh.next) {
		if (!group->base_proven)
			group->base_version[0] = '\0';
	}
}

incarnation_order_t
endpoint_compare_incarnation(
    const endpoint_t *known, const endpoint_info_t *info)
{
	if (known == NULL)
		return INCARNATION_FIRST;
	if (info->started_ms > known->info.started_ms)
		return INCARNATION_LATER;
	return info->started_ms < known->info.started_ms ? INCARNATION_EARLIER
							 : INCARNATION_SAME;
}

/* A process does not move: an entry with another address or zone is another
 * endpoint. */
static bool
has_moved(const endpoint_t *endpoint, const endpoint_info_t *info)
{
	const endpoint_info_t *known = &endpoint->info;

	return strcmp(known->service, info->service) != 0 ||
	    strcmp(known->zone, info->zone) != 0 ||
	    strcmp(known->address.host, info->address.host) != 0 ||
	    known->address.port != info->address.port;
}

static void
earlier_entry_store(endpoint_t *endpoint, const endpoint_info_t *info)
{
	endpoint->info.leaving |= info->leaving;
	endpoint->lapsed = false;
	if (endpoint->earlier_entry == NULL) {
		endpoint->earlier_entry =
		    malloc(sizeof(*endpoint->earlier_entry));
		if (endpoint->earlier_entry == NULL)
			return;
		endpoint->earlier_entry_at =
		    clock_boottime(endpoint->set->clock);
		endpoint->set->earlier_entries++;
	}
	*endpoint->earlier_entry = *info;
}

/* The hash differs for each incarnation, so that messages of other daemons and
 * entries of the prefix index for one incarnation don't apply to another. */
static uint64_t
incarnation_hash(const endpoint_info_t *info)
{
	return XXH3_64bits_withSeed(
	    info->id, strlen(info->id), (uint64_t)info->started_ms);
}

static endpoint_t *
endpoint_add(endpoint_set_t *set, const endpoint_info_t *info)
{
	endpoint_group_t *group = group_get(set, info->service);
	zone_t *zone = zone_table_get(&set->zones, info->zone);
	endpoint_t *endpoint = calloc(1, sizeof(*endpoint));

	if (group == NULL || zone == NULL || endpoint == NULL) {
		free(endpoint);
		return NULL;
	}
	endpoint->hash = incarnation_hash(info);
	if (!endpoint_group_add(group, endpoint)) {
		free(endpoint);
		return NULL;
	}
	endpoint->info = *info;
	endpoint->set = set;
	endpoint->group = group;
	endpoint->zone = zone;
	endpoint->refs = 1;
	endpoint->in_set = true;
	endpoint->restrictions = restriction_memory_take(
	    &set->removed_restrictions, restrictions_key(endpoint));
	prefill_queue_init(&endpoint->prefill_queue);
	endpoint_mark_cold(endpoint, info->warmup_remaining_ms);
	HASH_ADD_KEYPTR(hh, set->endpoints, endpoint->info.id,
	    strlen(endpoint->info.id), endpoint);
	endpoint->short_hash = (uint32_t)endpoint->hash;
	set->changes++;
	HASH_ADD(hh_short, set->by_short_hash, short_hash,
	    sizeof(endpoint->short_hash), endpoint);
	return endpoint;
}

endpoint_t *
endpoint_set_update(endpoint_set_t *set, const endpoint_info_t *info)
{
	endpoint_t *endpoint = endpoint_set_find(set, info->id);
	incarnation_order_t order =
	    endpoint_compare_incarnation(endpoint, info);

	if (order == INCARNATION_EARLIER) {
		earlier_entry_store(endpoint, info);
		return endpoint;
	}
	if (order == INCARNATION_LATER ||
	    (order == INCARNATION_SAME && has_moved(endpoint, info))) {
		endpoint_set_remove(set, endpoint);
		endpoint = NULL;
	}
	if (endpoint == NULL)
		return endpoint_add(set, info);
	earlier_entry_discard(endpoint);
	endpoint->info = *info;
	endpoint_mark_cold(endpoint, info->warmup_remaining_ms);
	endpoint->lapsed = false;
	return endpoint;
}

bool
endpoint_set_find_earlier(const endpoint_set_t *set, endpoint_info_t *out)
{
	struct timespec now = clock_boottime(set->clock);

	if (set->earlier_entries == 0)
		return false;
	for (const endpoint_t *endpoint = set->endpoints; endpoint != NULL;
	     endpoint = endpoint->hh.next) {
		if (endpoint->earlier_entry == NULL ||
		    timespec_ms_between(endpoint->earlier_entry_at, now) <
			EARLIER_ENTRY_ACCEPT_MS)
			continue;
		*out = *endpoint->earlier_entry;
		return true;
	}
	return false;
}

int64_t
endpoint_brittle_milli(const endpoint_t *endpoint)
{
	const endpoint_group_t *group = endpoint->group;

	return group != NULL &&
		brittle_notice_holds(
		    &group->brittle, clock_boottime(endpoint->set->clock))
	    ? group->brittle.milli
	    : -1;
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
	endpoint->load_reported_at = clock_boottime(endpoint->set->clock);
	endpoint->load_reported_in_flight = endpoint->in_flight;
	endpoint->load_reported = true;
}

/* Estimated requests of all other daemons at the endpoint: as many for each
 * daemon as this one has in flight per endpoint of the service on average. */
static double
other_daemons_load(const endpoint_t *endpoint, uint32_t daemons)
{
	const endpoint_group_t *group = endpoint->group;

	if (group == NULL || group->len == 0 || daemons == 0)
		return 0;
	return (double)(daemons - 1) * group->in_flight / (double)group->len;
}

double
endpoint_estimate_load(const endpoint_t *endpoint, uint32_t daemons)
{
	double own = endpoint->in_flight;
	double reported;

	if (!endpoint->load_reported ||
	    timespec_ms_between(endpoint->load_reported_at,
		clock_boottime(endpoint->set->clock)) > LOAD_REPORT_MAX_AGE_MS)
		return own + other_daemons_load(endpoint, daemons);
	reported = (double)endpoint->load.running + endpoint->load.waiting;
	reported += own - endpoint->load_reported_in_flight;
	return reported > own ? reported : own;
}
