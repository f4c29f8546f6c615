#include "standin_work.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/http_server.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000
#define DEFAULT_SLOTS 8

struct work_item {
	work_t *work;
	struct event_base *base;
	struct evhttp_request *req;
	int64_t ms; /**< time that it takes */
	int64_t slots;
	struct event *timer; /**< NULL: it waits */
	bool closed;	     /**< by the caller */
	work_item_t *next;
};

int64_t
rate_window_add(rate_window_t *window, int64_t now_ms)
{
	int64_t count = 0;

	window->times[window->next++ % RATE_TIMES_MAX] = now_ms;
	for (size_t i = 0; i < RATE_TIMES_MAX; i++)
		count += window->times[i] > now_ms - MS_PER_SEC;
	return count;
}

static void
item_free(work_item_t *item)
{
	work_item_t **link = &item->work->first;

	while (*link != item)
		link = &(*link)->next;
	*link = item->next;
	if (item->timer != NULL)
		event_free(item->timer);
	free(item);
}

static void work_start_next(work_t *);

static void
on_done(evutil_socket_t fd, short what, void *arg)
{
	work_item_t *item = arg;
	work_t *work = item->work;
	struct evhttp_request *req = item->req;
	bool closed = item->closed;

	(void)fd;
	(void)what;
	work->running--;
	item_free(item);
	work_start_next(work);
	if (closed)
		return;
	standin_unwatch_close(req);
	work->done(req);
}

static void
item_start(work_item_t *item)
{
	work_t *work = item->work;
	struct timeval time = {
	    item->ms / MS_PER_SEC, item->ms % MS_PER_SEC * US_PER_MS};

	work->running++;
	item->timer = evtimer_new(item->base, on_done, item);
	event_add(item->timer, &time);
	work->started(item->req);
}

static void
work_start_next(work_t *work)
{
	for (work_item_t *item = work->first;
	     item != NULL && work->running < item->slots; item = item->next) {
		if (item->timer != NULL)
			continue;
		work->waiting--;
		item_start(item);
	}
}

/* A request that is processed keeps its slot, as the work goes on. */
static void
on_closed(struct evhttp_connection *conn, void *arg)
{
	work_item_t *item = arg;

	(void)conn;
	if (item->timer != NULL) {
		item->closed = true;
		item->work->left++;
		return;
	}
	item->work->waiting--;
	item_free(item);
}

bool
work_wanted(const json_t *faults, const char *uri)
{
	return fake_json_int(faults, "work_ms", 0) > 0 &&
	    strncmp(uri, "/stream/", 8) != 0;
}

bool
work_add(work_t *work, struct fake *fake, const json_t *faults,
    struct evhttp_request *req)
{
	int64_t slots = fake_json_int(faults, "slots", DEFAULT_SLOTS);
	bool waits = work->running >= slots;
	work_item_t **link = &work->first;
	work_item_t *item;

	if (waits && work->waiting >= fake_json_int(faults, "queue", 0))
		return false;
	item = calloc(1, sizeof(*item));
	if (item == NULL)
		return false;
	item->work = work;
	item->base = fake->base;
	item->req = req;
	item->slots = slots;
	item->ms = fake_json_int(faults, "work_ms", 0);
	while (*link != NULL)
		link = &(*link)->next;
	*link = item;
	standin_watch_close(req, on_closed, item);
	if (waits)
		work->waiting++;
	else
		item_start(item);
	return true;
}

void
work_load_add(const work_t *work, const json_t *faults, int64_t streams,
    struct evhttp_request *req)
{
	char load[64];

	if (json_is_true(json_object_get(faults, "no_load")))
		return;
	snprintf(load, sizeof(load), "%" PRId64 ",%" PRId64 ",%" PRId64,
	    streams + work->running,
	    work->waiting + fake_json_int(faults, "waiting", 0),
	    fake_json_int(faults, "slots", DEFAULT_SLOTS));
	standin_response_add_header(req, "Moortack-Replica-Load", load);
}
