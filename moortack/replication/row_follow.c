#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "moortack/replication/feed_delta.h"
#include "row_source_priv.h"

/* A parent whose rows are outdated for longer is replaced. */
#define STALE_MAX_MS 3000
/* After as many responses before which rows had changed, a summary is not sent
 * again. */
#define SUMMARIES_OUTDATED_MAX 3

static bool
rows_are_stale(const row_sync_t *self)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (row_watch_age_ms(&self->watches[i].watch) >
		    self->settings.max_age_ms[i])
			return true;
	}
	return false;
}

/* After an outage, this daemon has to have recent rows before others rely on it
 * again. */
static bool
is_unavailable(const row_sync_t *self)
{
	bool unreachable =
	    self->parent_store_unavailable && !row_parent_bypassed(self);

	if (self->following)
		return false;
	for (int i = 0; i < ROW_TABLES; i++)
		unreachable |= !self->watches[i].watch.reachable;
	return unreachable ||
	    (self->server.store_unavailable && rows_are_stale(self));
}

void
row_follow_update_status(row_sync_t *self)
{
	if (self->has_key)
		feed_server_set_status(&self->server, is_unavailable(self),
		    self->leaving || self->follows_next);
}

bool
row_sync_withholds(const row_sync_t *self)
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
table_is_stale(
    const row_sync_t *self, const feed_response_t *response, row_table_t table)
{
	int64_t age_ms = response->tables[table].age_ms;

	return age_ms < 0 || age_ms > self->settings.max_age_ms[table];
}

static bool
any_table_stale(const row_sync_t *self, const feed_response_t *response)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (table_is_stale(self, response, (row_table_t)i))
			return true;
	}
	return false;
}

/* Reads changes from the store that the parent does not send in time. Only
 * daemons that follow the first one do so, and pass on what they read. If all
 * did, a configuration of 1,549 routes on slow links would make 240 of 295
 * daemons call the store at each change (counted in their logs). */
static void
read_from_store(row_sync_t *self, row_table_t table)
{
	if (row_sync_synced(self) && membership_near_root(self->members))
		row_sync_resume_table(self, table);
}

/* The parent's rows are outdated: it may have just lost its own parent, and
 * will have recent rows as soon as it finds another one. Meanwhile the
 * outdated tables are read from the store. */
static void
parent_stale_handle(row_sync_t *self, const feed_response_t *response)
{
	struct timespec now = clock_boottime(self->clock);

	if (!self->parent_stale) {
		self->parent_stale = true;
		self->parent_stale_since = now;
		event_log_write(self->log, "behind", "source=%s", self->parent);
	}
	if (timespec_ms_between(self->parent_stale_since, now) >=
	    STALE_MAX_MS) {
		row_parent_replace(self, "behind");
		return;
	}
	for (int i = 0; i < ROW_TABLES; i++) {
		if (table_is_stale(self, response, (row_table_t)i))
			read_from_store(self, (row_table_t)i);
	}
}

/* Handles what the response says of the parent itself: the parent is replaced,
 * or nothing else of the response is used.
 * @return false if the rows of the response are to be applied */
static bool
response_unusable(row_sync_t *self, const feed_response_t *response)
{
	if (response->leaving) {
		row_parent_replace(self, "leaving");
		return true;
	}
	if (feed_response_path_contains(
		response, self->members->settings.name)) {
		row_parent_break_cycle(self);
		return true;
	}
	if (!response->store_unavailable) {
		row_parent_store_available(self);
		return false;
	}
	row_parent_store_unavailable(self);
	return true;
}

static void
follow_begin(row_sync_t *self, const feed_response_t *response)
{
	self->following = true;
	row_follow_update_status(self);
	feed_server_respond_all(&self->server);
	row_sync_suspend_reads(self, true);
	event_log_write(self->log, "follow",
	    "source=%s rows=%zu age_ms=%" PRId64, self->parent,
	    json_array_size(response->rows),
	    response->tables[ROW_TABLE_OPERATOR].age_ms);
}

/* Applies what the parent reports of which daemons are alive. */
static void
liveness_apply(
    row_sync_t *self, const feed_response_t *response, struct timespec sent)
{
	if (response->liveness_age_ms >= 0 &&
	    membership_apply_liveness(self->members,
		timespec_add_ms(sent, -response->liveness_age_ms),
		response->silent))
		feed_server_respond_all(&self->server);
}

/* The response has a delta to a value that this daemon does not have: the next
 * one has to have entire rows. */
static void
entire_rows_request(row_sync_t *self)
{
	self->parent_incarnation = 0;
	event_log_write(self->log, "base_missing", "source=%s", self->parent);
}

/* Rows that the response relies on have changed since the request. With changes
 * that keep coming, all rows are requested. */
static void
rows_request_again(row_sync_t *self)
{
	self->parent_incarnation = 0;
	self->summaries_outdated++;
	event_log_write(self->log, "rows_changed", "source=%s times=%" PRIu32,
	    self->parent, self->summaries_outdated);
}

/* Whether a starting daemon applies the rows in spite of what else the response
 * says. It does if the store is unavailable to the sender, and, if the store
 * may have been restored from an older copy, if the rows came through this
 * daemon's previous process. */
static bool
starter_applies(const row_sync_t *self, const feed_response_t *response)
{
	if (row_sync_synced(self))
		return false;
	return response->store_unavailable ||
	    (self->store->era > 0 &&
		feed_response_path_contains(
		    response, self->members->settings.name));
}

/* All rows of the response are applied. */
static void
response_applied(row_sync_t *self, const feed_response_t *response)
{
	liveness_apply(self, response, self->apply.sent);
	if (any_table_stale(self, response)) {
		parent_stale_handle(self, response);
		return;
	}
	self->parent_stale = false;
	self->ops->store_clock(self->arg, response->store_now_ms);
	membership_reset_backoff(self->members, self->parent);
	if (self->following) {
		row_sync_suspend_reads(self, true);
		return;
	}
	if (!row_sync_withholds(self)) {
		follow_begin(self, response);
		return;
	}
	/* Only all rows of a daemon that has as many of the withheld changes
	 * show their outcome. */
	if (!self->applying_older)
		self->parent_incarnation = 0;
}

static void
apply_timer_start(row_sync_t *self)
{
	static const struct timeval now = {0, 0};

	if (self->apply.timer != NULL)
		event_add(self->apply.timer, &now);
}

bool
row_follow_continue(row_sync_t *self)
{
	feed_response_t response;

	switch (row_apply_step(self)) {
	case ROW_APPLY_MORE:
		apply_timer_start(self);
		return false;
	case ROW_APPLY_OUTDATED:
		rows_request_again(self);
		row_apply_cancel(self);
		return true;
	case ROW_APPLY_DONE:
		break;
	}
	/* Handling the response may choose another parent. */
	response = self->apply.response;
	self->apply.response = (feed_response_t){0};
	row_apply_cancel(self);
	if (!response_unusable(self, &response))
		response_applied(self, &response);
	feed_response_clear(&response);
	return true;
}

void
row_apply_on_timer(evutil_socket_t fd, short what, void *arg)
{
	row_sync_t *self = arg;

	(void)fd;
	(void)what;
	if (self->apply.active && row_follow_continue(self))
		feed_client_request_next(&self->client);
}

bool
row_follow_response(
    row_sync_t *self, feed_response_t *response, struct timespec sent)
{
	membership_record_response(self->members, self->parent, sent);
	self->parent_responded = true;
	if (self->ops->downlink_received != NULL)
		self->ops->downlink_received(self->arg, response->downlink);
	if (!feed_delta_resolve(response, &self->cache)) {
		entire_rows_request(self);
		return true;
	}
	if (!starter_applies(self, response) &&
	    response_unusable(self, response))
		return true;
	row_apply_begin(self, response, sent);
	return row_follow_continue(self);
}

/* The response has what was known when it was sent: no earlier than the request
 * was sent, plus the time that it was held. */
static bool
on_response(void *arg, feed_response_t *response, struct timespec sent_at)
{
	return row_follow_response(
	    arg, response, timespec_add_ms(sent_at, response->held_ms));
}

static void
on_slow(void *arg)
{
	row_sync_t *self = arg;

	event_log_write(self->log, "slow", "source=%s", self->parent);
	read_from_store(self, ROW_TABLE_ENDPOINTS);
}

static void
on_timeout(void *arg)
{
	row_sync_t *self = arg;

	membership_record_no_response(self->members, self->parent);
	row_parent_replace(self, "no_answer");
}

/* Whether the next response would have all rows of the table. Of changes that
 * are withheld, only all rows show the outcome. */
static bool
table_is_summarized(const row_sync_t *self, row_table_t table)
{
	return table != ROW_TABLE_OPERATOR && !row_sync_withholds(self) &&
	    (self->parent_incarnation == 0 ||
		row_sync_requested_version(self, table) == 0);
}

/* Adds summaries of the rows, so that a new parent sends only those that
 * differ. */
static void
summaries_add(row_sync_t *self, feed_position_t *position)
{
	self->summarized_change = self->cache.last_change;
	if (!row_sync_synced(self) ||
	    self->summaries_outdated >= SUMMARIES_OUTDATED_MAX)
		return;
	for (int i = 0; i < ROW_TABLES; i++) {
		if (!table_is_summarized(self, (row_table_t)i) ||
		    !feed_position_add_summaries(position))
			continue;
		row_summary_fold(&self->cache.summaries[i],
		    self->cache.row_counts[i], &position->summaries[i]);
	}
}

void
row_follow_position(row_sync_t *self, feed_position_t *position)
{
	position->incarnation = self->parent_incarnation;
	position->change = self->parent_change;
	position->summaries = NULL;
	for (int i = 0; i < ROW_TABLES; i++)
		position->versions[i] =
		    row_sync_requested_version(self, (row_table_t)i);
	summaries_add(self, position);
}

static void
on_prepare(void *arg, feed_request_t *request)
{
	row_sync_t *self = arg;

	snprintf(request->name, sizeof(request->name), "%s",
	    self->members->settings.name);
	row_follow_position(self, &request->position);
	request->report = self->ops->report(self->arg);
	request->subtree = membership_subtree(self->members);
	request->row_request = membership_own_row_request(self->members);
	if (self->ops->uplink != NULL)
		request->uplink = self->ops->uplink(self->arg);
}

static const feed_client_ops_t client_ops = {
    on_prepare, on_response, on_slow, on_timeout};

void
row_follow_fill_state(const row_sync_t *self, feed_response_t *response)
{
	struct timespec now = clock_boottime(self->clock);

	for (int i = 0; i < ROW_TABLES; i++) {
		const row_watch_t *watch = &self->watches[i].watch;
		int64_t age_ms = row_watch_age_ms(watch);

		feed_table_state_t *table = &response->tables[i];

		table->version =
		    row_sync_published_version(self, (row_table_t)i);
		table->deletions_version =
		    watch->version > self->deletions_version[i]
		    ? watch->version
		    : self->deletions_version[i];
		table->age_ms = age_ms == INT64_MAX ? -1 : age_ms;
	}
	response->store_now_ms =
	    self->members->store_clock_offset_ms + timespec_to_ms(now);
	response->liveness_age_ms = membership_liveness_age_ms(self->members);
	response->silent = membership_silent_names(self->members);
	response->path = json_pack("[s]", self->members->settings.name);
	if (self->following && self->parent_path != NULL)
		json_array_extend(response->path, self->parent_path);
	if (self->ops->downlink != NULL)
		response->downlink = self->ops->downlink(self->arg);
}

static void
on_fill_state(void *arg, feed_response_t *response)
{
	row_follow_fill_state(arg, response);
}

static void
on_request(void *arg, const feed_request_t *request)
{
	row_sync_t *self = arg;

	membership_record_request(
	    self->members, request->name, request->report);
	membership_add_row_request(
	    self->members, request->name, request->row_request);
	membership_apply_subtree(self->members, request->subtree);
	if (self->ops->uplink_received != NULL)
		self->ops->uplink_received(
		    self->arg, request->name, request->uplink);
}

static const feed_server_ops_t server_ops = {on_fill_state, on_request};

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
		self, self->incarnation, self->settings.hold_ms,
		self->settings.peers_max) ||
	    !feed_client_init(&self->client, self->base, self->clock,
		self->context, &self->auth, &client_ops, self)) {
		event_log_write(
		    self->log, "peers_failed", "address=%s", address);
		return;
	}
	self->server.meter = self->meter;
	self->client.meter = self->meter;
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
	row_apply_cancel(self);
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
