/**
 * @file
 * Several daemons run requests, some of which crash each endpoint that they run
 * on, and exchange messages about crashes. Endpoints crash, connections are
 * lost, requests complete, daemons restart, and datagrams are delayed and lost.
 *
 * The oracle knows all crashes. It checks that a request that crashed three
 * endpoints is sent no more than three times once all daemons had the time to
 * learn of it, that only one trial runs at a time, and that a request that
 * crashes nothing is refused only if three endpoints crashed while it ran, the
 * last one less than the expiry of a quarantine ago.
 */
#include <string.h>

#include "../support/manual_clock.h"
#include "input.h"
#include "moortack/quarantine/quarantine.h"

#define DAEMONS 4
#define ENDPOINTS 8
#define REQUESTS 6
/* The first ones crash each endpoint that they run on. */
#define CRASHING_REQUESTS 2
#define RUNS_MAX 24
#define MESSAGES_MAX 512
#define CRASHES_MAX 256
/* Delay of a datagram. */
#define DELAY_MAX_MS 150
/* Time until a message is sent once more. */
#define RESEND_MS 200
/* How long a daemon that detected a crash waits for the owner of the digest. */
#define NON_OWNER_MS 300
/* Maximum age of rows read from the store. */
#define ROW_PROPAGATION_MS 2500
/* Time within which all daemons learn of a quarantine. */
#define PROPAGATION_MS 3000
/* Sends of a request that crashed three endpoints, after this time. */
#define SENDS_AFTER_MAX 3
#define TRIAL_TIMEOUT_MS 60000
#define QUARANTINE_EXPIRY_MS 900000
/* A crash counts together with the next one only within this time. */
#define SUSPECT_EXPIRY_MS 3600000
/* Step of a long wait, in which messages can be that much late. */
#define LONG_STEP_MS 10000
#define VERSION 1

typedef enum message_kind {
	MESSAGE_CRASH,
	MESSAGE_QUARANTINED,
	MESSAGE_CLEARED
} message_kind_t;

typedef struct message {
	message_kind_t kind;
	size_t to;
	uint64_t digest;
	uint32_t incarnation; /**< of a crash */
	/* Of a quarantine. */
	uint32_t crashes[QUARANTINE_CRASH_THRESHOLD];
	int64_t quarantined_ms; /**< its age when the message was sent */
	int64_t at_ms;
} message_t;

typedef struct crash {
	uint32_t incarnation;
	int64_t at_ms;
} crash_t;

/** What the oracle knows of a request. */
typedef struct oracle {
	crash_t crashes[CRASHES_MAX];
	size_t len;
	int64_t third_crash_ms; /**< 0: fewer crashes, or a trial ran since */
	int64_t sends_after;	/**< once all daemons knew of the quarantine */
	int64_t renewed_ms;	/**< first send after the quarantine expired */
	size_t renewal_sends; /**< from then on, until all daemons knew of it */
	int64_t trial_ms;     /**< time of the last trial; 0: none */
	suspect_t row;	      /**< in the store */
} oracle_t;

typedef struct run {
	size_t daemon, request, endpoint;
} run_t;

typedef struct daemon {
	quarantine_t table;
	bool announcement_due[REQUESTS]; /**< of a quarantine, to all daemons */
} daemon_t;

static struct world {
	manual_clock_t clock;
	daemon_t daemons[DAEMONS];
	uint32_t incarnations[ENDPOINTS];
	uint32_t last_incarnation;
	run_t runs[RUNS_MAX];
	size_t runs_len;
	message_t messages[MESSAGES_MAX];
	size_t messages_len;
	oracle_t oracles[REQUESTS];
} world;

static int64_t
now_ms(void)
{
	return timespec_to_ms(world.clock.now);
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
on_quarantined(void *arg, const suspect_t *suspect)
{
	daemon_t *daemon = arg;
	size_t request = request_of(suspect->digest);

	daemon->announcement_due[request] = true;
}

static void
on_released(void *arg, const suspect_t *suspect, quarantine_end_reason_t reason)
{
	(void)arg;
	(void)suspect;
	(void)reason;
}

static void
on_removed(void *arg, const suspect_t *suspect)
{
	(void)arg;
	(void)suspect;
}

static const quarantine_ops_t ops = {on_quarantined, on_released, on_removed};

/* Send two copies to each daemon; one of them may get lost. */
static void
broadcast(input_t *input, size_t from, message_t message)
{
	for (size_t to = 0; to < DAEMONS; to++) {
		uint32_t lost = input_below(input, 3);

		for (uint32_t copy = 0; copy < 2; copy++) {
			message.to = to;
			message.at_ms = now_ms() + copy * RESEND_MS +
			    input_below(input, DELAY_MAX_MS);
			if (to != from && lost != copy + 1 &&
			    world.messages_len < MESSAGES_MAX)
				world.messages[world.messages_len++] = message;
		}
	}
}

static void
message_apply(const message_t *message)
{
	daemon_t *daemon = &world.daemons[message->to];

	if (message->kind == MESSAGE_CRASH) {
		quarantine_record_crash(&daemon->table, message->digest,
		    message->incarnation, VERSION, 0, false);
	} else if (message->kind == MESSAGE_CLEARED) {
		quarantine_clear(&daemon->table, message->digest);
	} else {
		quarantine_merge(&daemon->table, message->digest,
		    message->crashes, QUARANTINE_CRASH_THRESHOLD, VERSION,
		    message->quarantined_ms);
		daemon->announcement_due[request_of(message->digest)] = false;
	}
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
		message_apply(&message);
	}
}

static bool
should_act(size_t daemon, size_t request, const suspect_t *suspect)
{
	return request % DAEMONS == daemon ||
	    (suspect->observed_locally &&
		timespec_ms_between(suspect->last_crash_at, world.clock.now) >=
		    NON_OWNER_MS);
}

static void
quarantine_broadcast(input_t *input, size_t from, const suspect_t *suspect)
{
	message_t message = {.kind = MESSAGE_QUARANTINED,
	    .digest = suspect->digest,
	    .quarantined_ms =
		timespec_ms_between(suspect->quarantined_at, world.clock.now)};

	memcpy(message.crashes, suspect->crashes, sizeof(message.crashes));
	broadcast(input, from, message);
}

/* The owner announces and writes at once, a daemon that detected a crash a
 * little later. */
static void
suspect_step(input_t *input, size_t daemon, size_t request)
{
	daemon_t *self = &world.daemons[daemon];
	suspect_t *suspect = quarantine_find(&self->table, digest_of(request));
	suspect_t *row = &world.oracles[request].row;

	if (suspect == NULL || !should_act(daemon, request, suspect))
		return;
	if (suspect_is_quarantined(suspect) && self->announcement_due[request])
		quarantine_broadcast(input, daemon, suspect);
	self->announcement_due[request] = false;
	if (suspect->crashes_len >= 2 &&
	    (suspect->crashes_len > row->crashes_len ||
		timespec_ms_between(
		    row->last_crash_at, suspect->last_crash_at) > 0))
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
			step = end - now_ms() < LONG_STEP_MS ? end - now_ms()
							     : LONG_STEP_MS;
		world.clock.now = timespec_add_ms(world.clock.now, step);
		messages_deliver();
		suspects_step(input);
	}
	for (size_t i = 0; i < DAEMONS; i++)
		quarantine_expire(&world.daemons[i].table);
}

static void
crash_note(input_t *input, size_t daemon, size_t request, uint32_t incarnation)
{
	oracle_t *oracle = &world.oracles[request];

	if (oracle->len < CRASHES_MAX)
		oracle->crashes[oracle->len++] =
		    (crash_t){incarnation, now_ms()};
	if (quarantine_record_crash(&world.daemons[daemon].table,
		digest_of(request), incarnation, VERSION, 0, true))
		broadcast(input, daemon,
		    (message_t){.kind = MESSAGE_CRASH,
			.digest = digest_of(request),
			.incarnation = incarnation});
}

/* The endpoint crashes with all requests that run there, and a new incarnation
 * starts. */
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

/* Number of incarnations that crashed while the request ran, in a time in which
 * crashes count in any case. */
static size_t
recent_crash_count(size_t request)
{
	const oracle_t *oracle = &world.oracles[request];
	size_t count = 0;

	for (size_t i = 0; i < oracle->len; i++) {
		bool duplicate = false;

		for (size_t j = 0; j < i; j++)
			duplicate |= oracle->crashes[j].incarnation ==
			    oracle->crashes[i].incarnation;
		count += !duplicate &&
		    now_ms() - oracle->crashes[i].at_ms <=
			2 * QUARANTINE_EXPIRY_MS;
	}
	return count;
}

/* Number of incarnations that crashed while the request ran, each within
 * SUSPECT_EXPIRY_MS before the next one, the last one recently enough for a
 * quarantine to be in force. */
static size_t
related_crash_count(size_t request)
{
	const oracle_t *oracle = &world.oracles[request];
	int64_t later_ms = now_ms();
	int64_t bound_ms = QUARANTINE_EXPIRY_MS + LONG_STEP_MS;
	size_t count = 0;

	for (size_t i = oracle->len; i > 0; i--) {
		const crash_t *crash = &oracle->crashes[i - 1];
		bool duplicate = false;

		if (later_ms - crash->at_ms >= bound_ms)
			break;
		for (size_t j = i; j < oracle->len; j++)
			duplicate |= oracle->crashes[j].incarnation ==
			    crash->incarnation;
		count += !duplicate;
		later_ms = crash->at_ms;
		bound_ms = SUSPECT_EXPIRY_MS + LONG_STEP_MS;
	}
	return count;
}

static void
send_check(size_t request, bool trial)
{
	oracle_t *oracle = &world.oracles[request];
	int64_t since_crash_ms;

	if (request >= CRASHING_REQUESTS || oracle->len == 0)
		return;
	since_crash_ms = now_ms() - oracle->crashes[oracle->len - 1].at_ms;
	/* An expired quarantine is renewed by the next crash. Until all daemons
	 * know of that crash, each may send the request once. Nothing is left
	 * of a suspicion that has expired as well. */
	if (since_crash_ms >= QUARANTINE_EXPIRY_MS) {
		oracle->sends_after = 0;
		oracle->renewal_sends = 0;
		oracle->renewed_ms = now_ms();
	}
	if (since_crash_ms >= SUSPECT_EXPIRY_MS) {
		oracle->third_crash_ms = 0;
		oracle->renewed_ms = 0;
	}
	if (trial) {
		FUZZ_CHECK(oracle->trial_ms == 0 ||
		    now_ms() - oracle->trial_ms >= TRIAL_TIMEOUT_MS);
		oracle->trial_ms = now_ms();
		oracle->third_crash_ms = 0;
		oracle->sends_after = 0;
	} else if (oracle->third_crash_ms != 0 &&
	    now_ms() <= oracle->renewed_ms + PROPAGATION_MS) {
		FUZZ_CHECK(++oracle->renewal_sends <= DAEMONS);
	} else if (oracle->third_crash_ms != 0 &&
	    now_ms() > oracle->third_crash_ms + PROPAGATION_MS) {
		FUZZ_CHECK(++oracle->sends_after <= SENDS_AFTER_MAX);
	}
}

static void
crashing_run(input_t *input, size_t daemon, size_t request, size_t endpoint)
{
	oracle_t *oracle = &world.oracles[request];

	world.runs[world.runs_len++] = (run_t){daemon, request, endpoint};
	endpoint_crash(input, endpoint);
	if (oracle->third_crash_ms == 0 &&
	    recent_crash_count(request) >= QUARANTINE_CRASH_THRESHOLD)
		oracle->third_crash_ms = now_ms();
}

static void
request_arrive(input_t *input)
{
	size_t daemon = input_below(input, DAEMONS);
	size_t request = input_below(input, REQUESTS);
	size_t endpoint = input_below(input, ENDPOINTS);
	quarantine_t *table = &world.daemons[daemon].table;
	bool quarantined =
	    suspect_is_quarantined(quarantine_find(table, digest_of(request)));

	if (world.runs_len >= RUNS_MAX - 1)
		return;
	if (!quarantine_admit(
		table, digest_of(request), request % DAEMONS == daemon)) {
		FUZZ_CHECK(request < CRASHING_REQUESTS ||
		    related_crash_count(request) >= QUARANTINE_CRASH_THRESHOLD);
		return;
	}
	send_check(request, quarantined);
	if (request >= CRASHING_REQUESTS) {
		world.runs[world.runs_len++] =
		    (run_t){daemon, request, endpoint};
		return;
	}
	crashing_run(input, daemon, request, endpoint);
	/* The daemon retries it unless two crashes are recorded for it. */
	if (quarantine_crash_count(table, digest_of(request)) < 2) {
		send_check(request, false);
		crashing_run(
		    input, daemon, request, (endpoint + 1) % ENDPOINTS);
	}
}

static void
run_end(input_t *input, bool completed)
{
	size_t at;
	run_t run;

	if (world.runs_len == 0)
		return;
	at = input_below(input, (uint32_t)world.runs_len);
	run = world.runs[at];
	world.runs[at] = world.runs[--world.runs_len];
	if (completed &&
	    quarantine_clear(
		&world.daemons[run.daemon].table, digest_of(run.request)))
		broadcast(input, run.daemon,
		    (message_t){.kind = MESSAGE_CLEARED,
			.digest = digest_of(run.request)});
}

/* A daemon that starts knows only the rows of the store. */
static void
daemon_restart(size_t daemon)
{
	quarantine_t *table = &world.daemons[daemon].table;

	quarantine_finish(table);
	world.daemons[daemon] = (daemon_t){0};
	quarantine_init(
	    table, &world.clock.source, &ops, &world.daemons[daemon]);
	for (size_t i = 0; i < world.runs_len;) {
		if (world.runs[i].daemon == daemon)
			world.runs[i] = world.runs[--world.runs_len];
		else
			i++;
	}
	for (size_t r = 0; r < REQUESTS; r++) {
		const suspect_t *row = &world.oracles[r].row;

		if (row->crashes_len > 0)
			quarantine_merge(table, digest_of(r), row->crashes,
			    row->crashes_len, VERSION,
			    timespec_ms_between(
				row->last_crash_at, world.clock.now));
	}
}

static void
check(void)
{
	for (size_t i = 0; i < DAEMONS; i++) {
		const quarantine_t *table = &world.daemons[i].table;
		size_t quarantined = 0;

		for (const suspect_t *suspect = table->suspects;
		     suspect != NULL; suspect = suspect->hh.next)
			quarantined += suspect_is_quarantined(suspect);
		FUZZ_CHECK(quarantined == table->quarantined_count);
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
		/* After others had the time to learn of the crashes that it
		 * detected. */
		time_pass(input,
		    RESEND_MS + DELAY_MAX_MS + NON_OWNER_MS +
			ROW_PROPAGATION_MS);
		daemon_restart(input_below(input, DAEMONS));
		break;
	case 5:
		if (input_below(input, 16) == 0)
			time_pass(input, 620000);
		break;
	default:
		request_arrive(input);
	}
	check();
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	world.clock = (manual_clock_t){{&manual_clock_ops}, {1000, 0}};
	for (size_t i = 0; i < ENDPOINTS; i++)
		world.incarnations[i] = ++world.last_incarnation + 10;
	world.last_incarnation += 10;
	for (size_t i = 0; i < DAEMONS; i++)
		quarantine_init(&world.daemons[i].table, &world.clock.source,
		    &ops, &world.daemons[i]);
	while (!input_at_end(&input))
		step(&input);
	for (size_t i = 0; i < DAEMONS; i++)
		quarantine_finish(&world.daemons[i].table);
	return 0;
}
