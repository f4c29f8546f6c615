/**
 * @file
 * A fake model engine: an OpenAI-compatible completion path with a limited
 * number of slots, a prefix cache, a load report with a lag, orders with a
 * fencing number, and streams that can be resumed at an offset or cancelled.
 *
 * The response to a prompt is "PROMPT w1 w2 ... wN", so that a test can check
 * that a complete response reached the caller that asked for it.
 *
 * Faults: "down", "slow_ms", "token_ms", "slots", "lag_ms", "cut_after"
 * (truncate the next stream after so many tokens), "bad" (a version that
 * fails), "ignore_fence", "leaving", "takes_all" (accept requests even while
 * leaving), "crash_on" (exit on a prompt that begins with this text).
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin/engine_stream.h"

#define DEFAULT_TOKENS 8
#define MAX_TOKENS 100000
#define DEFAULT_SLOTS 8
#define SAMPLE_MS 5
/* Token intervals before the first token if the prefix is uncached. */
#define PREFILL_TICKS 2

static bool
prefix_hit(engine_t *engine, const char *prompt)
{
	uint64_t hash = 5381;

	for (const char *p = prompt; *p != '\0' && *p != '|'; p++)
		hash = hash * 33 + (unsigned char)*p;
	for (size_t i = 0; i < ENGINE_PREFIXES_MAX; i++) {
		if (engine->prefixes[i] == hash) {
			engine->prefix_hits++;
			return true;
		}
	}
	engine->prefixes[engine->prefix_count++ % ENGINE_PREFIXES_MAX] = hash;
	return false;
}

static const char *
prompt_get(const json_t *body)
{
	const json_t *messages = json_object_get(body, "messages");
	const json_t *last =
	    json_array_get(messages, json_array_size(messages) - 1);

	return json_string_value(json_object_get(last, "content"));
}

static void
run_record(engine_t *engine, struct evhttp_request *req, const char *id,
    const char *version)
{
	const char *organisation =
	    standin_request_header(req, "X-Organisation");

	json_array_append_new(engine->runs,
	    json_pack("{s:s,s:s,s:s,s:I}", "id", id, "version", version,
		"organisation", organisation != NULL ? organisation : "",
		"at_ms",
		(json_int_t)timespec_to_ms(clock_wall(&engine->fake.clock))));
}

static bool
version_fails(const engine_t *engine, const char *version)
{
	const char *bad = json_string_value(
	    json_object_get(engine->fake.faults.latest, "bad"));

	return bad != NULL && strcmp(bad, version) == 0;
}

static bool
prompt_crashes(const engine_t *engine, const char *prompt)
{
	const char *text = json_string_value(
	    json_object_get(engine->fake.faults.latest, "crash_on"));

	return text != NULL && strncmp(prompt, text, strlen(text)) == 0;
}

static void
completion_handle(
    engine_t *engine, struct evhttp_request *req, const json_t *body)
{
	const char *id = standin_request_header(req, "X-Request-Id");
	const char *version = json_string_value(json_object_get(body, "model"));
	const char *prompt = prompt_get(body);
	stream_t *stream;

	if (id == NULL || version == NULL || prompt == NULL) {
		standin_respond_json(req, 400, json_object());
		return;
	}
	if ((engine->leaving && !engine->takes_all) ||
	    json_object_get(engine->versions, version) == NULL) {
		/* Refused before it ran: the caller may report "not run". */
		standin_response_add_header(req, "X-Not-Run", "1");
		standin_respond_json(req, 503, json_object());
		return;
	}
	run_record(engine, req, id, version);
	if (prompt_crashes(engine, prompt))
		_exit(EXIT_FAILURE);
	if (version_fails(engine, version)) {
		standin_respond_json(req, 500, json_object());
		return;
	}
	stream = calloc(1, sizeof(*stream));
	stream->engine = engine;
	snprintf(stream->id, sizeof(stream->id), "%s", id);
	snprintf(stream->version, sizeof(stream->version), "%s", version);
	snprintf(stream->prompt, sizeof(stream->prompt), "%s", prompt);
	stream->token_count = fake_json_int(body, "max_tokens", DEFAULT_TOKENS);
	if (stream->token_count < 1 || stream->token_count > MAX_TOKENS)
		stream->token_count = DEFAULT_TOKENS;
	stream->json_response = !json_is_true(json_object_get(body, "stream"));
	stream->prefill_ticks = prefix_hit(engine, prompt) ? 0 : PREFILL_TICKS;
	stream->timer =
	    event_new(engine->fake.base, -1, 0, engine_stream_tick, stream);
	HASH_ADD_STR(engine->streams, id, stream);
	engine->queued++;
	engine_stream_attach(stream, req);
	engine_queue_run(engine);
}

static void
stream_resume(engine_t *engine, struct evhttp_request *req, const char *id)
{
	stream_t *stream;
	char from[32] = "0";

	HASH_FIND_STR(engine->streams, id, stream);
	if (stream == NULL || stream->json_response || stream->req != NULL) {
		standin_respond_json(req, 404, json_object());
		return;
	}
	standin_request_query_param(req, "from", from, sizeof(from));
	stream->sent = strtoll(from, NULL, 10);
	engine_stream_attach(stream, req);
	engine_stream_flush(stream);
	if (stream->done)
		engine_stream_end(stream);
}

static void
stream_cancel(engine_t *engine, struct evhttp_request *req, const char *id)
{
	stream_t *stream;

	HASH_FIND_STR(engine->streams, id, stream);
	if (stream != NULL && !stream->done) {
		event_del(stream->timer);
		if (stream->running)
			engine->running--;
		else
			engine->queued--;
		stream->done = true;
		stream->running = false;
		if (stream->req != NULL)
			engine_stream_end(stream);
		engine_queue_run(engine);
	}
	standin_respond_json(req, 200, json_object());
}

static void
order_handle(engine_t *engine, struct evhttp_request *req, const json_t *body)
{
	const char *op = json_string_value(json_object_get(body, "op"));
	const char *version =
	    json_string_value(json_object_get(body, "version"));
	int64_t fence = fake_json_int(body, "fence", 0);

	if (op == NULL || version == NULL) {
		standin_respond_json(req, 400, json_object());
		return;
	}
	if (!engine->ignore_fence && fence < engine->highest_fence) {
		standin_respond_json(req, 412, json_object());
		return;
	}
	engine->highest_fence = fence;
	if (strcmp(op, "load") == 0)
		json_object_set_new(
		    engine->versions, version, json_integer(fence));
	else
		json_object_del(engine->versions, version);
	standin_respond_json(req, 200, json_object());
}

static void
load_respond(engine_t *engine, struct evhttp_request *req)
{
	uint64_t back = (uint64_t)(engine->lag_ms / SAMPLE_MS);
	uint64_t at =
	    engine->sample_count > back ? engine->sample_count - back : 0;
	const int64_t *load = engine->load_samples[at % ENGINE_LOAD_SAMPLES];

	standin_respond_json(req, 200,
	    json_pack("{s:I,s:I,s:I,s:b,s:O,s:I}", "running",
		(json_int_t)load[0], "queued", (json_int_t)load[1], "slots",
		(json_int_t)engine->slots, "leaving", engine->leaving,
		"versions", engine->versions, "prefix_hits",
		(json_int_t)engine->prefix_hits));
}

static void
request(fake_t *fake, struct evhttp_request *req)
{
	static const char streams[] = "/v1/streams/";
	engine_t *engine = (engine_t *)fake;
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	enum evhttp_cmd_type method = evhttp_request_get_command(req);
	json_t *body = standin_request_json(req, NULL);

	if (strcmp(path, "/v1/chat/completions") == 0)
		completion_handle(engine, req, body);
	else if (strncmp(path, streams, sizeof(streams) - 1) == 0 &&
	    method == EVHTTP_REQ_DELETE)
		stream_cancel(engine, req, path + sizeof(streams) - 1);
	else if (strncmp(path, streams, sizeof(streams) - 1) == 0)
		stream_resume(engine, req, path + sizeof(streams) - 1);
	else if (strcmp(path, "/load") == 0)
		load_respond(engine, req);
	else if (strcmp(path, "/orders") == 0)
		order_handle(engine, req, body);
	else if (strcmp(path, "/runs") == 0)
		standin_respond_json(req, 200, json_incref(engine->runs));
	else
		standin_respond_json(req, 404, json_object());
	json_decref(body);
}

static void
fault(fake_t *fake, const json_t *body)
{
	engine_t *engine = (engine_t *)fake;
	const json_t *leaving = json_object_get(body, "leaving");
	const json_t *ignore = json_object_get(body, "ignore_fence");

	engine->token_ms = fake_json_int(body, "token_ms", engine->token_ms);
	engine->slots = fake_json_int(body, "slots", engine->slots);
	engine->lag_ms = fake_json_int(body, "lag_ms", engine->lag_ms);
	engine->cut_after = fake_json_int(body, "cut_after", engine->cut_after);
	if (leaving != NULL)
		engine->leaving = json_is_true(leaving);
	engine->ends_cleanly =
	    json_is_true(json_object_get(body, "ends_cleanly"));
	engine->takes_all = json_is_true(json_object_get(body, "takes_all"));
	if (ignore != NULL)
		engine->ignore_fence = json_is_true(ignore);
	engine_queue_run(engine);
}

static void
sample(fake_t *fake)
{
	engine_t *engine = (engine_t *)fake;
	int64_t *load =
	    engine->load_samples[++engine->sample_count % ENGINE_LOAD_SAMPLES];

	load[0] = engine->running;
	load[1] = engine->queued;
}

int
main(int argc, const char **argv)
{
	static engine_t engine = {.fake = {.handle_request = request,
				      .handle_fault = fault,
				      .sample = sample,
				      .sample_ms = SAMPLE_MS,
				      .name = "engine"},
	    .token_ms = 2,
	    .slots = DEFAULT_SLOTS};

	engine.runs = json_array();
	engine.versions = json_object();
	return fake_main(&engine.fake, argc, argv);
}
