#include <inttypes.h>

#include "reach_probe.h"
#include "relay_request.h"

/* Time between two rounds of queries to other daemons. A helper misses three of
 * them before it counts as silent. */
#define ASK_INTERVAL_MS 300
/* Time between two rounds of probes while endpoints can't be reached: at first,
 * and at most. The end of a cut has to be noticed within a few seconds. */
#define PROBE_FIRST_MS 300
#define PROBE_MAX_MS 900
#define PROBE_GROWTH 1.3
/* Part of a time by which it varies, so that the daemons of a zone that was cut
 * off don't probe and ask at the same moments. */
#define JITTER 0.25
/* Random daemons asked in a round while fewer than HELPERS_MAX are known. */
#define ASKED_PER_ROUND 3
#define PROBES_PER_ROUND 2
/* Endpoints of a service, from a random one on, that are considered for a probe
 * of the links. */
#define PICKS_MAX 16
/* From this many endpoints out of reach on, others are probed. */
#define PROBE_FAILED_MIN 2
/* Added to the load of a daemon whose configuration is outdated: as it refuses
 * requests with keys, others are chosen before it. */
#define OUTDATED_LOAD 1000000
/* Contact within this time is reported to other daemons. With less of it,
 * an endpoint is probed for the next query. */
#define CONTACT_MAX_MS 1500
#define CONTACT_FRESH_MS 700
#define PROBE_INTERVAL_MS 300

/* Milliseconds since a moment; -1: it never came. */
static int64_t
age_ms(struct timespec at, struct timespec now)
{
	return at.tv_sec == 0 ? -1 : timespec_ms_between(at, now);
}

static void
verdict_log(const relay_t *relay, const endpoint_group_t *group,
    const char *event, struct timespec failing_since)
{
	const reach_t *reach = &group->reach;
	struct timespec now = clock_boottime(relay->clock);

	event_log_write(relay->log, event,
	    "service=%s endpoints=%zu failed=%zu helpers=%zu since_ms=%" PRId64
	    " opened_ms=%" PRId64 " response_ms=%" PRId64
	    " endpoints_age_ms=%" PRId64,
	    group->service, group->len, reach->failed_len, group->helpers.len,
	    age_ms(failing_since, now), age_ms(reach->opened_at, now),
	    age_ms(reach->response_at, now),
	    row_watch_age_ms(relay->endpoint_watch));
}

endpoint_group_t *
relay_request_group(const relay_request_t *req)
{
	return req->service != NULL
	    ? endpoint_set_find_group(req->relay->endpoints, req->service)
	    : NULL;
}

int64_t
relay_reach_failing_ms(const relay_request_t *req)
{
	const endpoint_group_t *group = relay_request_group(req);

	if (group == NULL ||
	    reach_verdict(&group->reach, group->len) == REACH_OK)
		return 0;
	return timespec_ms_between(
	    group->reach.failing_since, clock_boottime(req->relay->clock));
}

reach_verdict_t
relay_reach_verdict(const relay_request_t *req)
{
	const endpoint_group_t *group = relay_request_group(req);

	return group != NULL ? reach_verdict(&group->reach, group->len)
			     : REACH_OK;
}

static endpoint_t *
endpoint_pick(const relay_t *relay, const endpoint_group_t *group)
{
	return group->ring[rng_below(relay->rng, (uint32_t)group->len)];
}

/* Probe an endpoint of a service of which nothing was heard lately, at most one
 * in PROBE_INTERVAL_MS. */
static void
probe_quiet(relay_t *relay, endpoint_group_t *group)
{
	struct timespec now = clock_boottime(relay->clock);

	if (group->len == 0 ||
	    timespec_ms_between(group->reach_probed_at, now) <
		PROBE_INTERVAL_MS)
		return;
	group->reach_probed_at = now;
	reach_probe_begin(relay, endpoint_pick(relay, group));
}

bool
relay_reach_has_contact(relay_t *relay, const endpoint_t *endpoint)
{
	endpoint_group_t *group = endpoint->group;
	int64_t contact_ms;

	if (group == NULL)
		return true;
	contact_ms = reach_contact_age_ms(
	    &group->reach, group->len, clock_boottime(relay->clock));
	if (contact_ms >= 0 && contact_ms <= CONTACT_MAX_MS)
		return true;
	probe_quiet(relay, group);
	return false;
}

bool
relay_reach_opened_since(const relay_t *relay, struct timespec since)
{
	const endpoint_group_t *group = relay->endpoints->groups;

	for (; group != NULL; group = group->hh.next) {
		if (group->reach.opened_at.tv_sec != 0 &&
		    timespec_ms_between(since, group->reach.opened_at) >= 0)
			return true;
	}
	return false;
}

/* Probes an endpoint at which no attempt was interrupted. One that is being
 * probed already doesn't do: that probe began before what it has to show. */
static void
sound_endpoint_probe(relay_t *relay, const endpoint_group_t *group)
{
	size_t start;

	if (group->len == 0)
		return;
	start = rng_below(relay->rng, (uint32_t)group->len);
	for (size_t i = 0; i < group->len && i < PICKS_MAX; i++) {
		endpoint_t *endpoint = group->ring[(start + i) % group->len];

		if (!unresolved_attempts_has(
			&relay->quarantine.interrupted, endpoint->short_hash) &&
		    reach_probe_begin(relay, endpoint))
			return;
	}
}

void
relay_reach_check_links(relay_t *relay)
{
	const endpoint_group_t *group = relay->endpoints->groups;

	for (; group != NULL; group = group->hh.next)
		sound_endpoint_probe(relay, group);
}

static int64_t
vary_ms(const relay_t *relay, int64_t ms)
{
	return ms + rng_below(relay->rng, (uint32_t)((double)ms * JITTER) + 1);
}

/* @return false: it is not time yet */
static bool
round_due(const relay_t *relay, struct timespec *at, int64_t next_ms)
{
	struct timespec now = clock_boottime(relay->clock);

	if (timespec_ms_between(*at, now) < 0)
		return false;
	*at = timespec_add_ms(now, vary_ms(relay, next_ms));
	return true;
}

static void
endpoints_probe(relay_t *relay, const endpoint_group_t *group)
{
	for (int i = 0; i < PROBES_PER_ROUND && group->len > 0; i++)
		reach_probe_begin(relay, endpoint_pick(relay, group));
}

static void
others_ask(const relay_t *relay, const endpoint_group_t *group)
{
	const gossip_message_t query = {
	    .kind = GOSSIP_REACH_QUERY, .service_hash = group->service_hash};

	for (size_t i = 0; i < group->helpers.len; i++)
		gossip_send_to(
		    relay->gossip, &group->helpers.list[i].address, &query);
	if (group->helpers.len < HELPERS_MAX)
		gossip_send_to_some(relay->gossip, ASKED_PER_ROUND, &query);
}

static void
ask_if_due(relay_t *relay, endpoint_group_t *group)
{
	if (round_due(relay, &group->reach_ask_at, ASK_INTERVAL_MS))
		others_ask(relay, group);
}

static void
probe_if_due(relay_t *relay, endpoint_group_t *group)
{
	int64_t ms = group->reach_probe_ms;

	if (ms < PROBE_FIRST_MS)
		ms = PROBE_FIRST_MS;
	if (group->reach.failed_len < PROBE_FAILED_MIN ||
	    !round_due(relay, &group->reach_probe_at, ms))
		return;
	ms = (int64_t)((double)ms * PROBE_GROWTH);
	group->reach_probe_ms = ms < PROBE_MAX_MS ? ms : PROBE_MAX_MS;
	endpoints_probe(relay, group);
}

/* The failures were of the links. */
static void
ejections_end(endpoint_group_t *group)
{
	for (size_t i = 0; i < group->len; i++)
		endpoint_record_success(group->ring[i]);
}

static void
opened_record(relay_t *relay, endpoint_t *endpoint)
{
	endpoint_group_t *group = endpoint->group;
	struct timespec failing_since = group->reach.failing_since;
	reach_verdict_t before = reach_verdict(&group->reach, group->len);

	reach_record_opened(&group->reach, endpoint->hash, group->len,
	    clock_boottime(relay->clock));
	if (before == REACH_OK ||
	    reach_verdict(&group->reach, group->len) != REACH_OK)
		return;
	group->reach_probe_ms = PROBE_FIRST_MS;
	verdict_log(relay, group, "endpoints_reachable", failing_since);
	ejections_end(group);
}

static void
failure_record(relay_t *relay, const endpoint_t *endpoint)
{
	endpoint_group_t *group = endpoint->group;
	reach_verdict_t before = reach_verdict(&group->reach, group->len);

	reach_record_failure(
	    &group->reach, endpoint->hash, clock_boottime(relay->clock));
	if (reach_verdict(&group->reach, group->len) != REACH_OK)
		group->unreachable_at = group->reach.failed_at;
	if (before == REACH_OK &&
	    reach_verdict(&group->reach, group->len) != REACH_OK) {
		verdict_log(relay, group, "endpoints_unreachable",
		    group->reach.failing_since);
		/* Earlier reports may be of a time before the first failure. */
		group->reach_ask_at = (struct timespec){0};
	}
	ask_if_due(relay, group);
	probe_if_due(relay, group);
}

void
relay_reach_response(const relay_request_t *req)
{
	endpoint_t *endpoint = req->attempt.endpoint;

	if (endpoint->group == NULL)
		return;
	if (req->attempt.reused)
		reach_record_response(
		    &endpoint->group->reach, clock_boottime(req->relay->clock));
	else
		opened_record(req->relay, endpoint);
}

void
relay_reach_failure(const relay_request_t *req)
{
	if (req->attempt.endpoint->group != NULL)
		failure_record(req->relay, req->attempt.endpoint);
}

void
relay_reach_probed(relay_t *relay, endpoint_t *endpoint, bool reached)
{
	if (endpoint->group == NULL)
		return;
	if (!reached) {
		failure_record(relay, endpoint);
		return;
	}
	opened_record(relay, endpoint);
	/* Another one confirms that the links are restored. */
	if (reach_verdict(&endpoint->group->reach, endpoint->group->len) ==
	    REACH_LOST)
		endpoints_probe(relay, endpoint->group);
}

endpoint_group_t *
relay_group_find(const relay_t *relay, uint32_t service_hash)
{
	endpoint_group_t *group = relay->endpoints->groups;

	while (group != NULL && group->service_hash != service_hash)
		group = group->hh.next;
	return group;
}

/* Requests in flight for each core, by which helpers are compared. */
static uint32_t
own_load(const relay_t *relay)
{
	double cores = relay->members->settings.strength;

	return (uint32_t)((double)relay->in_flight / (cores > 0 ? cores : 1));
}

bool
relay_reach_query(
    void *arg, const gossip_message_t *query, gossip_message_t *report)
{
	relay_t *relay = arg;
	endpoint_group_t *group = relay_group_find(relay, query->service_hash);
	int64_t contact_ms;

	if (group == NULL || relay->forward_server == NULL)
		return false;
	contact_ms = reach_contact_age_ms(
	    &group->reach, group->len, clock_boottime(relay->clock));
	if (contact_ms < 0 || contact_ms > CONTACT_FRESH_MS)
		probe_quiet(relay, group);
	report->load = own_load(relay);
	if (!relay_ready(relay))
		report->load += OUTDATED_LOAD;
	report->reaches = relay_can_serve(relay) && contact_ms >= 0 &&
	    contact_ms <= CONTACT_MAX_MS;
	if (report->reaches)
		report->contact_age_ms = (uint32_t)contact_ms;
	/* Without requests nothing is known until the probe has ended. */
	return report->reaches ||
	    reach_verdict(&group->reach, group->len) != REACH_OK;
}

static void
links_lost(relay_t *relay, const endpoint_group_t *group)
{
	verdict_log(relay, group, "links_lost", group->reach.failing_since);
	relay_reach_waits_resume(relay, group->service);
}

void
relay_reach_report(
    void *arg, const struct sockaddr_in *from, const gossip_message_t *message)
{
	relay_t *relay = arg;
	endpoint_group_t *group =
	    relay_group_find(relay, message->service_hash);
	struct timespec now = clock_boottime(relay->clock);
	const helper_report_t report = {.reaches = message->reaches,
	    .contact_age_ms = message->contact_age_ms,
	    .load = message->load};

	if (group == NULL)
		return;
	helpers_apply(&group->helpers, from, &report, now);
	if (report.reaches &&
	    reach_record_others_contact(&group->reach,
		timespec_add_ms(now, -report.contact_age_ms), group->len))
		links_lost(relay, group);
}

static uint32_t
forwards_in_flight(const endpoint_group_t *group)
{
	uint32_t count = 0;

	for (size_t i = 0; i < group->helpers.len; i++)
		count += group->helpers.list[i].in_flight;
	return count;
}

static void
group_tick(relay_t *relay, endpoint_group_t *group)
{
	bool unreachable = reach_verdict(&group->reach, group->len) != REACH_OK;
	struct sockaddr_in silent;

	if (unreachable)
		probe_if_due(relay, group);
	if (unreachable || forwards_in_flight(group) > 0)
		ask_if_due(relay, group);
	while (helpers_take_silent(
	    &group->helpers, clock_boottime(relay->clock), &silent))
		relay_forward_fail_helper(relay, group->service, &silent);
}

void
relay_reach_tick(relay_t *relay)
{
	for (endpoint_group_t *group = relay->endpoints->groups; group != NULL;
	     group = group->hh.next)
		group_tick(relay, group);
}

uint32_t
relay_unreachable_services(const relay_t *relay)
{
	const endpoint_group_t *group = relay->endpoints->groups;
	uint32_t count = 0;

	for (; group != NULL; group = group->hh.next)
		count += reach_verdict(&group->reach, group->len) != REACH_OK;
	return count;
}
