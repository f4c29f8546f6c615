#include "moortack/replication/row_watch.h"

#include <stdlib.h>
#include <string.h>

#define MS_PER_SEC 1000
#define US_PER_MS 1000
/* A failed store is not asked by all daemons in step. */
#define JITTER_PERCENT 40

static void watch_ask(row_watch_t *watch);

static void
watch_later(row_watch_t *watch, int64_t ms)
{
	struct timeval delay = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	if (!watch->stopped && !watch->suspended)
		event_add(watch->timer, &delay);
}

static int64_t
jittered(const row_watch_t *watch, int64_t ms)
{
	struct timespec now = clock_elapsed(watch->clock);

	return ms + ms * (now.tv_nsec / US_PER_MS % JITTER_PERCENT) / 100;
}

static int64_t
retry_ms(const row_watch_t *watch)
{
	int64_t ms = watch->timing.retry_ms;

	for (uint32_t i = 0; i < watch->failures; i++) {
		if (ms >= watch->timing.retry_max_ms)
			return watch->timing.retry_max_ms;
		ms *= 2;
	}
	return ms;
}

static void
watch_failed(row_watch_t *watch)
{
	watch->in_full_read = false;
	if (watch->reachable) {
		watch->reachable = false;
		watch->ops->reachable(watch->arg, false);
	}
	watch_later(watch, jittered(watch, retry_ms(watch)));
	watch->failures++;
}

static void
reachable_again(row_watch_t *watch)
{
	watch->failures = 0;
	if (watch->reachable)
		return;
	watch->reachable = true;
	watch->ops->reachable(watch->arg, true);
}

static void
rows_tell(row_watch_t *watch, const row_reply_t *reply)
{
	for (size_t i = 0; i < reply->rows_len; i++)
		watch->ops->row(watch->arg, &reply->rows[i]);
}

static void
watch_settled(row_watch_t *watch, bool whole, const row_reply_t *reply)
{
	if (!watch->synced_once ||
	    timespec_ms_between(watch->synced_at, watch->requested_at) > 0)
		watch->synced_at = watch->requested_at;
	watch->synced_once = true;
	watch->ops->synced(watch->arg, whole, reply);
}

/* Another daemon told what is later than this read while it was under way: what
 * the read does not name may be there. */
static bool
read_is_outdated(const row_watch_t *watch, const row_reply_t *reply)
{
	uint64_t version =
	    watch->page == NULL ? reply->version : watch->read_version;

	return version < watch->version;
}

static void
read_done(void *arg, const row_reply_t *reply)
{
	row_watch_t *watch = arg;

	watch->call_pending = false;
	if (watch->stopped)
		return;
	if (reply->result != ROW_OK) {
		watch_failed(watch);
		return;
	}
	reachable_again(watch);
	if (read_is_outdated(watch, reply)) {
		watch->in_full_read = false;
		watch_later(watch, watch->timing.pause_ms);
		return;
	}
	if (watch->page == NULL) {
		/* A store that went back is not followed down: the rows that
		 * it has now are taken, and their versions judged by those
		 * who hold them. */
		watch->read_version = reply->version;
		watch->ops->full_read_begin(watch->arg);
	}
	rows_tell(watch, reply);
	free(watch->page);
	watch->page = reply->next != NULL ? strdup(reply->next) : NULL;
	if (watch->page != NULL) {
		watch_ask(watch);
		return;
	}
	watch->in_full_read = false;
	watch->version = watch->read_version;
	watch_settled(watch, true, reply);
	watch_later(watch, watch->timing.pause_ms);
}

static void
feed_done(void *arg, const row_reply_t *reply)
{
	row_watch_t *watch = arg;

	watch->call_pending = false;
	if (watch->stopped)
		return;
	if (reply->result == ROW_COMPACTED ||
	    (reply->result == ROW_OK && reply->version < watch->version)) {
		watch->version = 0;
		watch_later(watch, 0);
		return;
	}
	if (reply->result != ROW_OK) {
		watch_failed(watch);
		return;
	}
	reachable_again(watch);
	rows_tell(watch, reply);
	if (reply->version > watch->version)
		watch->version = reply->version;
	watch_settled(watch, false, reply);
	watch_later(watch, watch->timing.pause_ms);
}

static void
watch_ask(row_watch_t *watch)
{
	bool started;

	if (watch->version == 0) {
		if (!watch->in_full_read) {
			watch->in_full_read = true;
			free(watch->page);
			watch->page = NULL;
			watch->requested_at = clock_elapsed(watch->clock);
		}
		started = row_store_read(watch->store,
		    watch->synced_once ? ROW_PURPOSE_REREAD
				       : ROW_PURPOSE_FIRST_READ,
		    watch->table, watch->page, watch->timing.timeout_ms,
		    read_done, watch);
	} else {
		watch->requested_at = clock_elapsed(watch->clock);
		started = row_store_poll(watch->store,
		    watch->by_follower ? ROW_PURPOSE_FOLLOWER_POLL
				       : ROW_PURPOSE_POLL,
		    watch->table, watch->version, watch->timing.wait_ms,
		    watch->timing.wait_ms + watch->timing.timeout_ms, feed_done,
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
		watch_ask(watch);
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
	watch_later(watch, 0);
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
row_watch_start_after(row_watch_t *watch, int64_t ms)
{
	watch_later(watch, ms);
}

void
row_watch_poll_now(row_watch_t *watch)
{
	if (!watch->call_pending && !watch->stopped)
		watch_later(watch, 0);
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
row_watch_advance(row_watch_t *watch, uint64_t version, struct timespec known)
{
	if (version > watch->version)
		watch->version = version;
	if (!watch->synced_once ||
	    timespec_ms_between(watch->synced_at, known) > 0)
		watch->synced_at = known;
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
	    watch->synced_at, clock_elapsed(watch->clock));
}
