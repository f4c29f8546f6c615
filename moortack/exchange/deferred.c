#include "moortack/exchange/deferred.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../front/front_priv.h"
#include "common/http_request.h"

#define ID_BYTES 16
#define ID_SIZE 33
#define ROW_KEY_SIZE 64
#define ACCEPT_ATTEMPTS_MAX 3
#define STATUS_ACCEPTED 202

/** A caller that waits until its request is stored. */
typedef struct accept_call {
	front_t *front;
	http_request_t *req;
	char id[ID_SIZE];
	char *row;
	int attempts;
} accept_call_t;

/** A caller that waits for a result. */
typedef struct collect_call {
	front_t *front;
	http_request_t *req;
	char organisation[CONFIG_NAME_SIZE];
	char queue_key[ROW_KEY_SIZE];
	char result_key[ROW_KEY_SIZE];
} collect_call_t;

static void accept_write(accept_call_t *);

/* With an idempotency key, the id is derived from organisation and key: a
 * request that is sent again gets the same job at any daemon. */
static void
job_id_make(const char *organisation, const char *key, char out[ID_SIZE])
{
	unsigned char id[ID_BYTES];

	if (key == NULL) {
		randombytes_buf(id, sizeof(id));
	} else {
		crypto_generichash_state state;

		crypto_generichash_init(&state, NULL, 0, sizeof(id));
		crypto_generichash_update(&state,
		    (const unsigned char *)organisation,
		    strlen(organisation) + 1);
		crypto_generichash_update(
		    &state, (const unsigned char *)key, strlen(key));
		crypto_generichash_final(&state, id, sizeof(id));
	}
	sodium_bin2hex(out, ID_SIZE, id, sizeof(id));
}

static void
accept_finish(accept_call_t *call, bool stored)
{
	char location[ROW_KEY_SIZE];
	err_t err;

	if (stored) {
		counter_add(call->front->process.counters,
		    COUNTER_DEFERRED_ACCEPTED, 1);
		snprintf(
		    location, sizeof(location), "/v1/deferred/%s", call->id);
		http_response_add_header(call->req, "Location", location);
		http_respond_json(call->req, STATUS_ACCEPTED,
		    json_pack(
			"{s:s,s:s}", "id", call->id, "location", location));
	} else {
		err_set(&err, ERR_STORE,
		    "it is not known whether the request was stored; send it "
		    "again with the same idempotency key");
		failure_respond(call->front, call->req, &err, "unknown", NULL);
	}
	free(call->row);
	free(call);
}

static void
accept_rows_read(void *arg, store_result_t result, const json_t *response)
{
	accept_call_t *call = arg;

	if (result == STORE_OK &&
	    json_object_size(json_object_get(response, "values")) > 0)
		accept_finish(call, true);
	else if (++call->attempts < ACCEPT_ATTEMPTS_MAX)
		accept_write(call);
	else
		accept_finish(call, false);
}

static void
accept_written(void *arg, store_result_t result, const json_t *response)
{
	accept_call_t *call = arg;
	char queue_key[ROW_KEY_SIZE], result_key[ROW_KEY_SIZE];

	(void)response;
	if (result == STORE_OK) {
		accept_finish(call, true);
		return;
	}
	/* The job was stored before, or the store's response was lost: read
	 * the rows to find out. */
	snprintf(queue_key, sizeof(queue_key), "defer/%s", call->id);
	snprintf(result_key, sizeof(result_key), "deferred/%s", call->id);
	if (!store_get(call->front->store,
		json_pack("[s,s]", queue_key, result_key), accept_rows_read,
		call))
		accept_finish(call, false);
}

static void
accept_write(accept_call_t *call)
{
	char queue_key[ROW_KEY_SIZE], result_key[ROW_KEY_SIZE];

	snprintf(queue_key, sizeof(queue_key), "defer/%s", call->id);
	snprintf(result_key, sizeof(result_key), "deferred/%s", call->id);
	if (!store_txn(call->front->store,
		json_pack("[o,o]", store_row_new(queue_key, NULL),
		    store_row_new(result_key, NULL)),
		json_pack("[o]", store_row_new(queue_key, call->row)),
		accept_written, call))
		accept_finish(call, false);
}

void
deferred_accept(front_t *front, http_request_t *req)
{
	const organisation_t *organisation = config_organisation_at(
	    front->config, auth_organisation(front, req));
	accept_call_t *call;
	json_t *body;
	json_t *row;
	err_t err;

	body = http_request_json(req, &err);
	call = calloc(1, sizeof(*call));
	if (body == NULL || call == NULL) {
		failure_respond(front, req, &err, NULL, NULL);
		json_decref(body);
		free(call);
		return;
	}
	call->front = front;
	call->req = req;
	job_id_make(organisation->name,
	    http_request_header(req, IDEMPOTENCY_KEY_HEADER), call->id);
	row = json_pack("{s:s,s:s,s:o,s:s,s:I,s:i}", "id", call->id,
	    "organisation", organisation->name, "body", body, "by", "",
	    "until_ms", (json_int_t)0, "tries", 0);
	call->row = json_dumps(row, JSON_COMPACT);
	json_decref(row);
	accept_write(call);
}

static bool
organisation_matches(const json_t *row, const char *organisation)
{
	const char *name =
	    json_string_value(json_object_get(row, "organisation"));

	return name != NULL && strcmp(name, organisation) == 0;
}

static void
result_send(collect_call_t *call, const json_t *row)
{
	const json_t *failure = json_object_get(row, "failure");
	const char *version =
	    json_string_value(json_object_get(row, "version"));
	err_t err;

	if (failure != NULL) {
		err_set(&err,
		    err_code_from_name(
			json_string_value(json_object_get(failure, "type"))),
		    "%s",
		    json_string_value(json_object_get(failure, "message")));
		failure_respond(call->front, call->req, &err, NULL, NULL);
		return;
	}
	if (version != NULL)
		http_response_add_header(
		    call->req, "Moortack-Version", version);
	http_respond_json(
	    call->req, 200, json_incref(json_object_get(row, "answer")));
}

static void
collect_rows_read(void *arg, store_result_t result, const json_t *response)
{
	collect_call_t *call = arg;
	const char *result_text =
	    store_response_value(response, call->result_key);
	const char *queued_text =
	    store_response_value(response, call->queue_key);
	json_t *row = result_text != NULL ? json_loads(result_text, 0, NULL)
	    : queued_text != NULL	  ? json_loads(queued_text, 0, NULL)
					  : NULL;
	err_t err;

	if (result != STORE_OK) {
		err_set(&err, ERR_STORE, "the store did not respond");
		failure_respond(call->front, call->req, &err, "unknown", NULL);
	} else if (row == NULL ||
	    !organisation_matches(row, call->organisation)) {
		err_set(&err, ERR_NOT_FOUND,
		    "there is no deferred request with this id");
		failure_respond(call->front, call->req, &err, NULL, NULL);
	} else if (result_text != NULL) {
		result_send(call, row);
	} else {
		http_respond_json(call->req, STATUS_ACCEPTED,
		    json_pack("{s:s}", "state",
			json_integer_value(json_object_get(row, "until_ms")) > 0
			    ? "running"
			    : "pending"));
	}
	json_decref(row);
	free(call);
}

void
deferred_collect(front_t *front, http_request_t *req, const char *id)
{
	handle_t organisation = auth_organisation(front, req);
	collect_call_t *call;
	err_t err;

	if (organisation == HANDLE_NONE) {
		err_set(&err, ERR_AUTHENTICATION, "missing or unknown API key");
		failure_respond(front, req, &err, NULL, NULL);
		return;
	}
	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return;
	call->front = front;
	call->req = req;
	memcpy(call->organisation,
	    config_organisation_at(front->config, organisation)->name,
	    sizeof(call->organisation));
	snprintf(call->queue_key, sizeof(call->queue_key), "defer/%.40s", id);
	snprintf(
	    call->result_key, sizeof(call->result_key), "deferred/%.40s", id);
	if (!store_get(front->store,
		json_pack("[s,s]", call->queue_key, call->result_key),
		collect_rows_read, call))
		free(call);
}
