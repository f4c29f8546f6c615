/**
 * @file
 * A model engine: an OpenAI-compatible completion path with a limited number of
 * slots, a prefix cache, a load report with a lag, orders with a fencing
 * number, and streams that can be resumed at an offset or cancelled.
 *
 * The answer to a prompt is "PROMPT w1 w2 ... wN", so that a test can tell
 * whether a whole answer came to its own caller.
 *
 * Faults: "down", "slow_ms", "token_ms", "slots", "lag_ms", "cut_after" (cut
 * the next stream after so many tokens), "bad" (a version that fails),
 * "ignore_fence", "leaving", "takes_all" (also while it leaves).
 */
#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "common/http_server.h"
#include "standin/fake.h"

#define ID_SIZE 80
#define PROMPT_SIZE 4096
#define DEFAULT_TOKENS 8
#define MAX_TOKENS 100000
#define DEFAULT_SLOTS 8
#define SAMPLE_MS 5
#define LOAD_SAMPLES 512
#define PREFIXES 64
#define PREFILL_TICKS 2 /* before the first token on a cache miss */

typedef struct engine engine_t;

/** One request: queued, running or ended. */
typedef struct stream {
	engine_t *engine;
	char id[ID_SIZE];
	char version[ID_SIZE];
	char prompt[PROMPT_SIZE];
	int64_t tokens; /**< to generate */
	int64_t made;	/**< generated so far */
	int64_t sent;	/**< sent on the connection */
	int64_t prefill;
	bool running;
	bool done;
	bool plain;		    /**< one JSON answer in place of events */
	struct evhttp_request *req; /**< NULL when nobody listens */
	struct event *tick;
	UT_hash_handle hh;
} stream_t;

struct engine {
	fake_t fake;
	stream_t *streams;
	json_t *runs;	  /**< every run: id, version, organisation */
	json_t *versions; /**< loaded: version to fence */
	int64_t fence;	  /**< highest number seen in an order */
	int64_t running;
	int64_t queued;
	int64_t token_ms;
	int64_t slots;
	int64_t cut_after;
	int64_t lag_ms;
	bool ends_cleanly; /**< a cut looks like an end, without its mark */
	bool ignore_fence;
	bool leaving;
	bool takes_all;			/**< also while it leaves */
	int64_t loads[LOAD_SAMPLES][2]; /**< ring of running, queued */
	uint64_t sampled;
	uint64_t prefixes[PREFIXES]; /**< hashes of cached prompts */
	uint64_t prefix_count;
	int64_t prefix_hits;
};

static void stream_tick(evutil_socket_t, short, void *);

static void
token_text(const stream_t *stream, int64_t i, char *out, size_t size)
{
	if (i == 0)
		snprintf(out, size, "%s", stream->prompt);
	else
		snprintf(out, size, " w%lld", (long long)i);
}

static json_t *
usage_json(const stream_t *stream)
{
	/* A prompt that begins with "hard" leaves a cheap model unsure. */
	bool unsure = strncmp(stream->prompt, "hard", 4) == 0;

	return json_pack("{s:i,s:I,s:f}", "prompt_tokens",
	    (int)strlen(stream->prompt), "completion_tokens",
	    (json_int_t)stream->made, "confidence", unsure ? 0.05 : 0.95);
}

static void
event_send(stream_t *stream, json_t *event)
{
	struct evbuffer *out = evbuffer_new();
	char *text = json_dumps(event, JSON_COMPACT);

	evbuffer_add_printf(out, "data: %s\n\n", text);
	evhttp_send_reply_chunk(stream->req, out);
	evbuffer_free(out);
	free(text);
	json_decref(event);
}

static void
token_send(stream_t *stream, int64_t i)
{
	char text[PROMPT_SIZE];

	token_text(stream, i, text, sizeof(text));
	event_send(stream,
	    json_pack("{s:s,s:s,s:[{s:i,s:{s:s}}]}", "id", stream->id, "model",
		stream->version, "choices", "index", 0, "delta", "content",
		text));
}

static void
plain_send(stream_t *stream)
{
	char piece[PROMPT_SIZE];
	char *text = calloc(1, PROMPT_SIZE + (size_t)stream->tokens * 16);
	size_t len = 0;

	for (int64_t i = 0; i < stream->tokens; i++) {
		token_text(stream, i, piece, sizeof(piece));
		len += (size_t)sprintf(text + len, "%s", piece);
	}
	http_answer_json(stream->req, 200,
	    json_pack("{s:s,s:s,s:[{s:i,s:{s:s,s:s}}],s:o}", "id", stream->id,
		"model", stream->version, "choices", "index", 0, "message",
		"role", "assistant", "content", text, "usage",
		usage_json(stream)));
	free(text);
	stream->req = NULL;
}

static void
stream_detach(struct evhttp_connection *conn, void *arg)
{
	stream_t *stream = arg;

	(void)conn;
	/* libevent leaves a request whose connection failed to its owner. */
	evhttp_request_free(stream->req);
	stream->req = NULL;
}

static void
stream_end(stream_t *stream)
{
	struct evbuffer *out;

	if (stream->req == NULL)
		return;
	http_request_unwatch(stream->req);
	if (stream->plain) {
		plain_send(stream);
		return;
	}
	event_send(stream,
	    json_pack("{s:s,s:[],s:o}", "id", stream->id, "choices", "usage",
		usage_json(stream)));
	out = evbuffer_new();
	evbuffer_add_printf(out, "data: [DONE]\n\n");
	evhttp_send_reply_chunk(stream->req, out);
	evbuffer_free(out);
	evhttp_send_reply_end(stream->req);
	stream->req = NULL;
}

static void
tick_after(stream_t *stream)
{
	int64_t ms = stream->engine->token_ms;
	struct timeval wait = {ms / 1000, ms % 1000 * 1000};

	event_add(stream->tick, &wait);
}

static void
queue_next(engine_t *engine)
{
	stream_t *stream, *next;

	HASH_ITER(hh, engine->streams, stream, next)
	{
		if (engine->running >= engine->slots)
			return;
		if (stream->running || stream->done)
			continue;
		stream->running = true;
		engine->running++;
		engine->queued--;
		tick_after(stream);
	}
}

static void
stream_finish(stream_t *stream)
{
	stream->done = true;
	stream->running = false;
	stream->engine->running--;
	stream_end(stream);
	queue_next(stream->engine);
}

static bool
cut_due(stream_t *stream)
{
	engine_t *engine = stream->engine;

	if (engine->cut_after <= 0 || stream->made < engine->cut_after ||
	    stream->req == NULL)
		return false;
	engine->cut_after = 0;
	http_request_unwatch(stream->req);
	if (engine->ends_cleanly) {
		evhttp_send_reply_end(stream->req);
		stream->req = NULL;
		return true;
	}
	fake_drop(&engine->fake, stream->req);
	stream->req = NULL;
	return true;
}

static void
stream_tick(evutil_socket_t fd, short what, void *arg)
{
	stream_t *stream = arg;

	(void)fd;
	(void)what;
	if (stream->prefill > 0) {
		stream->prefill--;
		tick_after(stream);
		return;
	}
	stream->made++;
	if (!cut_due(stream) && stream->req != NULL && !stream->plain) {
		for (; stream->sent < stream->made; stream->sent++)
			token_send(stream, stream->sent);
	}
	if (stream->made >= stream->tokens)
		stream_finish(stream);
	else
		tick_after(stream);
}

static bool
prefix_hit(engine_t *engine, const char *prompt)
{
	uint64_t hash = 5381;

	for (const char *p = prompt; *p != '\0' && *p != '|'; p++)
		hash = hash * 33 + (unsigned char)*p;
	for (size_t i = 0; i < PREFIXES; i++) {
		if (engine->prefixes[i] == hash) {
			engine->prefix_hits++;
			return true;
		}
	}
	engine->prefixes[engine->prefix_count++ % PREFIXES] = hash;
	return false;
}

static const char *
prompt_of(const json_t *body)
{
	const json_t *messages = json_object_get(body, "messages");
	const json_t *last =
	    json_array_get(messages, json_array_size(messages) - 1);

	return json_string_value(json_object_get(last, "content"));
}

static void
stream_attach(stream_t *stream, struct evhttp_request *req)
{
	stream->req = req;
	http_request_watch(req, stream_detach, stream);
	if (stream->plain)
		return;
	http_answer_header(req, "Content-Type", "text/event-stream");
	evhttp_send_reply_start(req, 200, "OK");
}

static void
run_note(engine_t *engine, struct evhttp_request *req, const char *id,
    const char *version)
{
	const char *organisation = http_request_header(req, "X-Organisation");

	json_array_append_new(engine->runs,
	    json_pack("{s:s,s:s,s:s,s:I}", "id", id, "version", version,
		"organisation", organisation != NULL ? organisation : "",
		"at_ms",
		(json_int_t)timespec_ms(clock_wall(&engine->fake.clock))));
}

static bool
version_bad(const engine_t *engine, const char *version)
{
	const char *bad =
	    json_string_value(json_object_get(engine->fake.faults.all, "bad"));

	return bad != NULL && strcmp(bad, version) == 0;
}

static void
completion(engine_t *engine, struct evhttp_request *req, const json_t *body)
{
	const char *id = http_request_header(req, "X-Request-Id");
	const char *version = json_string_value(json_object_get(body, "model"));
	const char *prompt = prompt_of(body);
	stream_t *stream;

	if (id == NULL || version == NULL || prompt == NULL) {
		http_answer_json(req, 400, json_object());
		return;
	}
	if ((engine->leaving && !engine->takes_all) ||
	    json_object_get(engine->versions, version) == NULL) {
		/* Refused before it ran: the caller may say "not run". */
		http_answer_header(req, "X-Not-Run", "1");
		http_answer_json(req, 503, json_object());
		return;
	}
	run_note(engine, req, id, version);
	if (version_bad(engine, version)) {
		http_answer_json(req, 500, json_object());
		return;
	}
	stream = calloc(1, sizeof(*stream));
	stream->engine = engine;
	snprintf(stream->id, sizeof(stream->id), "%s", id);
	snprintf(stream->version, sizeof(stream->version), "%s", version);
	snprintf(stream->prompt, sizeof(stream->prompt), "%s", prompt);
	stream->tokens = fake_int(body, "max_tokens", DEFAULT_TOKENS);
	if (stream->tokens < 1 || stream->tokens > MAX_TOKENS)
		stream->tokens = DEFAULT_TOKENS;
	stream->plain = !json_is_true(json_object_get(body, "stream"));
	stream->prefill = prefix_hit(engine, prompt) ? 0 : PREFILL_TICKS;
	stream->tick = event_new(engine->fake.base, -1, 0, stream_tick, stream);
	HASH_ADD_STR(engine->streams, id, stream);
	engine->queued++;
	stream_attach(stream, req);
	queue_next(engine);
}

static void
stream_resume(engine_t *engine, struct evhttp_request *req, const char *id)
{
	stream_t *stream;
	char from[32] = "0";

	HASH_FIND_STR(engine->streams, id, stream);
	if (stream == NULL || stream->plain || stream->req != NULL) {
		http_answer_json(req, 404, json_object());
		return;
	}
	http_request_query(req, "from", from, sizeof(from));
	stream->sent = strtoll(from, NULL, 10);
	stream_attach(stream, req);
	for (; stream->sent < stream->made; stream->sent++)
		token_send(stream, stream->sent);
	if (stream->done)
		stream_end(stream);
}

static void
stream_cancel(engine_t *engine, struct evhttp_request *req, const char *id)
{
	stream_t *stream;

	HASH_FIND_STR(engine->streams, id, stream);
	if (stream != NULL && !stream->done) {
		event_del(stream->tick);
		if (stream->running)
			engine->running--;
		else
			engine->queued--;
		stream->done = true;
		stream->running = false;
		if (stream->req != NULL)
			stream_end(stream);
		queue_next(engine);
	}
	http_answer_json(req, 200, json_object());
}

static void
order(engine_t *engine, struct evhttp_request *req, const json_t *body)
{
	const char *op = json_string_value(json_object_get(body, "op"));
	const char *version =
	    json_string_value(json_object_get(body, "version"));
	int64_t fence = fake_int(body, "fence", 0);

	if (op == NULL || version == NULL) {
		http_answer_json(req, 400, json_object());
		return;
	}
	if (!engine->ignore_fence && fence < engine->fence) {
		http_answer_json(req, 412, json_object());
		return;
	}
	engine->fence = fence;
	if (strcmp(op, "load") == 0)
		json_object_set_new(
		    engine->versions, version, json_integer(fence));
	else
		json_object_del(engine->versions, version);
	http_answer_json(req, 200, json_object());
}

static void
load_report(engine_t *engine, struct evhttp_request *req)
{
	uint64_t back = (uint64_t)(engine->lag_ms / SAMPLE_MS);
	uint64_t at = engine->sampled > back ? engine->sampled - back : 0;
	const int64_t *load = engine->loads[at % LOAD_SAMPLES];

	http_answer_json(req, 200,
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
	json_t *body = http_request_json(req, NULL);

	if (strcmp(path, "/v1/chat/completions") == 0)
		completion(engine, req, body);
	else if (strncmp(path, streams, sizeof(streams) - 1) == 0 &&
	    method == EVHTTP_REQ_DELETE)
		stream_cancel(engine, req, path + sizeof(streams) - 1);
	else if (strncmp(path, streams, sizeof(streams) - 1) == 0)
		stream_resume(engine, req, path + sizeof(streams) - 1);
	else if (strcmp(path, "/load") == 0)
		load_report(engine, req);
	else if (strcmp(path, "/orders") == 0)
		order(engine, req, body);
	else if (strcmp(path, "/runs") == 0)
		http_answer_json(req, 200, json_incref(engine->runs));
	else
		http_answer_json(req, 404, json_object());
	json_decref(body);
}

static void
fault(fake_t *fake, const json_t *body)
{
	engine_t *engine = (engine_t *)fake;
	const json_t *leaving = json_object_get(body, "leaving");
	const json_t *ignore = json_object_get(body, "ignore_fence");

	engine->token_ms = fake_int(body, "token_ms", engine->token_ms);
	engine->slots = fake_int(body, "slots", engine->slots);
	engine->lag_ms = fake_int(body, "lag_ms", engine->lag_ms);
	engine->cut_after = fake_int(body, "cut_after", engine->cut_after);
	if (leaving != NULL)
		engine->leaving = json_is_true(leaving);
	engine->ends_cleanly =
	    json_is_true(json_object_get(body, "ends_cleanly"));
	engine->takes_all = json_is_true(json_object_get(body, "takes_all"));
	if (ignore != NULL)
		engine->ignore_fence = json_is_true(ignore);
	queue_next(engine);
}

static void
sample(fake_t *fake)
{
	engine_t *engine = (engine_t *)fake;
	int64_t *load = engine->loads[++engine->sampled % LOAD_SAMPLES];

	load[0] = engine->running;
	load[1] = engine->queued;
}

int
main(int argc, const char **argv)
{
	static engine_t engine = {.fake = {.request = request,
				      .fault = fault,
				      .sample = sample,
				      .sample_ms = SAMPLE_MS,
				      .name = "engine"},
	    .token_ms = 2,
	    .slots = DEFAULT_SLOTS};

	engine.runs = json_array();
	engine.versions = json_object();
	return fake_main(&engine.fake, argc, argv);
}
