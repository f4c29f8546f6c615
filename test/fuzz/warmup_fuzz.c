/**
 * @file
 * Daemons send as many requests as they may to the same endpoints, while
 * endpoints restart and zones are evacuated. Rows arrive late and out of order,
 * daemons are partitioned, restarted or added, and their clocks differ.
 *
 * The oracle knows when each endpoint is cold and each zone evacuated. It
 * checks that a cold endpoint never gets more requests in a second than it
 * tolerates, and that a daemon that knows of an evacuation sends nothing to the
 * zone.
 */
#include <stdio.h>
#include <string.h>

#include "../../moortack/relay/relay_warmup.h"
#include "../support/manual_clock.h"
#include "input.h"

#define DAEMONS 28
/* Daemons that start later than the others. */
#define DAEMONS_LATE 10
#define ENDPOINTS 3
#define ZONES 2
#define STEP_MS 25
#define STEPS_MAX 900
/* Requests that each daemon tries to send to each endpoint in a step. */
#define SENDS_PER_STEP 2
#define WARMUP_MS 3000
#define HEARTBEAT_MS 1200
#define PER_S 8.8
#define OVERSHOOT 1.5
#define TOLERANCE 5
#define LIMIT (PER_S * OVERSHOOT + TOLERANCE)
#define DELAY_MAX_MS 2000
#define RESPONSE_DELAY_MAX_MS 40
#define PARTITION_MAX_MS 12000
#define SERVICE "s"
#define NEVER INT64_MAX

/** A row that reaches each daemon at its own time. */
typedef struct update {
	int64_t at_ms[DAEMONS]; /**< NEVER: already delivered */
	endpoint_info_t facts;
	int64_t zone; /**< whose evacuation changed; negative: the row is an
			 endpoint's */
	bool evacuated;
} update_t;

#define UPDATES_MAX 64

typedef struct sends {
	int64_t at_ms[64];
	size_t next;
} sends_t;

typedef struct daemon {
	manual_clock_t clock;
	int64_t clock_offset_ms;
	char name[MEMBER_NAME_SIZE];
	endpoint_set_t endpoints;
	membership_t members;
	relay_t relay;
	bool running;
	int64_t start_ms;   /**< of the next start; NEVER: none */
	int64_t visible_ms; /**< when its row reaches the others */
	int64_t partitioned_until_ms;
	bool known[DAEMONS]; /**< daemons whose rows it has read */
	bool evacuated[ZONES];
} daemon_t;

static struct world {
	int64_t now_ms;
	daemon_t daemons[DAEMONS];
	relay_config_t *config;
	update_t updates[UPDATES_MAX];
	size_t updates_next;
	uint32_t incarnation[ENDPOINTS];
	int64_t cold_until_ms[ENDPOINTS];
	sends_t sends[ENDPOINTS];
	bool evacuated[ZONES];
	int64_t zone_changed_ms[ZONES];
} world;

static void
zone_name(char out[ZONE_NAME_SIZE], int64_t zone)
{
	snprintf(out, ZONE_NAME_SIZE, "zone-%d", (int)zone);
}

static endpoint_info_t
facts_of(size_t endpoint)
{
	endpoint_info_t facts = {.service = SERVICE, .slots = 16};
	int64_t left_ms = world.cold_until_ms[endpoint] - world.now_ms;

	snprintf(facts.id, sizeof(facts.id), "i-%zu-%u", endpoint,
	    world.incarnation[endpoint]);
	zone_name(facts.zone, (int64_t)(endpoint % ZONES));
	facts.warmup_remaining_ms = left_ms > 0 ? left_ms : 0;
	return facts;
}

static void
clock_set(daemon_t *daemon)
{
	daemon->clock.now =
	    timespec_from_ms(world.now_ms + daemon->clock_offset_ms);
}

static void
facts_apply(daemon_t *daemon, const endpoint_info_t *facts)
{
	/* Rows of earlier incarnations are ignored. */
	for (size_t i = 0; i < ENDPOINTS; i++) {
		endpoint_info_t current = facts_of(i);

		if (strcmp(current.id, facts->id) == 0)
			endpoint_set_update(&daemon->endpoints, facts);
	}
}

static void
zone_apply(daemon_t *daemon, int64_t number, bool evacuated)
{
	char name[ZONE_NAME_SIZE];
	zone_t *zone;

	zone_name(name, number);
	zone = zone_table_get(&daemon->endpoints.zones, name);
	if (evacuated)
		zone_evacuate(zone, daemon->clock.now);
	else
		zone_end_evacuation(zone, daemon->clock.now);
	daemon->evacuated[number] = evacuated;
}

static void
others_discover(daemon_t *daemon)
{
	for (size_t i = 0; i < DAEMONS; i++) {
		const daemon_t *other = &world.daemons[i];

		if (other->running && other != daemon &&
		    world.now_ms >= other->visible_ms &&
		    world.now_ms >= other->partitioned_until_ms &&
		    world.now_ms >= daemon->partitioned_until_ms)
			daemon->known[i] = true;
		/* The row of a daemon that restarts stays in the store. */
		if (daemon->known[i] &&
		    (other->running || other->start_ms != NEVER) &&
		    world.now_ms >= daemon->partitioned_until_ms)
			warmup_daemons_mark_seen(&daemon->relay.warmup_daemons,
			    other->name, daemon->clock.now);
	}
}

static void
daemon_start(size_t number, uint32_t response_delay_ms, bool at_start)
{
	daemon_t *daemon = &world.daemons[number];

	snprintf(daemon->name, sizeof(daemon->name), "10.0.0.%zu:80", number);
	daemon->clock = (manual_clock_t){.source = {&manual_clock_ops}};
	daemon->clock_offset_ms = (int64_t)(1000000 + 7919 * number);
	clock_set(daemon);
	endpoint_set_init(&daemon->endpoints, &daemon->clock.source);
	memset(&daemon->members, 0, sizeof(daemon->members));
	daemon->members.rows_read = true;
	daemon->members.store_clock_known = true;
	/* A delayed response makes the store's clock appear to be behind. */
	daemon->members.store_clock_offset_ms =
	    500000 - daemon->clock_offset_ms - response_delay_ms;
	daemon->relay = (relay_t){.clock = &daemon->clock.source,
	    .endpoints = &daemon->endpoints,
	    .members = &daemon->members,
	    .config = world.config,
	    .bounds = {.warmup = {OVERSHOOT, TOLERANCE}}};
	warmup_daemons_init(&daemon->relay.warmup_daemons, daemon->name);
	daemon->running = true;
	daemon->start_ms = NEVER;
	daemon->partitioned_until_ms = 0;
	daemon->visible_ms = at_start ? 0 : world.now_ms + DELAY_MAX_MS;
	memset(daemon->known, 0, sizeof(daemon->known));
	others_discover(daemon);
	warmup_daemons_update_own(
	    &daemon->relay.warmup_daemons, true, at_start, daemon->clock.now);
	for (size_t i = 0; i < ENDPOINTS; i++) {
		endpoint_info_t facts = facts_of(i);

		facts_apply(daemon, &facts);
	}
	for (int64_t zone = 0; zone < ZONES; zone++) {
		daemon->evacuated[zone] = false;
		zone_apply(daemon, zone, world.evacuated[zone]);
	}
}

static void
daemon_stop(daemon_t *daemon)
{
	daemon->running = false;
	warmup_daemons_finish(&daemon->relay.warmup_daemons);
	endpoint_set_finish(&daemon->endpoints);
}

static update_t *
update_add(input_t *input)
{
	update_t *update = &world.updates[world.updates_next++ % UPDATES_MAX];

	for (size_t i = 0; i < DAEMONS; i++)
		update->at_ms[i] = world.now_ms +
		    (int64_t)input_below(input, 256) * DELAY_MAX_MS / 255;
	return update;
}

static void
endpoint_restart(input_t *input)
{
	size_t endpoint = input_below(input, ENDPOINTS);
	update_t *update = update_add(input);

	world.incarnation[endpoint]++;
	world.cold_until_ms[endpoint] = world.now_ms + WARMUP_MS;
	memset(&world.sends[endpoint], 0, sizeof(world.sends[endpoint]));
	update->zone = -1;
	update->facts = facts_of(endpoint);
}

/* Evacuate a zone or end its evacuation, once all daemons know of its last
 * change. */
static void
zone_toggle(input_t *input)
{
	int64_t zone = input_below(input, ZONES);
	update_t *update;

	if (world.now_ms - world.zone_changed_ms[zone] <= DELAY_MAX_MS)
		return;
	update = update_add(input);
	world.zone_changed_ms[zone] = world.now_ms;
	world.evacuated[zone] = !world.evacuated[zone];
	for (size_t i = 0; i < ENDPOINTS; i++) {
		if ((int64_t)(i % ZONES) == zone && !world.evacuated[zone])
			world.cold_until_ms[i] = world.now_ms + WARMUP_MS;
	}
	update->zone = zone;
	update->evacuated = world.evacuated[zone];
}

/* The daemon is down for longer than a heartbeat, so the rows that it reads at
 * its start are not older than the last change. */
static void
daemon_restart(input_t *input)
{
	daemon_t *daemon =
	    &world.daemons[input_below(input, DAEMONS - DAEMONS_LATE)];

	if (!daemon->running)
		return;
	daemon_stop(daemon);
	daemon->start_ms = world.now_ms + HEARTBEAT_MS + STEP_MS;
}

static void
daemon_partition(input_t *input)
{
	daemon_t *daemon = &world.daemons[input_below(input, DAEMONS)];

	daemon->partitioned_until_ms = world.now_ms +
	    (int64_t)input_below(input, 256) * PARTITION_MAX_MS / 255;
}

static void
updates_deliver(size_t number)
{
	daemon_t *daemon = &world.daemons[number];

	for (size_t i = 0; i < UPDATES_MAX; i++) {
		update_t *update = &world.updates[i];

		if (update->at_ms[number] > world.now_ms)
			continue;
		update->at_ms[number] = NEVER;
		if (!daemon->running)
			continue;
		if (update->zone < 0)
			facts_apply(daemon, &update->facts);
		else if (update->evacuated == world.evacuated[update->zone])
			zone_apply(daemon, update->zone, update->evacuated);
	}
}

static void
send_check(size_t endpoint, const daemon_t *daemon)
{
	sends_t *sends = &world.sends[endpoint];
	size_t capacity = sizeof(sends->at_ms) / sizeof(sends->at_ms[0]);
	size_t in_last_second = 0;

	FUZZ_CHECK(!daemon->evacuated[endpoint % ZONES]);
	if (world.now_ms >= world.cold_until_ms[endpoint])
		return;
	sends->at_ms[sends->next++ % capacity] = world.now_ms;
	for (size_t i = 0; i < capacity; i++)
		in_last_second += sends->at_ms[i] > world.now_ms - 1000 &&
		    sends->at_ms[i] > 0;
	FUZZ_CHECK(in_last_second <= LIMIT);
}

static void
send_all(size_t number)
{
	daemon_t *daemon = &world.daemons[number];
	relay_request_t req = {.relay = &daemon->relay,
	    .config = world.config,
	    .service = SERVICE};
	warmup_snapshot_t snapshot;

	relay_warmup_snapshot(&req, &snapshot);
	for (size_t i = 0; i < ENDPOINTS; i++) {
		endpoint_info_t facts = facts_of(i);
		endpoint_t *endpoint =
		    endpoint_set_find(&daemon->endpoints, facts.id);

		/* Daemons that do not know the current state of the zone yet
		 * send nothing to it. */
		if (endpoint == NULL ||
		    daemon->evacuated[i % ZONES] != world.evacuated[i % ZONES])
			continue;
		for (size_t n = 0; n < SENDS_PER_STEP; n++) {
			req.attempt = (attempt_t){.endpoint = endpoint};
			if (!endpoint_accepts_requests(endpoint) ||
			    !relay_warmup_allows(
				&daemon->relay, endpoint, &snapshot) ||
			    !relay_warmup_acquire(&req))
				continue;
			send_check(i, daemon);
		}
	}
}

static void
step(input_t *input)
{
	world.now_ms += STEP_MS;
	switch (input_below(input, 24)) {
	case 1:
	case 2:
		endpoint_restart(input);
		break;
	case 3:
		zone_toggle(input);
		break;
	case 4:
		daemon_restart(input);
		break;
	case 5:
		daemon_partition(input);
		break;
	default:
		break;
	}
	for (size_t i = 0; i < DAEMONS; i++) {
		daemon_t *daemon = &world.daemons[i];

		if (!daemon->running && world.now_ms >= daemon->start_ms)
			daemon_start(i,
			    input_below(input, RESPONSE_DELAY_MAX_MS),
			    i < DAEMONS - DAEMONS_LATE);
		if (!daemon->running)
			continue;
		clock_set(daemon);
		others_discover(daemon);
		warmup_daemons_expire(
		    &daemon->relay.warmup_daemons, daemon->clock.now);
		warmup_daemons_update_own(&daemon->relay.warmup_daemons, true,
		    false, daemon->clock.now);
		updates_deliver(i);
	}
	for (size_t i = 0; i < DAEMONS; i++) {
		if (world.daemons[i].running)
			send_all(i);
	}
}

static void
world_init(input_t *input)
{
	relay_service_t *service;

	memset(&world, 0, sizeof(world));
	world.now_ms = 1000000;
	for (size_t i = 0; i < UPDATES_MAX; i++) {
		for (size_t j = 0; j < DAEMONS; j++)
			world.updates[i].at_ms[j] = NEVER;
	}
	world.config = relay_config_new(1);
	service = relay_config_add_service(world.config, SERVICE, NULL);
	service->warmup_ms = WARMUP_MS;
	service->warmup_per_s = PER_S;
	for (size_t i = 0; i < DAEMONS - DAEMONS_LATE; i++)
		world.daemons[i].start_ms = world.now_ms;
	for (size_t i = DAEMONS - DAEMONS_LATE; i < DAEMONS; i++)
		world.daemons[i].start_ms =
		    world.now_ms + 8 * (int64_t)input_below(input, 256);
	for (size_t i = 0; i < DAEMONS - DAEMONS_LATE; i++)
		daemon_start(
		    i, input_below(input, RESPONSE_DELAY_MAX_MS), true);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};

	world_init(&input);
	for (int i = 0; i < STEPS_MAX && !input_at_end(&input); i++)
		step(&input);
	for (size_t i = 0; i < DAEMONS; i++) {
		if (world.daemons[i].running)
			daemon_stop(&world.daemons[i]);
	}
	relay_config_release(world.config);
	return 0;
}
