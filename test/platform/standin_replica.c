/**
 * @file
 * A fake replica that records the requests it runs and streams events.
 *
 * GET /runs returns the requests that ran, how many callers left early, and the
 * most requests in one second while it was cold; GET /arrivals the latest
 * requests. Faults: "unnamed" omits the attempt id from responses, "hold" never
 * responds, "hold_model" does so for one model, "shed" refuses requests as not
 * run, "fail" responds 500, "cut_after" closes the connection of a stream after
 * so many events, "half_after" ends a stream with half an event after so many,
 * "stray" responds with the id of another attempt, "crash_on" ends the process
 * on a body that begins with this text, "crash_parts" on a prompt that shares
 * one of these parts (a text of ids between spaces), "crash_ms" is the delay
 * before that, "crash_events" the events that such a prompt gets first,
 * "crash_half" ends them inside a further one, "unframed" sends responses with
 * neither a length nor chunks, which end with their connection,
 * "unframed_crash" ends the process in the middle of one that is no stream,
 * "cold_ms" is how long the replica is cold from now on, "cold_most" the
 * requests in a second above which it crashes while cold, "limit" the rate
 * limit that it names, "leaving" its notice that it leaves, "retry_after" the
 * time for which it wants nothing after a refusal (texts of headers), "id" its
 * own id, "confidence" that of its responses, "confidence_small" the same of
 * the small model, "pause_large_ms" the time between events of the large model,
 * "events" the number in a stream and "pause_ms" the time
 * between them, "slots" the number that it says it processes, "waiting" the
 * requests that it says wait there, "room" the most
 * streams that it holds, beyond which it refuses requests, "brittle" how many
 * it may refuse in a second before it falls (text of a header). See
 * standin_kv.h for its KV cache.
 * standin_work.h for those of a limited capacity.
 */
#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "standin/fake.h"
#include "standin/http_server.h"
#include "standin_endless.h"
#include "standin_kv.h"
#include "standin_work.h"

#define ARRIVALS_LISTED_MAX 8192

/** A stream in progress. */
typedef struct stream {
	struct evhttp_request *req;
	struct event *timer;
	int64_t next; /**< id of the next event */
	int64_t last;
	int64_t half;  /**< half an event ends it after this id; 0: none */
	int64_t cut;   /**< its connection closes after this id; 0: none */
	int64_t crash; /**< the process ends after this id; 0: it does not */
	bool closed;   /**< by the caller */
	bool unframed; /**< ends with its connection */
} stream_t;

typedef struct replica {
	fake_t fake;
	json_t *runs;
	rate_window_t arrivals;
	int64_t cold_until_ms;
	int64_t cold_peak; /**< most requests in a second while cold */
	int64_t streams;   /**< in progress */
	rate_window_t refusals;
	int64_t refusals_peak; /**< most in a second while brittle */
	json_t *listed; /**< the latest requests, as arrival_list() adds them */
	work_t work;
	json_t *faults;
} replica_t;

static replica_t replica;

static int64_t
fault_int(const char *name, int64_t fallback)
{
	return fake_json_int(replica.faults, name, fallback);
}

/* A text; NULL: none. */
static const char *
fault_string(const char *name)
{
	return json_string_value(json_object_get(replica.faults, name));
}

static bool
fault_is(const char *name)
{
	return json_is_true(json_object_get(replica.faults, name));
}

static const char *
fault_text(const char *name)
{
	return fault_string(name) != NULL ? fault_string(name) : "";
}

static void
run_record(struct evhttp_request *req)
{
	static const char *const names[] = {"Moortack-Attempt-Id",
	    "Moortack-Tenant-Id", "Moortack-Model-Id", "Last-Event-Id",
	    "Moortack-Credential", "Moortack-Deadline-Ms"};
	json_t *run = json_pack("{s:s}", "uri", evhttp_request_get_uri(req));
	size_t len = evbuffer_get_length(evhttp_request_get_input_buffer(req));

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		const char *value = standin_request_header(req, names[i]);

		if (value != NULL)
			json_object_set_new(run, names[i], json_string(value));
	}
	json_object_set_new(run, "body_len", json_integer((json_int_t)len));
	json_array_append_new(replica.runs, run);
}

static void
header_add_fault(
    struct evhttp_request *req, const char *name, const char *fault)
{
	const char *value = fault_string(fault);

	if (value != NULL)
		standin_response_add_header(req, name, value);
}

static int64_t
response_confidence(struct evhttp_request *req)
{
	const char *model = standin_request_header(req, "Moortack-Model-Id");
	bool small = model != NULL && strcmp(model, "small") == 0;

	return fault_int(small ? "confidence_small" : "confidence",
	    fault_int("confidence", 100));
}

static void
headers_add(struct evhttp_request *req, bool run)
{
	const char *id = fault_is("stray")
	    ? "another"
	    : standin_request_header(req, "Moortack-Attempt-Id");
	char confidence[16];

	if (id != NULL && !fault_is("unnamed"))
		standin_response_add_header(req, "Moortack-Attempt-Id", id);
	work_load_add(&replica.work, replica.faults, replica.streams, req);
	standin_response_add_header(req, "Keep-Alive", "timeout=5");
	header_add_fault(req, "Server-Limit", "limit");
	header_add_fault(req, "Server-Leaving", "leaving");
	header_add_fault(req, "Server-Brittle", "brittle");
	if (!run) {
		header_add_fault(req, "Retry-After", "retry_after");
		standin_response_add_header(req, "Moortack-Not-Executed", "1");
		return;
	}
	snprintf(confidence, sizeof(confidence), "%" PRId64,
	    response_confidence(req));
	standin_response_add_header(
	    req, "Moortack-Estimate-Confidence", confidence);
	standin_response_add_header(
	    req, "Moortack-Response-Signature", "signed");
}

static void
stream_free(stream_t *stream)
{
	replica.streams--;
	event_free(stream->timer);
	free(stream);
}

static void
stream_closed(struct evhttp_connection *conn, void *arg)
{
	(void)conn;
	((stream_t *)arg)->closed = true;
	replica.work.left++;
}

static void
held_closed(struct evhttp_connection *conn, void *arg)
{
	(void)conn;
	(void)arg;
	replica.work.left++;
}

static bool
request_held(struct evhttp_request *req)
{
	const char *model = standin_request_header(req, "Moortack-Model-Id");

	return fault_is("hold") ||
	    (model != NULL && strcmp(fault_text("hold_model"), model) == 0);
}

static void
stream_write(stream_t *stream, struct evbuffer *out)
{
	if (stream->unframed)
		fake_unframed_write(stream->req, out);
	else
		evhttp_send_reply_chunk(stream->req, out);
}

static void
stream_end(stream_t *stream)
{
	standin_unwatch_close(stream->req);
	if (stream->unframed)
		fake_connection_drop(&replica.fake, stream->req);
	else
		evhttp_send_reply_end(stream->req);
	stream_free(stream);
}

/* End the process, inside an event if that is wanted. */
static void
stream_crash(const stream_t *stream)
{
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_printf(out, "id: %" PRId64 "\nda", stream->next);
	if (fault_is("crash_half"))
		fake_unframed_write(stream->req, out);
	_exit(EXIT_FAILURE);
}

static void
stream_step(evutil_socket_t fd, short what, void *arg)
{
	stream_t *stream = arg;
	struct evbuffer *out;

	(void)fd;
	(void)what;
	if (stream->closed) {
		stream_free(stream);
		return;
	}
	if (stream->crash != 0 && stream->next > stream->crash)
		stream_crash(stream);
	if (stream->cut != 0 && stream->next > stream->cut) {
		standin_unwatch_close(stream->req);
		fake_connection_drop(&replica.fake, stream->req);
		stream_free(stream);
		return;
	}
	out = evbuffer_new();
	if (stream->half != 0 && stream->next > stream->half) {
		evbuffer_add_printf(out, "id: %" PRId64 "\nda", stream->next);
		stream_write(stream, out);
		stream->last = 0;
	}
	if (stream->next > stream->last) {
		stream_end(stream);
	} else {
		evbuffer_add_printf(out,
		    "id: %" PRId64 "\ndata: part %" PRId64 "\n\n", stream->next,
		    stream->next);
		stream->next++;
		stream_write(stream, out);
	}
	evbuffer_free(out);
}

/* Whether the prompt shares a part that the process ends on: any but its last
 * one. */
static bool
shares_crash_part(struct evhttp_request *req)
{
	const char *ids = fault_string("crash_parts");
	const char *parts = standin_request_header(req, "Moortack-Prefix-Hash");
	char id[64];

	while (ids != NULL && parts != NULL && strchr(parts, ',') != NULL) {
		snprintf(
		    id, sizeof(id), " %.*s ", (int)strcspn(parts, ":"), parts);
		if (strstr(ids, id) != NULL)
			return true;
		parts = strchr(parts, ',') + 1;
	}
	return false;
}

static void
stream_start(struct evhttp_request *req)
{
	const char *after = standin_request_header(req, "Last-Event-Id");
	stream_t *stream = calloc(1, sizeof(*stream));
	const char *model = standin_request_header(req, "Moortack-Model-Id");
	bool large = model != NULL && strcmp(model, "large") == 0;
	int64_t pause_ms = fault_int(
	    large ? "pause_large_ms" : "pause_ms", fault_int("pause_ms", 5));
	struct timeval pause = {pause_ms / 1000, pause_ms % 1000 * 1000};

	stream->req = req;
	stream->next = (after != NULL ? strtoll(after, NULL, 10) : 0) + 1;
	stream->last = fault_int("events", 20);
	stream->half = fault_int("half_after", 0);
	stream->cut = fault_int("cut_after", 0);
	if (shares_crash_part(req))
		stream->crash = stream->next - 1 + fault_int("crash_events", 0);
	stream->timer =
	    event_new(replica.fake.base, -1, EV_PERSIST, stream_step, stream);
	standin_watch_close(req, stream_closed, stream);
	stream->unframed = fault_is("unframed");
	standin_response_add_header(req, "Content-Type", "text/event-stream");
	if (stream->unframed)
		fake_unframed_begin(req);
	else
		evhttp_send_reply_start(req, 200, NULL);
	event_add(stream->timer, &pause);
	replica.streams++;
}

static void
respond(struct evhttp_request *req, int status, const char *text)
{
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_printf(out, "%s", text);
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
}

static void
respond_unframed(struct evhttp_request *req, const char *text)
{
	struct evbuffer *out = evbuffer_new();
	bool crash = fault_is("unframed_crash");

	fake_unframed_begin(req);
	evbuffer_add(out, text, crash ? strlen(text) / 2 : strlen(text));
	fake_unframed_write(req, out);
	evbuffer_free(out);
	if (crash)
		fake_exit_after(&replica.fake, fault_int("crash_ms", 0));
	else
		fake_connection_drop(&replica.fake, req);
}

static bool
replica_expected(struct evhttp_request *req)
{
	const char *expected =
	    standin_request_header(req, "Moortack-Expect-Replica");
	const char *id = fault_string("id");

	/* Until it is told its id, no request is meant for it. */
	return expected == NULL || (id != NULL && strcmp(expected, id) == 0);
}

static bool
crashes(struct evhttp_request *req)
{
	const char *text = fault_text("crash_on");
	struct evbuffer *body = evhttp_request_get_input_buffer(req);

	if (shares_crash_part(req) && fault_int("crash_events", 0) == 0)
		return true;
	return text[0] != '\0' &&
	    evbuffer_search(body, text, strlen(text), NULL).pos == 0;
}

/* Record a request; too many in a second crash the replica while it is cold. */
static void
arrival_record(void)
{
	int64_t now = fake_now_ms();
	int64_t limit = fault_int("cold_most", RATE_TIMES_MAX);
	int64_t count;

	if (now >= replica.cold_until_ms)
		return;
	count = rate_window_add(&replica.arrivals, now);
	if (count > replica.cold_peak)
		replica.cold_peak = count;
	if (count > limit)
		_exit(EXIT_FAILURE);
}

/* Refuse a request for want of room; more than it may refuse in a second end
 * the process. */
static void
room_refuse(struct evhttp_request *req)
{
	const char *brittle = fault_string("brittle");
	int64_t count = rate_window_add(&replica.refusals, fake_now_ms());

	if (brittle != NULL && count > replica.refusals_peak)
		replica.refusals_peak = count;
	if (brittle != NULL && count > strtol(brittle, NULL, 10))
		_exit(EXIT_FAILURE);
	headers_add(req, false);
	respond(req, 503, "");
}

static void
work_done(struct evhttp_request *req)
{
	headers_add(req, true);
	respond(req, 200, "done\n");
}

/* Add the request's time and id, and what its response says: a rate limit, that
 * the replica leaves, for how long it wants nothing; "": nothing. */
static void
arrival_list(struct evhttp_request *req)
{
	const char *id = standin_request_header(req, "Moortack-Attempt-Id");

	if (json_array_size(replica.listed) == ARRIVALS_LISTED_MAX)
		json_array_remove(replica.listed, 0);
	json_array_append_new(replica.listed,
	    json_pack("[I, s, s, s, s]", (json_int_t)fake_now_ms(),
		id != NULL ? id : "", fault_text("limit"),
		fault_text("leaving"),
		fault_is("shed") ? fault_text("retry_after") : ""));
}

static void
serve(struct fake *fake, struct evhttp_request *req)
{
	const char *uri = evhttp_request_get_uri(req);

	if (strcmp(uri, "/runs") == 0) {
		standin_respond_json(req, 200,
		    json_pack("{s:O, s:I, s:I, s:I}", "runs", replica.runs,
			"left", (json_int_t)replica.work.left, "cold_peak",
			(json_int_t)replica.cold_peak, "refusals_peak",
			(json_int_t)replica.refusals_peak));
		return;
	}
	if (strcmp(uri, "/arrivals") == 0) {
		standin_respond_json(
		    req, 200, json_pack("{s:O}", "arrivals", replica.listed));
		return;
	}
	if (!replica_expected(req)) {
		headers_add(req, false);
		respond(req, 421, "");
		return;
	}
	if (kv_serve(fake->base, req))
		return;
	arrival_list(req);
	if (fault_string("endless") != NULL) {
		if (strcmp(fault_text("endless"), "not_run") != 0)
			run_record(req);
		endless_start(fake->base, req, fault_text("endless"),
		    fault_is("endless_slow"), &replica.work.left);
		return;
	}
	if (fault_is("shed")) {
		headers_add(req, false);
		respond(req, 503, "");
		return;
	}
	if (replica.streams >= fault_int("room", INT64_MAX)) {
		room_refuse(req);
		return;
	}
	arrival_record();
	if (work_wanted(replica.faults, uri)) {
		if (!work_add(&replica.work, fake, replica.faults, req))
			room_refuse(req);
		return;
	}
	run_record(req);
	kv_keep_prompt(req);
	if (crashes(req))
		fake_exit_after(&replica.fake, fault_int("crash_ms", 0));
	if (request_held(req)) {
		standin_watch_close(req, held_closed, NULL);
		return;
	}
	headers_add(req, true);
	if (fault_is("fail") ||
	    replica.streams >= fault_int("fail_from", INT64_MAX))
		respond(req, 500, "failed\n");
	else if (strncmp(uri, "/stream/", 8) == 0)
		stream_start(req);
	else if (fault_is("unframed"))
		respond_unframed(req, "done\n");
	else
		respond(req, 200, "done\n");
}

static void
fault(struct fake *fake, const json_t *faults)
{
	(void)fake;
	json_decref(replica.faults);
	replica.faults = json_deep_copy(faults);
	kv_faults_set(faults);
	if (fault_int("cold_ms", 0) > 0)
		replica.cold_until_ms = fake_now_ms() + fault_int("cold_ms", 0);
}

int
main(int argc, const char **argv)
{
	replica.runs = json_array();
	replica.listed = json_array();
	replica.faults = json_object();
	replica.fake.handle_request = serve;
	replica.fake.handle_fault = fault;
	replica.fake.name = "standin-platform-replica";
	replica.work.started = run_record;
	replica.work.done = work_done;
	return fake_main(&replica.fake, argc, argv);
}
