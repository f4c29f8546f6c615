#include <ctype.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../front/front_priv.h"
#include "arrival.h"
#include "common/http_server.h"
#include "moortack/exchange/deferred.h"

#define KEY_MAX 128
#define OPEN_MODEL "auto"

static void
claim_answered(void *arg, uint64_t tag, const char *text)
{
	exchange_t *exchange = front_exchange(arg, tag);

	if (exchange == NULL || exchange->phase != PHASE_CLAIM)
		return;
	if (text == NULL) {
		exchange_fail(exchange, ERR_STORE,
		    "the store did not say whose this key is; a ticket needs "
		    "no store");
		return;
	}
	if (!ticket_open(&exchange->front->keyring, text, &exchange->ticket)) {
		exchange_fail(exchange, ERR_TICKET_INVALID,
		    "the key's ticket was sealed with a key that is gone");
		return;
	}
	exchange->phase = PHASE_WAIT;
	exchange_try(exchange);
}

static bool
key_valid(const char *key)
{
	size_t len = strlen(key);

	for (size_t i = 0; i < len; i++) {
		if (!isalnum((unsigned char)key[i]) &&
		    strchr("._-:", key[i]) == NULL)
			return false;
	}
	return len > 0 && len <= KEY_MAX;
}

static bool
claim_begin(exchange_t *exchange, const char *key, err_t *err)
{
	char sealed[TOKEN_TEXT_MAX];
	ticket_t ticket;

	if (!key_valid(key))
		return err_set(err, ERR_BAD_REQUEST,
		    KEY_HEADER " must be 1 to %d letters, digits, '.', '_', "
			       "'-', ':'",
		    KEY_MAX);
	ticket_mint(exchange->front, exchange->organisation, &ticket);
	exchange->phase = PHASE_CLAIM;
	if (!ticket_seal(&exchange->front->keyring, &ticket, sealed) ||
	    !claim_start(exchange->front->store, exchange->organisation, key,
		sealed, claim_answered, exchange->front, exchange->tag))
		return err_set(err, ERR_MEMORY, "no memory");
	return true;
}

/* A ticket or a key makes it run at most once. */
static bool
key_take(arrival_t *arrival, exchange_t *exchange, err_t *err)
{
	const char *ticket = http_request_header(arrival->req, TICKET_HEADER);
	const char *key = http_request_header(arrival->req, KEY_HEADER);

	exchange->phase = PHASE_WAIT;
	exchange->keyed = ticket != NULL || key != NULL;
	if (!exchange->keyed && !exchange->idempotent)
		return err_set(err, ERR_TICKET_REQUIRED,
		    "%s may not be repeated: send a " TICKET_HEADER
		    " or an " KEY_HEADER,
		    exchange->model);
	if (ticket != NULL) {
		if (!ticket_open(
			&arrival->front->keyring, ticket, &exchange->ticket) ||
		    strcmp(exchange->ticket.organisation,
			exchange->organisation) != 0)
			return err_set(err, ERR_TICKET_INVALID,
			    "the ticket is not genuine or not yours");
		return true;
	}
	return key == NULL || claim_begin(exchange, key, err);
}

static void
session_begin(const front_t *front, exchange_t *exchange)
{
	exchange->session.id = rng_bits(front->process.rng) | 1;
	memcpy(exchange->session.organisation, exchange->organisation,
	    sizeof(exchange->session.organisation));
	exchange->session.revision = front->config->revision;
}

static bool
session_take(arrival_t *arrival, exchange_t *exchange, err_t *err)
{
	front_t *front = arrival->front;
	const char *text = http_request_header(arrival->req, SESSION_HEADER);

	if (text == NULL) {
		session_begin(front, exchange);
		return true;
	}
	exchange->session_given = true;
	return session_open(&front->keyring, text, exchange->organisation,
	    timespec_ms(clock_wall(front->process.clock)), &exchange->session,
	    err);
}

static bool
model_allowed(const arrival_t *arrival, handle_t model)
{
	const config_t *config = arrival->front->config;
	const organisation_t *organisation =
	    config_organisation_at(config, arrival->organisation);

	for (handle_t v = 0; v < config->versions.len; v++) {
		if (config_version_at(config, v)->model == model &&
		    organisation_allows_version(organisation, v))
			return true;
	}
	return false;
}

static bool
model_take(arrival_t *arrival, exchange_t *exchange, const char *name,
    model_kind_t kind, err_t *err)
{
	const config_t *config = arrival->front->config;
	handle_t model = config_model(config, name);

	/* Whether a model exists is not told to those who may not use it. */
	if (model == HANDLE_NONE ||
	    config_model_at(config, model)->kind != kind ||
	    !model_allowed(arrival, model))
		return err_set(err, ERR_NOT_ALLOWED,
		    "model '%.47s' is not one that %s may use", name,
		    exchange->organisation);
	snprintf(exchange->model, sizeof(exchange->model), "%s", name);
	exchange->idempotent =
	    kind == MODEL_ENGINE || config_model_at(config, model)->idempotent;
	return true;
}

/* A session that left its model open goes on with the one it is on. */
static bool
open_model_take(arrival_t *arrival, exchange_t *exchange, err_t *err)
{
	if (!exchange->session_given)
		return exchange_cascade_begin(
		    exchange, arrival->organisation, err);
	exchange->open_model = false;
	snprintf(exchange->model, sizeof(exchange->model), "%.*s",
	    (int)strcspn(exchange->session.version, "@"),
	    exchange->session.version);
	return true;
}

static bool
version_take(arrival_t *arrival, exchange_t *exchange, err_t *err)
{
	if (exchange->open_model && !open_model_take(arrival, exchange, err))
		return false;
	if (exchange->session_given) {
		size_t len = strlen(exchange->model);

		if (strncmp(exchange->session.version, exchange->model, len) !=
			0 ||
		    exchange->session.version[len] != '@')
			return err_set(err, ERR_BAD_REQUEST,
			    "the session is on %s, not on model %s",
			    exchange->session.version, exchange->model);
		memcpy(exchange->version, exchange->session.version,
		    sizeof(exchange->version));
		return true;
	}
	return exchange_version_set(exchange, arrival->organisation, err);
}

/* Room for an exchange, with what its organisation's entry says. */
static exchange_t *
exchange_begin(arrival_t *arrival, err_t *err)
{
	front_t *front = arrival->front;
	exchange_t *exchange = front_exchange_new(front);
	unsigned char id[(EXCHANGE_ID_SIZE - 1) / 2];

	if (exchange == NULL) {
		err_set(err, ERR_OVERLOAD,
		    "this entry has as many requests as "
		    "it may");
		return NULL;
	}
	counter_add(front->process.counters, COUNTER_REQUESTS, 1);
	retry_budget_add_request(&front->retries);
	exchange->confidence = -1;
	exchange->req = arrival->req;
	exchange->begun = arrival->now;
	exchange->waiter.class = arrival->class;
	exchange->waiter.arrived_at = arrival->now;
	memcpy(exchange->organisation,
	    config_organisation_at(front->config, arrival->organisation)->name,
	    sizeof(exchange->organisation));
	randombytes_buf(id, sizeof(id));
	sodium_bin2hex(exchange->id, sizeof(exchange->id), id, sizeof(id));
	return exchange;
}

static void
caller_gone(struct evhttp_connection *conn, void *arg)
{
	exchange_t *exchange = arg;
	front_t *front = exchange->front;
	struct evhttp_request *req = exchange->req;

	(void)conn;
	exchange->req = NULL;
	if (front->stopping)
		return;
	/* libevent leaves a request whose connection failed to its owner. */
	evhttp_request_free(req);
	counter_add(front->process.counters, COUNTER_CALLERS_GONE, 1);
	/* What may not be repeated runs on, so that its outcome is known. */
	if (exchange->phase == PHASE_BILL ||
	    (exchange->keyed && !exchange->engine && exchange->granted))
		return;
	exchange_fail(exchange, ERR_STREAM_CUT, "the caller has gone");
}

static void
exchange_run(arrival_t *arrival, exchange_t *exchange)
{
	timeline_add(arrival->front->process.timeline, EVENT_REQUEST_TAKEN,
	    exchange->id, "%.20s %.24s", exchange->organisation,
	    exchange->version);
	http_request_watch(arrival->req, caller_gone, exchange);
	if (exchange->phase == PHASE_WAIT)
		exchange_try(exchange);
}

static void
exchange_refuse(arrival_t *arrival, exchange_t *exchange, const err_t *err)
{
	if (exchange != NULL) {
		exchange->req = NULL;
		exchange_end(exchange);
	}
	arrival_refuse(arrival->front, arrival->req, err);
}

/* What a chat request's body says; it is not the caller's word alone that
 * decides: the model must be one that the organisation may use. */
static bool
chat_body_take(
    arrival_t *arrival, exchange_t *exchange, const char *path, err_t *err)
{
	const json_t *messages = json_object_get(exchange->body, "messages");
	const char *model =
	    json_string_value(json_object_get(exchange->body, "model"));

	(void)path;
	if (!sse_init(&exchange->sse))
		return err_set(err, ERR_MEMORY, "no memory");
	exchange->engine = true;
	exchange->stream =
	    json_is_true(json_object_get(exchange->body, "stream"));
	if (model == NULL || json_array_size(messages) == 0)
		return err_set(err, ERR_BAD_REQUEST,
		    "the body needs \"model\" and \"messages\"");
	snprintf(
	    exchange->path, sizeof(exchange->path), "/v1/chat/completions");
	if (strcmp(model, OPEN_MODEL) == 0) {
		exchange->open_model = true;
		exchange->idempotent = true;
		return true;
	}
	return model_take(arrival, exchange, model, MODEL_ENGINE, err);
}

static bool
asks_for_later(struct evhttp_request *req)
{
	const char *prefer = http_request_header(req, "Prefer");

	return prefer != NULL && strstr(prefer, "respond-async") != NULL;
}

bool
exchange_wanted(const exchange_t *exchange)
{
	return exchange->req != NULL || exchange->job != NULL;
}

/* Takes what the body and the path say. */
typedef bool (*body_take_t)(
    arrival_t *, exchange_t *, const char *path, err_t *err);

/* The same for both kinds: what is known of the request, in the order in which
 * it can be refused. */
static void
exchange_start(arrival_t *arrival, body_take_t body_take, const char *path)
{
	err_t err;
	exchange_t *exchange = exchange_begin(arrival, &err);

	if (exchange == NULL ||
	    (exchange->body = http_request_json(arrival->req, &err)) == NULL ||
	    !body_take(arrival, exchange, path, &err) ||
	    !arrival_deadline(arrival, exchange, &err) ||
	    !session_take(arrival, exchange, &err) ||
	    !version_take(arrival, exchange, &err) ||
	    !key_take(arrival, exchange, &err)) {
		exchange_refuse(arrival, exchange, &err);
		return;
	}
	exchange_run(arrival, exchange);
}

void
exchange_chat(front_t *front, struct evhttp_request *req)
{
	arrival_t arrival = {.front = front,
	    .req = req,
	    .now = clock_elapsed(front->process.clock)};
	err_t err;

	if (!arrival_pass(&arrival, &err))
		arrival_refuse(front, req, &err);
	else if (asks_for_later(req))
		deferred_accept(front, req);
	else
		exchange_start(&arrival, chat_body_take, NULL);
}

bool
exchange_job_begin(front_t *front, deferred_job_t *job,
    const char *organisation, json_t *body, int64_t deadline_ms, err_t *err)
{
	arrival_t arrival = {.front = front,
	    .organisation = config_organisation(front->config, organisation),
	    .class = CLASS_SHEDDABLE,
	    .now = clock_elapsed(front->process.clock)};
	exchange_t *exchange;

	if (arrival.organisation == HANDLE_NONE)
		return err_set(err, ERR_NOT_ALLOWED,
		    "the organisation is no longer configured");
	exchange = exchange_begin(&arrival, err);
	if (exchange == NULL)
		return false;
	exchange->body = json_copy(body);
	/* The answer is kept whole, so it isn't asked for in events. */
	json_object_del(exchange->body, "stream");
	session_begin(front, exchange);
	if (!chat_body_take(&arrival, exchange, NULL, err) ||
	    !version_take(&arrival, exchange, err)) {
		exchange_end(exchange);
		return false;
	}
	exchange->job = job;
	exchange->broken = deferred_broken(job);
	exchange->phase = PHASE_WAIT;
	exchange->waiter.deadline = timespec_after_ms(arrival.now, deadline_ms);
	exchange_try(exchange);
	return true;
}

static bool
service_body_take(
    arrival_t *arrival, exchange_t *exchange, const char *path, err_t *err)
{
	size_t len = strcspn(path, "/");
	char name[CONFIG_NAME_SIZE];

	if (len == 0 || len >= sizeof(name) ||
	    strlen(path + len) >= sizeof(exchange->path))
		return err_set(err, ERR_BAD_REQUEST,
		    "the path is /v1/services/SERVICE/...");
	snprintf(name, sizeof(name), "%.*s", (int)len, path);
	snprintf(exchange->path, sizeof(exchange->path), "/%s",
	    path + len + (path[len] == '/'));
	return model_take(arrival, exchange, name, MODEL_SERVICE, err);
}

/* The pool of the service that the path names. */
static uint64_t
service_pool(const char *path)
{
	char name[CONFIG_NAME_SIZE];

	snprintf(name, sizeof(name), "%.*s", (int)strcspn(path, "/"), path);
	return UINT64_C(1) << admission_pool(name);
}

void
exchange_service(front_t *front, struct evhttp_request *req, const char *path)
{
	arrival_t arrival = {.front = front,
	    .req = req,
	    .pools = service_pool(path),
	    .now = clock_elapsed(front->process.clock)};
	err_t err;

	if (!arrival_pass(&arrival, &err))
		arrival_refuse(front, req, &err);
	else
		exchange_start(&arrival, service_body_take, path);
}
