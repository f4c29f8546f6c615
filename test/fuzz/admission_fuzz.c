/**
 * @file
 * Any sequence of requests, load reports, clock steps and calls of the wait
 * queue of one daemon. The oracle knows which requests wait. It checks that
 * none is lost or sent twice, that they are sent by rank and least slack, that
 * all is sent if the load is unknown, and that what is sent to a crowded
 * service stays within the rate and a burst.
 */
#include <math.h>
#include <string.h>

#include "input.h"
#include "moortack/scheduling/wait_queue.h"

#define ENTRIES 24
#define QUEUE_MAX 16
#define ORGANISATIONS 5
#define RANKS 3
#define OBJECTIVE_MS 300
#define CROWDED_WAIT_MS 200
#define KNOWN_MS 1000
#define COST_MAX_MS 180.0
#define RETRY_AFTER_MAX_MS 30000
/* Each rank has a minimum of 5 %. */
#define FLOORS (0.05 * RANKS)

static struct world {
	service_admission_t admission;
	wait_queue_t queue;
	wait_entry_t entries[ENTRIES];
	bool waits[ENTRIES];
	uint32_t waiting;
	int64_t passed_ms; /**< to the functions; may go back */
	int64_t now_ms;	   /**< the latest of them */
	int64_t observed_ms;
	double share;	     /**< in ms a second */
	int64_t crowded_ms;  /**< since when, with a wait above the target ever
				since;  negative: not */
	double sent_crowded; /**< cost since then */
} world;

static void
clock_step(int64_t step_ms)
{
	world.passed_ms += step_ms;
	if (world.passed_ms > world.now_ms)
		world.now_ms = world.passed_ms;
	/* So that it has seen the same latest time. */
	service_admission_observe_service_ms(
	    &world.admission, COST_MAX_MS, world.passed_ms);
}

static bool
load_is_known(void)
{
	return world.observed_ms >= 0 &&
	    world.now_ms - world.observed_ms <= KNOWN_MS;
}

/* Bound of the requests beyond the rate: the debt of the pool, the last request
 * of the pool and of each rank's minimum, and a probe each second. */
static double
burst_max(double seconds)
{
	double pool = 2 * COST_MAX_MS + 2 * sqrt(world.share * COST_MAX_MS);

	return 2 * pool + COST_MAX_MS * (RANKS + 2 + seconds);
}

static void
crowded_follow(void)
{
	bool crowded = load_is_known() &&
	    service_admission_is_crowded(&world.admission, world.passed_ms);

	if (!crowded)
		world.crowded_ms = -1;
}

static void
sent_note(const admission_request_t *request)
{
	double seconds;

	crowded_follow();
	if (world.crowded_ms < 0)
		return;
	world.sent_crowded += request->cost_ms;
	seconds = (double)(world.now_ms - world.crowded_ms) / 1000;
	FUZZ_CHECK(world.sent_crowded <=
	    (1 + FLOORS) * world.share * seconds + burst_max(seconds));
}

static void
observe(input_t *input)
{
	static const double waits_ms[] = {0, 20, CROWDED_WAIT_MS, 1e12};
	double wait_ms = waits_ms[input_below(input, 4)];
	double busy = wait_ms > 0 ? 1 : input_below(input, 5) / 4.0;
	bool crowded_before =
	    service_admission_is_crowded(&world.admission, world.passed_ms);
	bool crowded;

	service_admission_observe(
	    &world.admission, wait_ms, busy, world.passed_ms);
	world.observed_ms = world.now_ms;
	crowded =
	    service_admission_is_crowded(&world.admission, world.passed_ms);
	if (!crowded || wait_ms < CROWDED_WAIT_MS) {
		world.crowded_ms = -1;
	} else if (!crowded_before) {
		world.crowded_ms = world.now_ms;
		world.sent_crowded = 0;
	}
}

static void
request_decide(input_t *input)
{
	static const double costs_ms[] = {20, 60, COST_MAX_MS};
	size_t i = input_below(input, ENTRIES);
	wait_entry_t *entry = &world.entries[i];
	admission_decision_t decision;

	if (world.waits[i])
		return;
	*entry = (wait_entry_t){
	    .request = {.organisation = input_below(input, ORGANISATIONS),
		.rank = (int)input_below(input, RANKS),
		.objective_ms = OBJECTIVE_MS}};
	entry->request.cost_ms = costs_ms[entry->request.organisation % 3];
	entry->request.latest_start_ms =
	    world.passed_ms + 10 * (int64_t)input_below(input, 200) - 100;
	decision = service_admission_decide(
	    &world.admission, &entry->request, world.passed_ms);
	if (decision.verdict == ADMISSION_SEND) {
		sent_note(&entry->request);
		return;
	}
	FUZZ_CHECK(load_is_known());
	FUZZ_CHECK(decision.retry_after_ms >= 1 &&
	    decision.retry_after_ms <= RETRY_AFTER_MAX_MS);
	if (decision.verdict == ADMISSION_REFUSE)
		return;
	FUZZ_CHECK(
	    admission_request_give_up_ms(&entry->request) >= world.now_ms);
	FUZZ_CHECK(wait_queue_add(&world.queue, entry, world.passed_ms) ==
	    (world.waiting < QUEUE_MAX));
	if (world.waiting >= QUEUE_MAX)
		return;
	world.waits[i] = true;
	world.waiting++;
}

static void
entry_gone(const wait_entry_t *entry)
{
	size_t i = (size_t)(entry - world.entries);

	FUZZ_CHECK(i < ENTRIES && world.waits[i]);
	world.waits[i] = false;
	world.waiting--;
}

static bool
comes_before(const admission_request_t *a, const admission_request_t *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
	return a->latest_start_ms < b->latest_start_ms;
}

/* Without control the order is that of all that wait; else an organisation
 * without credit is passed over. */
static void
order_check(const admission_request_t *popped, bool crowded)
{
	for (size_t i = 0; i < ENTRIES; i++) {
		const admission_request_t *other = &world.entries[i].request;

		if (!world.waits[i] ||
		    (crowded &&
			(other->organisation != popped->organisation ||
			    other->rank != popped->rank)))
			continue;
		FUZZ_CHECK(!comes_before(other, popped));
	}
}

static void
queue_pop(void)
{
	bool known = load_is_known();
	wait_entry_t *entry = wait_queue_pop(&world.queue, world.passed_ms);

	FUZZ_CHECK(known || entry != NULL || world.waiting == 0);
	if (entry == NULL)
		return;
	entry_gone(entry);
	order_check(&entry->request,
	    service_admission_is_crowded(&world.admission, world.passed_ms));
	sent_note(&entry->request);
}

static void
queue_pop_late(void)
{
	wait_entry_t *entry;

	while ((entry = wait_queue_pop_late(&world.queue, world.passed_ms)) !=
	    NULL) {
		entry_gone(entry);
		FUZZ_CHECK(admission_request_give_up_ms(&entry->request) <
		    world.passed_ms);
	}
	for (size_t i = 0; i < ENTRIES; i++)
		FUZZ_CHECK(!world.waits[i] ||
		    admission_request_give_up_ms(&world.entries[i].request) >=
			world.passed_ms);
}

static void
queue_remove(size_t i)
{
	wait_queue_remove(&world.queue, &world.entries[i]);
	if (world.waits[i])
		entry_gone(&world.entries[i]);
}

static void
step(input_t *input)
{
	switch (input_below(input, 12)) {
	case 0:
		clock_step(10 * (int64_t)input_below(input, 256));
		break;
	case 1:
		clock_step(input_below(input, 16) == 0
			? (int64_t)1 << 36
			: -(int64_t)input_below(input, 256));
		break;
	case 2:
	case 3:
		observe(input);
		break;
	case 4:
		service_admission_observe_refusal(
		    &world.admission, world.passed_ms);
		world.observed_ms = world.now_ms;
		break;
	case 5:
		queue_pop();
		break;
	case 6:
		queue_pop_late();
		break;
	case 7:
		queue_remove(input_below(input, ENTRIES));
		break;
	default:
		clock_step(input_below(input, 20));
		request_decide(input);
		break;
	}
	crowded_follow();
	FUZZ_CHECK(world.queue.count == world.waiting);
	FUZZ_CHECK((wait_queue_next_ms(&world.queue, world.passed_ms) ==
		       INT64_MAX) == (world.waiting == 0));
	FUZZ_CHECK(isfinite(world.admission.pool_ms));
	FUZZ_CHECK(world.waiting > 0 || world.admission.waiting_ms <= 0);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};
	uint32_t daemons = 1 + input_below(&input, 64);
	wait_entry_t *entry;

	memset(&world, 0, sizeof(world));
	world.now_ms = world.passed_ms = 1000000;
	world.observed_ms = world.crowded_ms = -1;
	world.share = 18000.0 / daemons;
	service_admission_init(&world.admission);
	service_admission_set_capacity(&world.admission, 18000, daemons);
	wait_queue_init(&world.queue, &world.admission, QUEUE_MAX);
	clock_step(0);
	while (!input_at_end(&input))
		step(&input);
	while ((entry = wait_queue_pop_any(&world.queue)) != NULL)
		entry_gone(entry);
	FUZZ_CHECK(world.waiting == 0);
	service_admission_finish(&world.admission);
	return 0;
}
