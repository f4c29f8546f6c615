/**
 * @file
 * Stateful fuzzing of freshness: connections between daemons fail, the store is
 * unavailable to some of them, processes are stopped while heartbeats and reads
 * are in flight, and plans are confirmed by any daemon that gets responses from
 * half of the members.
 *
 * The oracle uses a single clock: later than the window and two heartbeats
 * after the response to a confirmation (once half of the members hold the
 * revision), no daemon without this revision accepts work.
 */
#include <string.h>

#include "input.h"
#include "moortack/member/freshness.h"

#define DAEMONS 4
#define QUERIES 32
#define STEP_MS 50
#define WINDOW_MS 1000
#define OUTAGE_MS 10000000
#define HEARTBEAT_MS 200
#define REVISIONS 64
#define START_MS 1000000
#define ALL ((1u << DAEMONS) - 1)

/** A heartbeat in flight: sent, then responded to, then received. */
typedef struct query {
	bool used;
	bool responded;
	int from;
	int to;
	peer_evidence_t evidence;
	uint8_t ages[DAEMONS]; /**< what the responder knew of the members */
} query_t;

typedef struct daemon {
	freshness_t freshness;
	bool store_reachable; /**< it can read the store */
	bool stopped;	      /**< as by SIGSTOP */
	bool fetch_fails;     /**< it can't fetch the revisions it lacks */
	struct timespec last_heartbeat;
	bool read_open; /**< a read of the head is in flight */
	bool read_done;
	struct timespec read_requested_at;
	uint64_t read_head;
} daemon_t;

typedef struct world {
	daemon_t daemons[DAEMONS];
	bool link_down[DAEMONS][DAEMONS];
	query_t queries[QUERIES];
	uint64_t head;
	struct timespec confirmed_at[REVISIONS]; /**< reported "in force" */
	struct timespec now;
} world_t;

static const uint64_t members[DAEMONS] = {1, 2, 3, 4};

static void
revision_apply(world_t *world, int n, uint64_t revision)
{
	if (revision > world->daemons[n].freshness.revision)
		world->daemons[n].freshness.revision = revision;
}

/* Queries some of the others; of the rest the daemon learns indirectly. */
static void
heartbeat(world_t *world, int from, uint32_t targets)
{
	daemon_t *daemon = &world->daemons[from];

	if (daemon->stopped)
		return;
	daemon->last_heartbeat = world->now;
	for (int to = 0; to < DAEMONS; to++) {
		for (int i = 0;
		     i < QUERIES && to != from && (targets >> to & 1) != 0;
		     i++) {
			if (world->queries[i].used)
				continue;
			world->queries[i] = (query_t){.used = true,
			    .from = from,
			    .to = to,
			    .evidence.incarnation = (uint64_t)to + 1,
			    .evidence.queried_at = world->now};
			break;
		}
	}
}

static void
query_advance(world_t *world, query_t *query)
{
	daemon_t *responder = &world->daemons[query->to];
	daemon_t *sender = &world->daemons[query->from];

	if (!query->used || world->link_down[query->from][query->to])
		return;
	if (!query->responded) {
		if (responder->stopped)
			return;
		query->responded = true;
		query->evidence.revision = responder->freshness.revision;
		query->evidence.store_read = responder->freshness.store_read;
		query->evidence.store_read_at =
		    responder->freshness.store_read_at;
		freshness_ages_encode(&responder->freshness, members, DAEMONS,
		    members[query->to], world->now, query->ages);
		if (!responder->fetch_fails)
			revision_apply(
			    world, query->to, sender->freshness.revision);
		return;
	}
	if (sender->stopped)
		return;
	query->used = false;
	freshness_peer_responded(&sender->freshness, &query->evidence);
	freshness_ages_merge(&sender->freshness, &query->evidence, members,
	    DAEMONS, members[query->from], query->ages);
	if (!responder->stopped && !sender->fetch_fails)
		revision_apply(world, query->from, query->evidence.revision);
}

static void
read_advance(world_t *world, int n)
{
	daemon_t *daemon = &world->daemons[n];

	if (!daemon->read_open) {
		if (daemon->stopped)
			return;
		daemon->read_open = true;
		daemon->read_done = false;
		daemon->read_requested_at = world->now;
		return;
	}
	if (!daemon->read_done) {
		if (!daemon->store_reachable) {
			daemon->read_open = false;
			return;
		}
		daemon->read_done = true;
		daemon->read_head = world->head;
		return;
	}
	if (daemon->stopped)
		return;
	daemon->read_open = false;
	if (daemon->read_head > daemon->freshness.revision &&
	    !daemon->fetch_fails)
		revision_apply(world, n, daemon->read_head);
	freshness_store_read(
	    &daemon->freshness, daemon->read_head, daemon->read_requested_at);
}

/* If half of the members hold it, a daemon that lacks it finds no majority of
 * members that don't hold it. */
static bool
half_hold(const world_t *world, uint64_t revision)
{
	int count = 0;

	for (int n = 0; n < DAEMONS; n++)
		count += world->daemons[n].freshness.revision >= revision;
	return 2 * count >= DAEMONS;
}

static void
confirm(world_t *world, int n)
{
	daemon_t *daemon = &world->daemons[n];

	if (daemon->stopped || !daemon->store_reachable ||
	    world->head + 1 >= REVISIONS ||
	    daemon->freshness.revision != world->head ||
	    !freshness_half_responded(&daemon->freshness, world->now))
		return;
	world->head++;
	daemon->freshness.revision = world->head;
	heartbeat(world, n, ALL);
}

static void
freshness_check(world_t *world)
{
	for (uint64_t r = 1; r <= world->head; r++) {
		if (world->confirmed_at[r].tv_sec == 0 && half_hold(world, r))
			world->confirmed_at[r] = world->now;
	}
	for (int n = 0; n < DAEMONS; n++) {
		const daemon_t *daemon = &world->daemons[n];
		uint64_t next = daemon->freshness.revision + 1;
		int64_t since;

		if (next > world->head || world->confirmed_at[next].tv_sec == 0)
			continue;
		since =
		    timespec_ms_between(world->confirmed_at[next], world->now);
		if (since <= WINDOW_MS + 2 * HEARTBEAT_MS)
			continue;
		FUZZ_CHECK(timespec_ms_between(world->now,
			       freshness_expires_at(&daemon->freshness)) <= 0);
	}
}

/* Running daemons send heartbeats and read the store on their own; the other
 * decisions of the input happen in between. */
static void
daemons_advance(world_t *world, input_t *input)
{
	for (int n = 0; n < DAEMONS; n++) {
		if (timespec_ms_between(world->daemons[n].last_heartbeat,
			world->now) >= HEARTBEAT_MS)
			heartbeat(world, n, input_below(input, ALL + 1));
		read_advance(world, n);
	}
	for (int round = 0; round < 2; round++) {
		for (int i = 0; i < QUERIES; i++)
			query_advance(world, &world->queries[i]);
	}
}

static void
step(world_t *world, input_t *input)
{
	int a = (int)input_below(input, DAEMONS);
	int b;

	switch (input_below(input, 16)) {
	case 0:
		heartbeat(world, a, ALL);
		break;
	case 1:
	case 2:
	case 3:
	case 4:
		query_advance(
		    world, &world->queries[input_below(input, QUERIES)]);
		break;
	case 5:
	case 6:
		read_advance(world, a);
		break;
	case 7:
		b = (int)input_below(input, DAEMONS);
		world->link_down[a][b] = !world->link_down[a][b];
		world->link_down[b][a] = world->link_down[a][b];
		break;
	case 8:
		world->daemons[a].store_reachable =
		    !world->daemons[a].store_reachable;
		break;
	case 9:
		world->daemons[a].stopped = !world->daemons[a].stopped;
		break;
	case 10:
		confirm(world, a);
		break;
	case 11:
		world->daemons[a].fetch_fails = !world->daemons[a].fetch_fails;
		break;
	default:
		world->now = timespec_add_ms(
		    world->now, STEP_MS * (1 + input_below(input, 8)));
		daemons_advance(world, input);
		break;
	}
	freshness_check(world);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	static world_t world;
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	world.now = timespec_from_ms(START_MS);
	for (int n = 0; n < DAEMONS; n++) {
		freshness_init(
		    &world.daemons[n].freshness, WINDOW_MS, OUTAGE_MS);
		world.daemons[n].freshness.member_count = DAEMONS;
		world.daemons[n].store_reachable = true;
		world.daemons[n].last_heartbeat = world.now;
	}
	while (!input_at_end(&input))
		step(&world, &input);
	for (int n = 0; n < DAEMONS; n++)
		freshness_finish(&world.daemons[n].freshness);
	return 0;
}
