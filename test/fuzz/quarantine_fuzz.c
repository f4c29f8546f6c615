/**
 * @file
 * Requests that crash each endpoint they run on, among sound ones, at several
 * daemons that tell each other: crashes, cuts, sound answers, daemons that
 * start again, datagrams that are late and lost.
 *
 * The oracle knows all crashes. A request that crashed three endpoints reaches
 * none more than three times once all had the time to hear of it; a trial is
 * one run at a time; a sound request is refused only if three endpoints crashed
 * while it ran.
 */
#include <string.h>

#include "../support/manual_clock.h"
#include "input.h"
#include "moortack/quarantine/quarantine.h"

#define DAEMONS 4
#define ENDPOINTS 8
#define REQUESTS 6
/* The first ones crash what runs them. */
#define POISONS 2
#define RUNS_MAX 24
#define MESSAGES_MAX 512
#define CRASHES_MAX 256
/* How late a datagram comes, what a daemon that saw a crash waits for the
 * owner, and how old the rows of the store are. */
#define LATE_MS 150
#define AGAIN_MS 200
#define OTHERS_MS 300
#define ROW_MS 2500
#define KNOWN_MS 3000
#define SENDS_MORE 3
#define TRIAL_MS 60000
#define HELD_MOST_MS 900000
#define VERSION 1

typedef enum message_kind {
	TOLD_CRASH,
	TOLD_HELD,
	TOLD_CLEARED
} message_kind_t;

typedef struct message {
	message_kind_t kind;
	size_t to;
	uint64_t digest;
	uint32_t incarnation;
	int64_t at_ms;
	bool lost;
} message_t;

typedef struct crash {
	uint32_t incarnation;
	int64_t at_ms;
} crash_t;

/** What the oracle knows of a request. */
typedef struct truth {
	crash_t crashes[CRASHES_MAX];
	size_t len;
	int64_t third_ms; /**< when it crashed the third one; 0: it has not */
	int64_t sends_more;
	int64_t tried_ms;
	suspect_t row; /**< in the store */
} truth_t;

typedef struct run {
	size_t daemon, request, endpoint;
} run_t;

typedef struct daemon {
	quarantine_t table;
	bool tells[REQUESTS]; /**< a verdict, to all */
} daemon_t;

static struct world {
	manual_clock_t hand;
	daemon_t daemons[DAEMONS];
	uint32_t incarnations[ENDPOINTS];
	uint32_t last_incarnation;
	run_t runs[RUNS_MAX];
	size_t runs_len;
	message_t messages[MESSAGES_MAX];
	size_t messages_len;
	truth_t truths[REQUESTS];
} world;

static int64_t
now_ms(void)
{
	return timespec_to_ms(world.hand.now);
}

static uint64_t
digest_of(size_t request)
{
	return 1000 + request;
}

static size_t
request_of(uint64_t digest)
{
	return (size_t)(digest - 1000);
}

static void
on_held(void *arg, const suspect_t *suspect)
{
	daemon_t *daemon = arg;
	size_t request = request_of(suspect->digest);

	daemon->tells[request] = true;
}

static void
on_released(void *arg, const suspect_t *suspect, quarantine_end_t why)
{
	(void)arg;
	(void)suspect;
	(void)why;
}

static void
on_forgotten(void *arg, const suspect_t *suspect)
{
	(void)arg;
	(void)suspect;
}

static const quarantine_ops_t ops = {on_held, on_released, on_forgotten};

/* Two copies, one of which may get lost. */
static void
tell(input_t *input, size_t from, message_t message)
{
	for (size_t to = 0; to < DAEMONS; to++) {
		uint32_t lost = input_below(input, 3);

		for (uint32_t copy = 0; copy < 2; copy++) {
			message.to = to;
			message.at_ms = now_ms() + copy * AGAIN_MS +
			    input_below(input, LATE_MS);
			if (to != from && lost != copy + 1 &&
			    world.messages_len < MESSAGES_MAX)
				world.messages[world.messages_len++] = message;
		}
	}
}

static void
message_take(const message_t *message)
{
	quarantine_t *table = &world.daemons[message->to].table;
	static const uint32_t crashes[] = {1, 2, 3};

	if (message->kind == TOLD_CRASH)
		quarantine_crash(table, message->digest, message->incarnation,
		    VERSION, false);
	else if (message->kind == TOLD_CLEARED)
		quarantine_clear(table, message->digest);
	else
		quarantine_merge(
		    table, message->digest, crashes, 3, VERSION, 0);
}

static void
messages_deliver(void)
{
	for (size_t i = 0; i < world.messages_len;) {
		message_t message = world.messages[i];

		if (message.at_ms > now_ms()) {
			i++;
			continue;
		}
		world.messages[i] = world.messages[--world.messages_len];
		message_take(&message);
	}
}

static bool
acts(size_t daemon, size_t request, const suspect_t *suspect)
{
	return request % DAEMONS == daemon ||
	    (suspect->witnessed &&
		timespec_ms_between(suspect->crashed_at, world.hand.now) >=
		    OTHERS_MS);
}

/* The owner tells and writes at once, a daemon that saw a crash a little later.
 */
static void
suspect_step(input_t *input, size_t daemon, size_t request)
{
	daemon_t *self = &world.daemons[daemon];
	suspect_t *suspect = quarantine_find(&self->table, digest_of(request));
	suspect_t *row = &world.truths[request].row;

	if (suspect == NULL || !acts(daemon, request, suspect))
		return;
	if (quarantine_is_held(suspect) && self->tells[request])
		tell(input, daemon,
		    (message_t){
			.kind = TOLD_HELD, .digest = digest_of(request)});
	self->tells[request] = false;
	if (suspect->crashes_len >= 2 &&
	    (suspect->crashes_len > row->crashes_len ||
		timespec_ms_between(row->crashed_at, suspect->crashed_at) > 0))
		*row = *suspect;
}

static void
suspects_step(input_t *input)
{
	for (size_t i = 0; i < DAEMONS; i++) {
		for (size_t r = 0; r < REQUESTS; r++)
			suspect_step(input, i, r);
	}
}

static void
time_pass(input_t *input, int64_t ms)
{
	for (int64_t end = now_ms() + ms; now_ms() < end;) {
		int64_t step = end - now_ms() < 50 ? end - now_ms() : 50;

		if (ms > 60000)
			step = end - now_ms() < 10000 ? end - now_ms() : 10000;
		world.hand.now = timespec_add_ms(world.hand.now, step);
		messages_deliver();
		suspects_step(input);
	}
	for (size_t i = 0; i < DAEMONS; i++)
		quarantine_expire(&world.daemons[i].table);
}

static void
crash_note(input_t *input, size_t daemon, size_t request, uint32_t incarnation)
{
	truth_t *truth = &world.truths[request];

	if (truth->len < CRASHES_MAX)
		truth->crashes[truth->len++] = (crash_t){incarnation, now_ms()};
	if (quarantine_crash(&world.daemons[daemon].table, digest_of(request),
		incarnation, VERSION, true))
		tell(input, daemon,
		    (message_t){.kind = TOLD_CRASH,
			.digest = digest_of(request),
			.incarnation = incarnation});
}

/* It ends with all that runs there, and another one takes its place. */
static void
endpoint_crash(input_t *input, size_t endpoint)
{
	uint32_t incarnation = world.incarnations[endpoint];

	for (size_t i = 0; i < world.runs_len;) {
		run_t run = world.runs[i];

		if (run.endpoint != endpoint) {
			i++;
			continue;
		}
		world.runs[i] = world.runs[--world.runs_len];
		crash_note(input, run.daemon, run.request, incarnation);
	}
	world.incarnations[endpoint] = ++world.last_incarnation;
}

/* Endpoints that crashed while it ran, in the time for which one counts. */
static size_t
implicated(size_t request)
{
	const truth_t *truth = &world.truths[request];
	size_t count = 0;

	for (size_t i = 0; i < truth->len; i++) {
		bool again = false;

		for (size_t j = 0; j < i; j++)
			again |= truth->crashes[j].incarnation ==
			    truth->crashes[i].incarnation;
		count += !again &&
		    now_ms() - truth->crashes[i].at_ms <= 2 * HELD_MOST_MS;
	}
	return count;
}

static void
send_count(size_t request, bool trial)
{
	truth_t *truth = &world.truths[request];

	if (request >= POISONS || truth->len == 0)
		return;
	/* A verdict that has expired is renewed by the next crash. */
	if (now_ms() - truth->crashes[truth->len - 1].at_ms >= HELD_MOST_MS)
		truth->sends_more = 0;
	if (trial) {
		FUZZ_CHECK(truth->tried_ms == 0 ||
		    now_ms() - truth->tried_ms >= TRIAL_MS);
		truth->tried_ms = now_ms();
		truth->third_ms = 0;
		truth->sends_more = 0;
	} else if (truth->third_ms != 0 &&
	    now_ms() > truth->third_ms + KNOWN_MS) {
		FUZZ_CHECK(++truth->sends_more <= SENDS_MORE);
	}
}

static void
poison_run(input_t *input, size_t daemon, size_t request, size_t endpoint)
{
	truth_t *truth = &world.truths[request];

	world.runs[world.runs_len++] = (run_t){daemon, request, endpoint};
	endpoint_crash(input, endpoint);
	if (truth->third_ms == 0 && implicated(request) >= QUARANTINE_CRASHES)
		truth->third_ms = now_ms();
}

static void
arrive(input_t *input)
{
	size_t daemon = input_below(input, DAEMONS);
	size_t request = input_below(input, REQUESTS);
	size_t endpoint = input_below(input, ENDPOINTS);
	quarantine_t *table = &world.daemons[daemon].table;
	bool held =
	    quarantine_is_held(quarantine_find(table, digest_of(request)));

	if (world.runs_len >= RUNS_MAX - 1)
		return;
	if (!quarantine_admits(
		table, digest_of(request), request % DAEMONS == daemon)) {
		FUZZ_CHECK(request < POISONS ||
		    implicated(request) >= QUARANTINE_CRASHES);
		return;
	}
	send_count(request, held);
	if (request >= POISONS) {
		world.runs[world.runs_len++] =
		    (run_t){daemon, request, endpoint};
		return;
	}
	poison_run(input, daemon, request, endpoint);
	/* Sent once more, as long as two crashes do not speak against it. */
	if (quarantine_crashes(table, digest_of(request)) < 2) {
		send_count(request, false);
		poison_run(input, daemon, request, (endpoint + 1) % ENDPOINTS);
	}
}

static void
run_end(input_t *input, bool whole)
{
	size_t at;
	run_t run;

	if (world.runs_len == 0)
		return;
	at = input_below(input, (uint32_t)world.runs_len);
	run = world.runs[at];
	world.runs[at] = world.runs[--world.runs_len];
	if (whole &&
	    quarantine_clear(
		&world.daemons[run.daemon].table, digest_of(run.request)))
		tell(input, run.daemon,
		    (message_t){.kind = TOLD_CLEARED,
			.digest = digest_of(run.request)});
}

/* It knows nothing but what the store has. */
static void
daemon_restart(size_t daemon)
{
	quarantine_t *table = &world.daemons[daemon].table;

	quarantine_finish(table);
	world.daemons[daemon] = (daemon_t){0};
	quarantine_init(
	    table, &world.hand.source, &ops, &world.daemons[daemon]);
	for (size_t i = 0; i < world.runs_len;) {
		if (world.runs[i].daemon == daemon)
			world.runs[i] = world.runs[--world.runs_len];
		else
			i++;
	}
	for (size_t r = 0; r < REQUESTS; r++) {
		const suspect_t *row = &world.truths[r].row;

		if (row->crashes_len > 0)
			quarantine_merge(table, digest_of(r), row->crashes,
			    row->crashes_len, VERSION,
			    timespec_ms_between(
				row->crashed_at, world.hand.now));
	}
}

static void
check(void)
{
	for (size_t i = 0; i < DAEMONS; i++) {
		const quarantine_t *table = &world.daemons[i].table;
		size_t held = 0;

		for (const suspect_t *one = table->suspects; one != NULL;
		     one = one->hh.next)
			held += quarantine_is_held(one);
		FUZZ_CHECK(held == table->held);
	}
}

static void
step(input_t *input)
{
	switch (input_below(input, 8)) {
	case 0:
		time_pass(input, 20 + input_below(input, 250) * 20);
		break;
	case 1:
		run_end(input, true);
		break;
	case 2:
		run_end(input, false);
		break;
	case 3:
		endpoint_crash(input, input_below(input, ENDPOINTS));
		break;
	case 4:
		/* After others had the time to hear what it saw. */
		time_pass(input, AGAIN_MS + LATE_MS + OTHERS_MS + ROW_MS);
		daemon_restart(input_below(input, DAEMONS));
		break;
	case 5:
		if (input_below(input, 16) == 0)
			time_pass(input, 620000);
		break;
	default:
		arrive(input);
	}
	check();
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	world.hand = (manual_clock_t){{&manual_clock_ops}, {1000, 0}};
	for (size_t i = 0; i < ENDPOINTS; i++)
		world.incarnations[i] = ++world.last_incarnation + 10;
	world.last_incarnation += 10;
	for (size_t i = 0; i < DAEMONS; i++)
		quarantine_init(&world.daemons[i].table, &world.hand.source,
		    &ops, &world.daemons[i]);
	while (!input_at_end(&input))
		step(&input);
	for (size_t i = 0; i < DAEMONS; i++)
		quarantine_finish(&world.daemons[i].table);
	return 0;
}
