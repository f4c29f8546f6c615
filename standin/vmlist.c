/**
 * @file
 * The platform's list of live and leaving VMs. PUT /vms sets it, GET /vms reads
 * it as it was "lag_ms" ago; the fault "silent" freezes what is read.
 */
#include <stdio.h>
#include <string.h>

#include "common/http_server.h"
#include "standin/fake.h"

typedef struct vmlist {
	fake_t fake;
	json_t *shown;
	json_t *set;
	struct timespec set_at;
	int64_t lag_ms;
	bool silent;
	int64_t number; /**< of the list shown */
} vmlist_t;

static void
shown_update(vmlist_t *list)
{
	struct timespec now = clock_boottime(&list->fake.clock);

	if (list->silent || list->set == NULL ||
	    timespec_ms_between(list->set_at, now) < list->lag_ms)
		return;
	json_decref(list->shown);
	list->shown = list->set;
	list->set = NULL;
	list->number++;
}

/* Sent in full only to those who don't have it yet. */
static void
show(vmlist_t *list, struct evhttp_request *req)
{
	const char *known = http_request_header(req, "If-None-Match");
	char etag[32];

	snprintf(etag, sizeof(etag), "\"%lld\"", (long long)list->number);
	if (known != NULL && strcmp(known, etag) == 0) {
		evhttp_send_reply(req, 304, NULL, NULL);
		return;
	}
	http_response_add_header(req, "ETag", etag);
	http_respond_json(req, 200,
	    list->shown != NULL ? json_incref(list->shown) : json_object());
}

static void
request(fake_t *fake, struct evhttp_request *req)
{
	vmlist_t *list = (vmlist_t *)fake;

	shown_update(list);
	if (evhttp_request_get_command(req) == EVHTTP_REQ_PUT) {
		json_decref(list->set);
		list->set = http_request_json(req, NULL);
		list->set_at = clock_boottime(&fake->clock);
		http_respond_json(req, 200, json_object());
		return;
	}
	show(list, req);
}

static void
fault(fake_t *fake, const json_t *body)
{
	vmlist_t *list = (vmlist_t *)fake;
	const json_t *silent = json_object_get(body, "silent");

	list->lag_ms = fake_json_int(body, "lag_ms", list->lag_ms);
	if (silent != NULL)
		list->silent = json_is_true(silent);
}

int
main(int argc, const char **argv)
{
	vmlist_t list = {.fake = {.handle_request = request,
			     .handle_fault = fault,
			     .name = "vmlist"}};

	return fake_main(&list.fake, argc, argv);
}
