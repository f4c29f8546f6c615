/**
 * @file
 * Fuzzes failure detection: which daemons each daemon counts as available to
 * callers, while daemons lose power, are paused and start again, links between
 * two of them pass nothing, and the store becomes unavailable to all or to one.
 * The daemons' memberships are real; the network and the store are simulated.
 *
 * The oracle knows which daemons are off. A daemon that is undisturbed itself,
 * over an undisturbed store, doesn't count one as available that has been off
 * for longer than the users' time limit. If one daemon went off and nothing
 * else happened, all that run count as available throughout. Once there are
 * no disturbances, all daemons count each other as available.
 */
#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#include "../support/manual_clock.h"
#include "../support/silent_store.h"
#include "input.h"
#include "moortack/replication/membership.h"

#define DAEMONS 6
#define STEPS_MAX 100
#define STEP_MS 50
#define TICK_MS 200
#define EVENT_GAP_STEPS_MAX 200 /* of STEP_MS, at most, between two events */
/* Timing of a daemon on the users' platform. */
#define AVAILABLE_MAX_MS 6000
#define STABLE_MS 3000
#define SILENCE_TIMEOUT_MS 2100
#define SUMMARY_TTL_MS 3000
#define GRACE_MS 1500
#define AUTHORITY_TIMEOUT_MS 12000
#define REQUEST_HOLD_MS 500
#define REQUEST_TIMEOUT_MS 1300
#define BACKOFF_MS 3000
#define BACKOFF_UNAVAILABLE_MS 2000
#define PARENT_KEEP_MS 1500
#define BACKOFF_CYCLE_MS 500
#define STORE_DETECTION_MS 900
#define STORE_RECOVERY_MS 1400
#define READ_INTERVAL_MS 1500
#define READ_INTERVAL_UNDECIDED_MS 500
#define ROW_HEARTBEAT_MS 2000
/* One write of wanted rows, and one cleanup. */
#define WRITES_MAX 2
/* The effects of the last disturbance are over by then. */
#define QUIET_MS 8000

/** A daemon's row in the store. */
typedef struct member_row {
	bool present;
	uint64_t version;
	int64_t at_ms;
} member_row_t;

typedef struct daemon {
	membership_t members;
	bool on;
	bool paused;	      /**< its process is paused */
	bool store_cut;	      /**< the store is unavailable to it */
	int64_t off_ms;	      /**< when it went off */
	int64_t disturbed_ms; /**< its own last disturbance */
	int64_t ticked_ms;
	int64_t store_changed_ms; /**< the store became unavailable to it, or
				     available again */
	bool store_unavailable;	  /**< as it has detected */
	int64_t read_at_ms;
	bool rows_read;
	uint64_t read_version; /**< up to which it has the rows */
	int parent;	       /**< number of its parent; -1: none */
	bool following;
	bool first_request;
	int64_t requested_ms; /**< time of the request in flight; -1: none */
	int64_t unavailable_since_ms; /**< since when the store is unavailable
				  to its parent; -1: it is available */
	bool request_received;
	bool request_lost;	     /**< it will get no response */
	bool changed;		     /**< it has changes to pass on */
	row_done_t done[WRITES_MAX]; /**< for pending responses of the store */
	row_result_t results[WRITES_MAX];
	size_t done_len;
	member_row_t rows[DAEMONS]; /**< the rows that it has */
} daemon_t;

typedef struct world {
	manual_clock_t clock;
	struct event_base *base;
	row_store_t store;
	bool store_down;
	int64_t store_disturbed_ms; /**< last disturbance of the store */
	uint64_t version;
	member_row_t rows[DAEMONS];
	bool broken[DAEMONS][DAEMONS]; /**< links that pass nothing */
	int64_t disturbed_ms;	       /**< last disturbance of any kind */
	int64_t single_failure_ms; /**< when one daemon went off after a time
			      without disturbances; -1: not so */
	daemon_t daemons[DAEMONS];
} world_t;

static world_t world;

static int64_t
now_ms(void)
{
	return timespec_to_ms(world.clock.now);
}

static void
daemon_name(int i, char name[MEMBER_NAME_SIZE])
{
	snprintf(name, MEMBER_NAME_SIZE, "d%d", i);
}

static int
daemon_number(const char *name)
{
	return name[0] == 'd' ? name[1] - '0' : -1;
}

static bool
runs(const daemon_t *daemon)
{
	return daemon->on && !daemon->paused;
}

static bool
store_available(const daemon_t *daemon)
{
	return !world.store_down && !daemon->store_cut;
}

/* The store. ----------------------------------------------------------------
 */

static bool
expected_match(const row_change_t *expected, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		int at = daemon_number(expected[i].key + strlen(MEMBER_PREFIX));

		if (!world.rows[at].present ||
		    world.rows[at].version != expected[i].expected)
			return false;
	}
	return true;
}

static void
change_apply(const row_change_t *change)
{
	int at = daemon_number(change->key + strlen(MEMBER_PREFIX));
	member_row_t *row = &world.rows[at];
	json_t *value;

	row->present = change->value != NULL;
	row->version = ++world.version;
	if (!row->present)
		return;
	value = json_loads(change->value, 0, NULL);
	row->at_ms = json_integer_value(json_object_get(value, "at_ms"));
	json_decref(value);
}

static bool
lives_write(row_store_t *store, const row_change_t *expected,
    size_t expected_len, const row_change_t *changes, size_t changes_len,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	daemon_t *writer = arg;
	bool good =
	    store_available(writer) && expected_match(expected, expected_len);

	(void)store;
	(void)timeout_ms;
	for (size_t i = 0; good && i < changes_len; i++)
		change_apply(&changes[i]);
	FUZZ_CHECK(writer->done_len < WRITES_MAX);
	writer->results[writer->done_len] =
	    store_available(writer) ? ROW_OK : ROW_NO_RESPONSE;
	writer->done[writer->done_len++] = done;
	return true;
}

static const row_store_ops_t lives_ops = {
    silent_store_read, silent_store_poll, lives_write};

static void
row_apply(daemon_t *daemon, int at, const member_row_t *sent_row)
{
	char key[64], value[160];
	row_t row = {.key = key, .version = sent_row->version};

	snprintf(key, sizeof(key), MEMBER_PREFIX "d%d", at);
	row.deleted = !sent_row->present;
	if (sent_row->present) {
		snprintf(value, sizeof(value),
		    "{\"place\":\"a\",\"peer\":\"d%d\",\"state\":\"ready\","
		    "\"strength\":1,\"at_ms\":%lld}",
		    at, (long long)sent_row->at_ms);
		row.value = value;
		row.value_len = strlen(value);
	}
	daemon->rows[at] = *sent_row;
	membership_apply_row(&daemon->members, &row);
}

static void
store_rows_read(daemon_t *daemon)
{
	daemon->read_at_ms = now_ms();
	membership_set_store_clock(&daemon->members, now_ms());
	for (int i = 0; i < DAEMONS; i++) {
		if (world.rows[i].version != daemon->rows[i].version)
			row_apply(daemon, i, &world.rows[i]);
	}
	daemon->read_version = world.version;
	if (!daemon->rows_read)
		membership_set_rows_read(&daemon->members);
	daemon->rows_read = true;
}

/* Events. -------------------------------------------------------------------
 */

static void
parent_clear(daemon_t *daemon)
{
	daemon->parent = -1;
	daemon->following = false;
	daemon->requested_ms = -1;
	daemon->unavailable_since_ms = -1;
}

static void
daemon_start(int at)
{
	daemon_t *daemon = &world.daemons[at];
	membership_settings_t settings = {.zone = "a",
	    .strength = 1,
	    .row_heartbeat_ms = ROW_HEARTBEAT_MS,
	    .liveness = {SILENCE_TIMEOUT_MS, SUMMARY_TTL_MS, GRACE_MS,
		AUTHORITY_TIMEOUT_MS}};

	memset(daemon, 0, sizeof(*daemon));
	daemon_name(at, settings.name);
	daemon_name(at, settings.peer_address);
	/* lives_write() gets the address of the membership as its argument, and
	 * takes it for that of the daemon. */
	FUZZ_CHECK(offsetof(daemon_t, members) == 0);
	membership_init(&daemon->members, &world.store, &world.clock.source,
	    NULL, &settings);
	daemon->members.state = MEMBER_READY;
	daemon->on = true;
	daemon->disturbed_ms = now_ms();
	daemon->store_changed_ms = now_ms() - STORE_RECOVERY_MS;
	daemon->ticked_ms = now_ms() - at * 30;
	parent_clear(daemon);
	if (store_available(daemon))
		store_rows_read(daemon);
}

static void
daemon_off(int at)
{
	daemon_t *daemon = &world.daemons[at];

	membership_finish(&daemon->members);
	daemon->on = false;
	daemon->paused = false;
	daemon->off_ms = now_ms();
	for (int i = 0; i < DAEMONS; i++) {
		if (world.daemons[i].parent == at)
			world.daemons[i].request_lost = true;
	}
}

static void
store_change_record(daemon_t *daemon)
{
	daemon->store_changed_ms = now_ms();
}

/* Whether all daemons have been running for a time without disturbances of
 * the network and the store. */
static bool
all_quiet(void)
{
	if (now_ms() - world.disturbed_ms <= QUIET_MS || world.store_down)
		return false;
	for (int i = 0; i < DAEMONS; i++) {
		if (!runs(&world.daemons[i]) || world.daemons[i].store_cut)
			return false;
		for (int j = 0; j < DAEMONS; j++) {
			if (world.broken[i][j])
				return false;
		}
	}
	return true;
}

static void
disturbance_record(bool single)
{
	world.single_failure_ms = single && all_quiet() ? now_ms() : -1;
	world.disturbed_ms = now_ms();
}

static void
event_apply(input_t *input)
{
	int at = (int)input_below(input, DAEMONS);
	int other = (int)input_below(input, DAEMONS);
	daemon_t *daemon = &world.daemons[at];

	switch (input_below(input, 8)) {
	case 0:
	case 1:
		disturbance_record(daemon->on && !daemon->paused);
		if (daemon->on)
			daemon_off(at);
		else
			daemon_start(at);
		return;
	case 2:
		if (!daemon->on)
			return;
		daemon->paused = !daemon->paused;
		daemon->disturbed_ms = now_ms();
		break;
	case 3:
		world.store_down = !world.store_down;
		world.store_disturbed_ms = now_ms();
		for (int i = 0; i < DAEMONS; i++)
			store_change_record(&world.daemons[i]);
		break;
	case 4:
		daemon->store_cut = daemon->on && !daemon->store_cut;
		daemon->disturbed_ms = now_ms();
		store_change_record(daemon);
		break;
	case 5:
		/* The open connection passes nothing, but a new one does. */
		daemon->request_lost = true;
		daemon->disturbed_ms = now_ms();
		break;
	case 6:
		world.broken[at][other] = at != other;
		daemon->disturbed_ms = now_ms();
		world.daemons[other].disturbed_ms = now_ms();
		break;
	default:
		if (world.broken[at][other])
			daemon->disturbed_ms =
			    world.daemons[other].disturbed_ms = now_ms();
		world.broken[at][other] = false;
		break;
	}
	disturbance_record(false);
}

/* Requests between daemons.
 * --------------------------------------------------- */

static bool
passes(int from, int to)
{
	return !world.broken[from][to] && !world.broken[to][from];
}

static bool
is_cut_off(const daemon_t *daemon)
{
	return daemon->store_unavailable && !daemon->following;
}

static bool
follows(int parent, int child)
{
	for (int at = parent, hops = 0; at >= 0 && hops < DAEMONS; hops++) {
		if (at == child)
			return true;
		at =
		    world.daemons[at].following ? world.daemons[at].parent : -1;
	}
	return false;
}

static void
rows_send(const daemon_t *parent, daemon_t *child)
{
	for (int i = 0; i < DAEMONS; i++) {
		const member_row_t *sent_row = &parent->rows[i];

		/* A row with the same meaning is not sent again. */
		if (sent_row->present != child->rows[i].present &&
		    (sent_row->version > child->rows[i].version ||
			parent->read_version >= child->rows[i].version))
			row_apply(child, i, sent_row);
	}
	if (parent->read_version > child->read_version)
		child->read_version = parent->read_version;
	if (!parent->rows[child - world.daemons].present)
		membership_own_row_missing(&child->members);
}

static void
parent_back_off(daemon_t *child, int64_t backoff_ms)
{
	char name[MEMBER_NAME_SIZE];

	daemon_name(child->parent, name);
	membership_back_off(&child->members, name, backoff_ms);
	parent_clear(child);
}

/* The store is unavailable to the parent. It is kept for a time: it gets recent
 * rows as soon as any daemon before it in the order does. */
static void
parent_store_unavailable(daemon_t *child)
{
	char name[MEMBER_NAME_SIZE];

	child->following = false;
	if (child->unavailable_since_ms < 0)
		child->unavailable_since_ms = now_ms();
	if (now_ms() - child->unavailable_since_ms < PARENT_KEEP_MS)
		return;
	daemon_name(child->parent, name);
	membership_skip(&child->members, name, BACKOFF_UNAVAILABLE_MS);
	parent_clear(child);
}

static void
response_apply(daemon_t *child, daemon_t *parent)
{
	struct timespec sent = world.clock.now;
	int64_t age_ms = membership_liveness_age_ms(&parent->members);
	json_t *silent = membership_silent_names(&parent->members);
	char name[MEMBER_NAME_SIZE];

	daemon_name(child->parent, name);
	membership_record_response(&child->members, name, sent);
	child->requested_ms = -1;
	child->first_request = false;
	if (is_cut_off(parent)) {
		parent_store_unavailable(child);
	} else if (follows(child->parent, (int)(child - world.daemons))) {
		parent_back_off(child, BACKOFF_CYCLE_MS);
	} else {
		membership_set_store_clock(&child->members, now_ms());
		rows_send(parent, child);
		if (parent->rows_read && !child->rows_read)
			membership_set_rows_read(&child->members);
		child->rows_read |= parent->rows_read;
		child->following = true;
		child->unavailable_since_ms = -1;
		membership_reset_backoff(&child->members, name);
		if (age_ms >= 0)
			child->changed |=
			    membership_apply_liveness(&child->members,
				timespec_add_ms(sent, -age_ms), silent);
	}
	json_decref(silent);
}

static void
request_receive(daemon_t *child, daemon_t *parent)
{
	json_t *below = membership_subtree(&child->members);
	json_t *row = membership_own_row_request(&child->members);
	char name[MEMBER_NAME_SIZE];

	daemon_name((int)(child - world.daemons), name);
	membership_record_request(&parent->members, name, NULL);
	membership_add_row_request(&parent->members, name, row);
	membership_apply_subtree(&parent->members, below);
	json_decref(below);
	json_decref(row);
	child->request_received = true;
}

static void
request_step(daemon_t *child)
{
	daemon_t *parent;
	bool reached;
	char name[MEMBER_NAME_SIZE];

	if (child->parent < 0)
		return;
	if (child->requested_ms < 0) {
		child->requested_ms = now_ms();
		child->request_received = false;
		child->request_lost = false;
	}
	parent = &world.daemons[child->parent];
	reached = runs(parent) && !child->request_lost &&
	    passes((int)(child - world.daemons), child->parent);
	if (reached && !child->request_received)
		request_receive(child, parent);
	if (reached &&
	    (child->first_request || parent->changed ||
		now_ms() - child->requested_ms >= REQUEST_HOLD_MS)) {
		response_apply(child, parent);
	} else if (now_ms() - child->requested_ms >= REQUEST_TIMEOUT_MS) {
		daemon_name(child->parent, name);
		membership_record_no_response(&child->members, name);
		parent_back_off(child, BACKOFF_MS);
	}
}

/* Time.
 * -------------------------------------------------------------------------- */

static void
store_step(daemon_t *daemon)
{
	bool available = store_available(daemon);
	int64_t since = now_ms() - daemon->store_changed_ms;
	int64_t pause = daemon->members.liveness.authoritative
	    ? READ_INTERVAL_MS
	    : READ_INTERVAL_UNDECIDED_MS;

	if (since >= (available ? STORE_RECOVERY_MS : STORE_DETECTION_MS) &&
	    daemon->store_unavailable == available) {
		daemon->store_unavailable = !available;
		if (available)
			membership_clear_backoffs(&daemon->members);
	}
	membership_set_frozen(
	    &daemon->members, daemon->store_unavailable && !daemon->following);
	if (!available || daemon->store_unavailable)
		return;
	if (!daemon->following &&
	    (daemon->members.read_back_pending ||
		now_ms() - daemon->read_at_ms >= pause))
		store_rows_read(daemon);
	daemon->members.read_back_pending = false;
}

static void
tick(daemon_t *daemon)
{
	const member_t *parent = membership_parent(&daemon->members);
	int at = parent != NULL ? daemon_number(parent->name) : -1;

	daemon->ticked_ms = now_ms();
	if (at != daemon->parent) {
		parent_clear(daemon);
		daemon->parent = at;
		daemon->first_request = true;
	}
	store_step(daemon);
	daemon->changed |= membership_tick(&daemon->members, daemon->following);
}

static bool
is_undisturbed(const daemon_t *daemon)
{
	return runs(daemon) && !daemon->store_cut &&
	    now_ms() - daemon->disturbed_ms > STABLE_MS && !world.store_down &&
	    now_ms() - world.store_disturbed_ms > STABLE_MS;
}

static const member_t *
member_find(const daemon_t *daemon, int at)
{
	char name[MEMBER_NAME_SIZE];
	const member_t *member;

	daemon_name(at, name);
	HASH_FIND_STR(daemon->members.members, name, member);
	return member;
}

static bool
counts_as_available(const daemon_t *daemon, int at)
{
	const member_t *member = member_find(daemon, at);

	return member != NULL && member_is_available(&daemon->members, member);
}

/* With FUZZ_TRACE=1, writes a line per daemon at each step, for debugging. */
static void
trace(void)
{
	if (getenv("FUZZ_TRACE") == NULL)
		return;
	for (int i = 0; i < DAEMONS; i++) {
		const daemon_t *daemon = &world.daemons[i];

		fprintf(stderr,
		    "%lld d%d on=%d still=%d cut=%d lost=%d "
		    "follows=%d/%d settled=%d held=%d alone=%d "
		    "vouched_ms=%lld touch=%d names=",
		    (long long)now_ms(), i, daemon->on, daemon->paused,
		    daemon->store_cut, daemon->store_unavailable,
		    daemon->parent, daemon->following,
		    daemon->members.liveness.authoritative,
		    daemon->members.liveness.frozen, daemon->members.isolated,
		    daemon->on ? (long long)membership_liveness_age_ms(
				     &daemon->members)
			       : -1,
		    is_undisturbed(daemon));
		for (int j = 0; daemon->on && j < DAEMONS; j++)
			fputc(i == j || counts_as_available(daemon, j) ? '0' + j
								       : '-',
			    stderr);
		fputc('\n', stderr);
	}
}

static void
check(void)
{
	trace();
	for (int i = 0; i < DAEMONS; i++) {
		const daemon_t *daemon = &world.daemons[i];

		if (!is_undisturbed(daemon))
			continue;
		for (int j = 0; j < DAEMONS; j++) {
			const daemon_t *other = &world.daemons[j];

			if (i == j)
				continue;
			FUZZ_CHECK(other->on ||
			    now_ms() - other->off_ms <= AVAILABLE_MAX_MS ||
			    !counts_as_available(daemon, j));
			FUZZ_CHECK(world.single_failure_ms < 0 ||
			    !is_undisturbed(other) ||
			    counts_as_available(daemon, j));
		}
	}
}

static void
writes_respond(daemon_t *daemon)
{
	for (size_t i = 0; i < daemon->done_len; i++) {
		row_store_response_t response = {.result = daemon->results[i]};

		daemon->done[i](&daemon->members, &response);
	}
	daemon->done_len = 0;
}

static void
step(void)
{
	world.clock.now = timespec_add_ms(world.clock.now, STEP_MS);
	for (int i = 0; i < DAEMONS; i++) {
		daemon_t *daemon = &world.daemons[i];

		if (!runs(daemon))
			continue;
		writes_respond(daemon);
		request_step(daemon);
		if (now_ms() - daemon->ticked_ms >= TICK_MS)
			tick(daemon);
	}
	for (int i = 0; i < DAEMONS; i++)
		world.daemons[i].changed = false;
	check();
}

static void
quiet_period(void)
{
	world.single_failure_ms = -1;
	world.store_down = false;
	world.store_disturbed_ms = now_ms();
	memset(world.broken, 0, sizeof(world.broken));
	for (int i = 0; i < DAEMONS; i++) {
		daemon_t *daemon = &world.daemons[i];

		if (!daemon->on)
			daemon_start(i);
		daemon->paused = false;
		daemon->store_cut = false;
		store_change_record(daemon);
	}
	for (int64_t elapsed = 0; elapsed < QUIET_MS; elapsed += STEP_MS)
		step();
	for (int i = 0; i < DAEMONS; i++) {
		for (int j = 0; j < DAEMONS; j++)
			FUZZ_CHECK(i == j ||
			    counts_as_available(&world.daemons[i], j));
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	world.clock = (manual_clock_t){{&manual_clock_ops}, {1000, 0}};
	world.base = event_base_new();
	world.store = (row_store_t){.ops = &lives_ops};
	world.single_failure_ms = -1;
	for (int i = 0; i < DAEMONS; i++)
		daemon_start(i);
	quiet_period();
	for (size_t i = 0; i < STEPS_MAX && !input_at_end(&input); i++) {
		event_apply(&input);
		for (uint32_t remaining =
			 input_below(&input, EVENT_GAP_STEPS_MAX);
		     remaining > 0; remaining--)
			step();
	}
	quiet_period();
	for (int i = 0; i < DAEMONS; i++)
		membership_finish(&world.daemons[i].members);
	event_base_free(world.base);
	return 0;
}
