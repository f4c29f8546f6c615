#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "membership_priv.h"

/* Rows in one transaction. The store accepts a hundred changes; the rest is
 * headroom for expectations. With 50, a fleet of 295 daemons that starts needs
 * 6 calls instead of 295. */
#define BATCH_ROWS_MAX 50
/* A daemon writes its own row if the tree's root has not done so after this
 * time. A request reaches the root within 1.1 s (on two levels of the tree, a
 * request is held for 0.5 s), and the row is replicated back within 2 s. */
#define ROOT_WRITE_TIMEOUT_MS 4000
/* A serving daemon that has been isolated for this long announces itself by its
 * own row. Most find a daemon to follow sooner. */
#define ISOLATED_DELAY_MS 500
#define RETRY_MS 400
#define RETRY_MAX_MS 2000

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

/* The own row as it should be stored now. */
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

/* Whether two rows are equal except for their times and reports. */
static bool
records_equal(const member_record_t *a, const member_record_t *b)
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
	    records_equal(&wanted, &self->stored_record);
}

/* A starting daemon needs no row: the one of its last run is still stored, or
 * a new one is written once it serves. The exception is a daemon that knows of
 * no others, which these can find only by its row. */
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
update_row_wanted(membership_t *self, struct timespec now)
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
row_request_add(membership_t *self, const char *name)
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
request_time(const membership_t *self, int64_t at_ms)
{
	struct timespec now = clock_boottime(self->clock);
	int64_t age_ms = member_store_now_ms(self) - at_ms;

	return timespec_add_ms(now, age_ms > 0 ? -age_ms : 0);
}

void
membership_add_row_request(
    membership_t *self, const char *name, const json_t *row)
{
	member_record_t record;
	member_row_request_t *request;

	if (row == NULL ||
	    !member_record_decode(
		name, json_incref((json_t *)(uintptr_t)row), &record, NULL))
		return;
	request = row_request_add(self, name);
	if (request != NULL &&
	    record.written_at_ms > request->requested_at_ms) {
		json_decref(request->row);
		request->row = json_incref(record.body);
		request->requested_at_ms = record.written_at_ms;
		request->requested_at =
		    request_time(self, record.written_at_ms);
	}
	member_record_finish(&record);
}

/* Whether the stored row, as last read, is the one that is wanted. */
static bool
row_request_fulfilled(
    const membership_t *self, const member_row_request_t *request)
{
	const member_t *member;
	member_record_t wanted, stored;
	bool same;

	HASH_FIND_STR(self->members, request->name, member);
	if (member == NULL ||
	    !member_record_decode(
		request->name, json_incref(request->row), &wanted, NULL))
		return false;
	stored = (member_record_t){
	    .state = member->state, .strength = member->strength};
	strcpy(stored.zone, member->zone);
	strcpy(stored.peer_address, member->peer_address);
	same = records_equal(&wanted, &stored);
	member_record_finish(&wanted);
	return same;
}

/* Drops requests that are fulfilled, and those not repeated for
 * silence_timeout_ms. */
static void
row_requests_trim(membership_t *self, struct timespec now)
{
	member_row_request_t *request, *next;

	HASH_ITER(hh, self->row_requests, request, next)
	{
		if (row_request_fulfilled(self, request) ||
		    timespec_ms_between(request->requested_at, now) >=
			self->settings.liveness.silence_timeout_ms)
			row_request_free(self, request);
	}
}

static void
batch_add_row(row_batch_t *batch, const char *name, json_t *row)
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
batch_add_own_row(membership_t *self, row_batch_t *batch)
{
	json_t *row = own_row(self);

	batch_add_row(batch, self->settings.name, row);
	json_decref(row);
}

static void
write_done(void *arg, const row_store_response_t *response)
{
	membership_t *self = arg;

	self->write_pending = false;
	if (response->result == ROW_OK)
		self->retry_ms = 0;
	else
		self->retry_ms =
		    self->retry_ms == 0 ? RETRY_MS : 2 * self->retry_ms;
	if (self->retry_ms > RETRY_MAX_MS)
		self->retry_ms = RETRY_MAX_MS;
	self->next_write_at = timespec_add_ms(clock_boottime(self->clock),
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

/* Whether the own row is due as a heartbeat, because this daemon is
 * isolated. */
static bool
row_heartbeat_due(const membership_t *self, struct timespec now)
{
	return self->isolated && self->rows_read &&
	    self->state != MEMBER_STARTING &&
	    timespec_ms_between(self->isolated_since, now) >=
	    ISOLATED_DELAY_MS &&
	    (!is_set(self->row_heartbeat_at) ||
		timespec_ms_between(self->row_heartbeat_at, now) >=
		    self->settings.row_heartbeat_ms);
}

static bool
own_row_due(const membership_t *self, struct timespec now)
{
	if (row_heartbeat_due(self, now))
		return true;
	return is_set(self->row_wanted_since) &&
	    (!self->liveness.following ||
		timespec_ms_between(self->row_wanted_since, now) >=
		    ROOT_WRITE_TIMEOUT_MS);
}

void
member_rows_tick(membership_t *self, struct timespec now)
{
	row_batch_t batch = {.len = 0};

	update_row_wanted(self, now);
	row_requests_trim(self, now);
	if (self->write_pending || self->liveness.frozen ||
	    timespec_ms_between(self->next_write_at, now) < 0)
		return;
	if (own_row_due(self, now)) {
		batch_add_own_row(self, &batch);
		self->row_heartbeat_at = now;
	}
	for (const member_row_request_t *request = self->row_requests;
	     request != NULL && !self->liveness.following &&
	     batch.len < BATCH_ROWS_MAX;
	     request = request->hh.next)
		batch_add_row(&batch, request->name, request->row);
	batch_write(self, &batch);
}
