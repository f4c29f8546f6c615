#include "moortack/relay/row_source.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "moortack/relay/feed_apply.h"

/* A daemon that failed is not followed again for this long. */
#define SHUN_MS 3000
/* The same for one that the store does not answer: longer than it takes to look
 * again. */
#define SHUN_LOST_MS 6000
/* The same for one whose rows come through this daemon: it looks for another
 * itself as soon as it is told. */
#define SHUN_CIRCLE_MS 500
/* Rows that are gone are told of for a minute: who knows less has to be told
 * all. */
#define VERSIONS_KNOWN_MS 20000
/* How long the first answer of another daemon is waited for before the store is
 * read meanwhile. */
#define FIRST_ANSWER_MS 400
/* How long the rows of who is followed may be old before it is shunned. */
#define OLD_MOST_MS 3000
/* How long somebody who stands after this daemon is followed before the store
 * is tried again. */
#define DOWN_MS 4000
#define KEY_TIMEOUT_MS 1500
#define KEY_RETRY_MS 1500
/* Daemons that start together don't all make a key. */
#define KEY_SPREAD_MS 800
#define KEY_SIZE 41

static source_watch_t *
watch_at(row_source_t *self, row_table_t table)
{
	return &self->watches[table];
}

const row_watch_t *
row_source_watch(const row_source_t *self, row_table_t table)
{
	return &self->watches[table].watch;
}

void
row_source_keep_back(row_source_t *self, row_table_t table, uint64_t version)
{
	self->kept_back[table] = version;
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

uint64_t
row_source_told(const row_source_t *self, row_table_t table)
{
	uint64_t version = row_source_watch(self, table)->version;
	uint64_t kept_back = self->kept_back[table];

	return kept_back != 0 && kept_back <= version ? kept_back - 1 : version;
}

uint64_t
row_source_known(const row_source_t *self, row_table_t table)
{
	const row_watch_t *watch = row_source_watch(self, table);

	if (self->kept_back[table] != 0 ||
	    row_watch_age_ms(watch) >= VERSIONS_KNOWN_MS)
		return 0;
	return watch->version;
}

bool
row_source_put(row_source_t *self, row_table_t table, const row_t *row)
{
	bool changed = row_cache_put(&self->cache, table, row);

	if (changed && self->server.flush != NULL)
		feed_server_changed(&self->server);
	return changed;
}

static void
watches_suspend(row_source_t *self, bool suspend)
{
	for (int i = 0; i < ROW_TABLES; i++)
		row_watch_suspend(&self->watches[i].watch, suspend);
}

/* Whoever follows this daemon is told at once when it is no use to do so. */
static void
lost_tell(row_source_t *self)
{
	bool unreachable = false;

	for (int i = 0; i < ROW_TABLES; i++)
		unreachable |= !self->watches[i].watch.reachable;
	if (self->keyed)
		feed_server_set_lost(&self->server,
		    self->leaving || self->down ||
			(unreachable && !self->following));
}

void
row_source_leave(row_source_t *self)
{
	self->leaving = true;
	lost_tell(self);
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
	watches_suspend(self, false);
}

static void
followed_shun(row_source_t *self, int64_t ms, const char *why)
{
	membership_shun(self->members, self->followed, ms);
	follow_end(self, why);
	row_source_tick(self);
	if (self->followed[0] == '\0')
		watches_suspend(self, false);
}

static bool
tables_old(const row_source_t *self, const feed_answer_t *answer)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (answer->tables[i].age_ms < 0 ||
		    answer->tables[i].age_ms > self->settings.old_ms[i])
			return true;
	}
	return false;
}

/* Whoever is followed has old rows: it may just have lost whom it followed, and
 * has news as soon as it finds another. The store is read meanwhile. */
static void
followed_old(row_source_t *self)
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
	self->following = false;
	watches_suspend(self, false);
}

static void
on_answer(void *arg, const feed_answer_t *answer, struct timespec asked)
{
	row_source_t *self = arg;

	if (answer->lost) {
		followed_shun(self, SHUN_LOST_MS, "lost");
		return;
	}
	if (feed_answer_through(answer, self->members->settings.name)) {
		/* Nobody reads the store in a circle: this one does, until it
		 * finds somebody else. */
		membership_shun(self->members, self->followed, SHUN_CIRCLE_MS);
		follow_stop(self, "circle");
		return;
	}
	json_decref(self->followed_path);
	self->followed_path = json_incref(answer->path);
	if (tables_old(self, answer)) {
		followed_old(self);
		return;
	}
	self->old = false;
	self->taking = true;
	feed_apply(answer, &self->cache, self->ops->row, self->arg);
	self->taking = false;
	for (int i = 0; i < ROW_TABLES; i++) {
		const feed_table_t *table = &answer->tables[i];

		row_watch_vouch(&self->watches[i].watch, table->version,
		    timespec_after_ms(asked, -table->age_ms));
		self->ops->settled(self->arg, (row_table_t)i, false);
	}
	self->ops->store_clock(self->arg, answer->store_now_ms);
	membership_trust(self->members, self->followed);
	self->followed_source = answer->source;
	self->followed_change = answer->change;
	if (self->following)
		return;
	if (kept_back_any(self)) {
		/* Only all rows tell how what is kept back ended. */
		self->followed_source = 0;
		return;
	}
	self->following = true;
	lost_tell(self);
	feed_server_refresh(&self->server);
	watches_suspend(self, true);
	event_line(self->log, "follow", "source=%s rows=%zu age_ms=%" PRId64,
	    self->followed, json_array_size(answer->rows),
	    answer->tables[ROW_TABLE_ORDERS].age_ms);
}

static void
on_lost(void *arg)
{
	followed_shun(arg, SHUN_MS, "no_answer");
}

static void
on_ask(void *arg, feed_question_t *question)
{
	row_source_t *self = arg;

	snprintf(question->name, sizeof(question->name), "%s",
	    self->members->settings.name);
	question->source = self->followed_source;
	question->change = self->followed_change;
	for (int i = 0; i < ROW_TABLES; i++)
		question->versions[i] = row_source_known(self, (row_table_t)i);
	question->report = self->ops->report(self->arg);
	question->below = membership_below(self->members);
}

static const feed_client_ops_t client_ops = {on_ask, on_answer, on_lost};

static void
on_state(void *arg, feed_answer_t *answer)
{
	row_source_t *self = arg;
	struct timespec now = clock_elapsed(self->clock);

	for (int i = 0; i < ROW_TABLES; i++) {
		const row_watch_t *watch = &self->watches[i].watch;
		int64_t age_ms = row_watch_age_ms(watch);

		answer->tables[i] =
		    (feed_table_t){row_source_told(self, (row_table_t)i),
			age_ms == INT64_MAX ? -1 : age_ms};
	}
	answer->store_now_ms =
	    self->members->store_offset_ms + timespec_ms(now);
	answer->path = json_pack("[s]", self->members->settings.name);
	if (self->following && self->followed_path != NULL)
		json_array_extend(answer->path, self->followed_path);
}

static void
on_heard(void *arg, const feed_question_t *question)
{
	row_source_t *self = arg;

	membership_heard(self->members, question->name, question->report);
	membership_heard_below(self->members, question->below);
}

static const feed_server_ops_t server_ops = {on_state, on_heard};

static void
peers_start(row_source_t *self, const char *secret)
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
	self->keyed = true;
}

static void
key_written(void *arg, const row_reply_t *reply)
{
	row_source_t *self = arg;

	(void)reply;
	/* Whoever was first, the key is in the table now. */
	self->key_writing = false;
	self->key_after =
	    timespec_after_ms(clock_elapsed(self->clock), KEY_RETRY_MS);
	row_watch_hurry(&self->watches[ROW_TABLE_OWN].watch);
}

/* The first daemon of all makes the fleet's key; the others read it. */
static void
key_make(row_source_t *self)
{
	char public[KEY_SIZE], secret[KEY_SIZE];
	row_change_t expected = {.table = self->settings.tables[ROW_TABLE_OWN],
	    .key = FLEET_KEY_ROW};
	row_change_t change = expected;
	struct timespec now = clock_elapsed(self->clock);

	if (self->key_after.tv_sec == 0)
		self->key_after = timespec_after_ms(
		    now, (int64_t)rng_below(self->rng, KEY_SPREAD_MS));
	if (timespec_ms_between(self->key_after, now) < 0)
		return;
	if (self->key_writing || membership_rank(self->members) != 0 ||
	    zmq_curve_keypair(public, secret) != 0)
		return;
	change.value = secret;
	self->key_writing = self->store->ops->write(self->store, &expected, 1,
	    &change, 1, KEY_TIMEOUT_MS, key_written, self);
}

static void
key_look(row_source_t *self)
{
	const cached_row_t *row =
	    row_cache_find(&self->cache, ROW_TABLE_OWN, FLEET_KEY_ROW);

	if (!self->watches[ROW_TABLE_OWN].watch.settled_once)
		return;
	if (row != NULL && row->value != NULL)
		peers_start(self, row->value);
	else
		key_make(self);
}

static bool
all_settled(const row_source_t *self)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (!self->watches[i].watch.settled_once)
			return false;
	}
	return true;
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
	if (!feed_client_follow(&self->client, address))
		self->followed[0] = '\0';
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
	next = membership_next(self->members);
	if (next == NULL || !all_settled(self) || !store_is_lost(self))
		return;
	self->down = true;
	follow(self, next);
}

void
row_source_tick(row_source_t *self)
{
	const member_t *parent;

	row_cache_trim(&self->cache);
	if (self->settings.peer_address[0] == '\0')
		return;
	lost_tell(self);
	if (!self->keyed) {
		if (self->context == NULL)
			key_look(self);
		return;
	}
	parent = membership_parent(self->members);
	if (parent == NULL) {
		first_step(self);
		return;
	}
	if (self->followed[0] == '\0' && !all_settled(self))
		return;
	if (strcmp(parent->name, self->followed) != 0) {
		self->down = false;
		self->following = false;
		follow(self, parent);
	}
	/* Whoever is followed anew has a moment to answer. */
	if (!self->following &&
	    timespec_ms_between(self->followed_since,
		clock_elapsed(self->clock)) >= FIRST_ANSWER_MS)
		watches_suspend(self, false);
}

static void
on_row(void *arg, const row_t *row)
{
	source_watch_t *watch = arg;

	watch->source->ops->row(watch->source->arg, watch->table, row);
}

static void
on_restart(void *arg)
{
	source_watch_t *watch = arg;

	row_cache_restart(&watch->source->cache, watch->table);
	watch->source->ops->restart(watch->source->arg, watch->table);
}

/* A whole read names every row that there is. */
static void
unread_end(row_source_t *self, row_table_t table)
{
	cached_row_t *row, *next;

	for (row = self->cache.rows; row != NULL; row = next) {
		row_t end = {.key = cached_row_key(row),
		    .version = self->watches[table].watch.read_version,
		    .deleted = true};

		next = row->hh.next;
		if (row->table == table && !row->seen && row->value != NULL)
			self->ops->row(self->arg, table, &end);
	}
}

static void
on_settled(void *arg, bool whole, const row_reply_t *reply)
{
	source_watch_t *watch = arg;
	row_source_t *self = watch->source;

	if (whole)
		unread_end(self, watch->table);
	if (self->old && self->server.flush != NULL)
		feed_server_refresh(&self->server);
	self->ops->store_clock(self->arg, reply->now_ms);
	self->ops->settled(self->arg, watch->table, whole);
}

static void
on_reachable(void *arg, bool now)
{
	source_watch_t *watch = arg;

	row_source_t *self = watch->source;

	lost_tell(self);
	self->ops->reachable(self->arg, watch->table, now);
}

static const row_watch_ops_t watch_ops = {
    on_row, on_restart, on_settled, on_reachable};

bool
row_source_init(row_source_t *self, const row_source_ops_t *ops, void *arg)
{
	self->ops = ops;
	self->arg = arg;
	self->incarnation = rng_bits(self->rng) >> 1 | 1;
	for (int i = 0; i < ROW_TABLES; i++) {
		source_watch_t *watch = watch_at(self, (row_table_t)i);

		watch->source = self;
		watch->table = (row_table_t)i;
		if (!row_watch_init(&watch->watch, self->base, self->store,
			self->clock, self->settings.tables[i],
			&self->settings.paces[i], &watch_ops, watch))
			return false;
	}
	return true;
}

void
row_source_finish(row_source_t *self)
{
	feed_client_finish(&self->client);
	feed_server_finish(&self->server);
	if (self->context != NULL)
		zmq_ctx_term(self->context);
	json_decref(self->followed_path);
	for (int i = 0; i < ROW_TABLES; i++)
		row_watch_finish(&self->watches[i].watch);
	row_cache_finish(&self->cache);
}
