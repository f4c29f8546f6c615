/**
 * @file
 * A fake of the platform's interface for duties. GET /calls returns all calls
 * in the order in which they came: path, holder, token, body, milliseconds.
 * Faults: "down"; "status" is returned instead of carrying calls out; "lose"
 * carries them out, and drops the connection.
 */
#include <event2/http.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "standin/fake.h"
#include "standin/http_server.h"

typedef struct duties {
	fake_t fake;
	json_t *calls;
	int64_t status; /**< 0: calls are carried out */
	bool lose;
} duties_t;

static duties_t duties;

static const char *
header_get(struct evhttp_request *req, const char *name)
{
	const char *value =
	    evhttp_find_header(evhttp_request_get_input_headers(req), name);

	return value != NULL ? value : "";
}

static void
call_record(struct evhttp_request *req, const char *path)
{
	json_t *body = standin_request_json(req, NULL);

	json_array_append_new(duties.calls,
	    json_pack("{s:s, s:s, s:I, s:o, s:I}", "path", path, "holder",
		header_get(req, "Moortack-Duty-Holder"), "token",
		(json_int_t)strtoll(
		    header_get(req, "Moortack-Fencing-Token"), NULL, 10),
		"body", body != NULL ? body : json_null(), "at_ms",
		(json_int_t)timespec_to_ms(
		    clock_boottime(&duties.fake.clock))));
}

static void
serve(struct fake *fake, struct evhttp_request *req)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (strcmp(path, "/calls") == 0) {
		standin_respond_json(req, 200, json_deep_copy(duties.calls));
		return;
	}
	if (strcmp(path, "/usage") != 0 && strcmp(path, "/scale") != 0) {
		evhttp_send_reply(req, 404, NULL, NULL);
		return;
	}
	if (duties.status != 0) {
		evhttp_send_reply(req, (int)duties.status, NULL, NULL);
		return;
	}
	call_record(req, path);
	if (duties.lose)
		fake_connection_drop(fake, req);
	else
		evhttp_send_reply(req, 200, NULL, NULL);
}

static void
fault(struct fake *fake, const json_t *faults)
{
	(void)fake;
	duties.status = fake_json_int(faults, "status", 0);
	duties.lose = json_is_true(json_object_get(faults, "lose"));
}

int
main(int argc, const char **argv)
{
	duties.calls = json_array();
	duties.fake.handle_request = serve;
	duties.fake.handle_fault = fault;
	duties.fake.name = "standin-platform-duties";
	return fake_main(&duties.fake, argc, argv);
}
