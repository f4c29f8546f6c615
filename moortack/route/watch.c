#include "moortack/route/watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/http_call.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000
#define ETAG_SIZE 80
#define NEW_LIST_READS 32 /* at each tick after the list changed */
#define READS_IN_FLIGHT_MAX 64

struct endpoint_poller {
	process_context_t process;
	const options_t *options;
	endpoint_poller_sink_t sink;
	http_address_t list_address;
	struct event *list_timer;
	struct event *load_timer;
	json_t *vms; /**< the latest list */
	char list_etag[ETAG_SIZE];
	size_t next_vm;	     /**< index of the VM whose load is read next */
	size_t unpolled_vms; /**< VMs not yet polled since the list changed */
	bool list_pending;
	http_address_t rating_address;
	struct event *rating_timer; /**< NULL: there is no rating service */
	bool rating_pending;
	size_t rating_count;	  /**< ratings received so far */
	uint32_t reads_in_flight; /**< of load reports */
};

typedef struct load_read {
	endpoint_poller_t *poller;
	char address[ENDPOINT_ADDRESS_SIZE];
} load_read_t;

static void
json_release(void *body)
{
	json_decref(body);
}

/* Stores the list's ETag, so that the list is sent again only once it has
 * changed. */
static void
list_etag_store(endpoint_poller_t *poller, const http_response_t *response)
{
	const char *etag = evhttp_find_header(response->headers, "ETag");

	snprintf(poller->list_etag, sizeof(poller->list_etag), "%s",
	    etag != NULL ? etag : "");
}

static void
list_received(void *arg, const http_response_t *response)
{
	endpoint_poller_t *poller = arg;
	json_t *body =
	    response->status == 200 ? http_response_json(response) : NULL;
	json_t *vms = json_object_get(body, "vms");

	poller->list_pending = false;
	/* A failed read is not an empty list: the known endpoints stay. */
	if (json_is_array(vms)) {
		list_etag_store(poller, response);
		json_decref(poller->vms);
		poller->vms = json_incref(vms);
		poller->unpolled_vms = json_array_size(vms);
		task_post(poller->sink.front, poller->sink.list_kind,
		    json_incref(vms), json_release);
	}
	json_decref(body);
}

static void
list_poll(evutil_socket_t fd, short what, void *arg)
{
	endpoint_poller_t *poller = arg;
	const http_header_t headers[] = {
	    {"If-None-Match", poller->list_etag}, {NULL, NULL}};
	const http_call_t call = {.address = &poller->list_address,
	    .method = EVHTTP_REQ_GET,
	    .path = "/vms",
	    .headers = *poller->list_etag != '\0' ? headers : NULL,
	    .timeout_ms = (int)poller->options->store_timeout_ms};

	(void)fd;
	(void)what;
	if (!poller->list_pending)
		poller->list_pending = http_call_start(
		    poller->process.base, &call, list_received, poller);
}

static uint32_t
count_decode(const json_t *body, const char *name)
{
	json_int_t count = json_integer_value(json_object_get(body, name));

	return count > 0 && count < UINT32_MAX ? (uint32_t)count : 0;
}

static void
versions_decode(const json_t *versions, load_report_t *report)
{
	const char *name;
	json_t *fence;

	report->has_versions = json_is_object(versions);
	json_object_foreach((json_t *)versions, name, fence)
	{
		if (report->version_count == ENDPOINT_VERSIONS_MAX)
			return;
		snprintf(report->version_names[report->version_count++],
		    CONFIG_NAME_SIZE, "%s", name);
	}
}

static void
load_received(void *arg, const http_response_t *response)
{
	load_read_t *read = arg;
	load_report_t *report = calloc(1, sizeof(*report));
	json_t *body =
	    response->status == 200 ? http_response_json(response) : NULL;

	read->poller->reads_in_flight--;
	if (report != NULL) {
		memcpy(report->address, read->address, sizeof(read->address));
		report->responded = json_is_object(body);
		report->leaving =
		    json_is_true(json_object_get(body, "leaving"));
		report->running = count_decode(body, "running");
		report->queued = count_decode(body, "queued");
		report->slots = count_decode(body, "slots");
		versions_decode(json_object_get(body, "versions"), report);
		task_post(read->poller->sink.front,
		    read->poller->sink.load_kind, report, NULL);
	}
	json_decref(body);
	free(read);
}

static void
load_read_start(endpoint_poller_t *poller, const char *address)
{
	load_read_t *read = calloc(1, sizeof(*read));
	http_address_t http;
	http_call_t call = {.address = &http,
	    .method = EVHTTP_REQ_GET,
	    .path = "/load",
	    .timeout_ms = (int)poller->options->store_timeout_ms};

	if (read == NULL)
		return;
	read->poller = poller;
	snprintf(read->address, sizeof(read->address), "%s", address);
	if (!http_address_parse(address, &http) ||
	    !http_call_start(
		poller->process.base, &call, load_received, read)) {
		free(read);
		return;
	}
	poller->reads_in_flight++;
}

/* Reads load reports in turn: more of them at each tick until all endpoints
 * were read once since the list changed, then a few. A daemon that learns that
 * an endpoint is leaving notifies all others, so that together the daemons read
 * each endpoint often enough. */
static void
load_poll(evutil_socket_t fd, short what, void *arg)
{
	endpoint_poller_t *poller = arg;
	size_t count = json_array_size(poller->vms);
	uint32_t left = poller->unpolled_vms > 0
	    ? NEW_LIST_READS
	    : (uint32_t)poller->options->load_reads;

	(void)fd;
	(void)what;
	if (poller->reads_in_flight > READS_IN_FLIGHT_MAX)
		return;
	for (size_t i = 0; i < count && left > 0; i++, left--) {
		const char *address = json_string_value(json_object_get(
		    json_array_get(poller->vms, poller->next_vm++ % count),
		    "address"));

		if (poller->unpolled_vms > 0)
			poller->unpolled_vms--;
		if (address != NULL)
			load_read_start(poller, address);
	}
}

static void
ratings_received(void *arg, const http_response_t *response)
{
	endpoint_poller_t *poller = arg;
	json_t *body =
	    response->status == 200 ? http_response_json(response) : NULL;
	json_t *ratings = json_object_get(body, "ratings");

	poller->rating_pending = false;
	if (json_array_size(ratings) > 0) {
		poller->rating_count += json_array_size(ratings);
		task_post(poller->sink.front, poller->sink.ratings_kind,
		    json_incref(ratings), json_release);
	}
	json_decref(body);
}

static void
ratings_poll(evutil_socket_t fd, short what, void *arg)
{
	endpoint_poller_t *poller = arg;
	char path[64];
	const http_call_t call = {.address = &poller->rating_address,
	    .method = EVHTTP_REQ_GET,
	    .path = path,
	    .timeout_ms = (int)poller->options->store_timeout_ms};

	(void)fd;
	(void)what;
	if (poller->rating_pending)
		return;
	snprintf(
	    path, sizeof(path), "/ratings?after=%zu", poller->rating_count);
	poller->rating_pending = http_call_start(
	    poller->process.base, &call, ratings_received, poller);
}

static struct event *
timer_new(endpoint_poller_t *poller, event_callback_fn callback, int64_t ms)
{
	struct timeval interval = {
	    ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};
	struct event *event =
	    event_new(poller->process.base, -1, EV_PERSIST, callback, poller);

	if (event != NULL)
		event_add(event, &interval);
	return event;
}

endpoint_poller_t *
endpoint_poller_new(const process_context_t *process, const options_t *options,
    const endpoint_poller_sink_t *sink, err_t *err)
{
	endpoint_poller_t *poller = calloc(1, sizeof(*poller));

	if (poller == NULL) {
		err_set(err, ERR_MEMORY, "out of memory");
		return NULL;
	}
	poller->process = *process;
	poller->options = options;
	poller->sink = *sink;
	http_address_parse(options->vm_list, &poller->list_address);
	poller->list_timer = timer_new(poller, list_poll, options->list_ms);
	poller->load_timer = timer_new(poller, load_poll, options->load_ms);
	if (http_address_parse(options->rating, &poller->rating_address))
		poller->rating_timer =
		    timer_new(poller, ratings_poll, options->rating_ms);
	list_poll(-1, 0, poller);
	return poller;
}

void
endpoint_poller_free(endpoint_poller_t *poller)
{
	event_free(poller->list_timer);
	event_free(poller->load_timer);
	if (poller->rating_timer != NULL)
		event_free(poller->rating_timer);
	json_decref(poller->vms);
	free(poller);
}
