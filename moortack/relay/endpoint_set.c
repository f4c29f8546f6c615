#include "moortack/relay/endpoint_set.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A report older than this says little; measured lag of reports and queues. */
#define LOAD_FRESH_MS 1500
/* Failures in a row before an endpoint is passed over, and for how long: the
 * first time, and at most. */
#define EJECT_FAILURES 3
#define EJECT_FIRST_MS 500
#define EJECT_MAX_MS 4000
#define EJECT_SHIFT_MAX 3

void
endpoint_set_init(endpoint_set_t *set, const clock_source_t *clock)
{
	*set = (endpoint_set_t){.clock = clock};
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
endpoint_drop_links(endpoint_t *endpoint)
{
	endpoint_link_t *next;

	for (endpoint_link_t *link = endpoint->idle; link != NULL;
	     link = next) {
		next = link->next;
		http_outbound_free(link->conn);
		free(link);
		endpoint->connections--;
	}
	endpoint->idle = NULL;
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

void
endpoint_set_remove(endpoint_set_t *set, endpoint_t *endpoint)
{
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

endpoint_t *
endpoint_set_take(endpoint_set_t *set, const endpoint_facts_t *facts)
{
	endpoint_t *endpoint = endpoint_set_find(set, facts->id);
	endpoint_group_t *group;

	if (endpoint != NULL &&
	    (strcmp(endpoint->facts.service, facts->service) != 0 ||
		strcmp(endpoint->facts.address.host, facts->address.host) !=
		    0 ||
		endpoint->facts.address.port != facts->address.port)) {
		endpoint_set_remove(set, endpoint);
		endpoint = NULL;
	}
	if (endpoint != NULL) {
		endpoint->facts = *facts;
		endpoint->lapsed = false;
		return endpoint;
	}
	group = group_of(set, facts->service);
	endpoint = calloc(1, sizeof(*endpoint));
	if (group == NULL || endpoint == NULL) {
		free(endpoint);
		return NULL;
	}
	endpoint->hash = XXH3_64bits(facts->id, strlen(facts->id));
	if (!endpoint_group_add(group, endpoint)) {
		free(endpoint);
		return NULL;
	}
	endpoint->facts = *facts;
	endpoint->set = set;
	endpoint->group = group;
	endpoint->shared = 1;
	endpoint->present = true;
	read_queue_init(&endpoint->unread);
	HASH_ADD_KEYPTR(hh, set->endpoints, endpoint->facts.id,
	    strlen(endpoint->facts.id), endpoint);
	endpoint->short_hash = (uint32_t)endpoint->hash;
	HASH_ADD(hh_short, set->by_short, short_hash,
	    sizeof(endpoint->short_hash), endpoint);
	return endpoint;
}

static void
link_forget(endpoint_t *endpoint, endpoint_link_t *link)
{
	for (endpoint_link_t **at = &endpoint->idle; *at != NULL;
	     at = &(*at)->next) {
		if (*at == link) {
			*at = link->next;
			break;
		}
	}
	free(link);
}

static void
link_ended(void *arg, http_outbound_t *conn)
{
	endpoint_link_t *link = arg;
	endpoint_t *endpoint = link->endpoint;

	link_forget(endpoint, link);
	endpoint->connections--;
	http_outbound_free(conn);
}

http_outbound_t *
endpoint_take_link(endpoint_t *endpoint, int64_t max_ms)
{
	struct timespec now = clock_elapsed(endpoint->set->clock);
	endpoint_link_t *link = endpoint->idle;
	http_outbound_t *conn;
	int64_t idle_ms;

	/* The newest stands first. */
	while (link != NULL) {
		endpoint_link_t *next = link->next;

		idle_ms = timespec_ms_between(link->idle_since, now);
		conn = link->conn;
		if (idle_ms < link->idle_max_ms && idle_ms < max_ms) {
			link_forget(endpoint, link);
			return conn;
		}
		if (idle_ms >= link->idle_max_ms)
			link_ended(link, conn);
		link = next;
	}
	return NULL;
}

void
endpoint_keep_link(
    endpoint_t *endpoint, http_outbound_t *conn, int64_t idle_max_ms)
{
	endpoint_link_t *link =
	    endpoint->present ? calloc(1, sizeof(*link)) : NULL;

	if (link == NULL) {
		http_outbound_free(conn);
		endpoint->connections--;
		return;
	}
	link->endpoint = endpoint;
	link->conn = conn;
	link->idle_since = clock_elapsed(endpoint->set->clock);
	link->idle_max_ms = idle_max_ms;
	link->next = endpoint->idle;
	endpoint->idle = link;
	http_outbound_rest(conn, link_ended, link);
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
	endpoint->load_at = clock_elapsed(endpoint->set->clock);
	endpoint->load_own = endpoint->in_flight;
	endpoint->load_known = true;
}

void
endpoint_worked(endpoint_t *endpoint)
{
	endpoint->failures = 0;
	endpoint->ejected_until = (struct timespec){0};
}

void
endpoint_failed(endpoint_t *endpoint)
{
	uint32_t over;
	int64_t ms;

	endpoint->failures++;
	if (endpoint->failures < EJECT_FAILURES)
		return;
	over = endpoint->failures - EJECT_FAILURES;
	ms = EJECT_FIRST_MS
	    << (over < EJECT_SHIFT_MAX ? over : EJECT_SHIFT_MAX);
	endpoint->ejected_until =
	    timespec_after_ms(clock_elapsed(endpoint->set->clock),
		ms < EJECT_MAX_MS ? ms : EJECT_MAX_MS);
}

bool
endpoint_ejected(const endpoint_t *endpoint)
{
	return timespec_ms_between(clock_elapsed(endpoint->set->clock),
		   endpoint->ejected_until) > 0;
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
		clock_elapsed(endpoint->set->clock)) > LOAD_FRESH_MS)
		return own + load_of_others(endpoint, callers);
	told = (double)endpoint->load.running + endpoint->load.waiting;
	told += own - endpoint->load_own;
	return told > own ? told : own;
}
