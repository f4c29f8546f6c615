#include "standin_kv.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/http_server.h"

#define PARTS_MAX 256
#define CAPACITY_DEFAULT 64
#define EVENTS_KEPT 64
#define CALLS_MAX 4
#define TEXT_SIZE 64
#define WAIT_MAX_MS 1000
#define STATUS_BUSY 429

typedef struct part {
	char id[TEXT_SIZE];
	char model[TEXT_SIZE];
	int64_t tokens;
} part_t;

/** A call for events that waits for some. */
typedef struct held_call {
	struct evhttp_request *req;
	struct event *timer;
	int64_t since;
} held_call_t;

typedef struct cache {
	part_t parts[PARTS_MAX]; /**< least recently used first */
	size_t len;
	int64_t epoch;
	int64_t next;	/**< number of the next event */
	json_t *events; /**< the latest */
	held_call_t held[CALLS_MAX];
	size_t held_len;
	size_t held_peak;
	json_t *lists; /**< times of calls */
	json_t *polls;
	json_t *faults;
} cache_t;

static cache_t cache;

static void
cache_init(void)
{
	if (cache.epoch != 0)
		return;
	cache.epoch = fake_now_ms() + 1;
	cache.next = 1;
	cache.events = json_array();
	cache.lists = json_array();
	cache.polls = json_array();
}

static int64_t
fault(const char *name)
{
	return fake_json_int(cache.faults, name, 0);
}

static void
event_record(const char *kind, const part_t *part)
{
	int64_t number = cache.next++;

	if (fault("kv_lose") > 0 && number % fault("kv_lose") == 0)
		return;
	if (json_array_size(cache.events) == EVENTS_KEPT)
		json_array_remove(cache.events, 0);
	json_array_append_new(cache.events,
	    json_pack("[I, s, s, s, I, s]", (json_int_t)number, kind, "",
		part->id, (json_int_t)part->tokens, part->model));
}

static void
part_drop(size_t i)
{
	part_t part = cache.parts[i];

	memmove(&cache.parts[i], &cache.parts[i + 1],
	    (--cache.len - i) * sizeof(part));
	event_record("-", &part);
}

static void
part_keep(const part_t *part)
{
	int64_t capacity =
	    fake_json_int(cache.faults, "kv_capacity", CAPACITY_DEFAULT);

	for (size_t i = 0; i < cache.len; i++) {
		if (strcmp(cache.parts[i].id, part->id) != 0 ||
		    strcmp(cache.parts[i].model, part->model) != 0)
			continue;
		memmove(&cache.parts[i], &cache.parts[i + 1],
		    (cache.len - i - 1) * sizeof(*part));
		cache.parts[cache.len - 1] = *part;
		return;
	}
	while (cache.len > 0 &&
	    (cache.len == PARTS_MAX || (int64_t)cache.len >= capacity))
		part_drop(0);
	cache.parts[cache.len++] = *part;
	event_record("+", part);
}

static void
call_end(held_call_t *call)
{
	event_free(call->timer);
	*call = cache.held[--cache.held_len];
}

static bool
lost_before(int64_t since)
{
	json_t *first = json_array_get(cache.events, 0);

	return json_array_size(cache.events) == EVENTS_KEPT &&
	    json_integer_value(json_array_get(first, 0)) > since;
}

static void
events_respond(struct evhttp_request *req, int64_t since)
{
	json_t *events = json_array();
	json_t *event;
	size_t i;

	json_array_foreach(cache.events, i, event)
	{
		if (json_integer_value(json_array_get(event, 0)) >= since)
			json_array_append(events, event);
	}
	standin_respond_json(req, 200,
	    json_pack("{s:I, s:I, s:b, s:o}", "epoch", (json_int_t)cache.epoch,
		"next", (json_int_t)cache.next, "lost", lost_before(since),
		"events", events));
}

static void
call_respond(held_call_t *call)
{
	standin_unwatch_close(call->req);
	events_respond(call->req, call->since);
	call_end(call);
}

static held_call_t *
call_find(const struct evhttp_request *req)
{
	for (size_t i = 0; i < cache.held_len; i++) {
		if (cache.held[i].req == req)
			return &cache.held[i];
	}
	return NULL;
}

static void
on_wait_over(evutil_socket_t fd, short what, void *arg)
{
	held_call_t *call = call_find(arg);

	(void)fd;
	(void)what;
	if (call != NULL)
		call_respond(call);
}

static void
on_caller_closed(struct evhttp_connection *conn, void *arg)
{
	held_call_t *call = call_find(arg);

	(void)conn;
	if (call != NULL)
		call_end(call);
}

void
kv_keep_prompt(struct evhttp_request *req)
{
	const char *text = standin_request_header(req, "Moortack-Prefix-Hash");
	const char *model = standin_request_header(req, "Moortack-Model-Id");
	int64_t before;
	part_t part;

	cache_init();
	before = cache.next;
	while (text != NULL &&
	    sscanf(text, "%63[0-9a-f]:%" SCNd64, part.id, &part.tokens) == 2) {
		snprintf(part.model, sizeof(part.model), "%.63s",
		    model != NULL ? model : "");
		part_keep(&part);
		text = strchr(text, ',');
		text = text != NULL ? text + 1 : NULL;
	}
	while (cache.next != before && cache.held_len > 0)
		call_respond(&cache.held[0]);
}

static void
list_serve(struct evhttp_request *req)
{
	json_t *held = json_array();

	for (size_t i = 0; i < cache.len; i++)
		json_array_append_new(held,
		    json_pack("[s, s, I, s]", "", cache.parts[i].id,
			(json_int_t)cache.parts[i].tokens,
			cache.parts[i].model));
	standin_respond_json(req, 200,
	    json_pack("{s:I, s:I, s:o}", "epoch", (json_int_t)cache.epoch,
		"next", (json_int_t)cache.next, "held", held));
}

static void
events_serve(struct event_base *base, struct evhttp_request *req)
{
	const char *wait = standin_request_header(req, "Wait-Ms");
	const char *since = strstr(evhttp_request_get_uri(req), "since=");
	int64_t number = since != NULL ? strtoll(since + 6, NULL, 10) : 0;
	int64_t ms = wait != NULL ? strtoll(wait, NULL, 10) : 0;
	struct timeval delay = {ms / 1000, ms % 1000 * 1000};
	held_call_t *call;

	if (cache.next > number || ms <= 0 || ms > WAIT_MAX_MS) {
		events_respond(req, number);
		return;
	}
	if (cache.held_len == CALLS_MAX) {
		evhttp_send_reply(req, STATUS_BUSY, NULL, NULL);
		return;
	}
	call = &cache.held[cache.held_len++];
	*call = (held_call_t){
	    req, event_new(base, -1, 0, on_wait_over, req), number};
	event_add(call->timer, &delay);
	standin_watch_close(req, on_caller_closed, req);
	if (cache.held_len > cache.held_peak)
		cache.held_peak = cache.held_len;
}

static bool
fault_serve(struct evhttp_request *req)
{
	if (fault("kv_status") > 0)
		evhttp_send_reply(req, (int)fault("kv_status"), NULL, NULL);
	else if (fault("kv_garbage") > 0)
		standin_respond_json(req, 200, json_pack("{s:i}", "epoch", 1));
	else
		return fault("kv_silent") > 0;
	return true;
}

bool
kv_serve(struct event_base *base, struct evhttp_request *req)
{
	const char *uri = evhttp_request_get_uri(req);
	bool list = strcmp(uri, "/-/kv-list") == 0;

	cache_init();
	if (strcmp(uri, "/kv") == 0) {
		standin_respond_json(req, 200,
		    json_pack("{s:O, s:O, s:I, s:I}", "lists", cache.lists,
			"polls", cache.polls, "held_peak",
			(json_int_t)cache.held_peak, "kept",
			(json_int_t)cache.len));
		return true;
	}
	if (!list && strncmp(uri, "/-/kv-events", 12) != 0)
		return false;
	json_array_append_new(
	    list ? cache.lists : cache.polls, json_integer(fake_now_ms()));
	if (fault_serve(req))
		return true;
	if (list)
		list_serve(req);
	else
		events_serve(base, req);
	return true;
}

void
kv_faults_set(const json_t *faults)
{
	json_decref(cache.faults);
	cache.faults = json_deep_copy(faults);
}
