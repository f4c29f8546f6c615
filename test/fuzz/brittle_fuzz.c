/**
 * @file
 * Daemons send requests to endpoints that hold as many as they process and a
 * few more, and refuse the rest. At times these are brittle and say so in their
 * responses; after a while they may hold fewer. Requests and responses take a
 * while, connections to endpoints too, reports between daemons come late or not
 * at all, and the traffic comes in bursts. Daemons are added and frozen, and
 * their clocks differ.
 *
 * The oracle counts what each endpoint refuses: from three seconds after it
 * first said so, in no second more than it bears, if all that it refused was
 * sent by daemons that were running and had heard of it.
 */
#include <stdio.h>
#include <string.h>

#include "../../moortack/relay/relay_brittle.h"
#include "../../moortack/relay/relay_rate_limit.h"
#include "../../moortack/relay/relay_warmup.h"
#include "../support/manual_clock.h"
#include "../support/random.h"
#include "input.h"

#define DAEMONS 12
/* Daemons that start later than the others. */
#define DAEMONS_LATE 2
#define ENDPOINTS 3
#define SLOTS 8
#define STEP_MS 10
#define STEPS_MAX 2500
#define STABLE_MS 3000
#define SPAN_MS 1000
#define TRANSIT_MAX_MS 15
#define CONNECT_MAX_MS 40
#define WORK_MAX_MS 300
#define FREEZE_MAX_MS 2500
#define CLOCK_ERROR_MAX_MS 40
#define MESSAGE_MAX_MS 200
#define EXCHANGES_MAX 4096
#define REFUSALS_MAX 1024
#define MESSAGES_MAX 256
#define SERVICE "s"
#define NEVER INT64_MAX

typedef enum stage {
	STAGE_FREE,
	STAGE_CONNECTING,
	STAGE_SENT,
	STAGE_HELD,
	STAGE_RESPONDED,
} stage_t;

/** A request, from the choice of its endpoint to the head of its response. */
typedef struct exchange {
	stage_t stage;
	size_t daemon;
	size_t endpoint;
	relay_request_t req;
	int64_t next_ms; /**< when the stage ends */
	bool refused;
	bool told; /**< the daemon had heard that the endpoint is brittle */
} exchange_t;

typedef struct message {
	bool used;
	size_t to;
	int64_t at_ms;
	gossip_message_t text;
} message_t;

typedef struct server {
	bool brittle;
	uint32_t bears;
	int64_t named_ms; /**< when it first said so; NEVER: not yet */
	uint32_t queue;	  /**< requests that it holds beyond its slots */
	uint32_t held;
	int64_t refusals[REFUSALS_MAX];
	size_t refusals_next;
} server_t;

typedef struct daemon {
	manual_clock_t clock;
	char name[MEMBER_NAME_SIZE];
	endpoint_set_t endpoints;
	membership_t members;
	event_log_t log;
	gossip_t gossip;
	relay_t relay;
	bool running;
	int64_t start_ms;
	int64_t frozen_until_ms;
	int64_t told_ms; /**< that the service is brittle; NEVER: not yet */
} daemon_t;

static struct world {
	int64_t now_ms;
	daemon_t daemons[DAEMONS];
	server_t servers[ENDPOINTS];
	exchange_t exchanges[EXCHANGES_MAX];
	size_t exchanges_next;
	message_t messages[MESSAGES_MAX];
	size_t messages_next;
	uint32_t rate; /**< requests of a daemon in 100 steps */
	uint64_t random;
} world;

static void
daemon_start(size_t number, uint32_t clock_error_ms)
{
	daemon_t *daemon = &world.daemons[number];
	int64_t offset_ms = (int64_t)(1000000 + 7919 * number);

	memset(daemon, 0, sizeof(*daemon));
	snprintf(daemon->name, sizeof(daemon->name), "10.0.0.%zu:80", number);
	daemon->clock = (manual_clock_t){.source = {&manual_clock_ops}};
	daemon->clock.now = timespec_from_ms(world.now_ms + offset_ms);
	endpoint_set_init(&daemon->endpoints, &daemon->clock.source);
	daemon->members.rows_read = true;
	daemon->members.store_clock_known = true;
	daemon->members.store_clock_offset_ms =
	    500000 - offset_ms - clock_error_ms;
	daemon->log.clock = &daemon->clock.source;
	daemon->gossip.fd = -1;
	daemon->relay = (relay_t){.clock = &daemon->clock.source,
	    .endpoints = &daemon->endpoints,
	    .members = &daemon->members,
	    .log = &daemon->log,
	    .gossip = &daemon->gossip};
	warmup_daemons_init(&daemon->relay.warmup_daemons, daemon->name);
	for (size_t i = 0; i < ENDPOINTS; i++) {
		endpoint_info_t info = {
		    .service = SERVICE, .zone = "z", .slots = SLOTS};

		snprintf(info.id, sizeof(info.id), "i-%zu", i);
		endpoint_set_update(&daemon->endpoints, &info);
	}
	daemon->running = true;
	daemon->told_ms = NEVER;
}

static void
daemon_update(size_t number)
{
	daemon_t *daemon = &world.daemons[number];

	daemon->clock.now =
	    timespec_from_ms(world.now_ms + (int64_t)(1000000 + 7919 * number));
	for (size_t i = 0; i < DAEMONS; i++) {
		if (i != number && world.daemons[i].running)
			warmup_daemons_mark_seen(&daemon->relay.warmup_daemons,
			    world.daemons[i].name, daemon->clock.now);
	}
	warmup_daemons_update_own(
	    &daemon->relay.warmup_daemons, true, false, daemon->clock.now);
}

static endpoint_t *
endpoint_of(const daemon_t *daemon, size_t number)
{
	char id[ENDPOINT_NAME_SIZE];

	snprintf(id, sizeof(id), "i-%zu", number);
	return endpoint_set_find(&daemon->endpoints, id);
}

static bool
any_named(void)
{
	for (size_t i = 0; i < ENDPOINTS; i++) {
		if (world.servers[i].named_ms != NEVER)
			return true;
	}
	return false;
}

static void
exchange_begin(size_t number, size_t endpoint)
{
	daemon_t *daemon = &world.daemons[number];
	exchange_t *exchange =
	    &world.exchanges[world.exchanges_next % EXCHANGES_MAX];

	if (exchange->stage != STAGE_FREE ||
	    !relay_brittle_allows(&daemon->relay, endpoint_of(daemon, endpoint),
		relay_rate_slot(&daemon->relay)))
		return;
	world.exchanges_next++;
	*exchange = (exchange_t){.stage = STAGE_CONNECTING,
	    .daemon = number,
	    .endpoint = endpoint,
	    .req = {.relay = &daemon->relay},
	    .next_ms = world.now_ms};
	if (random_below(&world.random, 4) == 0)
		exchange->next_ms +=
		    random_below(&world.random, CONNECT_MAX_MS);
	exchange->req.attempt.endpoint = endpoint_of(daemon, endpoint);
	relay_brittle_acquire(&exchange->req);
}

/* The check at the moment of sending. */
static void
exchange_send(exchange_t *exchange)
{
	daemon_t *daemon = &world.daemons[exchange->daemon];

	if (!relay_brittle_acquire(&exchange->req)) {
		relay_brittle_resolve(&exchange->req, false);
		exchange->stage = STAGE_FREE;
		return;
	}
	exchange->req.attempt.sent_at = daemon->clock.now;
	endpoint_request_started(exchange->req.attempt.endpoint);
	exchange->told = daemon->told_ms != NEVER &&
	    world.now_ms >= daemon->told_ms + SPAN_MS;
	exchange->stage = STAGE_SENT;
	exchange->next_ms =
	    world.now_ms + random_below(&world.random, TRANSIT_MAX_MS);
}

static void
refusal_check(const exchange_t *exchange)
{
	server_t *server = &world.servers[exchange->endpoint];
	size_t count = 0;

	if (!server->brittle || server->named_ms == NEVER ||
	    world.now_ms < server->named_ms + STABLE_MS || !exchange->told)
		return;
	server->refusals[server->refusals_next++ % REFUSALS_MAX] = world.now_ms;
	for (size_t i = 0; i < REFUSALS_MAX; i++)
		count += server->refusals[i] > world.now_ms - SPAN_MS;
	FUZZ_CHECK(count <= server->bears);
}

static void
exchange_arrive(exchange_t *exchange)
{
	server_t *server = &world.servers[exchange->endpoint];

	exchange->refused = server->held >= SLOTS + server->queue;
	exchange->stage = exchange->refused ? STAGE_RESPONDED : STAGE_HELD;
	if (exchange->refused) {
		refusal_check(exchange);
		exchange->next_ms =
		    world.now_ms + random_below(&world.random, TRANSIT_MAX_MS);
		return;
	}
	server->held++;
	exchange->next_ms =
	    world.now_ms + 10 + random_below(&world.random, WORK_MAX_MS);
}

/* @param endpoint that has refused a request; NULL: it is the service's notice
 */
static void
report_spread(const daemon_t *daemon, const endpoint_t *endpoint)
{
	const endpoint_group_t *group = daemon->endpoints.groups;

	for (size_t i = 0; i < DAEMONS; i++) {
		if (random_below(&world.random, 10) == 0)
			continue;
		world.messages[world.messages_next++ % MESSAGES_MAX] =
		    (message_t){.used = true,
			.to = i,
			.at_ms = world.now_ms +
			    random_below(&world.random, MESSAGE_MAX_MS),
			.text = {.kind = GOSSIP_BRITTLE,
			    .service_hash = group->service_hash,
			    .endpoint_hash =
				endpoint != NULL ? endpoint->short_hash : 0,
			    .rate_limited = true,
			    .rate_milli = (uint32_t)group->brittle.milli,
			    .noticed_ms =
				(uint64_t)relay_store_now_ms(&daemon->relay)}};
	}
}

static void
exchange_respond(exchange_t *exchange)
{
	daemon_t *daemon = &world.daemons[exchange->daemon];
	server_t *server = &world.servers[exchange->endpoint];
	attempt_t *attempt = &exchange->req.attempt;
	struct timespec told_at = daemon->endpoints.groups->brittle.told_at;
	const endpoint_load_t load = {
	    .running = server->held < SLOTS ? server->held : SLOTS,
	    .waiting = server->held > SLOTS ? server->held - SLOTS : 0,
	    .slots = SLOTS};

	attempt->response.not_run = exchange->refused;
	if (server->brittle) {
		if (server->named_ms == NEVER)
			server->named_ms = world.now_ms;
		attempt->response.notice.brittle = RATE_LIMITED;
		attempt->response.notice.brittle_milli =
		    (int64_t)server->bears * RATE_MILLI;
		if (daemon->told_ms == NEVER)
			daemon->told_ms = world.now_ms;
	}
	relay_brittle_apply(&exchange->req);
	relay_brittle_resolve(&exchange->req, exchange->refused);
	endpoint_request_ended(attempt->endpoint);
	endpoint_record_load(attempt->endpoint, &load);
	if (timespec_ms_between(
		told_at, daemon->endpoints.groups->brittle.told_at) > 0)
		report_spread(daemon, NULL);
	if (exchange->refused)
		report_spread(daemon, attempt->endpoint);
	exchange->stage = STAGE_FREE;
}

static void
exchange_step(exchange_t *exchange)
{
	const daemon_t *daemon = &world.daemons[exchange->daemon];
	bool frozen = world.now_ms < daemon->frozen_until_ms;

	if (world.now_ms < exchange->next_ms)
		return;
	switch (exchange->stage) {
	case STAGE_FREE:
		break;
	case STAGE_CONNECTING:
		if (!frozen)
			exchange_send(exchange);
		break;
	case STAGE_SENT:
		exchange_arrive(exchange);
		break;
	case STAGE_HELD:
		world.servers[exchange->endpoint].held--;
		exchange->stage = STAGE_RESPONDED;
		exchange->next_ms =
		    world.now_ms + random_below(&world.random, TRANSIT_MAX_MS);
		break;
	case STAGE_RESPONDED:
		if (!frozen)
			exchange_respond(exchange);
		break;
	}
}

static void
brittle_toggle(input_t *input)
{
	bool brittle = !world.servers[0].brittle;
	uint32_t bears = 1 + input_below(input, 12);

	for (size_t i = 0; i < ENDPOINTS; i++) {
		world.servers[i].brittle = brittle;
		world.servers[i].bears = bears;
		world.servers[i].named_ms = NEVER;
		world.servers[i].queue = SLOTS;
	}
	for (size_t i = 0; i < DAEMONS; i++)
		world.daemons[i].told_ms = NEVER;
}

/* There is less room once the notice is old enough. */
static void
room_change(input_t *input)
{
	server_t *server = &world.servers[input_below(input, ENDPOINTS)];

	server->queue = 1 + input_below(input, SLOTS);
}

static void
disturb(input_t *input)
{
	static const uint32_t rates[] = {0, 2, 5, 10, 30, 90};
	size_t number;

	switch (input_below(input, 256)) {
	case 1:
		brittle_toggle(input);
		break;
	case 2:
	case 3:
		room_change(input);
		break;
	case 4:
	case 5:
		world.rate = rates[input_below(input, 6)];
		break;
	case 6:
		number = input_below(input, DAEMONS);
		world.daemons[number].frozen_until_ms = world.now_ms +
		    input_below(input, 256) * FREEZE_MAX_MS / 255;
		break;
	default:
		break;
	}
}

static void
message_deliver(message_t *message)
{
	daemon_t *daemon = &world.daemons[message->to];

	message->used = false;
	if (!daemon->running || world.now_ms < daemon->frozen_until_ms)
		return;
	relay_brittle_receive(&daemon->relay, &message->text);
	if (daemon->told_ms == NEVER && any_named())
		daemon->told_ms = world.now_ms;
}

static void
daemon_step(size_t number, input_t *input)
{
	daemon_t *daemon = &world.daemons[number];

	if (!daemon->running && world.now_ms >= daemon->start_ms)
		daemon_start(number, input_below(input, CLOCK_ERROR_MAX_MS));
	if (!daemon->running)
		return;
	daemon_update(number);
	/* A frozen daemon does not receive notices. */
	if (world.now_ms < daemon->frozen_until_ms)
		daemon->told_ms = NEVER;
	else if (random_below(&world.random, 100) < world.rate)
		exchange_begin(number, random_below(&world.random, ENDPOINTS));
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	world.now_ms = 1000000;
	for (int i = 0; i < 4; i++)
		world.random = world.random << 8 | input_below(&input, 256);
	world.rate = 5;
	for (size_t i = 0; i < ENDPOINTS; i++)
		world.servers[i] =
		    (server_t){.queue = SLOTS, .named_ms = NEVER};
	for (size_t i = DAEMONS - DAEMONS_LATE; i < DAEMONS; i++)
		world.daemons[i].start_ms =
		    world.now_ms + 50 * (int64_t)input_below(&input, 256);
	for (int i = 0; i < STEPS_MAX && !input_at_end(&input); i++) {
		world.now_ms += STEP_MS;
		disturb(&input);
		for (size_t n = 0; n < DAEMONS; n++)
			daemon_step(n, &input);
		for (size_t n = 0; n < MESSAGES_MAX; n++) {
			if (world.messages[n].used &&
			    world.now_ms >= world.messages[n].at_ms)
				message_deliver(&world.messages[n]);
		}
		for (size_t n = 0; n < EXCHANGES_MAX; n++)
			exchange_step(&world.exchanges[n]);
	}
	for (size_t i = 0; i < DAEMONS; i++) {
		if (!world.daemons[i].running)
			continue;
		warmup_daemons_finish(&world.daemons[i].relay.warmup_daemons);
		endpoint_set_finish(&world.daemons[i].endpoints);
	}
	return 0;
}
