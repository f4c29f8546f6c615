/**
 * @file
 * The requests of the fake engine: queued, running, and answered by a stream of
 * events or by one JSON response.
 */
#ifndef STANDIN_ENGINE_STREAM_H
#define STANDIN_ENGINE_STREAM_H

#include <uthash.h>

#include "standin/fake.h"
#include "standin/http_server.h"

#define ENGINE_ID_SIZE 80
#define ENGINE_PROMPT_SIZE 4096
#define ENGINE_LOAD_SAMPLES 512
#define ENGINE_PREFIXES_MAX 64

typedef struct engine engine_t;

/** One request: queued, running or ended. */
typedef struct stream {
	engine_t *engine;
	char id[ENGINE_ID_SIZE];
	char version[ENGINE_ID_SIZE];
	char prompt[ENGINE_PROMPT_SIZE];
	int64_t token_count;   /**< to generate */
	int64_t generated;     /**< tokens generated so far */
	int64_t sent;	       /**< tokens sent to the caller */
	int64_t prefill_ticks; /**< left until the first token */
	bool running;
	bool done;
	bool json_response;	    /**< one JSON response in place of events */
	struct evhttp_request *req; /**< NULL: no caller is connected */
	struct event *timer;
	UT_hash_handle hh;
} stream_t;

struct engine {
	fake_t fake;
	stream_t *streams;
	json_t *runs;	       /**< every run: id, version, organisation */
	json_t *versions;      /**< those loaded; version to fencing number */
	int64_t highest_fence; /**< highest fencing number seen in an order */
	int64_t running;
	int64_t queued;
	int64_t token_ms;
	int64_t slots;
	int64_t cut_after;
	int64_t lag_ms;
	bool ends_cleanly; /**< a truncated stream ends without a
			      connection error, but also without [DONE] */
	bool ignore_fence;
	bool leaving;
	bool takes_all; /**< accept requests even while leaving */
	/** Ring of running, queued. */
	int64_t load_samples[ENGINE_LOAD_SAMPLES][2];
	uint64_t sample_count;
	uint64_t prefixes[ENGINE_PREFIXES_MAX]; /**< hashes of cached prompts */
	uint64_t prefix_count;
	int64_t prefix_hits;
};

/** Start queued requests while a slot is free. */
void engine_queue_run(engine_t *);
/** Send the response to this caller from now on. */
void engine_stream_attach(stream_t *, struct evhttp_request *);
/** Send the generated tokens that the caller has not received. */
void engine_stream_flush(stream_t *);
/** Send the JSON response, or the last events of the stream. */
void engine_stream_end(stream_t *);
/** Generate one token; the argument is the stream. */
void engine_stream_tick(evutil_socket_t, short what, void *stream);

#endif
