#include "relay_warmup.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* An endpoint that accepts takes a few ms; one that is gone never does. */
#define CONNECT_MS 300
#define CONNECTS_FAILED_MAX 4
/* With less time left, no endpoint can answer. */
#define LEFT_MIN_MS 10
/* How long a kept connection is trusted when the endpoint names no time: its
 * own is under a second then. */
#define IDLE_UNNAMED_MS 350
/* A request that must not be lost to a connection that died unseen goes only
 * on one that was used this recently. */
#define IDLE_UNSAFE_MS 500
#define RANK_MAX 9

/* Whether the attempt is at an endpoint that a roll-out under way replaces, or
 * that the next one will. */
static bool
attempt_on_old(const relay_request_t *req)
{
	const endpoint_t *endpoint = req->attempt.endpoint;
	const rollout_t *rollout =
	    rollouts_find(req->relay->rollouts, endpoint->facts.service);

	return rollout == NULL || !rollout_under_way(rollout) ||
	    !rollout_is_new(rollout, endpoint);
}

/* The session is served by that version as long as the attempt lasts. */
static void
session_note(const relay_request_t *req)
{
	if (req->arrival.session != NULL && attempt_on_old(req))
		rollouts_note_old(req->relay->rollouts, req->spread);
}

void
relay_sessions_note(const relay_t *relay)
{
	for (const relay_request_t *req = relay->first; req != NULL;
	     req = req->next) {
		if (req->attempt.endpoint != NULL)
			session_note(req);
	}
}

uint32_t
relay_on_old(const void *arg, const rollout_t *rollout)
{
	const relay_t *relay = arg;
	uint32_t count = 0;

	for (const relay_request_t *req = relay->first; req != NULL;
	     req = req->next) {
		const endpoint_t *endpoint = req->attempt.endpoint;

		if (endpoint != NULL &&
		    strcmp(endpoint->facts.service, rollout->order.service) ==
			0 &&
		    !rollout_is_new(rollout, endpoint))
			count++;
	}
	return count;
}

const char *
relay_first_version(const void *arg, const char *service)
{
	const relay_t *relay = arg;
	endpoint_group_t *group = endpoint_set_group(relay->endpoints, service);

	if (group == NULL)
		return "";
	endpoint_group_learn(group);
	return group->base_version;
}

/* The attempt no longer weighs on its endpoint. */
static void
attempt_uncount(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;

	prefill_queue_drop(&attempt->endpoint->unread, &attempt->ticket,
	    (double)timespec_to_ms(clock_boottime(req->relay->clock)));
	if (!req->attempt.sent)
		return;
	session_note(req);
	endpoint_let_go(req->attempt.endpoint);
}

static void
attempt_clear(relay_request_t *req)
{
	if (req->silence != NULL)
		event_del(req->silence);
	endpoint_release(req->attempt.endpoint);
	req->attempt = (attempt_t){0};
}

void
attempt_cancel(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;

	relay_ask_end(req);
	if (attempt->endpoint == NULL)
		return;
	if (attempt->sent && !attempt->headed)
		relay_model_unanswered(req);
	if (attempt->sent && !attempt->broke && !attempt->whole)
		relay_attempt_left(req);
	attempt_uncount(req);
	attempt->endpoint->connections--;
	http_outbound_free(attempt->conn);
	attempt_clear(req);
}

void
attempt_release(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;
	int64_t idle_ms = attempt->answer.idle_max_ms > 0
	    ? attempt->answer.idle_max_ms
	    : IDLE_UNNAMED_MS;

	attempt->whole = true;
	if (!http_outbound_reusable(attempt->conn) || attempt->answer.leaving) {
		attempt_cancel(req);
		return;
	}
	attempt_uncount(req);
	endpoint_keep_link(attempt->endpoint, attempt->conn, idle_ms);
	attempt_clear(req);
}

static bool
connection_get(relay_request_t *req, endpoint_t *endpoint)
{
	attempt_t *attempt = &req->attempt;
	relay_t *relay = req->relay;
	int64_t max_ms = request_idempotent(req) ? INT64_MAX : IDLE_UNSAFE_MS;

	attempt->conn =
	    req->kept_dead ? NULL : endpoint_take_link(endpoint, max_ms);
	attempt->kept = attempt->conn != NULL;
	if (attempt->kept)
		http_outbound_set_silence_timeout(attempt->conn,
		    request_idempotent(req) ? relay->bounds.silent_repeat_ms
					    : relay->bounds.silent_ms);
	if (attempt->conn == NULL) {
		stats_add(&relay->stats, STAT_CONNECTIONS, 1);
		attempt->conn =
		    http_outbound_new(relay->base, &endpoint->facts.address,
			CONNECT_MS, relay->bounds.silent_ms);
		if (attempt->conn == NULL)
			return false;
		endpoint->connections++;
	}
	attempt->endpoint = endpoint_hold(endpoint);
	return true;
}

static int
rank_of(const relay_request_t *req)
{
	int rank = req->route->rank;

	if (req->organisation != NULL && req->organisation->rank >= 0)
		rank = req->organisation->rank;
	return rank < RANK_MAX ? rank : RANK_MAX;
}

static void
attempt_send(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;
	const http_msg_t *msg = http_inbound_request(req->caller);
	struct evbuffer *head = evbuffer_new();
	struct evbuffer *body = evbuffer_new();
	attempt_head_t words = {.request = msg,
	    .arrival = &req->arrival,
	    .endpoint = &attempt->endpoint->facts,
	    .organisation =
		req->organisation != NULL ? req->organisation->name : NULL,
	    .model = attempt->model,
	    .left_ms = request_left_ms(req),
	    .resume = req->begun,
	    .resume_after = req->last_event,
	    .rank = rank_of(req),
	    .body_len = evbuffer_get_length(req->body),
	    .has_body =
		http_msg_field(msg, "Content-Length") != NULL || msg->chunked};

	req->relay->endpoint_words->write(&words, head);
	if (words.body_len > 0)
		evbuffer_add_buffer_reference(body, req->body);
	http_outbound_send(attempt->conn, &answer_ops, req, head, body,
	    strcmp(msg->method, "HEAD") == 0);
	evbuffer_free(head);
	evbuffer_free(body);
}

/* The decision, before anything comes of it: of a request that is under way
 * when its VM is lost this is all that stays. */
static void
attempt_log(const relay_request_t *req)
{
	const placement_t *place = &req->attempt.place;
	const relay_t *relay = req->relay;

	event_log_write(relay->log, "attempt",
	    "id=%s endpoint=%s zone=%s model=%s attempt=%u kept=%d resume=%d "
	    "of=%zu cold=%zu told=%zu load=%.0f wait_ms=%.0f read_ms=%.0f "
	    "first_ms=%.0f "
	    "left_ms=%" PRId64 " config=%" PRIu64 " endpoints_age_ms=%" PRId64,
	    req->arrival.id, req->endpoint_id, place->endpoint->facts.zone,
	    req->attempt.model != NULL ? req->attempt.model : "-",
	    req->sends + req->connects + 1, req->attempt.kept, req->begun,
	    place->candidates, place->cold, place->told, place->load,
	    place->wait_ms, place->read_ms, place->first_ms,
	    request_left_ms(req), req->config->version,
	    row_watch_age_ms(relay->endpoint_watch));
}

/* The configuration may have changed since the request was taken: the one in
 * force now decides what may be sent. */
static err_code_t
permit_again(relay_request_t *req)
{
	relay_t *relay = req->relay;
	const http_msg_t *msg = http_inbound_request(req->caller);
	const relay_organisation_t *organisation;
	const relay_route_t *route;
	err_code_t code = relay_permit(
	    relay, &req->arrival, msg->target, &route, &organisation);

	if (code != ERR_NONE || req->config == relay->config)
		return code;
	if (!relay_model_carry(req, route))
		return ERR_NO_ENDPOINT;
	relay_config_release(req->config);
	req->config = relay_config_share(relay->config);
	req->route = route;
	req->organisation = organisation;
	req->service = relay_pool(route, req->spread);
	return ERR_NONE;
}

/* No further attempt: tell what is known of those before. */
static void
attempts_end(relay_request_t *req, err_code_t not_run, const char *why)
{
	if (req->failure_kept && !req->begun) {
		answer_pass(req);
		return;
	}
	request_fail(
	    req, req->may_have_run ? ERR_UNKNOWN_OUTCOME : not_run, why);
}

void
attempt_begin(relay_request_t *req)
{
	err_code_t code = permit_again(req);
	rollout_t *rollout;
	placement_t place;
	const char *why;

	if (code != ERR_NONE) {
		attempts_end(req, code, "permit");
		return;
	}
	if (request_left_ms(req) < LEFT_MIN_MS) {
		attempts_end(req, ERR_OVERLOAD, "no_time_left");
		return;
	}
	if (relay_quarantine_refuses(req)) {
		attempts_end(req, ERR_QUARANTINED, "quarantined");
		return;
	}
	req->attempt.model = relay_model(req);
	if (relay_ask(req))
		return;
	if (!relay_place(req, req->model_index, &place, &why)) {
		attempts_end(req,
		    place.cold > 0 ? ERR_WARMING_UP : ERR_NO_ENDPOINT, why);
		return;
	}
	relay_ask_end(req);
	if (!relay_suspect_fits(req)) {
		if (!relay_suspect_waits(req))
			attempts_end(req, ERR_NO_ENDPOINT, "last_endpoint");
		return;
	}
	req->place = place;
	strcpy(req->endpoint_id, place.endpoint->facts.id);
	if (!connection_get(req, place.endpoint)) {
		attempts_end(req, ERR_NO_ENDPOINT, "no_socket");
		return;
	}
	rollout = rollouts_find(req->relay->rollouts, req->service);
	if (rollout != NULL && rollout->order.number != 0) {
		req->attempt.is_new = rollout_is_new(rollout, place.endpoint);
		req->attempt.on_trial = rollout_on_trial(rollout);
	}
	relay_warmup_acquire(req);
	if (place.cold > 0)
		stats_add(&req->relay->stats, STAT_COLD_PASSED_OVER, 1);
	req->attempt.place = place;
	relay_place_note(req, &place, req->model_index);
	session_note(req);
	attempt_log(req);
	attempt_send(req);
}

bool
attempt_ready(relay_request_t *req)
{
	const relay_t *relay = req->relay;
	const endpoint_t *endpoint = req->attempt.endpoint;
	const http_msg_t *msg = http_inbound_request(req->caller);
	const relay_organisation_t *organisation;
	const relay_route_t *route;

	/* The process may have stood still while it connected. */
	if (req->config == relay->config && endpoint->present &&
	    endpoint_accepts_requests(endpoint) && relay_warmup_acquire(req) &&
	    !relay_quarantine_refuses(req) &&
	    relay_permit(relay, &req->arrival, msg->target, &route,
		&organisation) == ERR_NONE)
		return true;
	attempt_cancel(req);
	attempt_begin(req);
	return false;
}

static bool
may_repeat(relay_request_t *req, attempt_end_t end)
{
	relay_t *relay = req->relay;

	if (end == ATTEMPT_NOT_SENT && req->sends == 0)
		return req->connects < CONNECTS_FAILED_MAX;
	if (req->sends >= req->route->attempts ||
	    req->connects >= CONNECTS_FAILED_MAX)
		return false;
	if (req->may_have_run && !request_idempotent(req))
		return false;
	if (req->begun && !req->have_event)
		return false;
	if (request_left_ms(req) < LEFT_MIN_MS)
		return false;
	if (end == ATTEMPT_UNKNOWN && relay_suspect_stops(req)) {
		stats_add(&relay->stats, STAT_SUSPECTS_STOPPED, 1);
		return false;
	}
	if (!relay_repeat_allowed(relay, req->service)) {
		stats_add(&relay->stats, STAT_REPEATS_DENIED, 1);
		return false;
	}
	stats_add(&relay->stats, STAT_REPEATS, 1);
	return true;
}

static void
outcome_count(relay_request_t *req, attempt_end_t end)
{
	endpoint_t *endpoint = req->attempt.endpoint;
	relay_stats_t *stats = &req->relay->stats;

	switch (end) {
	case ATTEMPT_NOT_SENT:
		req->connects++;
		stats_add(stats, STAT_CONNECTS_FAILED, 1);
		relay_warmup_connect_failed(req);
		if (!req->attempt.refused) {
			endpoint_failed(endpoint);
			break;
		}
		endpoint_refused_connection(endpoint);
		relay_attempt_refused(req);
		break;
	case ATTEMPT_NOT_RUN:
		stats_add(stats, STAT_NOT_RUN, 1);
		if (req->attempt.answer.wrong_endpoint)
			endpoint_superseded(endpoint);
		break;
	case ATTEMPT_UNKNOWN:
		stats_add(stats, STAT_BROKEN, 1);
		endpoint_failed(endpoint);
		relay_guard_suspect(req);
		if (req->attempt.broke)
			relay_attempt_broke(req);
		break;
	case ATTEMPT_FAILED:
		relay_attempt_survived(req);
		relay_guard_failed(req);
		break;
	case ATTEMPT_DROPPED:
		stats_add(stats, STAT_ESCALATED, 1);
		endpoint_worked(endpoint);
		break;
	}
}

void
attempt_over(relay_request_t *req, attempt_end_t end, const char *why)
{
	attempt_t *attempt = &req->attempt;

	outcome_count(req, end);
	event_log_write(req->relay->log, "attempt_over",
	    "id=%s endpoint=%s why=%s end=%d sends=%u kept=%d begun=%d "
	    "last_event=%" PRId64 " model=%s confidence=%d running=%u "
	    "waiting=%u digest=%016" PRIx64,
	    req->arrival.id, attempt->endpoint->facts.id, why, (int)end,
	    req->sends, attempt->kept, req->begun, req->last_event,
	    attempt->model != NULL ? attempt->model : "-", req->confidence,
	    attempt->endpoint->load.running, attempt->endpoint->load.waiting,
	    end == ATTEMPT_UNKNOWN ? relay_digest(req) : 0);
	if (req->tried_len < TRIED_MAX && end != ATTEMPT_DROPPED)
		req->tried[req->tried_len++] = attempt->endpoint->hash;
	if (end == ATTEMPT_NOT_RUN || end == ATTEMPT_FAILED)
		attempt_release(req);
	else
		attempt_cancel(req);
	event_scan_reset(&req->scan);
	req->failure_kept |= end == ATTEMPT_FAILED;
	if (may_repeat(req, end)) {
		if (req->begun)
			stats_add(&req->relay->stats, STAT_RESUMED, 1);
		attempt_begin(req);
		return;
	}
	attempts_end(req, ERR_OVERLOAD, why);
}

void
attempt_answered(relay_request_t *req)
{
	endpoint_worked(req->attempt.endpoint);
	relay_attempt_survived(req);
	relay_guard_answered(req);
}
