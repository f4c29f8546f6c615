/**
 * @file
 * An endpoint that adds and drops parts, restarts, loses and repeats events and
 * refuses calls, against what a daemon believes that it keeps.
 */
#include <string.h>

#include "input.h"
#include "moortack/kv_cache/contents_follow.h"
#include "moortack/kv_cache/endpoint_contents.h"

#define PARTS 16
#define EVENTS_KEPT 24
#define EVENTS_MAX 4096
#define STEPS_MAX 2000
#define STEP_MS 50
#define CALL_INTERVAL_MS 200
#define LIST_INTERVAL_MS 5000
#define LIST_INTERVAL_MAX_MS 40000

/** Event of the endpoint, and which parts it keeps after it, one bit each. */
typedef struct event_record {
	uint32_t part;
	bool kept;
	bool withheld; /**< never sent */
	uint32_t state;
} event_record_t;

typedef struct world {
	event_record_t events[EVENTS_MAX]; /**< by number; since the restart */
	uint64_t next;
	uint64_t epoch;
	uint32_t state;
	uint32_t replayed; /**< by the events that were sent since the list */
	uint64_t applied;  /**< number up to which they were sent */
	bool complete;	   /**< none is missing since the list */
	endpoint_contents_t contents;
	contents_follow_t follow;
	int64_t now_ms;
	int64_t listed_ms;
	int64_t list_wait_ms;	/**< least time from then to the next list */
	uint32_t list_failures; /**< consecutive */
	int64_t called_ms;
	int64_t success_ms;
} world_t;

static world_t world;

static void
event_happens(input_t *input)
{
	uint32_t part = input_below(input, PARTS);
	event_record_t *event = &world.events[world.next];

	if (world.next + 1 == EVENTS_MAX)
		return;
	world.state ^= 1U << part;
	*event = (event_record_t){part, (world.state >> part & 1) != 0,
	    input_below(input, 16) == 1, world.state};
	world.next++;
}

static void
endpoint_restart(input_t *input)
{
	world.epoch++;
	world.state = 0;
	world.next = input_below(input, 40);
	memset(world.events, 0, sizeof(world.events));
}

static void
contents_check(uint32_t expected)
{
	uint32_t claimed = 0;

	for (uint32_t i = 0; i < PARTS; i++)
		claimed |= (uint32_t)endpoint_contents_has(&world.contents, i)
		    << i;
	FUZZ_CHECK(claimed == expected);
}

static void
list_respond(void)
{
	contents_change_t held[PARTS];
	contents_report_t list = {world.epoch, world.next, false, held, 0};

	for (uint32_t i = 0; i < PARTS; i++) {
		if ((world.state >> i & 1) != 0)
			held[list.len++] =
			    (contents_change_t){.part = i, .kept = true};
	}
	endpoint_contents_apply_list(&world.contents, &list);
	contents_follow_succeeded(
	    &world.follow, CONTENTS_COMPLETE, list.next, world.now_ms);
	contents_check(world.state);
	world.replayed = world.state;
	world.applied = world.next;
	world.complete = true;
	world.success_ms = world.now_ms;
}

/* The response has no more events than those until @p next, and repeats some
 * that came before. */
static size_t
events_collect(
    input_t *input, uint64_t since, uint64_t next, contents_change_t *changes)
{
	uint64_t first = since - (since > 2 ? input_below(input, 3) : 0);
	size_t len = 0;

	for (uint64_t i = first; i < next; i++) {
		if (world.events[i].withheld)
			continue;
		changes[len++] = (contents_change_t){.number = i,
		    .part = world.events[i].part,
		    .kept = world.events[i].kept};
		if (input_below(input, 8) == 1)
			changes[len] = changes[len - 1], len++;
	}
	if (len > 1 && input_below(input, 4) == 1) {
		contents_change_t swapped = changes[0];

		changes[0] = changes[len - 1];
		changes[len - 1] = swapped;
	}
	return len;
}

/* Parts of the last list that remain after the events that were sent. */
static void
replay(uint64_t next)
{
	for (; world.applied < next; world.applied++) {
		const event_record_t *event = &world.events[world.applied];

		if (event->withheld)
			world.complete = false;
		else if (event->kept)
			world.replayed |= 1U << event->part;
		else
			world.replayed &= ~(1U << event->part);
	}
}

static void
events_respond(input_t *input, uint64_t since)
{
	static contents_change_t changes[2 * EVENTS_KEPT + 8];
	contents_report_t report = {
	    .epoch = world.epoch, .next = world.next, .changes = changes};
	contents_result_t result;
	bool known;

	report.lost = since > world.next || world.next - since > EVENTS_KEPT;
	if (!report.lost) {
		/* The last ones come late. */
		report.next -=
		    input_below(input, (uint32_t)(world.next - since) + 1);
		report.len = events_collect(input, since, report.next, changes);
	}
	known = !report.lost && world.contents.epoch == world.epoch;
	result = endpoint_contents_apply_events(&world.contents, &report);
	contents_follow_succeeded(
	    &world.follow, result, report.next, world.now_ms);
	if (!known) {
		FUZZ_CHECK(result == CONTENTS_LOST);
		contents_check(0);
		FUZZ_CHECK(
		    !contents_follow_is_fresh(&world.follow, world.now_ms));
		return;
	}
	replay(report.next);
	contents_check(world.replayed);
	FUZZ_CHECK((result == CONTENTS_COMPLETE) == world.complete);
	if (world.complete && report.next == world.next)
		FUZZ_CHECK(world.replayed == world.state);
	world.success_ms = world.now_ms;
}

/* Least time between two lists: it doubles with each that fails. */
static int64_t
list_interval_ms(void)
{
	int64_t ms = LIST_INTERVAL_MS;

	for (uint32_t i = 0; i < world.list_failures; i++)
		ms = ms < LIST_INTERVAL_MAX_MS ? 2 * ms : ms;
	return ms;
}

static void
call(input_t *input, const follow_step_t *step)
{
	uint32_t outcome = input_below(input, 8);

	FUZZ_CHECK(world.now_ms >= world.called_ms + CALL_INTERVAL_MS);
	if (step->action == FOLLOW_LIST)
		FUZZ_CHECK(
		    world.now_ms >= world.listed_ms + world.list_wait_ms);
	contents_follow_sent(&world.follow, world.now_ms);
	world.called_ms = world.now_ms;
	world.now_ms += 10 * (int64_t)input_below(input, 128);
	if (outcome == 1 || outcome == 2) {
		contents_follow_failed(&world.follow,
		    outcome == 1 ? FOLLOW_REFUSED : FOLLOW_NO_RESPONSE,
		    world.now_ms, input_below(input, 256));
		if (outcome == 1 && step->action == FOLLOW_LIST)
			return;
	} else if (step->action == FOLLOW_LIST) {
		list_respond();
	} else {
		events_respond(input, step->since);
	}
	if (step->action != FOLLOW_LIST)
		return;
	world.listed_ms = world.called_ms;
	/* A list that fails is repeated after the interval that was in force.
	 */
	world.list_wait_ms =
	    outcome == 2 ? list_interval_ms() : LIST_INTERVAL_MS;
	world.list_failures = outcome == 2 ? world.list_failures + 1 : 0;
}

static void
step(input_t *input)
{
	follow_step_t next;

	world.now_ms += STEP_MS * (int64_t)input_below(input, 8);
	if (input_below(input, 128) == 1)
		endpoint_restart(input);
	for (uint32_t n = input_below(input, 6); n > 0; n--)
		event_happens(input);
	FUZZ_CHECK(!contents_follow_is_fresh(&world.follow, world.now_ms) ||
	    world.now_ms - world.success_ms < FOLLOW_FRESH_MS);
	next = contents_follow_next(&world.follow, world.now_ms);
	FUZZ_CHECK(next.action != FOLLOW_STOP);
	if (next.action != FOLLOW_WAIT) {
		call(input, &next);
		return;
	}
	/* It must not stay idle while no call is in progress. */
	FUZZ_CHECK(next.at_ms > world.now_ms &&
	    next.at_ms <= world.now_ms + LIST_INTERVAL_MAX_MS);
	if (world.list_failures == 0)
		FUZZ_CHECK(next.at_ms <= world.now_ms + LIST_INTERVAL_MS);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	world.epoch = 1;
	world.now_ms = LIST_INTERVAL_MS;
	world.success_ms = -FOLLOW_FRESH_MS;
	endpoint_contents_init(&world.contents);
	contents_follow_init(&world.follow, world.now_ms,
	    FOLLOW_START_SPREAD_MS, input_below(&input, 256));
	for (int i = 0; i < STEPS_MAX && !input_at_end(&input); i++)
		step(&input);
	endpoint_contents_finish(&world.contents);
	return 0;
}
