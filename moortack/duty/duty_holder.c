#include "moortack/duty/duty_holder.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "moortack/replication/era_version.h"

#define LEASE_KEY "lease"
#define KEY_SIZE 128
#define CALL_TIMEOUT_MS 900
#define RETRY_MS 250
#define RETRY_MAX_MS 1000

void
duty_holder_init(
    duty_holder_t *holder, const char *vm, uint64_t process, int64_t lease_ms)
{
	duty_lease_init(&holder->lease, vm, process, lease_ms);
}

static struct timespec
now_of(const duty_holder_t *holder)
{
	return clock_boottime(holder->clock);
}

bool
duty_holder_idle(const duty_holder_t *holder)
{
	return !holder->call_pending &&
	    timespec_ms_between(holder->next_call_at, now_of(holder)) >= 0;
}

bool
duty_holder_must_read(const duty_holder_t *holder)
{
	return !holder->lease.known;
}

bool
duty_holder_may_write(const duty_holder_t *holder)
{
	return !holder->row_is_bad &&
	    duty_lease_wait_ms(&holder->lease, now_of(holder)) == 0;
}

bool
duty_holder_covers(const duty_holder_t *holder, int64_t ms)
{
	return duty_lease_covers(&holder->lease, now_of(holder), ms);
}

uint64_t
duty_holder_token(const duty_holder_t *holder)
{
	return holder->lease.row.token;
}

static duty_store_times_t
call_times(const duty_holder_t *holder, const row_store_response_t *response)
{
	return (duty_store_times_t){.sent_at = holder->sent_at,
	    .received_at = now_of(holder),
	    .store_now_ms = response->now_ms,
	    .era = era_version_era(response->version)};
}

static void
held_log(duty_holder_t *holder)
{
	const duty_lease_t *lease = &holder->lease;

	if (holder->was_held == lease->held)
		return;
	holder->was_held = lease->held;
	holder->takeovers += lease->held;
	event_log_write(holder->log, lease->held ? "duty_taken" : "duty_lost",
	    "duty=%s token=%" PRIu64 " holder=%s until_ms=%" PRId64
	    " progress=%" PRId64 " earlier=%zu era=%" PRIu64,
	    holder->name, lease->row.token, lease->row.vm, lease->row.until_ms,
	    lease->row.progress, lease->row.past_len, lease->era);
}

static void
retry_delay_update(duty_holder_t *holder, bool failed)
{
	if (!failed) {
		holder->retry_ms = 0;
		return;
	}
	holder->refusals++;
	holder->retry_ms =
	    holder->retry_ms == 0 ? RETRY_MS : 2 * holder->retry_ms;
	if (holder->retry_ms > RETRY_MAX_MS)
		holder->retry_ms = RETRY_MAX_MS;
	holder->next_call_at =
	    timespec_add_ms(now_of(holder), holder->retry_ms);
}

static void
call_end(duty_holder_t *holder, bool failed, bool written)
{
	holder->call_pending = false;
	retry_delay_update(holder, failed);
	held_log(holder);
	holder->ops->changed(holder->arg, written);
}

/* The key within the duty, or NULL if the row is another duty's. */
static const char *
own_key(const duty_holder_t *holder, const char *key)
{
	size_t len = strlen(holder->name);

	return strncmp(key, holder->name, len) == 0 && key[len] == '/'
	    ? key + len + 1
	    : NULL;
}

/* A lease that can't be decoded is not taken: its token is not known. */
static void
lease_row_apply(
    duty_holder_t *holder, const row_t *row, const duty_store_times_t *times)
{
	duty_lease_row_t decoded;
	err_t err;
	bool bad =
	    !duty_lease_row_decode(row->value, row->value_len, &decoded, &err);

	if (bad && !holder->row_is_bad)
		event_log_write(holder->log, "duty_row_refused",
		    "duty=%s why=\"%s\"", holder->name, err.detail);
	holder->row_is_bad = bad;
	if (!bad)
		duty_lease_apply_read(
		    &holder->lease, &decoded, row->version, times);
}

static void
rows_apply(duty_holder_t *holder, const row_store_response_t *response,
    bool lease_only)
{
	duty_store_times_t times = call_times(holder, response);
	bool lease_seen = false;

	for (size_t i = 0; i < response->rows_len; i++) {
		const row_t *row = &response->rows[i];
		const char *key = own_key(holder, row->key);

		if (key == NULL || row->deleted)
			continue;
		if (strcmp(key, LEASE_KEY) == 0) {
			lease_seen = true;
			lease_row_apply(holder, row, &times);
		} else if (!lease_only) {
			holder->ops->row(holder->arg, key, row);
		}
	}
	if (lease_seen)
		return;
	holder->row_is_bad = false;
	duty_lease_apply_read(&holder->lease, NULL, 0, &times);
}

/* The table has few rows, so that one page holds them. */
static void
on_read(void *arg, const row_store_response_t *response)
{
	duty_holder_t *holder = arg;
	bool complete = response->result == ROW_OK && response->next == NULL;

	if (complete) {
		holder->ops->read_begin(holder->arg);
		rows_apply(holder, response, false);
	}
	call_end(holder, !complete || holder->row_is_bad, false);
}

void
duty_holder_read(duty_holder_t *holder)
{
	holder->sent_at = now_of(holder);
	holder->call_pending = row_store_read(holder->store, ROW_PURPOSE_DUTY,
	    DUTY_TABLE, NULL, CALL_TIMEOUT_MS, on_read, holder);
}

static void
on_written(void *arg, const row_store_response_t *response)
{
	duty_holder_t *holder = arg;
	duty_store_times_t times;

	switch (response->result) {
	case ROW_OK:
		times = call_times(holder, response);
		duty_lease_apply_written(
		    &holder->lease, response->version, &times);
		break;
	case ROW_CONFLICT:
		/* The duty's rows were changed along with the lease. */
		rows_apply(holder, response, true);
		duty_lease_apply_unknown(&holder->lease);
		break;
	case ROW_REFUSED:
		break;
	case ROW_COMPACTED:
	case ROW_NO_RESPONSE:
		duty_lease_apply_unknown(&holder->lease);
		break;
	}
	call_end(holder, response->result != ROW_OK,
	    response->result == ROW_OK && holder->lease.known);
}

static void
lease_write(duty_holder_t *holder, const duty_lease_row_t *row,
    const row_change_t *changes, size_t changes_len)
{
	char keys[DUTY_CHANGES_MAX + 1][KEY_SIZE];
	row_change_t all[DUTY_CHANGES_MAX + 1];
	char *value = duty_lease_row_encode(row);
	row_change_t expected;

	snprintf(keys[0], KEY_SIZE, "%s/%s", holder->name, LEASE_KEY);
	all[0] =
	    (row_change_t){.table = DUTY_TABLE, .key = keys[0], .value = value};
	expected = all[0];
	expected.expected = holder->lease.version;
	for (size_t i = 0; i < changes_len; i++) {
		snprintf(keys[i + 1], KEY_SIZE, "%s/%s", holder->name,
		    changes[i].key);
		all[i + 1] = (row_change_t){.table = DUTY_TABLE,
		    .key = keys[i + 1],
		    .value = changes[i].value};
	}
	if (value != NULL)
		holder->call_pending = row_store_write(holder->store,
		    ROW_PURPOSE_DUTY, &expected, 1, all, changes_len + 1,
		    CALL_TIMEOUT_MS, on_written, holder);
	if (!holder->call_pending)
		duty_lease_apply_unknown(&holder->lease);
	free(value);
}

void
duty_holder_write(duty_holder_t *holder, int64_t progress,
    const row_change_t *changes, size_t changes_len)
{
	holder->sent_at = now_of(holder);
	lease_write(holder,
	    duty_lease_propose(&holder->lease, holder->sent_at, progress),
	    changes, changes_len);
}

void
duty_holder_release(
    duty_holder_t *holder, const row_change_t *changes, size_t changes_len)
{
	const duty_lease_row_t *row;

	holder->sent_at = now_of(holder);
	row = duty_lease_propose_release(&holder->lease, holder->sent_at);
	if (row != NULL)
		lease_write(holder, row, changes, changes_len);
}
