/**
 * @file
 * A daemon connects to endpoints that go down and come back, over links that
 * are cut and restored; other daemons, whose links are cut as well, report
 * whether they reach the endpoints, by messages that come late or not at all.
 *
 * The oracle knows the truth. Links count as lost only if another daemon had
 * contact with an endpoint after this one's first failure. They do count as
 * lost some time after a cut, if another daemon reaches endpoints all the
 * while, and no longer some time after its end. A service whose endpoints are
 * all down is never taken for lost links, and endpoints that can be connected
 * to never for unreachable ones.
 */
#include <string.h>

#include "../support/random.h"
#include "common/clock_source.h"
#include "input.h"
#include "moortack/reach/helpers.h"
#include "moortack/reach/reach.h"

#define ENDPOINTS_MAX 9
#define OTHERS 5
#define STEP_MS 50
#define STEPS_MAX 1500
/* As in relay_reach.c. */
#define ASK_MS 300
#define PROBE_MS 900
#define CONTACT_MAX_MS 1500
/* The users' bound for the cut and for its end. */
#define STABLE_MS 3000
#define MESSAGE_MAX_MS 250
#define MESSAGES_MAX 64
/* With this many, three random ones asked every ASK_MS find one in STABLE_MS.
 */
#define SOUND_MIN 3
#define NEVER INT64_MIN

typedef struct other {
	bool cut;
	int64_t contact_ms; /**< last one; NEVER: none */
} other_t;

typedef struct message {
	bool used;
	size_t from;
	int64_t at_ms; /**< of its arrival */
	bool reaches;
	int64_t contact_age_ms;
} message_t;

static struct world {
	int64_t now_ms;
	size_t endpoints;
	bool down[ENDPOINTS_MAX];
	bool cut;
	bool traffic; /**< the daemon gets requests all the time */
	other_t others[OTHERS];
	reach_t reach;
	helpers_t helpers;
	message_t messages[MESSAGES_MAX];
	size_t messages_next;
	int64_t ask_ms;
	int64_t probe_ms;
	int64_t cut_since_ms;	   /**< with others reaching; NEVER: not so */
	int64_t restored_since_ms; /**< links and endpoints sound; NEVER */
	int64_t all_down_since_ms; /**< NEVER: not so */
	int64_t others_contact_ms; /**< last one of any */
	uint64_t random;
} world;

static struct timespec
now(void)
{
	return timespec_from_ms(1000000 + world.now_ms);
}

static bool
any_up(void)
{
	for (size_t i = 0; i < world.endpoints; i++) {
		if (!world.down[i])
			return true;
	}
	return false;
}

static bool
all_up(void)
{
	for (size_t i = 0; i < world.endpoints; i++) {
		if (world.down[i])
			return false;
	}
	return true;
}

/* Connects to an endpoint, as a request or a probe does. */
static void
connect_to(size_t endpoint)
{
	if (!world.cut && !world.down[endpoint])
		reach_record_opened(
		    &world.reach, endpoint, world.endpoints, now());
	else
		reach_record_failure(&world.reach, endpoint, now());
}

static void
others_step(void)
{
	for (size_t i = 0; i < OTHERS; i++) {
		other_t *other = &world.others[i];
		size_t endpoint =
		    random_below(&world.random, (uint32_t)world.endpoints);

		if (!other->cut && !world.down[endpoint])
			other->contact_ms = world.now_ms;
		if (other->contact_ms > world.others_contact_ms)
			world.others_contact_ms = other->contact_ms;
	}
}

/* Asks three random daemons; one message in eight is lost. */
static void
others_ask(void)
{
	for (int i = 0; i < 3; i++) {
		size_t from = random_below(&world.random, OTHERS);
		const other_t *other = &world.others[from];
		int64_t age_ms = other->contact_ms == NEVER
		    ? CONTACT_MAX_MS + 1
		    : world.now_ms - other->contact_ms;

		if (random_below(&world.random, 8) == 0)
			continue;
		world.messages[world.messages_next++ % MESSAGES_MAX] =
		    (message_t){.used = true,
			.from = from,
			.at_ms = world.now_ms +
			    random_below(&world.random, MESSAGE_MAX_MS),
			.reaches = age_ms <= CONTACT_MAX_MS,
			.contact_age_ms = age_ms};
	}
}

static void
message_deliver(message_t *message)
{
	const helper_report_t report = {.reaches = message->reaches,
	    .contact_age_ms = message->contact_age_ms};
	struct sockaddr_in from = {.sin_port = (uint16_t)message->from};
	struct timespec contact_at =
	    timespec_add_ms(now(), -message->contact_age_ms);

	message->used = false;
	helpers_apply(&world.helpers, &from, &report, now());
	if (!report.reaches ||
	    !reach_record_others_contact(
		&world.reach, contact_at, world.endpoints))
		return;
	/* The message took up to MESSAGE_MAX_MS. */
	FUZZ_CHECK(world.others_contact_ms + MESSAGE_MAX_MS >=
	    timespec_to_ms(world.reach.failing_since) - 1000000);
}

static size_t
sound_others(void)
{
	size_t count = 0;

	for (size_t i = 0; i < OTHERS; i++)
		count += !world.others[i].cut;
	return count;
}

/* Updates since when a condition has held. */
static void
since_update(int64_t *since_ms, bool holds)
{
	if (!holds)
		*since_ms = NEVER;
	else if (*since_ms == NEVER)
		*since_ms = world.now_ms;
}

static void
truth_update(void)
{
	since_update(&world.cut_since_ms,
	    world.cut && world.traffic && all_up() &&
		sound_others() >= SOUND_MIN);
	since_update(
	    &world.restored_since_ms, !world.cut && world.traffic && all_up());
	since_update(&world.all_down_since_ms, !any_up());
}

static bool
held_for(int64_t since_ms, int64_t ms)
{
	return since_ms != NEVER && world.now_ms - since_ms >= ms;
}

static void
verdict_check(reach_verdict_t before)
{
	reach_verdict_t verdict = reach_verdict(&world.reach, world.endpoints);

	if (held_for(world.cut_since_ms, STABLE_MS))
		FUZZ_CHECK(verdict == REACH_LOST);
	if (held_for(world.restored_since_ms, STABLE_MS))
		FUZZ_CHECK(verdict == REACH_OK);
	/* Reports of an earlier contact may still be on their way. */
	if (verdict == REACH_LOST && before != REACH_LOST)
		FUZZ_CHECK(!held_for(world.all_down_since_ms,
		    CONTACT_MAX_MS + MESSAGE_MAX_MS + STEP_MS));
}

static void
disturb(input_t *input)
{
	size_t endpoint;

	switch (input_below(input, 64)) {
	case 1:
	case 2:
		world.cut = !world.cut;
		break;
	case 3:
		world.others[input_below(input, OTHERS)].cut ^= true;
		break;
	case 4:
		endpoint = input_below(input, (uint32_t)world.endpoints);
		world.down[endpoint] = !world.down[endpoint];
		break;
	case 5:
		memset(world.down, input_below(input, 2), sizeof(world.down));
		break;
	case 6:
		world.traffic = !world.traffic;
		break;
	default:
		break;
	}
}

static void
step(input_t *input)
{
	reach_verdict_t before;

	world.now_ms += STEP_MS;
	disturb(input);
	truth_update();
	others_step();
	before = reach_verdict(&world.reach, world.endpoints);
	if (world.traffic)
		connect_to(
		    random_below(&world.random, (uint32_t)world.endpoints));
	if (before != REACH_OK && world.now_ms >= world.probe_ms) {
		connect_to(
		    random_below(&world.random, (uint32_t)world.endpoints));
		connect_to(
		    random_below(&world.random, (uint32_t)world.endpoints));
		world.probe_ms = world.now_ms + PROBE_MS;
	}
	if (world.reach.failed_len > 0 && world.now_ms >= world.ask_ms) {
		others_ask();
		world.ask_ms = world.now_ms + ASK_MS;
	}
	for (size_t i = 0; i < MESSAGES_MAX; i++) {
		if (world.messages[i].used &&
		    world.now_ms >= world.messages[i].at_ms)
			message_deliver(&world.messages[i]);
	}
	verdict_check(before);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	for (int i = 0; i < 4; i++)
		world.random = world.random << 8 | input_below(&input, 256);
	world.endpoints = 1 + input_below(&input, ENDPOINTS_MAX);
	world.traffic = input_below(&input, 4) > 0;
	world.others_contact_ms = NEVER;
	world.cut_since_ms = world.restored_since_ms = NEVER;
	world.all_down_since_ms = NEVER;
	for (size_t i = 0; i < OTHERS; i++)
		world.others[i].contact_ms = NEVER;
	for (int i = 0; i < STEPS_MAX && !input_at_end(&input); i++)
		step(&input);
	return 0;
}
