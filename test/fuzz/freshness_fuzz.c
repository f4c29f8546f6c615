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
#define ASKS 32
#define STEP_MS 50
#define WINDOW_MS 1000
#define OUTAGE_MS 10000000
#define HEARTBEAT_MS 200
#define REVISIONS 64
#define START_MS 1000000
#define ALL ((1u << DAEMONS) - 1)

/** A heartbeat in flight: sent, then responded to, then received. */
typedef struct ask {
	bool used;
	bool answered;
	int from;
	int to;
	peer_evidence_t evidence;
	uint8_t ages[DAEMONS]; /**< what the responder knew of the members */
} ask_t;

typedef struct daemon {
	freshness_t freshness;
	bool store;   /**< it can read the store */
	bool stopped; /**< as by SIGSTOP */
	bool deaf;    /**< it can't fetch the revisions it lacks */
	struct timespec last_heartbeat;
	bool read_open; /**< a read of the head is in flight */
	bool read_done;
	struct timespec read_asked_at;
	uint64_t read_head;
} daemon_t;

typedef struct world {
	daemon_t daemons[DAEMONS];
	bool cut[DAEMONS][DAEMONS];
	ask_t asks[ASKS];
	uint64_t head;
	struct timespec confirmed_at[REVISIONS]; /**< reported "in force" */
	struct timespec now;
} world_t;

static const uint64_t members[DAEMONS] = {1, 2, 3, 4};

static void
learn(world_t *world, int n, uint64_t revision)
{
	if (revision > world->daemons[n].freshness.revision)
		world->daemons[n].freshness.revision = revision;
}

/* Queries some of the others; of the rest the daemon learns indirectly. */
static void
heartbeat(world_t *world, int from, uint32_t asked)
{
	daemon_t *daemon = &world->daemons[from];

	if (daemon->stopped)
		return;
	daemon->last_heartbeat = world->now;
	for (int to = 0; to < DAEMONS; to++) {
		for (int i = 0;
		     i < ASKS && to != from && (asked >> to & 1) != 0; i++) {
			if (world->asks[i].used)
				continue;
			world->asks[i] = (ask_t){.used = true,
			    .from = from,
			    .to = to,
			    .evidence.incarnation = (uint64_t)to + 1,
			    .evidence.queried_at = world->now};
			break;
		}
	}
}

static void
ask_move(world_t *world, ask_t *ask)
{
	daemon_t *other = &world->daemons[ask->to];
	daemon_t *self = &world->daemons[ask->from];

	if (!ask->used || world->cut[ask->from][ask->to])
		return;
	if (!ask->answered) {
		if (other->stopped)
			return;
		ask->answered = true;
		ask->evidence.revision = other->freshness.revision;
		ask->evidence.store_read = other->freshness.store_read;
		ask->evidence.store_read_at = other->freshness.store_read_at;
		freshness_ages_encode(&other->freshness, members, DAEMONS,
		    members[ask->to], world->now, ask->ages);
		if (!other->deaf)
			learn(world, ask->to, self->freshness.revision);
		return;
	}
	if (self->stopped)
		return;
	ask->used = false;
	freshness_peer_responded(&self->freshness, &ask->evidence);
	freshness_ages_merge(&self->freshness, &ask->evidence, members, DAEMONS,
	    members[ask->from], ask->ages);
	if (!other->stopped && !self->deaf)
		learn(world, ask->from, ask->evidence.revision);
}

static void
read_move(world_t *world, int n)
{
	daemon_t *daemon = &world->daemons[n];

	if (!daemon->read_open) {
		if (daemon->stopped)
			return;
		daemon->read_open = true;
		daemon->read_done = false;
		daemon->read_asked_at = world->now;
		return;
	}
	if (!daemon->read_done) {
		if (!daemon->store) {
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
	if (daemon->read_head > daemon->freshness.revision && !daemon->deaf)
		learn(world, n, daemon->read_head);
	freshness_store_read(
	    &daemon->freshness, daemon->read_head, daemon->read_asked_at);
}

/* If half of the members hold it, a daemon that lacks it finds no majority of
 * members that don't hold it. */
static bool
held_by_half(const world_t *world, uint64_t revision)
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

	if (daemon->stopped || !daemon->store || world->head + 1 >= REVISIONS ||
	    daemon->freshness.revision != world->head ||
	    !freshness_half_responded(&daemon->freshness, world->now))
		return;
	world->head++;
	daemon->freshness.revision = world->head;
	heartbeat(world, n, ALL);
}

static void
oracle(world_t *world)
{
	for (uint64_t r = 1; r <= world->head; r++) {
		if (world->confirmed_at[r].tv_sec == 0 &&
		    held_by_half(world, r))
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
everyone_moves(world_t *world, input_t *input)
{
	for (int n = 0; n < DAEMONS; n++) {
		if (timespec_ms_between(world->daemons[n].last_heartbeat,
			world->now) >= HEARTBEAT_MS)
			heartbeat(world, n, input_below(input, ALL + 1));
		read_move(world, n);
	}
	for (int round = 0; round < 2; round++) {
		for (int i = 0; i < ASKS; i++)
			ask_move(world, &world->asks[i]);
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
		ask_move(world, &world->asks[input_below(input, ASKS)]);
		break;
	case 5:
	case 6:
		read_move(world, a);
		break;
	case 7:
		b = (int)input_below(input, DAEMONS);
		world->cut[a][b] = !world->cut[a][b];
		world->cut[b][a] = world->cut[a][b];
		break;
	case 8:
		world->daemons[a].store = !world->daemons[a].store;
		break;
	case 9:
		world->daemons[a].stopped = !world->daemons[a].stopped;
		break;
	case 10:
		confirm(world, a);
		break;
	case 11:
		world->daemons[a].deaf = !world->daemons[a].deaf;
		break;
	default:
		world->now = timespec_add_ms(
		    world->now, STEP_MS * (1 + input_below(input, 8)));
		everyone_moves(world, input);
		break;
	}
	oracle(world);
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
		world.daemons[n].store = true;
		world.daemons[n].last_heartbeat = world.now;
	}
	while (!input_at_end(&input))
		step(&world, &input);
	for (int n = 0; n < DAEMONS; n++)
		freshness_finish(&world.daemons[n].freshness);
	return 0;
}
