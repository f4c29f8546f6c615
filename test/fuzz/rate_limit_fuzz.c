/**
 * @file
 * Daemons send as many requests as they may to endpoints that name rate limits,
 * change them, and cease to. Responses come late, overtake each other, are
 * lost, or say that the request has not run; connections take a while. Daemons
 * report limits to each other by messages that come late or not at all. They
 * restart, freeze, are added, or are cut off from the store and each other, and
 * their clocks differ.
 *
 * The oracle counts what reaches each endpoint from daemons that had received a
 * limit of it half a second before or earlier: in no four seconds more than one
 * and a half times the limit and five requests, from three seconds after the
 * limit was first named. A daemon that froze or was cut off is excused until it
 * is told again.
 */
#include <stdio.h>
#include <string.h>

#include "../../moortack/relay/relay_rate_limit.h"
#include "../support/manual_clock.h"
#include "../support/random.h"
#include "input.h"

#define DAEMONS 24
/* Daemons that start later than the others. */
#define DAEMONS_LATE 6
#define ENDPOINTS 3
#define STEP_MS 25
#define STEPS_MAX 1200
/* Of the requests that each daemon could send to each endpoint in a step. */
#define SENDS_PER_STEP 2
#define SENDS_PART 4
#define SPAN_MS 4000
#define STABLE_MS 3000
#define TOLD_MS 500
#define OVERSHOOT 1.5
#define TOLERANCE 5
#define RESPONSE_MAX_MS 1500
#define TRANSIT_MAX_MS 100
/* The same for a late response. */
#define TRANSIT_LATE_MAX_MS 5000
#define CONNECT_MAX_MS 250
#define FREEZE_MAX_MS 3000
#define PARTITION_MAX_MS 12000
#define CLOCK_ERROR_MAX_MS 100
#define JOIN_MS 2000
#define SERVICE "s"
#define NEVER INT64_MAX

/** A request, from the choice of its endpoint to the end of its response. */
typedef struct exchange {
	bool used;
	size_t daemon;
	uint32_t run; /**< of the daemon */
	size_t endpoint;
	attempt_t attempt;
	int64_t connected_ms;
	int64_t made_ms;      /**< when the endpoint makes the response */
	int64_t delivered_ms; /**< NEVER: it is lost */
	bool sent;
	bool made;
	endpoint_notice_t notice;
	bool ran;
} exchange_t;

/** A report on its way to a daemon. */
typedef struct message {
	bool used;
	size_t to;
	size_t endpoint;
	int64_t at_ms;
	rate_report_t report; /**< its time is by the store's clock */
} message_t;

#define EXCHANGES_MAX 4096
#define MESSAGES_MAX 512
#define MESSAGE_MAX_MS 200
#define SPREAD_FANOUT 4
#define ARRIVALS_MAX 512

typedef struct server {
	bool limited;
	double per_s;
	int64_t named_ms; /**< when it first named the limit; NEVER: not yet */
	int64_t arrivals[ARRIVALS_MAX];
	size_t arrivals_next;
} server_t;

typedef struct daemon {
	manual_clock_t clock;
	int64_t clock_offset_ms;
	char name[MEMBER_NAME_SIZE];
	endpoint_set_t endpoints;
	membership_t members;
	relay_t relay;
	bool running;
	uint32_t run;
	int64_t start_ms; /**< of the next start; NEVER: none */
	int64_t visible_ms;
	int64_t partitioned_until_ms;
	int64_t frozen_until_ms;
	bool known[DAEMONS];
	int64_t told_ms[ENDPOINTS]; /**< by the endpoint's present limit */
} daemon_t;

static struct world {
	int64_t now_ms;
	daemon_t daemons[DAEMONS];
	relay_config_t *config;
	server_t servers[ENDPOINTS];
	exchange_t exchanges[EXCHANGES_MAX];
	size_t exchanges_next;
	message_t messages[MESSAGES_MAX];
	size_t messages_next;
	uint64_t random; /**< for the traffic; the input decides the rest */
} world;

static const char *const endpoint_ids[ENDPOINTS] = {"i-0", "i-1", "i-2"};

static void
clock_set(daemon_t *daemon)
{
	daemon->clock.now =
	    timespec_from_ms(world.now_ms + daemon->clock_offset_ms);
}

static void
others_discover(daemon_t *daemon)
{
	if (world.now_ms < daemon->partitioned_until_ms)
		return;
	for (size_t i = 0; i < DAEMONS; i++) {
		const daemon_t *other = &world.daemons[i];

		if (other == daemon)
			continue;
		if (other->running && world.now_ms >= other->visible_ms)
			daemon->known[i] = true;
		if (daemon->known[i])
			warmup_daemons_mark_seen(&daemon->relay.warmup_daemons,
			    other->name, daemon->clock.now);
	}
}

static void
daemon_start(size_t number, uint32_t clock_error_ms, bool at_start)
{
	daemon_t *daemon = &world.daemons[number];
	uint32_t run = daemon->run + 1;

	memset(daemon, 0, sizeof(*daemon));
	daemon->run = run;
	snprintf(daemon->name, sizeof(daemon->name), "10.0.0.%zu:80", number);
	daemon->clock = (manual_clock_t){.source = {&manual_clock_ops}};
	daemon->clock_offset_ms = (int64_t)(1000000 + 7919 * number);
	clock_set(daemon);
	endpoint_set_init(&daemon->endpoints, &daemon->clock.source);
	daemon->members.rows_read = true;
	daemon->members.store_clock_known = true;
	daemon->members.store_clock_offset_ms =
	    500000 - daemon->clock_offset_ms - clock_error_ms;
	daemon->relay = (relay_t){.clock = &daemon->clock.source,
	    .endpoints = &daemon->endpoints,
	    .members = &daemon->members,
	    .config = world.config};
	warmup_daemons_init(&daemon->relay.warmup_daemons, daemon->name);
	daemon->running = true;
	daemon->start_ms = NEVER;
	daemon->visible_ms = at_start ? 0 : world.now_ms + JOIN_MS;
	others_discover(daemon);
	warmup_daemons_update_own(
	    &daemon->relay.warmup_daemons, true, at_start, daemon->clock.now);
	for (size_t i = 0; i < ENDPOINTS; i++) {
		endpoint_info_t facts = {
		    .service = SERVICE, .zone = "z", .slots = 16};

		strcpy(facts.id, endpoint_ids[i]);
		endpoint_set_update(&daemon->endpoints, &facts);
		daemon->told_ms[i] = NEVER;
	}
}

static void
daemon_stop(daemon_t *daemon)
{
	daemon->running = false;
	warmup_daemons_finish(&daemon->relay.warmup_daemons);
	endpoint_set_finish(&daemon->endpoints);
}

static void
daemon_restart(input_t *input)
{
	daemon_t *daemon =
	    &world.daemons[input_below(input, DAEMONS - DAEMONS_LATE)];

	if (!daemon->running)
		return;
	daemon_stop(daemon);
	daemon->start_ms = world.now_ms + 4 * (int64_t)input_below(input, 256);
}

static void
limit_toggle(input_t *input)
{
	static const double rates[] = {0, 0.3, 1.2, 1.9, 3.7, 8.8, 30, 0.05};
	size_t number = input_below(input, ENDPOINTS);
	server_t *server = &world.servers[number];

	server->limited = !server->limited;
	server->per_s =
	    rates[input_below(input, sizeof(rates) / sizeof(rates[0]))];
	server->named_ms = NEVER;
	for (size_t i = 0; i < DAEMONS; i++)
		world.daemons[i].told_ms[number] = NEVER;
}

/* Changes the limit of an endpoint that has one. */
static void
limit_change(input_t *input)
{
	size_t number = input_below(input, ENDPOINTS);
	server_t *server = &world.servers[number];

	server->per_s = (double)(1 + input_below(input, 256)) / 10;
	server->named_ms = NEVER;
}

static int64_t
draw_ms(input_t *input, int64_t max_ms)
{
	return (int64_t)input_below(input, 256) * max_ms / 255;
}

static void
arrival_check(const exchange_t *exchange)
{
	server_t *server = &world.servers[exchange->endpoint];
	int64_t told_ms =
	    world.daemons[exchange->daemon].told_ms[exchange->endpoint];
	size_t count = 0;

	if (!server->limited || server->named_ms == NEVER ||
	    world.now_ms < server->named_ms + STABLE_MS || told_ms == NEVER ||
	    world.now_ms < told_ms + TOLD_MS)
		return;
	server->arrivals[server->arrivals_next++ % ARRIVALS_MAX] = world.now_ms;
	for (size_t i = 0; i < ARRIVALS_MAX; i++)
		count += server->arrivals[i] > world.now_ms - SPAN_MS &&
		    server->arrivals[i] >= server->named_ms + STABLE_MS;
	FUZZ_CHECK((double)count <=
	    OVERSHOOT * server->per_s * SPAN_MS / 1000 + TOLERANCE);
}

static endpoint_t *
exchange_endpoint(const exchange_t *exchange)
{
	return endpoint_set_find(&world.daemons[exchange->daemon].endpoints,
	    endpoint_ids[exchange->endpoint]);
}

static void
exchange_send(exchange_t *exchange, daemon_t *daemon)
{
	relay_request_t req = {.relay = &daemon->relay,
	    .config = world.config,
	    .service = SERVICE,
	    .attempt = exchange->attempt};

	req.attempt.endpoint = exchange_endpoint(exchange);
	if (!relay_rate_limit_acquire(&req)) {
		exchange->used = false;
		return;
	}
	exchange->sent = true;
	exchange->attempt.sent_at = daemon->clock.now;
	arrival_check(exchange);
}

static void
response_make(exchange_t *exchange)
{
	server_t *server = &world.servers[exchange->endpoint];

	exchange->made = true;
	exchange->made_ms = world.now_ms;
	if (!server->limited)
		return;
	if (server->named_ms == NEVER)
		server->named_ms = world.now_ms;
	exchange->notice = (endpoint_notice_t){.rate = RATE_LIMITED,
	    .rate_milli = (int64_t)(server->per_s * RATE_MILLI)};
}

static bool
is_cut_off(const daemon_t *daemon)
{
	return world.now_ms < daemon->partitioned_until_ms ||
	    world.now_ms < daemon->frozen_until_ms;
}

static void
report_spread(const daemon_t *from, size_t endpoint, rate_report_t report)
{
	if (is_cut_off(from))
		return;
	for (int i = 0; i < SPREAD_FANOUT; i++) {
		message_t *message =
		    &world.messages[world.messages_next++ % MESSAGES_MAX];

		*message =
		    (message_t){.used = random_below(&world.random, 10) > 0,
			.to = random_below(&world.random, DAEMONS),
			.endpoint = endpoint,
			.at_ms = world.now_ms +
			    random_below(&world.random, MESSAGE_MAX_MS),
			.report = report};
	}
}

/* Reports the change that a response has just made. */
static void
change_report(const daemon_t *daemon, size_t number, const endpoint_t *endpoint)
{
	const endpoint_restrictions_t *now = &endpoint->restrictions;
	rate_report_t report = {.limited = now->rate_limited,
	    .rate_milli = now->rate_milli,
	    .at =
		now->rate_limited ? now->rate_limited_at : now->rate_freed_at};

	report.at =
	    timespec_add_ms(report.at, daemon->members.store_clock_offset_ms);
	report_spread(daemon, number, report);
}

static void
message_deliver(message_t *message)
{
	daemon_t *daemon = &world.daemons[message->to];
	rate_report_t report = message->report;
	endpoint_t *endpoint;

	message->used = false;
	if (!daemon->running || is_cut_off(daemon))
		return;
	endpoint = endpoint_set_find(
	    &daemon->endpoints, endpoint_ids[message->endpoint]);
	report.at =
	    timespec_add_ms(report.at, -daemon->members.store_clock_offset_ms);
	if (endpoint_restrictions_apply_report(
		&endpoint->restrictions, &report) != 0)
		report_spread(daemon, message->endpoint, message->report);
}

static void
response_deliver(exchange_t *exchange, daemon_t *daemon)
{
	const notice_context_t context = {.ran = exchange->ran,
	    .sent_at = exchange->attempt.sent_at,
	    .now = daemon->clock.now};
	server_t *server = &world.servers[exchange->endpoint];
	int64_t *told_ms = &daemon->told_ms[exchange->endpoint];

	exchange->used = false;
	if (endpoint_restrictions_apply(
		&exchange_endpoint(exchange)->restrictions, &exchange->notice,
		&context) != 0)
		change_report(
		    daemon, exchange->endpoint, exchange_endpoint(exchange));
	if (server->limited && *told_ms == NEVER &&
	    exchange->notice.rate == RATE_LIMITED &&
	    exchange->made_ms >= server->named_ms)
		*told_ms = world.now_ms;
}

static void
exchange_step(exchange_t *exchange)
{
	daemon_t *daemon = &world.daemons[exchange->daemon];
	bool alive = daemon->running && daemon->run == exchange->run;

	if (!exchange->sent) {
		if (!alive)
			exchange->used = false;
		else if (world.now_ms >= exchange->connected_ms &&
		    world.now_ms >= daemon->frozen_until_ms)
			exchange_send(exchange, daemon);
		return;
	}
	if (!exchange->made && world.now_ms >= exchange->made_ms)
		response_make(exchange);
	if (!alive || (exchange->made && exchange->delivered_ms == NEVER))
		exchange->used = false;
	else if (exchange->made && world.now_ms >= exchange->delivered_ms &&
	    world.now_ms >= daemon->frozen_until_ms)
		response_deliver(exchange, daemon);
}

static void
exchange_begin(size_t number, size_t endpoint)
{
	exchange_t *exchange =
	    &world.exchanges[world.exchanges_next++ % EXCHANGES_MAX];

	*exchange = (exchange_t){.used = true,
	    .daemon = number,
	    .run = world.daemons[number].run,
	    .endpoint = endpoint,
	    .ran = random_below(&world.random, 8) > 0,
	    .connected_ms = world.now_ms};
	if (random_below(&world.random, 4) == 0)
		exchange->connected_ms +=
		    random_below(&world.random, CONNECT_MAX_MS);
	exchange->made_ms = exchange->connected_ms +
	    random_below(&world.random, RESPONSE_MAX_MS);
	exchange->delivered_ms = exchange->made_ms +
	    random_below(&world.random,
		random_below(&world.random, 8) == 0 ? TRANSIT_LATE_MAX_MS
						    : TRANSIT_MAX_MS);
	if (random_below(&world.random, 16) == 0)
		exchange->delivered_ms = NEVER;
}

/* Requests beyond the share have to be stopped once their connection is up. */
static void
daemon_send(size_t number)
{
	daemon_t *daemon = &world.daemons[number];

	for (size_t i = 0; i < ENDPOINTS; i++) {
		endpoint_t *endpoint =
		    endpoint_set_find(&daemon->endpoints, endpoint_ids[i]);
		int64_t slot = relay_rate_slot(&daemon->relay);

		for (size_t n = 0; n < SENDS_PER_STEP; n++) {
			if (random_below(&world.random, SENDS_PART) > 0)
				continue;
			if (!relay_rate_limit_allows(
				&daemon->relay, endpoint, slot))
				break;
			exchange_begin(number, i);
		}
	}
}

static daemon_t *
daemon_pick(input_t *input)
{
	return &world.daemons[input_below(input, DAEMONS)];
}

/* About one event in a second, so that limits last long enough to be judged. */
static void
disturb(input_t *input)
{
	switch (input_below(input, 256)) {
	case 1:
	case 2:
		limit_toggle(input);
		break;
	case 3:
	case 4:
		limit_change(input);
		break;
	case 5:
		daemon_restart(input);
		break;
	case 6:
		daemon_pick(input)->partitioned_until_ms =
		    world.now_ms + draw_ms(input, PARTITION_MAX_MS);
		break;
	case 7:
		daemon_pick(input)->frozen_until_ms =
		    world.now_ms + draw_ms(input, FREEZE_MAX_MS);
		break;
	default:
		break;
	}
}

static void
step(input_t *input)
{
	world.now_ms += STEP_MS;
	disturb(input);
	for (size_t i = 0; i < DAEMONS; i++) {
		daemon_t *daemon = &world.daemons[i];

		if (!daemon->running && world.now_ms >= daemon->start_ms)
			daemon_start(i, input_below(input, CLOCK_ERROR_MAX_MS),
			    daemon->run > 0);
		if (!daemon->running)
			continue;
		clock_set(daemon);
		for (size_t n = 0; n < ENDPOINTS && is_cut_off(daemon); n++)
			daemon->told_ms[n] = NEVER;
		others_discover(daemon);
		warmup_daemons_expire(
		    &daemon->relay.warmup_daemons, daemon->clock.now);
		warmup_daemons_update_own(&daemon->relay.warmup_daemons, true,
		    false, daemon->clock.now);
	}
	for (size_t i = 0; i < MESSAGES_MAX; i++) {
		message_t *message = &world.messages[i];

		if (message->used && world.now_ms >= message->at_ms)
			message_deliver(message);
	}
	for (size_t i = 0; i < EXCHANGES_MAX; i++) {
		if (world.exchanges[i].used)
			exchange_step(&world.exchanges[i]);
	}
	for (size_t i = 0; i < DAEMONS; i++) {
		if (world.daemons[i].running &&
		    world.now_ms >= world.daemons[i].frozen_until_ms)
			daemon_send(i);
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	world.now_ms = 1000000;
	for (int i = 0; i < 4; i++)
		world.random = world.random << 8 | input_below(&input, 256);
	world.config = relay_config_new(1);
	for (size_t i = 0; i < DAEMONS - DAEMONS_LATE; i++)
		daemon_start(i, input_below(&input, CLOCK_ERROR_MAX_MS), true);
	for (size_t i = DAEMONS - DAEMONS_LATE; i < DAEMONS; i++)
		world.daemons[i].start_ms =
		    world.now_ms + 64 * (int64_t)input_below(&input, 256);
	for (int i = 0; i < STEPS_MAX && !input_at_end(&input); i++)
		step(&input);
	for (size_t i = 0; i < DAEMONS; i++) {
		if (world.daemons[i].running)
			daemon_stop(&world.daemons[i]);
	}
	relay_config_release(world.config);
	return 0;
}
