/**
 * @file
 * A plain service, such as a booking system: it counts every run by request id.
 * GET /runs shows the counts. Faults: "down", "slow_ms", and "cut" (that many
 * calls run and then lose their connection).
 */
#include <string.h>

#include "common/http_server.h"
#include "standin/fake.h"

typedef struct service {
	fake_t fake;
	json_t *runs; /**< request id to count */
	int64_t cut;
	bool leaving;
} service_t;

static void
call(service_t *service, struct evhttp_request *req)
{
	const char *id = http_request_header(req, "X-Request-Id");
	json_t *body;
	int64_t count;

	if (id == NULL) {
		http_answer_json(req, 400, json_object());
		return;
	}
	count = fake_int(service->runs, id, 0) + 1;
	json_object_set_new(service->runs, id, json_integer(count));
	if (service->cut > 0) {
		service->cut--;
		fake_drop(&service->fake, req);
		return;
	}
	body = http_request_json(req, NULL);
	http_answer_json(
	    req, 200, json_pack("{s:s,s:o*}", "ran", id, "body", body));
}

static void
request(fake_t *fake, struct evhttp_request *req)
{
	service_t *service = (service_t *)fake;
	const char *uri = evhttp_request_get_uri(req);

	if (strcmp(uri, "/runs") == 0)
		http_answer_json(req, 200, json_incref(service->runs));
	else if (strcmp(uri, "/load") == 0)
		http_answer_json(req, 200,
		    json_pack("{s:i,s:i,s:i,s:b}", "running", 0, "queued", 0,
			"slots", 64, "leaving", service->leaving));
	else if (evhttp_request_get_command(req) == EVHTTP_REQ_POST)
		call(service, req);
	else
		http_answer_json(req, 404, json_object());
}

static void
fault(fake_t *fake, const json_t *body)
{
	service_t *service = (service_t *)fake;
	const json_t *leaving = json_object_get(body, "leaving");

	service->cut = fake_int(body, "cut", service->cut);
	if (leaving != NULL)
		service->leaving = json_is_true(leaving);
}

int
main(int argc, const char **argv)
{
	service_t service = {
	    .fake = {.request = request, .fault = fault, .name = "service"}};

	service.runs = json_object();
	return fake_main(&service.fake, argc, argv);
}
