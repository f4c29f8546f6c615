/**
 * @file
 * Which daemons are named to callers, while daemons lose power, stand still and
 * start again, links between two of them pass nothing, and the store is lost
 * for all or for one. The daemons' memberships are real; the wire and the store
 * between them are played here.
 *
 * The oracle knows who is off. Whoever is itself undisturbed, over an
 * undisturbed store, names nobody that has been off for longer than the users'
 * bound; where one daemon went off and nothing else happened, all that run are
 * named all the while; and once all is calm, all name all.
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
#define TIME_STEPS 200 /* of STEP_MS, at most, between two events */
/* As a daemon of the users' platform has them. */
#define BOUND_MS 6000
#define STABLE_MS 3000
#define SILENT_MS 2100
#define VOUCH_MS 3000
#define GRANT_MS 1500
#define LONE_MS 12000
#define HOLD_MS 500
#define LATE_MS 1300
#define SHUN_MS 3000
#define SHUN_LOST_MS 2000
#define LOST_MOVE_MS 1500
#define SHUN_CIRCLE_MS 500
#define STORE_NOTICE_MS 900
#define STORE_BACK_MS 1400
#define OWN_READ_MS 1500
#define OWN_READ_DOUBT_MS 500
#define BEAT_ALONE_MS 2000
/* Rows that are wanted, and those that are cleared. */
#define WRITES_MAX 2
/* All that is remembered of the last trouble is over by then. */
#define CALM_MS 8000

/** A daemon's row in the store. */
typedef struct member_row {
	bool present;
	uint64_t version;
	int64_t at_ms;
} member_row_t;

typedef struct daemon {
	membership_t members;
	bool on;
	bool still;	      /**< it stands still */
	bool cut;	      /**< the store does not answer it */
	int64_t off_ms;	      /**< when it went off */
	int64_t disturbed_ms; /**< last trouble of its own */
	int64_t ticked_ms;
	int64_t store_changed_ms; /**< the store went or came back for it */
	bool store_lost;	  /**< as it has noticed */
	int64_t own_read_ms;
	bool rows_read;
	uint64_t own_version; /**< up to which it knows the rows */
	int followed;	      /**< -1: nobody */
	bool following;
	bool first_question;
	int64_t asked_ms;      /**< of the question that is out; -1: none */
	int64_t lost_since_ms; /**< the store does not answer whom it follows;
				  -1: it does */
	bool question_taken;
	bool question_lost;	     /**< nobody will answer it */
	bool news;		     /**< what it passes on has changed */
	row_done_t done[WRITES_MAX]; /**< answers of the store on their way */
	row_result_t results[WRITES_MAX];
	size_t done_len;
	member_row_t known[DAEMONS]; /**< rows as it knows them */
} daemon_t;

typedef struct world {
	manual_clock_t clock;
	struct event_base *base;
	row_store_t store;
	bool store_down;
	int64_t store_ms; /**< last trouble of the store */
	uint64_t version;
	member_row_t rows[DAEMONS];
	bool broken[DAEMONS][DAEMONS]; /**< links that pass nothing */
	int64_t trouble_ms;	       /**< last trouble of any kind */
	int64_t single_ms; /**< when one went off after a calm time; -1 */
	daemon_t daemons[DAEMONS];
} world_t;

static world_t world;

static int64_t
now_ms(void)
{
	return timespec_ms(world.clock.now);
}

static void
name_of(int i, char name[MEMBER_NAME_SIZE])
{
	snprintf(name, MEMBER_NAME_SIZE, "d%d", i);
}

static int
number_of(const char *name)
{
	return name[0] == 'd' ? name[1] - '0' : -1;
}

static bool
runs(const daemon_t *daemon)
{
	return daemon->on && !daemon->still;
}

static bool
store_answers(const daemon_t *daemon)
{
	return !world.store_down && !daemon->cut;
}

/* The store. ----------------------------------------------------------------
 */

static bool
expected_hold(const row_change_t *expected, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		int at = number_of(expected[i].key + strlen(MEMBER_PREFIX));

		if (!world.rows[at].present ||
		    world.rows[at].version != expected[i].expected)
			return false;
	}
	return true;
}

static void
change_take(const row_change_t *change)
{
	int at = number_of(change->key + strlen(MEMBER_PREFIX));
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
	    store_answers(writer) && expected_hold(expected, expected_len);

	(void)store;
	(void)timeout_ms;
	for (size_t i = 0; good && i < changes_len; i++)
		change_take(&changes[i]);
	FUZZ_CHECK(writer->done_len < WRITES_MAX);
	writer->results[writer->done_len] =
	    store_answers(writer) ? ROW_OK : ROW_NO_RESPONSE;
	writer->done[writer->done_len++] = done;
	return true;
}

static const row_store_ops_t lives_ops = {
    silent_read, silent_feed, lives_write};

static void
row_tell(daemon_t *daemon, int at, const member_row_t *told)
{
	char key[64], value[160];
	row_t row = {.key = key, .version = told->version};

	snprintf(key, sizeof(key), MEMBER_PREFIX "d%d", at);
	row.deleted = !told->present;
	if (told->present) {
		snprintf(value, sizeof(value),
		    "{\"place\":\"a\",\"peer\":\"d%d\",\"state\":\"ready\","
		    "\"strength\":1,\"at_ms\":%lld}",
		    at, (long long)told->at_ms);
		row.value = value;
		row.value_len = strlen(value);
	}
	daemon->known[at] = *told;
	membership_apply_row(&daemon->members, &row);
}

static void
own_read(daemon_t *daemon)
{
	daemon->own_read_ms = now_ms();
	membership_set_store_clock(&daemon->members, now_ms());
	for (int i = 0; i < DAEMONS; i++) {
		if (world.rows[i].version != daemon->known[i].version)
			row_tell(daemon, i, &world.rows[i]);
	}
	daemon->own_version = world.version;
	if (!daemon->rows_read)
		membership_set_rows_read(&daemon->members);
	daemon->rows_read = true;
}

/* Events. -------------------------------------------------------------------
 */

static void
follow_none(daemon_t *daemon)
{
	daemon->followed = -1;
	daemon->following = false;
	daemon->asked_ms = -1;
	daemon->lost_since_ms = -1;
}

static void
daemon_start(int at)
{
	daemon_t *daemon = &world.daemons[at];
	membership_settings_t settings = {.zone = "a",
	    .strength = 1,
	    .row_heartbeat_ms = BEAT_ALONE_MS,
	    .liveness = {SILENT_MS, VOUCH_MS, GRANT_MS, LONE_MS}};

	memset(daemon, 0, sizeof(*daemon));
	name_of(at, settings.name);
	name_of(at, settings.peer_address);
	/* What is written is told to the daemon by its membership's address. */
	FUZZ_CHECK(offsetof(daemon_t, members) == 0);
	membership_init(&daemon->members, &world.store, &world.clock.source,
	    NULL, &settings);
	daemon->members.state = MEMBER_READY;
	daemon->on = true;
	daemon->disturbed_ms = now_ms();
	daemon->store_changed_ms = now_ms() - STORE_BACK_MS;
	daemon->ticked_ms = now_ms() - at * 30;
	follow_none(daemon);
	if (store_answers(daemon))
		own_read(daemon);
}

static void
daemon_off(int at)
{
	daemon_t *daemon = &world.daemons[at];

	membership_finish(&daemon->members);
	daemon->on = false;
	daemon->still = false;
	daemon->off_ms = now_ms();
	for (int i = 0; i < DAEMONS; i++) {
		if (world.daemons[i].followed == at)
			world.daemons[i].question_lost = true;
	}
}

static void
store_changes(daemon_t *daemon)
{
	daemon->store_changed_ms = now_ms();
}

/* Whether all run, and have for a time, over a whole network and store. */
static bool
all_calm(void)
{
	if (now_ms() - world.trouble_ms <= CALM_MS || world.store_down)
		return false;
	for (int i = 0; i < DAEMONS; i++) {
		if (!runs(&world.daemons[i]) || world.daemons[i].cut)
			return false;
		for (int j = 0; j < DAEMONS; j++) {
			if (world.broken[i][j])
				return false;
		}
	}
	return true;
}

static void
trouble(bool single)
{
	world.single_ms = single && all_calm() ? now_ms() : -1;
	world.trouble_ms = now_ms();
}

static void
event(input_t *input)
{
	int at = (int)input_below(input, DAEMONS);
	int other = (int)input_below(input, DAEMONS);
	daemon_t *daemon = &world.daemons[at];

	switch (input_below(input, 8)) {
	case 0:
	case 1:
		trouble(daemon->on && !daemon->still);
		if (daemon->on)
			daemon_off(at);
		else
			daemon_start(at);
		return;
	case 2:
		if (!daemon->on)
			return;
		daemon->still = !daemon->still;
		daemon->disturbed_ms = now_ms();
		break;
	case 3:
		world.store_down = !world.store_down;
		world.store_ms = now_ms();
		for (int i = 0; i < DAEMONS; i++)
			store_changes(&world.daemons[i]);
		break;
	case 4:
		daemon->cut = daemon->on && !daemon->cut;
		daemon->disturbed_ms = now_ms();
		store_changes(daemon);
		break;
	case 5:
		/* Connections that are open pass nothing; a new one does. */
		daemon->question_lost = true;
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
	trouble(false);
}

/* Questions between daemons.
 * --------------------------------------------------- */

static bool
passes(int from, int to)
{
	return !world.broken[from][to] && !world.broken[to][from];
}

static bool
is_lost(const daemon_t *daemon)
{
	return daemon->store_lost && !daemon->following;
}

static bool
through(int parent, int child)
{
	for (int at = parent, hops = 0; at >= 0 && hops < DAEMONS; hops++) {
		if (at == child)
			return true;
		at = world.daemons[at].following ? world.daemons[at].followed
						 : -1;
	}
	return false;
}

static void
rows_pass(const daemon_t *parent, daemon_t *child)
{
	for (int i = 0; i < DAEMONS; i++) {
		const member_row_t *told = &parent->known[i];

		/* A row that means the same is not told again. */
		if (told->present != child->known[i].present &&
		    (told->version > child->known[i].version ||
			parent->own_version >= child->known[i].version))
			row_tell(child, i, told);
	}
	if (parent->own_version > child->own_version)
		child->own_version = parent->own_version;
	if (!parent->known[child - world.daemons].present)
		membership_own_row_missing(&child->members);
}

static void
followed_leave(daemon_t *child, int64_t shun_ms)
{
	char name[MEMBER_NAME_SIZE];

	name_of(child->followed, name);
	membership_back_off(&child->members, name, shun_ms);
	follow_none(child);
}

/* Whoever learns nothing is kept to for a time: it has news as soon as anybody
 * before it has. */
static void
parent_lost(daemon_t *child)
{
	char name[MEMBER_NAME_SIZE];

	child->following = false;
	if (child->lost_since_ms < 0)
		child->lost_since_ms = now_ms();
	if (now_ms() - child->lost_since_ms < LOST_MOVE_MS)
		return;
	name_of(child->followed, name);
	membership_skip(&child->members, name, SHUN_LOST_MS);
	follow_none(child);
}

static void
answer_take(daemon_t *child, daemon_t *parent)
{
	struct timespec sent = world.clock.now;
	int64_t age_ms = membership_liveness_age_ms(&parent->members);
	json_t *silent = membership_silent_names(&parent->members);
	char name[MEMBER_NAME_SIZE];

	name_of(child->followed, name);
	membership_record_response(&child->members, name, sent);
	child->asked_ms = -1;
	child->first_question = false;
	if (is_lost(parent)) {
		parent_lost(child);
	} else if (through(child->followed, (int)(child - world.daemons))) {
		followed_leave(child, SHUN_CIRCLE_MS);
	} else {
		membership_set_store_clock(&child->members, now_ms());
		rows_pass(parent, child);
		if (parent->rows_read && !child->rows_read)
			membership_set_rows_read(&child->members);
		child->rows_read |= parent->rows_read;
		child->following = true;
		child->lost_since_ms = -1;
		membership_reset_backoff(&child->members, name);
		if (age_ms >= 0)
			child->news |=
			    membership_apply_liveness(&child->members,
				timespec_after_ms(sent, -age_ms), silent);
	}
	json_decref(silent);
}

static void
question_take(daemon_t *child, daemon_t *parent)
{
	json_t *below = membership_subtree(&child->members);
	json_t *row = membership_own_row_request(&child->members);
	char name[MEMBER_NAME_SIZE];

	name_of((int)(child - world.daemons), name);
	membership_record_request(&parent->members, name, NULL);
	membership_add_row_request(&parent->members, name, row);
	membership_apply_subtree(&parent->members, below);
	json_decref(below);
	json_decref(row);
	child->question_taken = true;
}

static void
question_step(daemon_t *child)
{
	daemon_t *parent;
	bool reached;
	char name[MEMBER_NAME_SIZE];

	if (child->followed < 0)
		return;
	if (child->asked_ms < 0) {
		child->asked_ms = now_ms();
		child->question_taken = false;
		child->question_lost = false;
	}
	parent = &world.daemons[child->followed];
	reached = runs(parent) && !child->question_lost &&
	    passes((int)(child - world.daemons), child->followed);
	if (reached && !child->question_taken)
		question_take(child, parent);
	if (reached &&
	    (child->first_question || parent->news ||
		now_ms() - child->asked_ms >= HOLD_MS)) {
		answer_take(child, parent);
	} else if (now_ms() - child->asked_ms >= LATE_MS) {
		name_of(child->followed, name);
		membership_record_no_response(&child->members, name);
		followed_leave(child, SHUN_MS);
	}
}

/* Time.
 * -------------------------------------------------------------------------- */

static void
store_step(daemon_t *daemon)
{
	bool answers = store_answers(daemon);
	int64_t since = now_ms() - daemon->store_changed_ms;
	int64_t pause = daemon->members.liveness.authoritative
	    ? OWN_READ_MS
	    : OWN_READ_DOUBT_MS;

	if (since >= (answers ? STORE_BACK_MS : STORE_NOTICE_MS) &&
	    daemon->store_lost == answers) {
		daemon->store_lost = !answers;
		if (answers)
			membership_clear_backoffs(&daemon->members);
	}
	membership_set_frozen(
	    &daemon->members, daemon->store_lost && !daemon->following);
	if (!answers || daemon->store_lost)
		return;
	if (!daemon->following &&
	    (daemon->members.read_back_pending ||
		now_ms() - daemon->own_read_ms >= pause))
		own_read(daemon);
	daemon->members.read_back_pending = false;
}

static void
tick(daemon_t *daemon)
{
	const member_t *parent = membership_parent(&daemon->members);
	int at = parent != NULL ? number_of(parent->name) : -1;

	daemon->ticked_ms = now_ms();
	if (at != daemon->followed) {
		follow_none(daemon);
		daemon->followed = at;
		daemon->first_question = true;
	}
	store_step(daemon);
	daemon->news |= membership_tick(&daemon->members, daemon->following);
}

static bool
in_touch(const daemon_t *daemon)
{
	return runs(daemon) && !daemon->cut &&
	    now_ms() - daemon->disturbed_ms > STABLE_MS && !world.store_down &&
	    now_ms() - world.store_ms > STABLE_MS;
}

static const member_t *
known_member(const daemon_t *daemon, int at)
{
	char name[MEMBER_NAME_SIZE];
	const member_t *member;

	name_of(at, name);
	HASH_FIND_STR(daemon->members.members, name, member);
	return member;
}

static bool
names(const daemon_t *daemon, int at)
{
	const member_t *member = known_member(daemon, at);

	return member != NULL && member_is_available(&daemon->members, member);
}

/* One line a daemon, for whoever looks into a finding: FUZZ_TRACE=1. */
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
		    (long long)now_ms(), i, daemon->on, daemon->still,
		    daemon->cut, daemon->store_lost, daemon->followed,
		    daemon->following, daemon->members.liveness.authoritative,
		    daemon->members.liveness.frozen, daemon->members.isolated,
		    daemon->on ? (long long)membership_liveness_age_ms(
				     &daemon->members)
			       : -1,
		    in_touch(daemon));
		for (int j = 0; daemon->on && j < DAEMONS; j++)
			fputc(
			    i == j || names(daemon, j) ? '0' + j : '-', stderr);
		fputc('\n', stderr);
	}
}

static void
look(void)
{
	trace();
	for (int i = 0; i < DAEMONS; i++) {
		const daemon_t *daemon = &world.daemons[i];

		if (!in_touch(daemon))
			continue;
		for (int j = 0; j < DAEMONS; j++) {
			const daemon_t *other = &world.daemons[j];

			if (i == j)
				continue;
			FUZZ_CHECK(other->on ||
			    now_ms() - other->off_ms <= BOUND_MS ||
			    !names(daemon, j));
			FUZZ_CHECK(world.single_ms < 0 || !in_touch(other) ||
			    names(daemon, j));
		}
	}
}

static void
writes_answer(daemon_t *daemon)
{
	for (size_t i = 0; i < daemon->done_len; i++) {
		row_reply_t reply = {.result = daemon->results[i]};

		daemon->done[i](&daemon->members, &reply);
	}
	daemon->done_len = 0;
}

static void
pass(void)
{
	world.clock.now = timespec_after_ms(world.clock.now, STEP_MS);
	for (int i = 0; i < DAEMONS; i++) {
		daemon_t *daemon = &world.daemons[i];

		if (!runs(daemon))
			continue;
		writes_answer(daemon);
		question_step(daemon);
		if (now_ms() - daemon->ticked_ms >= TICK_MS)
			tick(daemon);
	}
	for (int i = 0; i < DAEMONS; i++)
		world.daemons[i].news = false;
	look();
}

static void
calm(void)
{
	world.single_ms = -1;
	world.store_down = false;
	world.store_ms = now_ms();
	memset(world.broken, 0, sizeof(world.broken));
	for (int i = 0; i < DAEMONS; i++) {
		daemon_t *daemon = &world.daemons[i];

		if (!daemon->on)
			daemon_start(i);
		daemon->still = false;
		daemon->cut = false;
		store_changes(daemon);
	}
	for (int64_t past = 0; past < CALM_MS; past += STEP_MS)
		pass();
	for (int i = 0; i < DAEMONS; i++) {
		for (int j = 0; j < DAEMONS; j++)
			FUZZ_CHECK(i == j || names(&world.daemons[i], j));
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	world.clock = (manual_clock_t){{&manual_ops}, {1000, 0}};
	world.base = event_base_new();
	world.store = (row_store_t){.ops = &lives_ops};
	world.single_ms = -1;
	for (int i = 0; i < DAEMONS; i++)
		daemon_start(i);
	calm();
	for (size_t i = 0; i < STEPS_MAX && !input_over(&input); i++) {
		event(&input);
		for (uint32_t past = input_below(&input, TIME_STEPS); past > 0;
		     past--)
			pass();
	}
	calm();
	for (int i = 0; i < DAEMONS; i++)
		membership_finish(&world.daemons[i].members);
	event_base_free(world.base);
	return 0;
}
