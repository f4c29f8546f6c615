#include "moortack/relay/relay.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "relay_warmup.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000
/* When a refused caller is told to come back: soon where the cause passes
 * soon, later where the platform's store has to come back first; spread over
 * callers. Small against the objectives, so that a second try can meet them. */
#define RETRY_SOON_MS 60
#define RETRY_STORE_MS 600
#define RETRY_SPREAD_MS 120
/* After its start a daemon knows enough to serve in some 30 ms while the store
 * answers; connections wait for it in the kernel this long at most. */
#define OPEN_LATEST_MS 300
#define REFUSAL_HEAD_SIZE 128
#define SESSION_MARK_SHIFT 32
/* Connections of callers at the same time: the users' smallest VMs have 4,100
 * descriptors, and endpoints need some of them. */
#define CONNECTIONS_MAX 2500

int64_t
request_age_ms(const relay_request_t *req)
{
	return timespec_ms_between(
	    req->taken, clock_boottime(req->relay->clock));
}

double
request_tried_ms(const relay_request_t *req)
{
	return req->before_ms + (double)request_age_ms(req);
}

int64_t
request_left_ms(const relay_request_t *req)
{
	return req->limit_ms - request_age_ms(req);
}

bool
request_idempotent(const relay_request_t *req)
{
	return req->route->kind == ROUTE_SAFE ||
	    (req->route->kind == ROUTE_STREAM && req->route->resumable);
}

uint64_t
relay_digest(relay_request_t *req)
{
	const relay_quarantine_t *quarantine = &req->relay->quarantine;

	if (req->digest == 0 && quarantine->keyed)
		req->digest = request_digest(&quarantine->key,
		    req->organisation != NULL ? req->organisation->name : "",
		    http_inbound_request(req->caller)->target, req->body);
	return req->digest;
}

static int64_t
retry_after_ms(relay_t *relay, err_code_t code)
{
	int64_t ms = code == ERR_CONFIG_STALE || code == ERR_NOT_READY
	    ? RETRY_STORE_MS
	    : RETRY_SOON_MS;

	if (code == ERR_WARMING_UP)
		ms = relay_warmup_next_slot_ms(relay);

	return ms + rng_below(relay->rng, RETRY_SPREAD_MS);
}

/* Tell a failure of our own: its type, and when to come back if that helps.
 * @param ms until then */
static void
caller_tell(relay_t *relay, http_inbound_t *caller, err_code_t code, int64_t ms)
{
	const err_info_t *info = err_info(code);
	struct evbuffer *body = evbuffer_new();
	char head[REFUSAL_HEAD_SIZE] = "Content-Type: application/json\r\n";

	relay->stats.failures[code]++;
	if (info->retryable)
		snprintf(head, sizeof(head),
		    "Content-Type: application/json\r\n"
		    "Retry-After: %" PRId64 ".%03" PRId64 "\r\n",
		    ms / MS_PER_SEC, ms % MS_PER_SEC);
	if (body != NULL)
		evbuffer_add_printf(body, "{\"error\":\"%s\"}\n", info->name);
	http_inbound_respond(caller, info->http_status, head, body);
	if (body != NULL)
		evbuffer_free(body);
}

static void
request_free(relay_request_t *req)
{
	relay_t *relay = req->relay;

	attempt_cancel(req);
	if (req->prev != NULL)
		req->prev->next = req->next;
	else
		relay->first = req->next;
	if (req->next != NULL)
		req->next->prev = req->prev;
	relay->under_way--;
	if (req->limit != NULL)
		event_free(req->limit);
	if (req->silence != NULL)
		event_free(req->silence);
	if (req->body != NULL)
		evbuffer_free(req->body);
	if (req->kept != NULL)
		evbuffer_free(req->kept);
	event_scan_finish(&req->scan);
	relay_config_release(req->config);
	free(req->head);
	free(req);
}

/* Tells sessions apart in the log; 0: none. */
static uint32_t
session_mark(const relay_request_t *req)
{
	return req->arrival.session != NULL
	    ? (uint32_t)(req->spread >> SESSION_MARK_SHIFT)
	    : 0;
}

void
request_end(relay_request_t *req, const char *outcome, const char *why)
{
	relay_t *relay = req->relay;
	double age_ms = (double)request_age_ms(req);

	stats_observe(&relay->stats.whole_ms, age_ms);
	stats_end(&relay->stats, outcome, why,
	    req->before_ms + req->first_ms > (double)req->route->objective_ms);
	event_log_write(relay->log, "request",
	    "id=%s route=%s service=%s organisation=%s outcome=%s why=%s "
	    "status=%d sends=%u connects_failed=%u model=%s confidence=%d "
	    "tokens=%u,%u,%u ms=%.0f "
	    "first_ms=%.0f before_ms=%.0f objective_ms=%" PRId64
	    " pause_ms=%.0f "
	    "pause_most_ms=%" PRId64 " dropped_ms=%.0f limit_ms=%" PRId64
	    " config=%" PRIu64 " config_age_ms=%" PRId64
	    " endpoints_age_ms=%" PRId64
	    " endpoint=%s load=%.0f of=%zu told=%zu wait_ms=%.0f"
	    " session=%08" PRIx32,
	    req->arrival.id, req->route->name,
	    req->service != NULL ? req->service : "-",
	    req->organisation != NULL ? req->organisation->name : "-", outcome,
	    why, req->status, req->sends, req->connects,
	    req->model != NULL ? req->model : "-", req->confidence,
	    req->arrival.tokens_in, req->arrival.tokens_out,
	    req->arrival.tokens_out_likely, age_ms, req->first_ms,
	    req->before_ms, req->route->objective_ms, req->pause_ms,
	    req->route->pause_ms, req->dropped_ms, req->limit_ms,
	    req->config->version, row_watch_age_ms(relay->config_watch),
	    row_watch_age_ms(relay->endpoint_watch), req->endpoint_id,
	    req->place.load, req->place.candidates, req->place.told,
	    req->place.wait_ms, session_mark(req));
	request_free(req);
}

void
request_fail(relay_request_t *req, err_code_t code, const char *why)
{
	relay_t *relay = req->relay;
	http_inbound_t *caller = req->caller;
	int64_t ms = retry_after_ms(relay, code);

	if (code == ERR_QUARANTINED)
		ms += quarantine_left_ms(
		    &relay->quarantine.table, relay_digest(req));
	attempt_cancel(req);
	if (req->begun) {
		stats_add(&relay->stats, STAT_STREAMS_CUT, 1);
		request_end(req, "cut", why);
		http_inbound_abort(caller);
		return;
	}
	req->status = err_info(code)->http_status;
	stats_add(&relay->stats,
	    err_info(code)->execution == ERR_NOT_EXECUTED ? STAT_REFUSED
							  : STAT_FAILED,
	    1);
	request_end(req, err_info(code)->name, why);
	caller_tell(relay, caller, code, ms);
}

static void
on_limit(evutil_socket_t fd, short what, void *arg)
{
	relay_request_t *req = arg;

	(void)fd;
	(void)what;
	if (req->failure_kept && !req->begun) {
		attempt_cancel(req);
		answer_pass(req);
		return;
	}
	request_fail(
	    req, req->may_have_run ? ERR_TIMEOUT : ERR_OVERLOAD, "time_limit");
}

/* What hashes alike goes to the same pool and version: a session, or else the
 * request by itself. */
static uint64_t
spread_of(const arrival_t *arrival)
{
	const char *text =
	    arrival->session != NULL ? arrival->session : arrival->id;

	return XXH3_64bits(text, strlen(text));
}

/* The last part is the request's own. */
static uint64_t
shared_of(const arrival_t *arrival)
{
	size_t len = arrival->parts_len > 1 ? arrival->parts_len - 1
					    : arrival->parts_len;
	uint64_t hash = 0;

	for (size_t i = 0; i < len; i++)
		hash = XXH3_64bits_withSeed(
		    &arrival->parts[i].id, sizeof(arrival->parts[i].id), hash);
	return hash;
}

static int64_t
limit_of(const relay_route_t *route, const arrival_t *arrival)
{
	int64_t limit = route->timeout_ms > 0 ? route->timeout_ms : INT32_MAX;

	if (arrival->deadline_ms > 0 && arrival->deadline_ms < limit)
		limit = arrival->deadline_ms;
	return limit;
}

static bool
limit_set(relay_request_t *req, int64_t ms)
{
	struct timeval delay = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	return event_add(req->limit, &delay) == 0;
}

static bool
limit_start(relay_request_t *req)
{
	req->limit = event_new(req->relay->base, -1, 0, on_limit, req);
	return req->limit != NULL && limit_set(req, req->limit_ms);
}

void
relay_woken(relay_t *relay)
{
	for (relay_request_t *req = relay->first; req != NULL;
	     req = req->next) {
		int64_t left = request_left_ms(req);

		limit_set(req, left > 0 ? left : 0);
	}
}

static relay_request_t *
request_new(relay_t *relay, http_inbound_t *caller, const arrival_t *arrival,
    const relay_route_t *route, const relay_organisation_t *organisation)
{
	relay_request_t *req = calloc(1, sizeof(*req));

	if (req == NULL)
		return NULL;
	req->relay = relay;
	req->caller = caller;
	req->arrival = *arrival;
	req->config = relay_config_share(relay->config);
	req->route = route;
	req->organisation = organisation;
	req->spread = spread_of(arrival);
	req->shared = shared_of(arrival);
	req->taken = clock_boottime(relay->clock);
	req->limit_ms = limit_of(route, arrival);
	req->smallest_estimate = -1;
	req->before_ms =
	    relay_tried_before_ms(relay, route, arrival->deadline_ms);
	req->next = relay->first;
	if (relay->first != NULL)
		relay->first->prev = req;
	relay->first = req;
	relay->under_way++;
	req->body = evbuffer_new();
	req->kept = evbuffer_new();
	if (req->body == NULL || req->kept == NULL ||
	    !event_scan_init(&req->scan) || !limit_start(req)) {
		request_free(req);
		return NULL;
	}
	evbuffer_add_buffer(req->body, http_inbound_request(caller)->body);
	return req;
}

static void
arrival_refuse(relay_t *relay, http_inbound_t *caller, const char *id,
    err_code_t code, const char *why)
{
	stats_add(&relay->stats, STAT_REFUSED, 1);
	stats_end(&relay->stats, err_info(code)->name, why, false);
	event_log_write(relay->log, "refuse",
	    "id=%s outcome=%s why=%s config=%" PRIu64 " config_age_ms=%" PRId64
	    " under_way=%u",
	    id, err_info(code)->name, why,
	    relay->config != NULL ? relay->config->version : 0,
	    row_watch_age_ms(relay->config_watch), relay->under_way);
	caller_tell(relay, caller, code, retry_after_ms(relay, code));
}

static void
on_request(void *arg, http_inbound_t *caller)
{
	relay_t *relay = arg;
	const http_msg_t *msg = http_inbound_request(caller);
	const relay_organisation_t *organisation;
	const relay_route_t *route;
	relay_request_t *req;
	arrival_t arrival;
	err_code_t code;
	err_t err;

	stats_add(&relay->stats, STAT_REQUESTS, 1);
	http_inbound_set_user_data(caller, NULL);
	if (!relay->callers->read(msg, &arrival, &err)) {
		arrival_refuse(relay, caller, "-", err.code, "bad_headers");
		return;
	}
	code =
	    relay_permit(relay, &arrival, msg->target, &route, &organisation);
	if (code != ERR_NONE) {
		arrival_refuse(relay, caller, arrival.id, code, "permit");
		return;
	}
	if (relay->leaving && route->kind == ROUTE_STREAM) {
		arrival_refuse(
		    relay, caller, arrival.id, ERR_DRAINING, "leaving");
		return;
	}
	req = relay->under_way < relay->bounds.requests_max
	    ? request_new(relay, caller, &arrival, route, organisation)
	    : NULL;
	if (req == NULL) {
		arrival_refuse(
		    relay, caller, arrival.id, ERR_OVERLOAD, "requests_max");
		return;
	}
	http_inbound_set_user_data(caller, req);
	req->service = relay_pool(route, req->spread);
	if (req->service != NULL)
		relay_count_request(relay, req->service, req->taken);
	attempt_begin(req);
}

static void
on_gone(void *arg, http_inbound_t *caller)
{
	relay_t *relay = arg;
	relay_request_t *req = http_inbound_user_data(caller);

	if (req == NULL)
		return;
	stats_add(&relay->stats, STAT_CALLERS_GONE, 1);
	request_end(req, "caller_gone", req->begun ? "midway" : "waiting");
}

static void
on_drained(void *arg, http_inbound_t *caller)
{
	relay_request_t *req = http_inbound_user_data(caller);

	(void)arg;
	if (req != NULL)
		answer_drained(req);
}

static void
on_refused(void *arg, const err_t *err)
{
	relay_t *relay = arg;

	stats_add(&relay->stats, STAT_BAD_MESSAGES, 1);
	stats_end(
	    &relay->stats, err_info(err->code)->name, "bad_message", false);
	event_log_write(relay->log, "bad_message", "outcome=%s why=\"%s\"",
	    err_info(err->code)->name, err->detail);
}

static const http_inbound_ops_t inbound_ops = {
    on_request, on_gone, on_drained, on_refused};

static void
limits_set(relay_t *relay)
{
	const relay_config_t *config = relay->config;
	const http_inbound_limits_t limits = {.head_max = config->head_max,
	    .body_max = config->body_max,
	    .read_timeout_ms = config->read_ms,
	    .idle_timeout_ms = config->idle_ms,
	    .connections_max = CONNECTIONS_MAX};

	http_inbound_set_limits(relay->server, &limits);
}

bool
relay_init(relay_t *relay, const http_address_t *listen, err_t *err)
{
	relay_config_t *config;

	relay->server =
	    http_inbound_listen(relay->base, listen, &inbound_ops, relay, err);
	if (relay->server == NULL)
		return false;
	/* Defaults until a configuration is there. */
	config = relay_config_new(0);
	if (config == NULL)
		return err_set(err, ERR_MEMORY, "out of memory");
	relay->config = config;
	limits_set(relay);
	relay->config = NULL;
	relay_config_release(config);
	relay->daemons_most = 1;
	relay->started = clock_boottime(relay->clock);
	http_inbound_pause_accepting(relay->server, true);
	if (!prefix_memory_init(&relay->prefixes))
		return err_set(err, ERR_MEMORY, "out of memory");
	return true;
}

void
relay_finish(relay_t *relay)
{
	while (relay->first != NULL)
		request_end(relay->first, "cut", "stopped");
	http_inbound_server_free(relay->server);
	relay_config_release(relay->config);
	prefix_memory_finish(&relay->prefixes);
	relay_counts_finish(relay);
	warmup_daemons_finish(&relay->warmup_daemons);
}

void
relay_configure(relay_t *relay, relay_config_t *config)
{
	if (relay->config != NULL &&
	    config->version <= relay->config->version) {
		relay_config_release(config);
		return;
	}
	event_log_write(relay->log, "config",
	    "version=%" PRIu64 " before=%" PRIu64 " routes=%u services=%u",
	    config->version, relay->config != NULL ? relay->config->version : 0,
	    HASH_COUNT(config->routes), HASH_COUNT(config->services));
	relay_config_release(relay->config);
	relay->config = config;
	limits_set(relay);
}

bool
relay_ready(const relay_t *relay)
{
	/* Without the states of roll-outs it is not known which version an
	 * order replaces. */
	return relay->config != NULL && !relay->leaving &&
	    relay->endpoints->endpoints != NULL &&
	    relay->rollouts->states->settled_once &&
	    row_watch_age_ms(relay->config_watch) <= relay->bounds.key_fresh_ms;
}

void
relay_open(relay_t *relay)
{
	int64_t age_ms =
	    timespec_ms_between(relay->started, clock_boottime(relay->clock));

	if (relay->opened || (!relay_ready(relay) && age_ms < OPEN_LATEST_MS))
		return;
	relay->opened = true;
	http_inbound_pause_accepting(relay->server, false);
}

void
relay_leave(relay_t *relay)
{
	http_inbound_drain(relay->server);
}
