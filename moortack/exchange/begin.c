#include <ctype.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../front/front_priv.h"
#include "arrival.h"
#include "common/http_request.h"
#include "moortack/exchange/deferred.h"

#define IDEMPOTENCY_KEY_MAX 128
#define AUTO_MODEL "auto"

static void
claim_completed(void *arg, uint64_t tag, const char *text)
{
	exchange_t *exchange = front_exchange_find(arg, tag);

	if (exchange == NULL || exchange->phase != PHASE_CLAIM)
		return;
	if (text == NULL) {
		exchange_fail(exchange, ERR_STORE,
		    "the store did not confirm the idempotency key; a ticket "
		    "needs no store");
		return;
	}
	if (!ticket_open(&exchange->front->keyring, text, &exchange->ticket)) {
		exchange_fail(exchange, ERR_TICKET_INVALID,
		    "the ticket of this idempotency key was sealed with a key "
		    "that is no longer configured");
		return;
	}
	exchange->phase = PHASE_QUEUED;
	exchange_dispatch(exchange);
}

static bool
idempotency_key_valid(const char *key)
{
	size_t len = strlen(key);

	for (size_t i = 0; i < len; i++) {
		if (!isalnum((unsigned char)key[i]) &&
		    strchr("._-:", key[i]) == NULL)
			return false;
	}
	return len > 0 && len <= IDEMPOTENCY_KEY_MAX;
}

static bool
idempotency_key_claim(exchange_t *exchange, const char *key, err_t *err)
{
	char sealed[TOKEN_TEXT_MAX];
	ticket_t ticket;

	if (!idempotency_key_valid(key))
		return err_set(err, ERR_BAD_REQUEST,
		    IDEMPOTENCY_KEY_HEADER
		    " must consist of 1 to %d letters, digits, '.', "
		    "'_', '-' or ':'",
		    IDEMPOTENCY_KEY_MAX);
	ticket_issue(exchange->front, exchange->organisation, &ticket);
	exchange->phase = PHASE_CLAIM;
	if (!ticket_seal(&exchange->front->keyring, &ticket, sealed) ||
	    !claim_start(exchange->front->store, exchange->organisation, key,
		sealed, claim_completed, exchange->front, exchange->tag))
		return err_set(err, ERR_MEMORY, "no memory");
	return true;
}

/* With a ticket or an idempotency key the request runs at most once. */
static bool
ticket_accept(arrival_t *arrival, exchange_t *exchange, err_t *err)
{
	const char *ticket = http_request_header(arrival->req, TICKET_HEADER);
	const char *key =
	    http_request_header(arrival->req, IDEMPOTENCY_KEY_HEADER);

	exchange->phase = PHASE_QUEUED;
	exchange->at_most_once = ticket != NULL || key != NULL;
	if (!exchange->at_most_once && !exchange->idempotent)
		return err_set(err, ERR_TICKET_REQUIRED,
		    "%s is not idempotent: send a " TICKET_HEADER
		    " or an " IDEMPOTENCY_KEY_HEADER " header",
		    exchange->model);
	if (ticket != NULL) {
		if (!ticket_open(
			&arrival->front->keyring, ticket, &exchange->ticket) ||
		    strcmp(exchange->ticket.organisation,
			exchange->organisation) != 0)
			return err_set(err, ERR_TICKET_INVALID,
			    "the ticket is invalid or belongs to another "
			    "organisation");
		return true;
	}
	return key == NULL || idempotency_key_claim(exchange, key, err);
}

static void
session_create(const front_t *front, exchange_t *exchange)
{
	exchange->session.id = rng_u64(front->process.rng) | 1;
	memcpy(exchange->session.organisation, exchange->organisation,
	    sizeof(exchange->session.organisation));
	exchange->session.revision = front->config->revision;
}

static bool
session_accept(arrival_t *arrival, exchange_t *exchange, err_t *err)
{
	front_t *front = arrival->front;
	const char *text = http_request_header(arrival->req, SESSION_HEADER);

	if (text == NULL) {
		session_create(front, exchange);
		return true;
	}
	exchange->existing_session = true;
	return session_open(&front->keyring, text, exchange->organisation,
	    timespec_to_ms(clock_wall(front->process.clock)),
	    &exchange->session, err);
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
model_accept(arrival_t *arrival, exchange_t *exchange, const char *name,
    model_kind_t kind, err_t *err)
{
	const config_t *config = arrival->front->config;
	handle_t model = config_model_find(config, name);

	/* The error doesn't reveal to an organisation that may not use a model
	 * whether the model exists. */
	if (model == HANDLE_NONE ||
	    config_model_at(config, model)->kind != kind ||
	    !model_allowed(arrival, model))
		return err_set(err, ERR_NOT_ALLOWED,
		    "model '%.47s' is unknown, or not allowed for %s", name,
		    exchange->organisation);
	snprintf(exchange->model, sizeof(exchange->model), "%s", name);
	exchange->idempotent =
	    kind == MODEL_ENGINE || config_model_at(config, model)->idempotent;
	return true;
}

/* A session that requested model "auto" continues with the model it has. */
static bool
auto_model_resolve(arrival_t *arrival, exchange_t *exchange, err_t *err)
{
	if (!exchange->existing_session)
		return exchange_cascade_start(
		    exchange, arrival->organisation, err);
	exchange->auto_model = false;
	snprintf(exchange->model, sizeof(exchange->model), "%.*s",
	    (int)strcspn(exchange->session.version, "@"),
	    exchange->session.version);
	return true;
}

static bool
version_resolve(arrival_t *arrival, exchange_t *exchange, err_t *err)
{
	if (exchange->auto_model && !auto_model_resolve(arrival, exchange, err))
		return false;
	if (exchange->existing_session) {
		size_t len = strlen(exchange->model);

		if (strncmp(exchange->session.version, exchange->model, len) !=
			0 ||
		    exchange->session.version[len] != '@')
			return err_set(err, ERR_BAD_REQUEST,
			    "the session uses %s, not model %s",
			    exchange->session.version, exchange->model);
		memcpy(exchange->version, exchange->session.version,
		    sizeof(exchange->version));
		return true;
	}
	return exchange_version_select(exchange, arrival->organisation, err);
}

/* Allocates an exchange and fills in what is known of the organisation. */
static exchange_t *
exchange_create(arrival_t *arrival, err_t *err)
{
	front_t *front = arrival->front;
	exchange_t *exchange = front_exchange_new(front);
	unsigned char id[(EXCHANGE_ID_SIZE - 1) / 2];

	if (exchange == NULL) {
		err_set(err, ERR_OVERLOAD,
		    "too many requests in progress at this daemon");
		return NULL;
	}
	counter_add(front->process.counters, COUNTER_REQUESTS, 1);
	retry_budget_add_request(&front->retry_budget);
	exchange->confidence = -1;
	exchange->req = arrival->req;
	exchange->started_at = arrival->now;
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
caller_disconnected(void *arg)
{
	exchange_t *exchange = arg;
	front_t *front = exchange->front;

	exchange->req = NULL;
	counter_add(front->process.counters, COUNTER_CALLERS_DISCONNECTED, 1);
	/* A request that may run at most once continues, so that its outcome
	 * becomes known. */
	if (exchange->phase == PHASE_BILLING ||
	    (exchange->at_most_once && !exchange->is_engine &&
		exchange->granted))
		return;
	exchange_fail(
	    exchange, ERR_STREAM_TRUNCATED, "the caller disconnected");
}

static void
exchange_run(arrival_t *arrival, exchange_t *exchange)
{
	timeline_add(arrival->front->process.timeline, EVENT_REQUEST_ACCEPTED,
	    exchange->id, "%.20s %.24s", exchange->organisation,
	    exchange->version);
	http_request_set_closed(arrival->req, caller_disconnected, exchange);
	if (exchange->phase == PHASE_QUEUED)
		exchange_dispatch(exchange);
}

static void
exchange_refuse(arrival_t *arrival, exchange_t *exchange, const err_t *err)
{
	if (exchange != NULL) {
		exchange->req = NULL;
		exchange_free(exchange);
	}
	arrival_refuse(arrival->front, arrival->req, err);
}

/* Parses the body of a chat request; its model must be one that the
 * organisation may use. */
static bool
chat_body_parse(
    arrival_t *arrival, exchange_t *exchange, const char *path, err_t *err)
{
	const json_t *messages = json_object_get(exchange->body, "messages");
	const char *model =
	    json_string_value(json_object_get(exchange->body, "model"));

	(void)path;
	if (!sse_init(&exchange->sse))
		return err_set(err, ERR_MEMORY, "no memory");
	exchange->is_engine = true;
	exchange->streaming =
	    json_is_true(json_object_get(exchange->body, "stream"));
	if (model == NULL || json_array_size(messages) == 0)
		return err_set(err, ERR_BAD_REQUEST,
		    "\"model\" or \"messages\" is missing in the body");
	snprintf(
	    exchange->path, sizeof(exchange->path), "/v1/chat/completions");
	if (strcmp(model, AUTO_MODEL) == 0) {
		exchange->auto_model = true;
		exchange->idempotent = true;
		return true;
	}
	return model_accept(arrival, exchange, model, MODEL_ENGINE, err);
}

static bool
prefers_async(http_request_t *req)
{
	const char *prefer = http_request_header(req, "Prefer");

	return prefer != NULL && strstr(prefer, "respond-async") != NULL;
}

bool
exchange_has_recipient(const exchange_t *exchange)
{
	return exchange->req != NULL || exchange->job != NULL;
}

/* Fills the exchange from the request's body and path. */
typedef bool (*request_parser_t)(
    arrival_t *, exchange_t *, const char *path, err_t *err);

/* Common to chat and service requests: parses the request, and refuses it at
 * the first check that fails. */
static void
exchange_accept(arrival_t *arrival, request_parser_t parse, const char *path)
{
	err_t err;
	exchange_t *exchange = exchange_create(arrival, &err);

	if (exchange == NULL ||
	    (exchange->body = http_request_json(arrival->req, &err)) == NULL ||
	    !parse(arrival, exchange, path, &err) ||
	    !arrival_deadline_parse(arrival, exchange, &err) ||
	    !session_accept(arrival, exchange, &err) ||
	    !version_resolve(arrival, exchange, &err) ||
	    !ticket_accept(arrival, exchange, &err)) {
		exchange_refuse(arrival, exchange, &err);
		return;
	}
	exchange_run(arrival, exchange);
}

void
exchange_chat_start(front_t *front, http_request_t *req)
{
	arrival_t arrival = {.front = front,
	    .req = req,
	    .now = clock_boottime(front->process.clock)};
	err_t err;

	if (!arrival_admit(&arrival, &err))
		arrival_refuse(front, req, &err);
	else if (prefers_async(req))
		deferred_accept(front, req);
	else
		exchange_accept(&arrival, chat_body_parse, NULL);
}

bool
exchange_job_start(front_t *front, deferred_job_t *job,
    const char *organisation, json_t *body, int64_t deadline_ms, err_t *err)
{
	arrival_t arrival = {.front = front,
	    .organisation =
		config_organisation_find(front->config, organisation),
	    .class = CLASS_SHEDDABLE,
	    .now = clock_boottime(front->process.clock)};
	exchange_t *exchange;

	if (arrival.organisation == HANDLE_NONE)
		return err_set(err, ERR_NOT_ALLOWED,
		    "the organisation has been removed from the configuration");
	exchange = exchange_create(&arrival, err);
	if (exchange == NULL)
		return false;
	exchange->body = json_copy(body);
	/* The complete response is stored, so no stream of events is requested.
	 */
	json_object_del(exchange->body, "stream");
	session_create(front, exchange);
	if (!chat_body_parse(&arrival, exchange, NULL, err) ||
	    !version_resolve(&arrival, exchange, err)) {
		exchange_free(exchange);
		return false;
	}
	exchange->job = job;
	exchange->interrupted_attempts = deferred_interrupted_attempts(job);
	exchange->phase = PHASE_QUEUED;
	exchange->waiter.deadline = timespec_add_ms(arrival.now, deadline_ms);
	exchange_dispatch(exchange);
	return true;
}

static bool
service_path_parse(
    arrival_t *arrival, exchange_t *exchange, const char *path, err_t *err)
{
	size_t len = strcspn(path, "/");
	char name[CONFIG_NAME_SIZE];

	if (len == 0 || len >= sizeof(name) ||
	    strlen(path + len) >= sizeof(exchange->path))
		return err_set(err, ERR_BAD_REQUEST,
		    "the path must be /v1/services/SERVICE/...");
	snprintf(name, sizeof(name), "%.*s", (int)len, path);
	snprintf(exchange->path, sizeof(exchange->path), "/%s",
	    path + len + (path[len] == '/'));
	return model_accept(arrival, exchange, name, MODEL_SERVICE, err);
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
exchange_service_start(front_t *front, http_request_t *req, const char *path)
{
	arrival_t arrival = {.front = front,
	    .req = req,
	    .pools = service_pool(path),
	    .now = clock_boottime(front->process.clock)};
	err_t err;

	if (!arrival_admit(&arrival, &err))
		arrival_refuse(front, req, &err);
	else
		exchange_accept(&arrival, service_path_parse, path);
}
