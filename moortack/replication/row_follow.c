#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "moortack/replication/feed_delta.h"
#include "row_source_priv.h"

/* Rows of who is followed that are old for longer are of no use. */
#define OLD_MOST_MS 3000

static bool
rows_are_old(const row_source_t *self)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (row_watch_age_ms(&self->watches[i].watch) >
		    self->settings.old_ms[i])
			return true;
	}
	return false;
}

/* Who was lost has to have news before others rely on it again. */
static bool
is_lost(const row_source_t *self)
{
	bool unreachable = self->parent_lost && !row_parent_store_read(self);

	if (self->following)
		return false;
	for (int i = 0; i < ROW_TABLES; i++)
		unreachable |= !self->watches[i].watch.reachable;
	return unreachable || (self->server.lost && rows_are_old(self));
}

void
row_follow_tell_lost(row_source_t *self)
{
	if (self->keyed)
		feed_server_set_lost(
		    &self->server, is_lost(self), self->leaving || self->down);
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

/* Ask the store for changes that the parent does not tell in time. Only
 * daemons that follow the first one do, and pass on what they read. If all
 * did, a configuration of 1,549 routes on slow links would make 240 of 295
 * daemons call the store at each change (counted in their logs). */
static void
ask_beside(row_source_t *self, row_table_t table)
{
	if (row_source_settled(self) && membership_follows_first(self->members))
		row_source_beside(self, table);
}

/* Whoever is followed has old rows: it may just have lost whom it followed, and
 * has news as soon as it finds another. The store is asked for these meanwhile.
 */
static void
followed_old(row_source_t *self, const feed_answer_t *answer)
{
	struct timespec now = clock_boottime(self->clock);

	if (!self->old) {
		self->old = true;
		self->old_since = now;
		event_log_write(
		    self->log, "behind", "source=%s", self->followed);
	}
	if (timespec_ms_between(self->old_since, now) >= OLD_MOST_MS) {
		row_parent_leave(self, "behind");
		return;
	}
	for (int i = 0; i < ROW_TABLES; i++) {
		if (table_old(self, answer, (row_table_t)i))
			ask_beside(self, (row_table_t)i);
	}
}

/* What the answer says of whoever gave it: it is left, or nothing else is taken
 * of it.
 * @return false: the answer is to be taken */
static bool
answer_useless(row_source_t *self, const feed_answer_t *answer)
{
	if (answer->leaving) {
		row_parent_leave(self, "leaving");
		return true;
	}
	if (feed_answer_through(answer, self->members->settings.name)) {
		row_parent_circle(self);
		return true;
	}
	if (!answer->lost) {
		row_parent_found(self);
		return false;
	}
	row_parent_lost(self);
	return true;
}

static void
follow_begin(row_source_t *self, const feed_answer_t *answer)
{
	self->following = true;
	row_follow_tell_lost(self);
	feed_server_refresh(&self->server);
	row_source_suspend(self, true);
	event_log_write(self->log, "follow",
	    "source=%s rows=%zu age_ms=%" PRId64, self->followed,
	    json_array_size(answer->rows),
	    answer->tables[ROW_TABLE_ORDERS].age_ms);
}

/* Take the word of the parent on which daemons are alive. */
static void
word_take(row_source_t *self, const feed_answer_t *answer, struct timespec sent)
{
	if (answer->vouched_ms >= 0 &&
	    membership_vouched(self->members,
		timespec_add_ms(sent, -answer->vouched_ms), answer->silent))
		feed_server_refresh(&self->server);
}

/* The answer builds on a value that this daemon has not: the next one has to
 * tell whole rows. */
static void
whole_ask(row_source_t *self)
{
	self->followed_source = 0;
	event_log_write(self->log, "base_missing", "source=%s", self->followed);
}

/* Who has just started learns even from one that learns nothing new now, and,
 * if the store may have an older copy, from one that learned through its last
 * run. */
static bool
starter_learns(const row_source_t *self, const feed_answer_t *answer)
{
	if (row_source_settled(self))
		return false;
	return answer->lost ||
	    (self->store->era > 0 &&
		feed_answer_through(answer, self->members->settings.name));
}

void
row_follow_take(row_source_t *self, feed_answer_t *answer, struct timespec sent)
{
	membership_answered(self->members, self->followed, sent);
	self->followed_answers = true;
	if (!feed_delta_resolve(answer, &self->cache)) {
		whole_ask(self);
		return;
	}
	if (starter_learns(self, answer))
		row_answer_take(self, answer, sent);
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
on_answer(void *arg, feed_answer_t *answer, struct timespec asked)
{
	row_follow_take(arg, answer, timespec_add_ms(asked, answer->held_ms));
}

static void
on_slow(void *arg)
{
	row_source_t *self = arg;

	event_log_write(self->log, "slow", "source=%s", self->followed);
	ask_beside(self, ROW_TABLE_ENDPOINTS);
}

static void
on_lost(void *arg)
{
	row_source_t *self = arg;

	membership_no_answer(self->members, self->followed);
	row_parent_leave(self, "no_answer");
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
	question->row = membership_row_request(self->members);
}

static const feed_client_ops_t client_ops = {
    on_ask, on_answer, on_slow, on_lost};

void
row_follow_state(const row_source_t *self, feed_answer_t *answer)
{
	struct timespec now = clock_boottime(self->clock);

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
	    self->members->store_offset_ms + timespec_to_ms(now);
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
	membership_row_requested(self->members, question->name, question->row);
	membership_heard_below(self->members, question->below);
}

static const feed_server_ops_t server_ops = {on_state, on_heard};

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
		event_log_write(
		    self->log, "peers_failed", "address=%s", address);
		return;
	}
	self->first_wait =
	    event_new(self->base, -1, 0, row_parent_first_wait, self);
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
	row_parent_end(self, "key");
	row_follow_stop_peers(self);
	row_source_suspend(self, false);
}
