#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "membership_priv.h"

/* Rows in one transaction. The store accepts a hundred changes; the rest is
 * headroom for expectations. With 50, a fleet of 295 daemons that starts needs
 * 6 calls instead of 295. */
#define BATCH_ROWS_MAX 50
/* A daemon writes its own row if the reader of the store has not done so after
 * this time. A request reaches the reader within 1.1 s (two levels of questions
 * that are held for 0.5 s), and the row is replicated back within 2 s. */
#define WANTED_MS 4000
/* A serving daemon that no other daemon has heard of for this long announces
 * itself through its own row. Most find a daemon to follow sooner. */
#define ALONE_MS 500
#define RETRY_MS 400
#define RETRY_MOST_MS 2000

/** The rows of one transaction, and the memory behind them. */
typedef struct row_batch {
	char keys[BATCH_ROWS_MAX][sizeof(MEMBER_PREFIX) + MEMBER_NAME_SIZE];
	char *values[BATCH_ROWS_MAX];
	row_change_t changes[BATCH_ROWS_MAX];
	size_t len;
} row_batch_t;

static bool
is_set(struct timespec at)
{
	return at.tv_sec != 0 || at.tv_nsec != 0;
}

/* The own row as it ought to be now. */
static json_t *
own_row(membership_t *self)
{
	json_t *row = json_pack("{s:s, s:s, s:s, s:f, s:I, s:I}", "place",
	    self->settings.zone, "peer", self->settings.peer_address, "state",
	    member_state_names[self->state], "strength",
	    self->settings.strength, "beat",
	    (json_int_t)++self->heartbeat_sequence, "at_ms",
	    (json_int_t)member_store_now_ms(self));

	if (row != NULL && self->report != NULL && self->isolated)
		json_object_set(row, "report", self->report);
	return row;
}

/* Whether two rows agree in everything but their time and their report. */
static bool
facts_same(const member_record_t *a, const member_record_t *b)
{
	return a->state == b->state && a->strength == b->strength &&
	    strcmp(a->zone, b->zone) == 0 &&
	    strcmp(a->peer_address, b->peer_address) == 0;
}

static bool
own_row_stored(const membership_t *self)
{
	member_record_t wanted = {
	    .state = self->state, .strength = self->settings.strength};

	strcpy(wanted.zone, self->settings.zone);
	strcpy(wanted.peer_address, self->settings.peer_address);
	return self->stored_record.body != NULL &&
	    facts_same(&wanted, &self->stored_record);
}

/* A starting daemon needs no row: the one of its last run is still stored, or
 * a new one is written once it serves. The exception is the first daemon of
 * all, which the others can find only by its row. */
static bool
own_row_wanted(const membership_t *self)
{
	if (!self->rows_read || !self->store_clock_known)
		return false;
	if (self->state == MEMBER_STARTING && self->members != NULL)
		return false;
	return !own_row_stored(self);
}

static void
wanted_note(membership_t *self, struct timespec now)
{
	if (!own_row_wanted(self))
		self->row_wanted_since = (struct timespec){0};
	else if (!is_set(self->row_wanted_since))
		self->row_wanted_since = now;
}

json_t *
membership_own_row_request(membership_t *self)
{
	return is_set(self->row_wanted_since) ? own_row(self) : NULL;
}

static void
row_request_free(membership_t *self, member_row_request_t *request)
{
	HASH_DEL(self->row_requests, request);
	json_decref(request->row);
	free(request);
}

void
member_row_requests_finish(membership_t *self)
{
	member_row_request_t *request, *next;

	HASH_ITER(hh, self->row_requests, request, next)
	row_request_free(self, request);
}

static member_row_request_t *
request_of(membership_t *self, const char *name)
{
	member_row_request_t *request;

	HASH_FIND_STR(self->row_requests, name, request);
	if (request != NULL)
		return request;
	request = calloc(1, sizeof(*request));
	if (request == NULL)
		return NULL;
	strcpy(request->name, name);
	HASH_ADD_STR(self->row_requests, name, request);
	return request;
}

/* Converts the time of a request from the store's clock to this daemon's. */
static struct timespec
wanted_at(const membership_t *self, int64_t at_ms)
{
	struct timespec now = clock_elapsed(self->clock);
	int64_t age_ms = member_store_now_ms(self) - at_ms;

	return timespec_after_ms(now, age_ms > 0 ? -age_ms : 0);
}

void
membership_add_row_request(
    membership_t *self, const char *name, const json_t *row)
{
	member_record_t facts;
	member_row_request_t *request;

	if (row == NULL ||
	    !member_record_decode(
		name, json_incref((json_t *)(uintptr_t)row), &facts, NULL))
		return;
	request = request_of(self, name);
	if (request != NULL && facts.written_at_ms > request->requested_at_ms) {
		json_decref(request->row);
		request->row = json_incref(facts.body);
		request->requested_at_ms = facts.written_at_ms;
		request->requested_at = wanted_at(self, facts.written_at_ms);
	}
	member_record_finish(&facts);
}

/* Whether the stored row, as last read, is the one that is wanted. */
static bool
request_stored(const membership_t *self, const member_row_request_t *request)
{
	const member_t *member;
	member_record_t wanted, known;
	bool same;

	HASH_FIND_STR(self->members, request->name, member);
	if (member == NULL ||
	    !member_record_decode(
		request->name, json_incref(request->row), &wanted, NULL))
		return false;
	known = (member_record_t){
	    .state = member->state, .strength = member->strength};
	strcpy(known.zone, member->zone);
	strcpy(known.peer_address, member->peer_address);
	same = facts_same(&wanted, &known);
	member_record_finish(&wanted);
	return same;
}

/* Drop requests that are fulfilled, and those not repeated for silent_ms. */
static void
requests_trim(membership_t *self, struct timespec now)
{
	member_row_request_t *request, *next;

	HASH_ITER(hh, self->row_requests, request, next)
	{
		if (request_stored(self, request) ||
		    timespec_ms_between(request->requested_at, now) >=
			self->settings.liveness.silence_timeout_ms)
			row_request_free(self, request);
	}
}

static void
batch_add(row_batch_t *batch, const char *name, json_t *row)
{
	char *key = batch->keys[batch->len];
	char *value = json_dumps(row, JSON_COMPACT);

	if (value == NULL)
		return;
	snprintf(key, sizeof(batch->keys[0]), "%s%s", MEMBER_PREFIX, name);
	batch->values[batch->len] = value;
	batch->changes[batch->len++] =
	    (row_change_t){.table = SYSTEM_TABLE, .key = key, .value = value};
}

static void
own_add(membership_t *self, row_batch_t *batch)
{
	json_t *row = own_row(self);

	batch_add(batch, self->settings.name, row);
	json_decref(row);
}

static void
write_done(void *arg, const row_reply_t *reply)
{
	membership_t *self = arg;

	self->write_pending = false;
	if (reply->result == ROW_OK)
		self->retry_ms = 0;
	else
		self->retry_ms =
		    self->retry_ms == 0 ? RETRY_MS : 2 * self->retry_ms;
	if (self->retry_ms > RETRY_MOST_MS)
		self->retry_ms = RETRY_MOST_MS;
	self->next_write_at = timespec_after_ms(clock_elapsed(self->clock),
	    self->retry_ms > 0 ? self->retry_ms : RETRY_MS);
	self->read_back_pending = true;
}

static void
batch_write(membership_t *self, row_batch_t *batch)
{
	if (batch->len > 0)
		self->write_pending = row_store_write(self->store,
		    ROW_PURPOSE_MEMBER, NULL, 0, batch->changes, batch->len,
		    MEMBER_WRITE_TIMEOUT_MS, write_done, self);
	for (size_t i = 0; i < batch->len; i++)
		free(batch->values[i]);
}

/* Whether the own row is due as a heartbeat, because no daemon asks this
 * one. */
static bool
tells_by_row(const membership_t *self, struct timespec now)
{
	return self->isolated && self->rows_read &&
	    self->state != MEMBER_STARTING &&
	    timespec_ms_between(self->isolated_since, now) >= ALONE_MS &&
	    (!is_set(self->row_heartbeat_at) ||
		timespec_ms_between(self->row_heartbeat_at, now) >=
		    self->settings.row_heartbeat_ms);
}

static bool
own_due(const membership_t *self, struct timespec now)
{
	if (tells_by_row(self, now))
		return true;
	return is_set(self->row_wanted_since) &&
	    (!self->liveness.following ||
		timespec_ms_between(self->row_wanted_since, now) >= WANTED_MS);
}

void
member_rows_tick(membership_t *self, struct timespec now)
{
	row_batch_t batch = {.len = 0};

	wanted_note(self, now);
	requests_trim(self, now);
	if (self->write_pending || self->liveness.frozen ||
	    timespec_ms_between(self->next_write_at, now) < 0)
		return;
	if (own_due(self, now)) {
		own_add(self, &batch);
		self->row_heartbeat_at = now;
	}
	for (const member_row_request_t *request = self->row_requests;
	     request != NULL && !self->liveness.following &&
	     batch.len < BATCH_ROWS_MAX;
	     request = request->hh.next)
		batch_add(&batch, request->name, request->row);
	batch_write(self, &batch);
}
