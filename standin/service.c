/**
 * @file
 * A fake plain service, such as a booking system: it counts runs by request id,
 * or by the "prompt" of the body if there is one, so that a test can name what
 * must run once. GET /runs returns the counts. Faults: "down", "slow_ms" (delay
 * before the run), "late_ms" (delay after it), and "cut" (that many requests
 * run and then have their connection closed without a response).
 */
#include <stdlib.h>
#include <string.h>

#include "standin/fake.h"
#include "standin/http_server.h"

typedef struct service {
	fake_t fake;
	json_t *runs; /**< request id to count */
	int64_t cut;
	int64_t late_ms;
	bool leaving;
} service_t;

/** A response that is sent after a delay. */
typedef struct late_response {
	struct evhttp_request *req;
	json_t *value;
} late_response_t;

static void
late_send(evutil_socket_t fd, short what, void *arg)
{
	late_response_t *late = arg;

	(void)fd;
	(void)what;
	standin_respond_json(late->req, 200, late->value);
	free(late);
}

static void
response_send_late(
    service_t *service, struct evhttp_request *req, json_t *value)
{
	const struct timeval wait = {
	    service->late_ms / 1000, service->late_ms % 1000 * 1000};
	late_response_t *late = malloc(sizeof(*late));

	if (late == NULL)
		return;
	*late = (late_response_t){req, value};
	event_base_once(
	    service->fake.base, -1, EV_TIMEOUT, late_send, late, &wait);
}

static void
call_handle(service_t *service, struct evhttp_request *req)
{
	const char *id = standin_request_header(req, "X-Request-Id");
	json_t *body = standin_request_json(req, NULL);
	const char *name = json_string_value(json_object_get(body, "prompt"));
	int64_t count;

	if (id == NULL) {
		json_decref(body);
		standin_respond_json(req, 400, json_object());
		return;
	}
	if (name == NULL)
		name = id;
	count = fake_json_int(service->runs, name, 0) + 1;
	json_object_set_new(service->runs, name, json_integer(count));
	if (service->cut > 0) {
		service->cut--;
		json_decref(body);
		fake_connection_drop(&service->fake, req);
		return;
	}
	response_send_late(
	    service, req, json_pack("{s:s,s:o*}", "ran", id, "body", body));
}

static void
request(fake_t *fake, struct evhttp_request *req)
{
	service_t *service = (service_t *)fake;
	const char *uri = evhttp_request_get_uri(req);

	if (strcmp(uri, "/runs") == 0)
		standin_respond_json(req, 200, json_incref(service->runs));
	else if (strcmp(uri, "/load") == 0)
		standin_respond_json(req, 200,
		    json_pack("{s:i,s:i,s:i,s:b}", "running", 0, "queued", 0,
			"slots", 64, "leaving", service->leaving));
	else if (evhttp_request_get_command(req) == EVHTTP_REQ_POST)
		call_handle(service, req);
	else
		standin_respond_json(req, 404, json_object());
}

static void
fault(fake_t *fake, const json_t *body)
{
	service_t *service = (service_t *)fake;
	const json_t *leaving = json_object_get(body, "leaving");

	service->cut = fake_json_int(body, "cut", service->cut);
	service->late_ms = fake_json_int(body, "late_ms", service->late_ms);
	if (leaving != NULL)
		service->leaving = json_is_true(leaving);
}

int
main(int argc, const char **argv)
{
	service_t service = {.fake = {.handle_request = request,
				 .handle_fault = fault,
				 .name = "service"}};

	service.runs = json_object();
	return fake_main(&service.fake, argc, argv);
}
