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
	struct timespec now = clock_boottime(watch->clock);

	return ms + ms * (now.tv_nsec / US_PER_MS % JITTER_PERCENT) / 100;
}

static int64_t
retry_ms(const row_watch_t *watch)
{
	int64_t ms = watch->pace.retry_ms;

	for (uint32_t i = 0; i < watch->failures; i++) {
		if (ms >= watch->pace.retry_most_ms)
			return watch->pace.retry_most_ms;
		ms *= 2;
	}
	return ms;
}

static void
watch_failed(row_watch_t *watch)
{
	watch->in_read = false;
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
	if (!watch->settled_once ||
	    timespec_ms_between(watch->known, watch->asked) > 0)
		watch->known = watch->asked;
	watch->settled_once = true;
	watch->ops->settled(watch->arg, whole, reply);
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

	watch->waiting = false;
	if (watch->stopped)
		return;
	if (reply->result != ROW_OK) {
		watch_failed(watch);
		return;
	}
	reachable_again(watch);
	if (read_is_outdated(watch, reply)) {
		watch->in_read = false;
		watch_later(watch, watch->pace.pause_ms);
		return;
	}
	if (watch->page == NULL) {
		/* A store that went back is not followed down: the rows that
		 * it has now are taken, and their versions judged by those
		 * who hold them. */
		watch->read_version = reply->version;
		watch->ops->restart(watch->arg);
	}
	rows_tell(watch, reply);
	free(watch->page);
	watch->page = reply->next != NULL ? strdup(reply->next) : NULL;
	if (watch->page != NULL) {
		watch_ask(watch);
		return;
	}
	watch->in_read = false;
	watch->version = watch->read_version;
	watch_settled(watch, true, reply);
	watch_later(watch, watch->pace.pause_ms);
}

static void
feed_done(void *arg, const row_reply_t *reply)
{
	row_watch_t *watch = arg;

	watch->waiting = false;
	if (watch->stopped)
		return;
	if (reply->result == ROW_FORGOTTEN ||
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
	watch_later(watch, watch->pace.pause_ms);
}

static void
watch_ask(row_watch_t *watch)
{
	bool started;

	if (watch->version == 0) {
		if (!watch->in_read) {
			watch->in_read = true;
			free(watch->page);
			watch->page = NULL;
			watch->asked = clock_boottime(watch->clock);
		}
		started = row_store_read(watch->store,
		    watch->settled_once ? ROW_FOR_REREAD : ROW_FOR_READ,
		    watch->table, watch->page, watch->pace.timeout_ms,
		    read_done, watch);
	} else {
		watch->asked = clock_boottime(watch->clock);
		started = row_store_feed(watch->store,
		    watch->beside ? ROW_FOR_BESIDE : ROW_FOR_CHANGES,
		    watch->table, watch->version, watch->pace.wait_ms,
		    watch->pace.wait_ms + watch->pace.timeout_ms, feed_done,
		    watch);
	}
	watch->waiting = started;
	if (!started)
		watch_failed(watch);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	row_watch_t *watch = arg;

	(void)fd;
	(void)what;
	if (!watch->waiting)
		watch_ask(watch);
}

bool
row_watch_init(row_watch_t *watch, struct event_base *base, row_store_t *store,
    const clock_source_t *clock, const char *table,
    const row_watch_pace_t *pace, const row_watch_ops_t *ops, void *arg)
{
	memset(watch, 0, sizeof(*watch));
	watch->store = store;
	watch->clock = clock;
	watch->table = table;
	watch->pace = *pace;
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
row_watch_start_in(row_watch_t *watch, int64_t ms)
{
	watch_later(watch, ms);
}

void
row_watch_hurry(row_watch_t *watch)
{
	if (!watch->waiting && !watch->stopped)
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
		row_watch_hurry(watch);
}

void
row_watch_vouch(row_watch_t *watch, uint64_t version, struct timespec known)
{
	if (version > watch->version)
		watch->version = version;
	if (!watch->settled_once ||
	    timespec_ms_between(watch->known, known) > 0)
		watch->known = known;
	watch->settled_once = true;
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
	if (!watch->settled_once)
		return INT64_MAX;
	return timespec_ms_between(watch->known, clock_boottime(watch->clock));
}
