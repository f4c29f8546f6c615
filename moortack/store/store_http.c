#include "moortack/store/store_http.h"

#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_CONFLICT 409
#define STATUS_TOO_MANY_REQUESTS 429

typedef struct store_call {
	store_http_t *store;
	store_done_t done;
	void *arg;
} store_call_t;

static store_result_t
result_from_status(int status)
{
	switch (status) {
	case STATUS_OK:
		return STORE_OK;
	case STATUS_CONFLICT:
		return STORE_CONFLICT;
	case STATUS_TOO_MANY_REQUESTS:
		return STORE_RATE_LIMITED;
	default:
		return STORE_NO_RESPONSE;
	}
}

static void
call_complete(void *arg, const http_response_t *response)
{
	store_call_t *call = arg;
	store_result_t result = result_from_status(response->status);
	json_t *body = http_response_json(response);

	if (result == STORE_OK && body == NULL)
		result = STORE_NO_RESPONSE;
	if (result == STORE_NO_RESPONSE || result == STORE_RATE_LIMITED)
		counter_add(call->store->counters, COUNTER_STORE_FAILURES, 1);
	call->done(call->arg, result, body);
	json_decref(body);
	free(call);
}

static bool
call_start(store_http_t *store, const char *path, json_t *body,
    store_done_t done, void *arg)
{
	store_call_t *call = malloc(sizeof(*call));
	char *text = json_dumps(body, JSON_COMPACT);
	bool started = false;

	json_decref(body);
	if (call != NULL && text != NULL) {
		const http_call_t http = {.address = &store->address,
		    .method = EVHTTP_REQ_POST,
		    .path = path,
		    .body = text,
		    .body_len = strlen(text),
		    .timeout_ms = store->timeout_ms};

		*call = (store_call_t){store, done, arg};
		counter_add(store->counters, COUNTER_STORE_CALLS, 1);
		started =
		    http_call_start(store->base, &http, call_complete, call);
	}
	free(text);
	if (!started)
		free(call);
	return started;
}

static bool
http_get(store_t *store, json_t *keys, store_done_t done, void *arg)
{
	return call_start((store_http_t *)store, "/table/get",
	    json_pack("{s:o}", "keys", keys), done, arg);
}

static bool
http_scan(store_t *store, const char *prefix, const char *after,
    store_done_t done, void *arg)
{
	return call_start((store_http_t *)store, "/table/scan",
	    json_pack("{s:s,s:s}", "prefix", prefix, "after", after), done,
	    arg);
}

static bool
http_txn(
    store_t *store, json_t *checks, json_t *puts, store_done_t done, void *arg)
{
	return call_start((store_http_t *)store, "/table/txn",
	    json_pack("{s:o,s:o}", "checks", checks, "puts", puts), done, arg);
}

static const store_ops_t http_ops = {http_get, http_scan, http_txn};

void
store_http_init(store_http_t *store, struct event_base *base,
    const http_address_t *address, int timeout_ms, counters_t *counters)
{
	*store = (store_http_t){.store.ops = &http_ops,
	    .base = base,
	    .address = *address,
	    .counters = counters,
	    .timeout_ms = timeout_ms};
}
