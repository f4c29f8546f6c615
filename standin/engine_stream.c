#include "standin/engine_stream.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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
	/* A prompt that begins with "hard" gets a low confidence, so that a
	 * cheap model's response is escalated. */
	bool low_confidence = strncmp(stream->prompt, "hard", 4) == 0;

	return json_pack("{s:i,s:I,s:f}", "prompt_tokens",
	    (int)strlen(stream->prompt), "completion_tokens",
	    (json_int_t)stream->generated, "confidence",
	    low_confidence ? 0.05 : 0.95);
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
	char text[ENGINE_PROMPT_SIZE];

	token_text(stream, i, text, sizeof(text));
	event_send(stream,
	    json_pack("{s:s,s:s,s:[{s:i,s:{s:s}}]}", "id", stream->id, "model",
		stream->version, "choices", "index", 0, "delta", "content",
		text));
}

void
engine_stream_flush(stream_t *stream)
{
	for (; stream->sent < stream->generated; stream->sent++)
		token_send(stream, stream->sent);
}

static void
json_response_send(stream_t *stream)
{
	char token[ENGINE_PROMPT_SIZE];
	char *text =
	    calloc(1, ENGINE_PROMPT_SIZE + (size_t)stream->token_count * 16);
	size_t len = 0;

	for (int64_t i = 0; i < stream->token_count; i++) {
		token_text(stream, i, token, sizeof(token));
		len += (size_t)sprintf(text + len, "%s", token);
	}
	standin_respond_json(stream->req, 200,
	    json_pack("{s:s,s:s,s:[{s:i,s:{s:s,s:s}}],s:o}", "id", stream->id,
		"model", stream->version, "choices", "index", 0, "message",
		"role", "assistant", "content", text, "usage",
		usage_json(stream)));
	free(text);
	stream->req = NULL;
}

static void
stream_connection_closed(struct evhttp_connection *conn, void *arg)
{
	stream_t *stream = arg;

	(void)conn;
	/* libevent does not free a request whose connection failed. */
	evhttp_request_free(stream->req);
	stream->req = NULL;
}

void
engine_stream_end(stream_t *stream)
{
	struct evbuffer *out;

	if (stream->req == NULL)
		return;
	standin_unwatch_close(stream->req);
	if (stream->json_response) {
		json_response_send(stream);
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
tick_schedule(stream_t *stream)
{
	int64_t ms = stream->engine->token_ms;
	struct timeval wait = {ms / 1000, ms % 1000 * 1000};

	event_add(stream->timer, &wait);
}

void
engine_queue_run(engine_t *engine)
{
	stream_t *next;

	for (stream_t *stream = engine->streams; stream != NULL;
	     stream = next) {
		next = stream->hh.next;
		if (engine->running >= engine->slots)
			return;
		if (stream->running || stream->done)
			continue;
		stream->running = true;
		engine->running++;
		engine->queued--;
		tick_schedule(stream);
	}
}

static void
stream_finish(stream_t *stream)
{
	stream->done = true;
	stream->running = false;
	stream->engine->running--;
	engine_stream_end(stream);
	engine_queue_run(stream->engine);
}

static bool
stream_truncate_if_due(stream_t *stream)
{
	engine_t *engine = stream->engine;

	if (engine->cut_after <= 0 || stream->generated < engine->cut_after ||
	    stream->req == NULL)
		return false;
	engine->cut_after = 0;
	standin_unwatch_close(stream->req);
	if (engine->ends_cleanly) {
		evhttp_send_reply_end(stream->req);
		stream->req = NULL;
		return true;
	}
	fake_connection_drop(&engine->fake, stream->req);
	stream->req = NULL;
	return true;
}

void
engine_stream_tick(evutil_socket_t fd, short what, void *arg)
{
	stream_t *stream = arg;

	(void)fd;
	(void)what;
	if (stream->prefill_ticks > 0) {
		stream->prefill_ticks--;
		tick_schedule(stream);
		return;
	}
	stream->generated++;
	if (!stream_truncate_if_due(stream) && stream->req != NULL &&
	    !stream->json_response)
		engine_stream_flush(stream);
	if (stream->generated >= stream->token_count)
		stream_finish(stream);
	else
		tick_schedule(stream);
}

void
engine_stream_attach(stream_t *stream, struct evhttp_request *req)
{
	stream->req = req;
	standin_watch_close(req, stream_connection_closed, stream);
	if (stream->json_response)
		return;
	standin_response_add_header(req, "Content-Type", "text/event-stream");
	evhttp_send_reply_start(req, 200, "OK");
}
