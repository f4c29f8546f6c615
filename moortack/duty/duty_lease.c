#include "moortack/duty/duty_lease.h"

#include <stdio.h>
#include <string.h>

/* Added wherever a daemon waits for the end of another one's lease: covers the
 * drift between a VM's clock and the store's during a lease. */
#define MARGIN_MS 250
/* The upper bits of a token are the store's era: tokens that a restored copy of
 * the store does not know are lower than those after it. */
#define TOKEN_ERA_SHIFT 32

void
duty_lease_init(
    duty_lease_t *lease, const char *vm, uint64_t process, int64_t lease_ms)
{
	*lease = (duty_lease_t){.process = process, .lease_ms = lease_ms};
	snprintf(lease->vm, sizeof(lease->vm), "%s", vm);
}

/* The store's clock, no later than it is. */
static int64_t
store_now_min_ms(const duty_lease_t *lease, struct timespec now)
{
	return timespec_to_ms(now) + lease->offset_min_ms;
}

/* The store's clock, no earlier than it is. */
static int64_t
store_now_max_ms(const duty_lease_t *lease, struct timespec now)
{
	return timespec_to_ms(now) + lease->offset_max_ms;
}

/* A process that starts can't know how long ago the store was restored. */
static void
era_apply(duty_lease_t *lease, const duty_store_times_t *times)
{
	if (times->era <= lease->era)
		return;
	lease->era = times->era;
	lease->restored_at = times->received_at;
	lease->held = false;
}

static void
times_apply(duty_lease_t *lease, const duty_store_times_t *times)
{
	lease->offset_min_ms =
	    times->store_now_ms - timespec_to_ms(times->received_at);
	lease->offset_max_ms =
	    times->store_now_ms - timespec_to_ms(times->sent_at);
	era_apply(lease, times);
}

static bool
is_own(const duty_lease_t *lease, const duty_lease_row_t *row)
{
	return row->process == lease->process &&
	    strcmp(row->vm, lease->vm) == 0;
}

void
duty_lease_apply_read(duty_lease_t *lease, const duty_lease_row_t *row,
    uint64_t version, const duty_store_times_t *times)
{
	times_apply(lease, times);
	lease->row = row != NULL ? *row : (duty_lease_row_t){0};
	lease->version = version;
	lease->known = true;
	if (!is_own(lease, &lease->row))
		lease->held = false;
}

static int64_t
later_ms(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* The time until which the VM of a past holder must not act again. */
static int64_t
past_end_ms(const duty_lease_t *lease, const duty_past_t *past)
{
	return past->until_ms + lease->lease_ms + MARGIN_MS;
}

/* When this daemon may take the lease, by the store's clock. */
static int64_t
free_at_ms(const duty_lease_t *lease)
{
	const duty_lease_row_t *row = &lease->row;
	int64_t at_ms;

	if (row->vm[0] == '\0')
		return 0;
	at_ms = row->until_ms + MARGIN_MS;
	for (size_t i = 0; i < row->past_len; i++) {
		const duty_past_t *past = &row->past[i];

		if (strcmp(past->vm, lease->vm) == 0)
			at_ms = later_ms(at_ms, past_end_ms(lease, past));
	}
	if (row->past_len == DUTY_PAST_MAX)
		at_ms = later_ms(at_ms, past_end_ms(lease, &row->past[0]));
	return at_ms;
}

static int64_t
restored_wait_ms(const duty_lease_t *lease, struct timespec now)
{
	if (lease->era == 0)
		return 0;
	return lease->lease_ms + MARGIN_MS -
	    timespec_ms_between(lease->restored_at, now);
}

int64_t
duty_lease_wait_ms(const duty_lease_t *lease, struct timespec now)
{
	int64_t wait_ms;

	if (!lease->known)
		return INT64_MAX;
	wait_ms = restored_wait_ms(lease, now);
	if (!is_own(lease, &lease->row))
		wait_ms = later_ms(
		    wait_ms, free_at_ms(lease) - store_now_min_ms(lease, now));
	return later_ms(wait_ms, 0);
}

/* Moves the holder of the row to the past ones, and drops those whose time is
 * over. */
static void
past_update(const duty_lease_t *lease, struct timespec now,
    const duty_lease_row_t *row, duty_lease_row_t *next)
{
	int64_t now_ms = store_now_min_ms(lease, now);

	for (size_t i = 0; i < row->past_len; i++) {
		if (past_end_ms(lease, &row->past[i]) > now_ms)
			next->past[next->past_len++] = row->past[i];
	}
	if (row->vm[0] == '\0' || strcmp(row->vm, lease->vm) == 0 ||
	    next->past_len == DUTY_PAST_MAX)
		return;
	next->past[next->past_len].until_ms = row->until_ms;
	strcpy(next->past[next->past_len++].vm, row->vm);
}

static uint64_t
next_token(const duty_lease_t *lease)
{
	uint64_t lowest = lease->era << TOKEN_ERA_SHIFT;

	return (lease->row.token > lowest ? lease->row.token : lowest) + 1;
}

const duty_lease_row_t *
duty_lease_propose(duty_lease_t *lease, struct timespec now, int64_t progress)
{
	duty_lease_row_t next = {.process = lease->process};

	if (is_own(lease, &lease->row)) {
		next = lease->row;
		/* A write of before the store was restored may take effect
		 * after it, with a token that was assigned twice. */
		if (next.token >> TOKEN_ERA_SHIFT < lease->era)
			next.token = next_token(lease);
	} else {
		strcpy(next.vm, lease->vm);
		next.token = next_token(lease);
		past_update(lease, now, &lease->row, &next);
	}
	next.until_ms = store_now_max_ms(lease, now) + lease->lease_ms;
	next.progress = progress;
	lease->proposed = next;
	lease->proposed_at = now;
	return &lease->proposed;
}

const duty_lease_row_t *
duty_lease_propose_release(duty_lease_t *lease, struct timespec now)
{
	lease->held = false;
	if (!lease->known || !is_own(lease, &lease->row))
		return NULL;
	lease->proposed = lease->row;
	lease->proposed.process = 0;
	lease->proposed.until_ms = store_now_max_ms(lease, now);
	lease->proposed_at = now;
	return &lease->proposed;
}

void
duty_lease_apply_written(
    duty_lease_t *lease, uint64_t version, const duty_store_times_t *times)
{
	uint64_t era = lease->era;

	times_apply(lease, times);
	/* A write that takes effect in a later era than that of its condition
	 * met another row. */
	if (lease->era != era) {
		duty_lease_apply_unknown(lease);
		return;
	}
	lease->row = lease->proposed;
	lease->version = version;
	lease->held = is_own(lease, &lease->row);
	lease->valid_until =
	    timespec_add_ms(lease->proposed_at, lease->lease_ms);
}

void
duty_lease_apply_unknown(duty_lease_t *lease)
{
	lease->known = false;
}

bool
duty_lease_covers(const duty_lease_t *lease, struct timespec now, int64_t ms)
{
	return lease->held &&
	    timespec_ms_between(now, lease->valid_until) >= ms;
}
