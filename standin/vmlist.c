/**
 * @file
 * A fake of the platform's list of live and leaving VMs. PUT /vms sets it, GET
 * /vms reads it as it was "lag_ms" ago; the fault "silent" stops updates of
 * what is read.
 */
#include <stdio.h>
#include <string.h>

#include "standin/fake.h"
#include "standin/http_server.h"

typedef struct vmlist {
	fake_t fake;
	json_t *published;
	json_t *pending;
	struct timespec pending_at;
	int64_t lag_ms;
	bool silent;
	int64_t version; /**< version of the published list, its ETag */
} vmlist_t;

static void
published_update(vmlist_t *list)
{
	struct timespec now = clock_boottime(&list->fake.clock);

	if (list->silent || list->pending == NULL ||
	    timespec_ms_between(list->pending_at, now) < list->lag_ms)
		return;
	json_decref(list->published);
	list->published = list->pending;
	list->pending = NULL;
	list->version++;
}

/* Responds 304 to a reader that has this version of the list. */
static void
list_send(vmlist_t *list, struct evhttp_request *req)
{
	const char *known = standin_request_header(req, "If-None-Match");
	char etag[32];

	snprintf(etag, sizeof(etag), "\"%lld\"", (long long)list->version);
	if (known != NULL && strcmp(known, etag) == 0) {
		evhttp_send_reply(req, 304, NULL, NULL);
		return;
	}
	standin_response_add_header(req, "ETag", etag);
	standin_respond_json(req, 200,
	    list->published != NULL ? json_incref(list->published)
				    : json_object());
}

static void
request(fake_t *fake, struct evhttp_request *req)
{
	vmlist_t *list = (vmlist_t *)fake;

	published_update(list);
	if (evhttp_request_get_command(req) == EVHTTP_REQ_PUT) {
		json_decref(list->pending);
		list->pending = standin_request_json(req, NULL);
		list->pending_at = clock_boottime(&fake->clock);
		standin_respond_json(req, 200, json_object());
		return;
	}
	list_send(list, req);
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
