#include "moortack/route/watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/http_call.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000
#define ETAG_SIZE 80
#define FRESH_READS 32
#define READING_MAX 64

struct watch {
	process_context_t process;
	const options_t *options;
	watch_ports_t ports;
	http_address_t list_address;
	struct event *list_tick;
	struct event *load_tick;
	json_t *vms; /**< the latest list */
	char list_etag[ETAG_SIZE];
	size_t next;  /**< VM whose load is read next */
	size_t fresh; /**< VMs still to be read since the list changed */
	bool list_pending;
	http_address_t rating_address;
	struct event *rating_tick; /**< NULL: there is no rating service */
	bool rating_pending;
	size_t ratings_read;
	uint32_t reading; /**< load reports under way */
};

typedef struct load_read {
	watch_t *watch;
	char address[ENDPOINT_ADDRESS_SIZE];
} load_read_t;

static void
json_release(void *body)
{
	json_decref(body);
}

/* The list's tag, so that it is sent again only once it has changed. */
static void
list_etag_take(watch_t *watch, const http_response_t *reply)
{
	const char *etag = evhttp_find_header(reply->headers, "ETag");

	snprintf(watch->list_etag, sizeof(watch->list_etag), "%s",
	    etag != NULL ? etag : "");
}

static void
list_read(void *arg, const http_response_t *reply)
{
	watch_t *watch = arg;
	json_t *body = reply->status == 200 ? http_response_json(reply) : NULL;
	json_t *vms = json_object_get(body, "vms");

	watch->list_pending = false;
	/* No list is not an empty list: what is known stays. */
	if (json_is_array(vms)) {
		list_etag_take(watch, reply);
		json_decref(watch->vms);
		watch->vms = json_incref(vms);
		watch->fresh = json_array_size(vms);
		task_post(watch->ports.front, watch->ports.list,
		    json_incref(vms), json_release);
	}
	json_decref(body);
}

static void
list_ticked(evutil_socket_t fd, short what, void *arg)
{
	watch_t *watch = arg;
	const http_header_t headers[] = {
	    {"If-None-Match", watch->list_etag}, {NULL, NULL}};
	const http_call_t call = {.address = &watch->list_address,
	    .method = EVHTTP_REQ_GET,
	    .path = "/vms",
	    .headers = *watch->list_etag != '\0' ? headers : NULL,
	    .timeout_ms = (int)watch->options->store_timeout_ms};

	(void)fd;
	(void)what;
	if (!watch->list_pending)
		watch->list_pending = http_call_start(
		    watch->process.base, &call, list_read, watch);
}

static uint32_t
count_of(const json_t *body, const char *name)
{
	json_int_t count = json_integer_value(json_object_get(body, name));

	return count > 0 && count < UINT32_MAX ? (uint32_t)count : 0;
}

static void
versions_take(const json_t *versions, load_report_t *report)
{
	const char *name;
	json_t *fence;

	report->lists_versions = json_is_object(versions);
	json_object_foreach((json_t *)versions, name, fence)
	{
		if (report->version_count == ENDPOINT_VERSIONS_MAX)
			return;
		snprintf(report->version_names[report->version_count++],
		    CONFIG_NAME_SIZE, "%s", name);
	}
}

static void
load_was_read(void *arg, const http_response_t *reply)
{
	load_read_t *read = arg;
	load_report_t *report = calloc(1, sizeof(*report));
	json_t *body = reply->status == 200 ? http_response_json(reply) : NULL;

	read->watch->reading--;
	if (report != NULL) {
		memcpy(report->address, read->address, sizeof(read->address));
		report->answered = json_is_object(body);
		report->leaving =
		    json_is_true(json_object_get(body, "leaving"));
		report->running = count_of(body, "running");
		report->queued = count_of(body, "queued");
		report->slots = count_of(body, "slots");
		versions_take(json_object_get(body, "versions"), report);
		task_post(read->watch->ports.front, read->watch->ports.load,
		    report, NULL);
	}
	json_decref(body);
	free(read);
}

static void
load_start(watch_t *watch, const char *address)
{
	load_read_t *read = calloc(1, sizeof(*read));
	http_address_t http;
	http_call_t call = {.address = &http,
	    .method = EVHTTP_REQ_GET,
	    .path = "/load",
	    .timeout_ms = (int)watch->options->store_timeout_ms};

	if (read == NULL)
		return;
	read->watch = watch;
	snprintf(read->address, sizeof(read->address), "%s", address);
	if (!http_address_parse(address, &http) ||
	    !http_call_start(watch->process.base, &call, load_was_read, read)) {
		free(read);
		return;
	}
	watch->reading++;
}

/* An endpoint that was never read comes first; the others in turn, a few at a
 * time. What one daemon hears of a leave it tells all, so between them the
 * daemons read each endpoint often enough. */
static void
load_ticked(evutil_socket_t fd, short what, void *arg)
{
	watch_t *watch = arg;
	size_t count = json_array_size(watch->vms);
	uint32_t left = watch->fresh > 0 ? FRESH_READS
					 : (uint32_t)watch->options->load_reads;

	(void)fd;
	(void)what;
	if (watch->reading > READING_MAX)
		return;
	for (size_t i = 0; i < count && left > 0; i++, left--) {
		const char *address = json_string_value(json_object_get(
		    json_array_get(watch->vms, watch->next++ % count),
		    "address"));

		if (watch->fresh > 0)
			watch->fresh--;
		if (address != NULL)
			load_start(watch, address);
	}
}

static void
ratings_read(void *arg, const http_response_t *reply)
{
	watch_t *watch = arg;
	json_t *body = reply->status == 200 ? http_response_json(reply) : NULL;
	json_t *ratings = json_object_get(body, "ratings");

	watch->rating_pending = false;
	if (json_array_size(ratings) > 0) {
		watch->ratings_read += json_array_size(ratings);
		task_post(watch->ports.front, watch->ports.ratings,
		    json_incref(ratings), json_release);
	}
	json_decref(body);
}

static void
rating_ticked(evutil_socket_t fd, short what, void *arg)
{
	watch_t *watch = arg;
	char path[64];
	const http_call_t call = {.address = &watch->rating_address,
	    .method = EVHTTP_REQ_GET,
	    .path = path,
	    .timeout_ms = (int)watch->options->store_timeout_ms};

	(void)fd;
	(void)what;
	if (watch->rating_pending)
		return;
	snprintf(path, sizeof(path), "/ratings?after=%zu", watch->ratings_read);
	watch->rating_pending =
	    http_call_start(watch->process.base, &call, ratings_read, watch);
}

static struct event *
tick_new(watch_t *watch, event_callback_fn callback, int64_t ms)
{
	struct timeval interval = {
	    ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};
	struct event *event =
	    event_new(watch->process.base, -1, EV_PERSIST, callback, watch);

	if (event != NULL)
		event_add(event, &interval);
	return event;
}

watch_t *
watch_new(const process_context_t *process, const options_t *options,
    const watch_ports_t *ports, err_t *err)
{
	watch_t *watch = calloc(1, sizeof(*watch));

	if (watch == NULL) {
		err_set(err, ERR_MEMORY, "no memory");
		return NULL;
	}
	watch->process = *process;
	watch->options = options;
	watch->ports = *ports;
	http_address_parse(options->vm_list, &watch->list_address);
	watch->list_tick = tick_new(watch, list_ticked, options->list_ms);
	watch->load_tick = tick_new(watch, load_ticked, options->load_ms);
	if (http_address_parse(options->rating, &watch->rating_address))
		watch->rating_tick =
		    tick_new(watch, rating_ticked, options->rating_ms);
	list_ticked(-1, 0, watch);
	return watch;
}

void
watch_free(watch_t *watch)
{
	event_free(watch->list_tick);
	event_free(watch->load_tick);
	if (watch->rating_tick != NULL)
		event_free(watch->rating_tick);
	json_decref(watch->vms);
	free(watch);
}
