#include "moortack/replication/row_watch.h"

#include <stdlib.h>
#include <string.h>

#define MS_PER_SEC 1000
#define US_PER_MS 1000
/* Spreads the retries of daemons, so that they do not call a failed store all
 * at once. */
#define RETRY_JITTER_PERCENT 40

static void watch_request(row_watch_t *watch);

static void
watch_schedule(row_watch_t *watch, int64_t delay_ms)
{
	struct timeval delay = {
	    delay_ms / MS_PER_SEC, delay_ms % MS_PER_SEC * US_PER_MS};

	if (!watch->stopped && !watch->suspended)
		event_add(watch->timer, &delay);
}

static int64_t
with_jitter(const row_watch_t *watch, int64_t delay_ms)
{
	struct timespec now = clock_boottime(watch->clock);

	return delay_ms +
	    delay_ms * (now.tv_nsec / US_PER_MS % RETRY_JITTER_PERCENT) / 100;
}

static int64_t
retry_ms(const row_watch_t *watch)
{
	int64_t delay_ms = watch->timing.retry_ms;

	for (uint32_t i = 0; i < watch->failures; i++) {
		if (delay_ms >= watch->timing.retry_max_ms)
			return watch->timing.retry_max_ms;
		delay_ms *= 2;
	}
	return delay_ms;
}

static void
watch_failed(row_watch_t *watch)
{
	watch->in_full_read = false;
	if (watch->reachable) {
		watch->reachable = false;
		watch->ops->reachable(watch->arg, false);
	}
	watch_schedule(watch, with_jitter(watch, retry_ms(watch)));
	watch->failures++;
}

static void
watch_succeeded(row_watch_t *watch)
{
	watch->failures = 0;
	if (watch->reachable)
		return;
	watch->reachable = true;
	watch->ops->reachable(watch->arg, true);
}

static void
rows_pass(row_watch_t *watch, const row_store_response_t *response)
{
	for (size_t i = 0; i < response->rows_len; i++)
		watch->ops->row(watch->arg, &response->rows[i]);
}

static void
watch_synced(
    row_watch_t *watch, bool full_read, const row_store_response_t *response)
{
	if (!watch->synced_once ||
	    timespec_ms_between(watch->synced_at, watch->requested_at) > 0)
		watch->synced_at = watch->requested_at;
	watch->synced_once = true;
	watch->ops->synced(watch->arg, full_read, response);
}

/* Whether another daemon sent later rows while the read was in progress: rows
 * that the read does not return may exist. */
static bool
read_is_outdated(const row_watch_t *watch, const row_store_response_t *response)
{
	uint64_t version =
	    watch->page == NULL ? response->version : watch->read_version;

	return version < watch->version;
}

static void
read_done(void *arg, const row_store_response_t *response)
{
	row_watch_t *watch = arg;

	watch->call_pending = false;
	if (watch->stopped)
		return;
	if (response->result != ROW_OK) {
		watch_failed(watch);
		return;
	}
	watch_succeeded(watch);
	if (read_is_outdated(watch, response)) {
		watch->in_full_read = false;
		watch_schedule(watch, watch->timing.pause_ms);
		return;
	}
	if (watch->page == NULL) {
		/* If the store was restored from an older copy, its current
		 * rows are passed on, but do not replace newer ones: the
		 * holder of the rows compares the versions. */
		watch->read_version = response->version;
		watch->ops->full_read_begin(watch->arg);
	}
	rows_pass(watch, response);
	free(watch->page);
	watch->page = response->next != NULL ? strdup(response->next) : NULL;
	if (watch->page != NULL) {
		watch_request(watch);
		return;
	}
	watch->in_full_read = false;
	watch->version = watch->read_version;
	watch_synced(watch, true, response);
	watch_schedule(watch, watch->timing.pause_ms);
}

static void
poll_done(void *arg, const row_store_response_t *response)
{
	row_watch_t *watch = arg;

	watch->call_pending = false;
	if (watch->stopped)
		return;
	if (response->result == ROW_COMPACTED ||
	    (response->result == ROW_OK &&
		response->version < watch->version)) {
		watch->version = 0;
		watch_schedule(watch, 0);
		return;
	}
	if (response->result != ROW_OK) {
		watch_failed(watch);
		return;
	}
	watch_succeeded(watch);
	rows_pass(watch, response);
	if (response->version > watch->version)
		watch->version = response->version;
	watch_synced(watch, false, response);
	watch_schedule(watch, watch->timing.pause_ms);
}

static void
watch_request(row_watch_t *watch)
{
	bool started;

	if (watch->version == 0) {
		if (!watch->in_full_read) {
			watch->in_full_read = true;
			free(watch->page);
			watch->page = NULL;
			watch->requested_at = clock_boottime(watch->clock);
		}
		started = row_store_read(watch->store,
		    watch->synced_once ? ROW_PURPOSE_REREAD
				       : ROW_PURPOSE_FIRST_READ,
		    watch->table, watch->page, watch->timing.timeout_ms,
		    read_done, watch);
	} else {
		watch->requested_at = clock_boottime(watch->clock);
		started = row_store_poll(watch->store,
		    watch->by_follower ? ROW_PURPOSE_FOLLOWER_POLL
				       : ROW_PURPOSE_POLL,
		    watch->table, watch->version, watch->timing.wait_ms,
		    watch->timing.wait_ms + watch->timing.timeout_ms, poll_done,
		    watch);
	}
	watch->call_pending = started;
	if (!started)
		watch_failed(watch);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	row_watch_t *watch = arg;

	(void)fd;
	(void)what;
	if (!watch->call_pending)
		watch_request(watch);
}

bool
row_watch_init(row_watch_t *watch, struct event_base *base, row_store_t *store,
    const clock_source_t *clock, const char *table,
    const row_watch_timing_t *pace, const row_watch_ops_t *ops, void *arg)
{
	memset(watch, 0, sizeof(*watch));
	watch->store = store;
	watch->clock = clock;
	watch->table = table;
	watch->timing = *pace;
	watch->ops = ops;
	watch->arg = arg;
	watch->timer = event_new(base, -1, 0, on_timer, watch);
	if (watch->timer == NULL)
		return false;
	watch_schedule(watch, 0);
	return true;
}

void
row_watch_finish(row_watch_t *watch)
{
	watch->stopped = true;
	event_free(watch->timer);
	free(watch->page);
}

void
row_watch_start_after(row_watch_t *watch, int64_t delay_ms)
{
	watch_schedule(watch, delay_ms);
}

void
row_watch_poll_now(row_watch_t *watch)
{
	if (!watch->call_pending && !watch->stopped)
		watch_schedule(watch, 0);
}

void
row_watch_suspend(row_watch_t *watch, bool suspend)
{
	if (watch->suspended == suspend)
		return;
	watch->suspended = suspend;
	if (suspend)
		event_del(watch->timer);
	else
		row_watch_poll_now(watch);
}

void
row_watch_advance(
    row_watch_t *watch, uint64_t version, struct timespec synced_at)
{
	if (version > watch->version)
		watch->version = version;
	if (!watch->synced_once ||
	    timespec_ms_between(watch->synced_at, synced_at) > 0)
		watch->synced_at = synced_at;
	watch->synced_once = true;
}

void
row_watch_rewind(row_watch_t *watch, uint64_t version)
{
	if (version < watch->version)
		watch->version = version;
}

int64_t
row_watch_age_ms(const row_watch_t *watch)
{
	if (!watch->synced_once)
		return INT64_MAX;
	return timespec_ms_between(
	    watch->synced_at, clock_boottime(watch->clock));
}
