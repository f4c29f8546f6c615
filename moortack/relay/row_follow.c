#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "row_source_priv.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000
/* A daemon that failed is not followed again for this long. */
#define SHUN_MS 3000
/* The same for one that the store does not answer: longer than it takes to look
 * again. */
#define SHUN_LOST_MS 2000
/* After this many of them in a row the store is likely lost for all: for a
 * time, and a random part of it more, no others are asked. */
#define LOST_ANSWERS_MAX 3
#define LOST_PAUSE_MS 1000
/* The same for one whose rows come through this daemon: it looks for another
 * itself as soon as it is told. */
#define SHUN_CIRCLE_MS 500
/* How long the first answer of another daemon is waited for before the store is
 * read meanwhile. */
#define FIRST_ANSWER_MS 400
/* The same of one that answers, but knows nothing itself yet, for a daemon that
 * starts. */
#define FIRST_ROWS_MS 1500
/* A daemon that starts waits no longer than the store would need for whole
 * reads of all daemons, if all of them started now: a small fleet starts as
 * fast as it can read, a large one reads once. */
#define FIRST_PER_MEMBER_MS 5
/* How long the rows of who is followed may be old before it is shunned. */
#define OLD_MOST_MS 3000
/* How long somebody who stands after this daemon is followed before the store
 * is tried again. */
#define DOWN_MS 4000

void
row_follow_tell_lost(row_source_t *self)
{
	bool unreachable = false;

	for (int i = 0; i < ROW_TABLES; i++)
		unreachable |= !self->watches[i].watch.reachable;
	if (self->keyed)
		feed_server_set_lost(&self->server,
		    self->leaving || self->down ||
			(unreachable && !self->following));
}

static bool
kept_back_any(const row_source_t *self)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (self->kept_back[i] != 0)
			return true;
	}
	return false;
}

const char *
row_source_reader(const row_source_t *self)
{
	size_t len = json_array_size(self->followed_path);

	return len > 0
	    ? json_string_value(json_array_get(self->followed_path, len - 1))
	    : NULL;
}

/* Follow nobody; the store is read again unless somebody else is followed
 * at once. */
static void
follow_end(row_source_t *self, const char *why)
{
	event_line(
	    self->log, "unfollow", "source=%s why=%s", self->followed, why);
	self->followed[0] = '\0';
	self->following = false;
	self->down = false;
	self->old = false;
	json_decref(self->followed_path);
	self->followed_path = NULL;
	feed_client_stop(&self->client);
}

/* Read the store again. */
static void
follow_stop(row_source_t *self, const char *why)
{
	if (self->followed[0] == '\0')
		return;
	follow_end(self, why);
	row_source_suspend(self, false);
}

static void
followed_shun(row_source_t *self, int64_t ms, const char *why)
{
	membership_shun(self->members, self->followed, ms);
	follow_end(self, why);
	row_follow_tick(self);
	if (self->followed[0] == '\0')
		row_source_suspend(self, false);
}

static bool
table_old(
    const row_source_t *self, const feed_answer_t *answer, row_table_t table)
{
	int64_t age_ms = answer->tables[table].age_ms;

	return age_ms < 0 || age_ms > self->settings.old_ms[table];
}

static bool
tables_old(const row_source_t *self, const feed_answer_t *answer)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (table_old(self, answer, (row_table_t)i))
			return true;
	}
	return false;
}

/* Whoever is followed has old rows: it may just have lost whom it followed, and
 * has news as soon as it finds another. The store is asked for these meanwhile.
 */
static void
followed_old(row_source_t *self, const feed_answer_t *answer)
{
	struct timespec now = clock_elapsed(self->clock);

	if (!self->old) {
		self->old = true;
		self->old_since = now;
		event_line(self->log, "behind", "source=%s", self->followed);
	}
	if (timespec_ms_between(self->old_since, now) >= OLD_MOST_MS) {
		followed_shun(self, SHUN_MS, "behind");
		return;
	}
	for (int i = 0; row_source_settled(self) && i < ROW_TABLES; i++) {
		if (table_old(self, answer, (row_table_t)i))
			row_source_beside(self, (row_table_t)i);
	}
}

static void
lost_count(row_source_t *self)
{
	int64_t pause_ms =
	    LOST_PAUSE_MS + (int64_t)rng_below(self->rng, LOST_PAUSE_MS);

	if (++self->lost_answers < LOST_ANSWERS_MAX)
		return;
	self->lost_answers = 0;
	self->lost_until =
	    timespec_after_ms(clock_elapsed(self->clock), pause_ms);
}

/* An answer of no use: whoever is followed is left.
 * @return false: the answer is to be taken */
static bool
answer_useless(row_source_t *self, const feed_answer_t *answer)
{
	if (answer->lost) {
		lost_count(self);
		followed_shun(self, SHUN_LOST_MS, "lost");
		return true;
	}
	if (!feed_answer_through(answer, self->members->settings.name))
		return false;
	/* Nobody reads the store in a circle: this one does, until it finds
	 * somebody else. */
	membership_shun(self->members, self->followed, SHUN_CIRCLE_MS);
	follow_stop(self, "circle");
	return true;
}

static void
follow_begin(row_source_t *self, const feed_answer_t *answer)
{
	self->following = true;
	row_follow_tell_lost(self);
	feed_server_refresh(&self->server);
	row_source_suspend(self, true);
	event_line(self->log, "follow", "source=%s rows=%zu age_ms=%" PRId64,
	    self->followed, json_array_size(answer->rows),
	    answer->tables[ROW_TABLE_ORDERS].age_ms);
}

/* Who lives, as whoever is followed says. */
static void
word_take(row_source_t *self, const feed_answer_t *answer, struct timespec sent)
{
	if (answer->vouched_ms >= 0 &&
	    membership_vouched(self->members,
		timespec_after_ms(sent, -answer->vouched_ms), answer->silent))
		feed_server_refresh(&self->server);
}

void
row_follow_take(
    row_source_t *self, const feed_answer_t *answer, struct timespec sent)
{
	membership_answered(self->members, self->followed, sent);
	self->followed_answers = true;
	if (answer_useless(self, answer))
		return;
	row_answer_take(self, answer, sent);
	word_take(self, answer, sent);
	if (tables_old(self, answer)) {
		followed_old(self, answer);
		return;
	}
	self->old = false;
	self->ops->store_clock(self->arg, answer->store_now_ms);
	membership_trust(self->members, self->followed);
	self->lost_answers = 0;
	if (self->following) {
		row_source_suspend(self, true);
		return;
	}
	if (!kept_back_any(self)) {
		follow_begin(self, answer);
		return;
	}
	/* Only all rows of a daemon that knows as much tell how what is kept
	 * back ended. */
	if (!self->taking_less)
		self->followed_source = 0;
}

/* The answer tells what was known when it was sent: no earlier than the
 * question was sent, and then held. */
static void
on_answer(void *arg, const feed_answer_t *answer, struct timespec asked)
{
	row_follow_take(arg, answer, timespec_after_ms(asked, answer->held_ms));
}

static void
on_slow(void *arg)
{
	row_source_t *self = arg;

	event_line(self->log, "slow", "source=%s", self->followed);
	if (row_source_settled(self))
		row_source_beside(self, ROW_TABLE_ENDPOINTS);
}

static void
on_lost(void *arg)
{
	row_source_t *self = arg;

	membership_no_answer(self->members, self->followed);
	followed_shun(self, SHUN_MS, "no_answer");
}

void
row_follow_ask(const row_source_t *self, feed_point_t *from)
{
	from->source = self->followed_source;
	from->change = self->followed_change;
	for (int i = 0; i < ROW_TABLES; i++)
		from->versions[i] = row_source_known(self, (row_table_t)i);
}

static void
on_ask(void *arg, feed_question_t *question)
{
	row_source_t *self = arg;

	snprintf(question->name, sizeof(question->name), "%s",
	    self->members->settings.name);
	row_follow_ask(self, &question->from);
	question->report = self->ops->report(self->arg);
	question->below = membership_below(self->members);
}

static const feed_client_ops_t client_ops = {
    on_ask, on_answer, on_slow, on_lost};

void
row_follow_state(const row_source_t *self, feed_answer_t *answer)
{
	struct timespec now = clock_elapsed(self->clock);

	for (int i = 0; i < ROW_TABLES; i++) {
		const row_watch_t *watch = &self->watches[i].watch;
		int64_t age_ms = row_watch_age_ms(watch);

		feed_table_t *table = &answer->tables[i];

		table->version = row_source_told(self, (row_table_t)i);
		table->known = watch->version > self->named[i] ? watch->version
							       : self->named[i];
		table->age_ms = age_ms == INT64_MAX ? -1 : age_ms;
	}
	answer->store_now_ms =
	    self->members->store_offset_ms + timespec_ms(now);
	answer->vouched_ms = membership_vouch_age_ms(self->members);
	answer->silent = membership_silent(self->members);
	answer->path = json_pack("[s]", self->members->settings.name);
	if (self->following && self->followed_path != NULL)
		json_array_extend(answer->path, self->followed_path);
}

static void
on_state(void *arg, feed_answer_t *answer)
{
	row_follow_state(arg, answer);
}

static void
on_heard(void *arg, const feed_question_t *question)
{
	row_source_t *self = arg;

	membership_heard(self->members, question->name, question->report);
	membership_heard_below(self->members, question->below);
}

static const feed_server_ops_t server_ops = {on_state, on_heard};

static void on_first_wait(evutil_socket_t, short, void *);

void
row_follow_start(row_source_t *self, const char *secret)
{
	char address[MEMBER_NAME_SIZE + 8];
	err_t err;

	snprintf(
	    address, sizeof(address), "tcp://%s", self->settings.peer_address);
	self->context = zmq_ctx_new();
	if (self->context == NULL ||
	    !peer_auth_init(&self->auth, secret, &err) ||
	    !feed_server_init(&self->server, self->base, self->clock,
		self->context, &self->auth, address, &self->cache, &server_ops,
		self, self->incarnation, self->settings.hold_ms) ||
	    !feed_client_init(&self->client, self->base, self->clock,
		self->context, &self->auth, &client_ops, self)) {
		event_line(self->log, "peers_failed", "address=%s", address);
		return;
	}
	self->first_wait = event_new(self->base, -1, 0, on_first_wait, self);
	snprintf(self->secret, sizeof(self->secret), "%s", secret);
	self->keyed = true;
	if (self->ops->secret != NULL)
		self->ops->secret(self->arg, secret);
}

void
row_follow_stop_peers(row_source_t *self)
{
	if (self->first_wait != NULL)
		event_free(self->first_wait);
	self->first_wait = NULL;
	feed_client_finish(&self->client);
	feed_server_finish(&self->server);
	if (self->context != NULL)
		zmq_ctx_term(self->context);
	self->context = NULL;
	self->keyed = false;
}

void
row_follow_end(row_source_t *self)
{
	if (self->followed[0] != '\0')
		follow_end(self, "key");
	row_follow_stop_peers(self);
	row_source_suspend(self, false);
}

/* Whoever is followed anew has a moment to answer. */
static int64_t
first_wait_ms(const row_source_t *self)
{
	int64_t most = self->followed_answers ? FIRST_ROWS_MS : FIRST_ANSWER_MS;
	int64_t all =
	    FIRST_PER_MEMBER_MS * (int64_t)membership_count(self->members);

	if (row_source_settled(self))
		return FIRST_ANSWER_MS;
	return all < most ? all : most;
}

static void
first_wait_start(row_source_t *self)
{
	int64_t ms = first_wait_ms(self);
	struct timeval time = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	if (self->first_wait != NULL)
		event_add(self->first_wait, &time);
}

static bool
first_wait_over(const row_source_t *self)
{
	return timespec_ms_between(self->followed_since,
		   clock_elapsed(self->clock)) >= first_wait_ms(self);
}

static void
on_first_wait(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	row_follow_tick(arg);
}

static void
follow(row_source_t *self, const member_t *member)
{
	char address[MEMBER_NAME_SIZE + 8];

	snprintf(address, sizeof(address), "tcp://%s", member->peer);
	strcpy(self->followed, member->name);
	self->followed_source = 0;
	self->followed_change = 0;
	self->followed_since = clock_elapsed(self->clock);
	self->followed_answers = false;
	if (feed_client_follow(&self->client, address)) {
		first_wait_start(self);
		return;
	}
	self->followed[0] = '\0';
	row_source_suspend(self, false);
}

/* Whether the store does not answer this daemon, as far as it has asked. */
static bool
store_is_lost(const row_source_t *self)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (!self->watches[i].watch.reachable)
			return true;
	}
	return false;
}

/* Nobody stands before this daemon: it reads the store, or, while that does not
 * answer, follows one that stands after it for a time. */
static void
first_step(row_source_t *self)
{
	const member_t *next;

	if (self->down) {
		if (timespec_ms_between(self->followed_since,
			clock_elapsed(self->clock)) >= DOWN_MS)
			follow_stop(self, "store_again");
		return;
	}
	if (self->followed[0] != '\0') {
		follow_stop(self, "no_parent");
		return;
	}
	row_source_suspend(self, false);
	next = membership_next(self->members);
	if (next == NULL || !row_source_settled(self) || !store_is_lost(self))
		return;
	self->down = true;
	follow(self, next);
}

void
row_follow_tick(row_source_t *self)
{
	const member_t *parent = membership_parent(self->members);

	if (self->followed[0] == '\0' &&
	    timespec_ms_between(clock_elapsed(self->clock), self->lost_until) >
		0)
		return;
	if (parent == NULL) {
		first_step(self);
		return;
	}
	if (!self->watches[ROW_TABLE_OWN].watch.settled_once)
		return;
	if (strcmp(parent->name, self->followed) != 0) {
		self->down = false;
		self->following = false;
		follow(self, parent);
	}
	if (!self->following && first_wait_over(self))
		row_source_suspend(self, false);
}
