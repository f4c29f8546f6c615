#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "moortack/replication/feed_delta.h"
#include "row_sync_priv.h"

/* Rows of who is followed that are old for longer are of no use. */
#define OLD_MOST_MS 3000

static bool
rows_are_old(const row_sync_t *self)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (row_watch_age_ms(&self->watches[i].watch) >
		    self->settings.max_age_ms[i])
			return true;
	}
	return false;
}

/* Who was lost has to have news before others rely on it again. */
static bool
is_lost(const row_sync_t *self)
{
	bool unreachable =
	    self->parent_store_unavailable && !row_parent_bypassed(self);

	if (self->following)
		return false;
	for (int i = 0; i < ROW_TABLES; i++)
		unreachable |= !self->watches[i].watch.reachable;
	return unreachable ||
	    (self->server.store_unavailable && rows_are_old(self));
}

void
row_follow_update_status(row_sync_t *self)
{
	if (self->has_key)
		feed_server_set_status(&self->server, is_lost(self),
		    self->leaving || self->follows_next);
}

static bool
kept_back_any(const row_sync_t *self)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (self->withheld_version[i] != 0)
			return true;
	}
	return false;
}

const char *
row_sync_reader(const row_sync_t *self)
{
	size_t len = json_array_size(self->parent_path);

	return len > 0
	    ? json_string_value(json_array_get(self->parent_path, len - 1))
	    : NULL;
}

static bool
table_old(
    const row_sync_t *self, const feed_response_t *answer, row_table_t table)
{
	int64_t age_ms = answer->tables[table].age_ms;

	return age_ms < 0 || age_ms > self->settings.max_age_ms[table];
}

static bool
tables_old(const row_sync_t *self, const feed_response_t *answer)
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
ask_beside(row_sync_t *self, row_table_t table)
{
	if (row_sync_synced(self) && membership_follows_first(self->members))
		row_sync_resume_table(self, table);
}

/* Whoever is followed has old rows: it may just have lost whom it followed, and
 * has news as soon as it finds another. The store is asked for these meanwhile.
 */
static void
followed_old(row_sync_t *self, const feed_response_t *answer)
{
	struct timespec now = clock_elapsed(self->clock);

	if (!self->parent_stale) {
		self->parent_stale = true;
		self->parent_stale_since = now;
		event_line(self->log, "behind", "source=%s", self->parent);
	}
	if (timespec_ms_between(self->parent_stale_since, now) >= OLD_MOST_MS) {
		row_parent_replace(self, "behind");
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
answer_useless(row_sync_t *self, const feed_response_t *answer)
{
	if (answer->leaving) {
		row_parent_replace(self, "leaving");
		return true;
	}
	if (feed_response_path_contains(answer, self->members->settings.name)) {
		row_parent_break_cycle(self);
		return true;
	}
	if (!answer->store_unavailable) {
		row_parent_store_available(self);
		return false;
	}
	row_parent_store_unavailable(self);
	return true;
}

static void
follow_begin(row_sync_t *self, const feed_response_t *answer)
{
	self->following = true;
	row_follow_update_status(self);
	feed_server_respond_all(&self->server);
	row_sync_suspend_reads(self, true);
	event_line(self->log, "follow", "source=%s rows=%zu age_ms=%" PRId64,
	    self->parent, json_array_size(answer->rows),
	    answer->tables[ROW_TABLE_OPERATOR].age_ms);
}

/* Take the word of the parent on which daemons are alive. */
static void
word_take(row_sync_t *self, const feed_response_t *answer, struct timespec sent)
{
	if (answer->liveness_age_ms >= 0 &&
	    membership_vouched(self->members,
		timespec_after_ms(sent, -answer->liveness_age_ms),
		answer->silent))
		feed_server_respond_all(&self->server);
}

/* The answer builds on a value that this daemon has not: the next one has to
 * tell whole rows. */
static void
whole_ask(row_sync_t *self)
{
	self->parent_incarnation = 0;
	event_line(self->log, "base_missing", "source=%s", self->parent);
}

/* Who has just started learns even from one that learns nothing new now, and,
 * if the store may have an older copy, from one that learned through its last
 * run. */
static bool
starter_learns(const row_sync_t *self, const feed_response_t *answer)
{
	if (row_sync_synced(self))
		return false;
	return answer->store_unavailable ||
	    (self->store->era > 0 &&
		feed_response_path_contains(
		    answer, self->members->settings.name));
}

void
row_follow_response(
    row_sync_t *self, feed_response_t *answer, struct timespec sent)
{
	membership_answered(self->members, self->parent, sent);
	self->parent_responded = true;
	if (!feed_delta_resolve(answer, &self->cache)) {
		whole_ask(self);
		return;
	}
	if (starter_learns(self, answer))
		row_response_apply(self, answer, sent);
	if (answer_useless(self, answer))
		return;
	row_response_apply(self, answer, sent);
	word_take(self, answer, sent);
	if (tables_old(self, answer)) {
		followed_old(self, answer);
		return;
	}
	self->parent_stale = false;
	self->ops->store_clock(self->arg, answer->store_now_ms);
	membership_trust(self->members, self->parent);
	if (self->following) {
		row_sync_suspend_reads(self, true);
		return;
	}
	if (!kept_back_any(self)) {
		follow_begin(self, answer);
		return;
	}
	/* Only all rows of a daemon that knows as much tell how what is kept
	 * back ended. */
	if (!self->applying_older)
		self->parent_incarnation = 0;
}

/* The answer tells what was known when it was sent: no earlier than the
 * question was sent, and then held. */
static void
on_answer(void *arg, feed_response_t *answer, struct timespec asked)
{
	row_follow_response(
	    arg, answer, timespec_after_ms(asked, answer->held_ms));
}

static void
on_slow(void *arg)
{
	row_sync_t *self = arg;

	event_line(self->log, "slow", "source=%s", self->parent);
	ask_beside(self, ROW_TABLE_ENDPOINTS);
}

static void
on_lost(void *arg)
{
	row_sync_t *self = arg;

	membership_no_answer(self->members, self->parent);
	row_parent_replace(self, "no_answer");
}

void
row_follow_position(const row_sync_t *self, feed_position_t *from)
{
	from->incarnation = self->parent_incarnation;
	from->change = self->parent_change;
	for (int i = 0; i < ROW_TABLES; i++)
		from->versions[i] =
		    row_sync_requested_version(self, (row_table_t)i);
}

static void
on_ask(void *arg, feed_request_t *question)
{
	row_sync_t *self = arg;

	snprintf(question->name, sizeof(question->name), "%s",
	    self->members->settings.name);
	row_follow_position(self, &question->position);
	question->report = self->ops->report(self->arg);
	question->subtree = membership_below(self->members);
	question->row_request = membership_row_request(self->members);
}

static const feed_client_ops_t client_ops = {
    on_ask, on_answer, on_slow, on_lost};

void
row_follow_fill_state(const row_sync_t *self, feed_response_t *answer)
{
	struct timespec now = clock_elapsed(self->clock);

	for (int i = 0; i < ROW_TABLES; i++) {
		const row_watch_t *watch = &self->watches[i].watch;
		int64_t age_ms = row_watch_age_ms(watch);

		feed_table_state_t *table = &answer->tables[i];

		table->version =
		    row_sync_published_version(self, (row_table_t)i);
		table->deletions_version =
		    watch->version > self->deletions_version[i]
		    ? watch->version
		    : self->deletions_version[i];
		table->age_ms = age_ms == INT64_MAX ? -1 : age_ms;
	}
	answer->store_now_ms =
	    self->members->store_offset_ms + timespec_ms(now);
	answer->liveness_age_ms = membership_vouch_age_ms(self->members);
	answer->silent = membership_silent(self->members);
	answer->path = json_pack("[s]", self->members->settings.name);
	if (self->following && self->parent_path != NULL)
		json_array_extend(answer->path, self->parent_path);
}

static void
on_state(void *arg, feed_response_t *answer)
{
	row_follow_fill_state(arg, answer);
}

static void
on_heard(void *arg, const feed_request_t *question)
{
	row_sync_t *self = arg;

	membership_heard(self->members, question->name, question->report);
	membership_row_requested(
	    self->members, question->name, question->row_request);
	membership_heard_below(self->members, question->subtree);
}

static const feed_server_ops_t server_ops = {on_state, on_heard};

void
row_follow_start(row_sync_t *self, const char *secret)
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
	self->first_response_timer =
	    event_new(self->base, -1, 0, row_parent_first_timeout, self);
	snprintf(self->fleet_key, sizeof(self->fleet_key), "%s", secret);
	self->has_key = true;
	if (self->ops->fleet_key != NULL)
		self->ops->fleet_key(self->arg, secret);
}

void
row_follow_stop(row_sync_t *self)
{
	if (self->first_response_timer != NULL)
		event_free(self->first_response_timer);
	self->first_response_timer = NULL;
	feed_client_finish(&self->client);
	feed_server_finish(&self->server);
	if (self->context != NULL)
		zmq_ctx_term(self->context);
	self->context = NULL;
	self->has_key = false;
}

void
row_follow_reset(row_sync_t *self)
{
	row_parent_unfollow(self, "key");
	row_follow_stop(self);
	row_sync_suspend_reads(self, false);
}
