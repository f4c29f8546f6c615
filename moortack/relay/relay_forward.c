#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "relay_request.h"

/* A daemon that is up accepts within a few ms. */
#define CONNECT_TIMEOUT_MS 300
#define MS_PER_SEC 1000
#define LAST_EVENT_ID_HEADER "Last-Event-Id"

bool
relay_forward_wanted(const relay_request_t *req)
{
	const relay_t *relay = req->relay;

	return !req->from_daemon && relay->forward_port != 0 &&
	    relay->has_forward_key && req->tried_helpers_len < FORWARDS_MAX &&
	    req->sends < request_sends_max(req) &&
	    relay_reach_verdict(req) == REACH_LOST;
}

/* Of several sends that are left, one is kept for the case that the other
 * daemon is lost with the request. */
static uint32_t
sends_granted(const relay_request_t *req)
{
	uint32_t left = request_sends_max(req) - req->sends;

	return left > 1 ? left - 1 : left;
}

static bool
field_is_replaced(const relay_request_t *req, const char *name)
{
	return strcasecmp(name, FORWARD_HEADER) == 0 ||
	    (req->response_started &&
		strcasecmp(name, LAST_EVENT_ID_HEADER) == 0);
}

static void
head_write(relay_request_t *req, struct evbuffer *out)
{
	const http_msg_t *msg = http_inbound_request(req->caller);
	const forward_head_t head = {.remaining_ms = request_remaining_ms(req),
	    .since_first_try_ms = (int64_t)request_since_first_try_ms(req),
	    .sends = req->attempt.forward_sends,
	    .config_version = req->config->version};
	char text[FORWARD_TEXT_SIZE];

	forward_head_seal(
	    &head, &req->relay->forward_key, req->arrival.id, text);
	evbuffer_add_printf(out,
	    "%s %s HTTP/1.1\r\nHost: %s\r\n" FORWARD_HEADER ": %s\r\n"
	    "Connection: close\r\n",
	    msg->method, msg->target, req->arrival.host, text);
	for (size_t i = 0; i < msg->fields_len; i++) {
		const http_field_t *field = &msg->fields[i];

		if (!http_field_is_hop_by_hop(msg, field->name) &&
		    !field_is_replaced(req, field->name))
			evbuffer_add_printf(
			    out, "%s: %s\r\n", field->name, field->value);
	}
	if (req->response_started)
		evbuffer_add_printf(out,
		    LAST_EVENT_ID_HEADER ": %" PRId64 "\r\n",
		    req->last_event_id);
	if (http_msg_field(msg, "Content-Length") != NULL || msg->chunked)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n",
		    evbuffer_get_length(req->body));
	evbuffer_add(out, "\r\n", 2);
}

static bool
on_connected(void *arg)
{
	relay_request_t *req = arg;
	const http_msg_t *msg = http_inbound_request(req->caller);
	const relay_organisation_t *organisation;
	const relay_route_t *route;

	/* This daemon may have been suspended while it connected. */
	if (req->config == req->relay->config &&
	    request_remaining_ms(req) >= REQUEST_REMAINING_MIN_MS &&
	    relay_authorize(req->relay, &req->arrival, msg->target, &route,
		&organisation) == ERR_NONE)
		return true;
	attempt_cancel(req);
	attempt_begin(req);
	return false;
}

static void
on_sent(void *arg)
{
	relay_request_t *req = arg;
	attempt_t *attempt = &req->attempt;

	attempt->sent = true;
	attempt->sent_at = clock_boottime(req->relay->clock);
	if (req->sends == 0)
		stats_observe(
		    &req->relay->stats.added_ms, (double)request_age_ms(req));
	req->sends += attempt->forward_sends;
	req->attempt_events = 0;
	req->may_have_run = true;
	req->unresolved_sends++;
	stats_add(&req->relay->stats, STAT_FORWARDS, 1);
}

static int64_t
retry_after_ms(const http_msg_t *msg)
{
	const char *text = http_msg_field(msg, "Retry-After");
	double seconds = text != NULL ? strtod(text, NULL) : 0;

	return seconds > 0 && seconds < INT32_MAX / MS_PER_SEC
	    ? (int64_t)(seconds * MS_PER_SEC)
	    : 0;
}

static void
on_head(void *arg, const http_msg_t *msg)
{
	relay_request_t *req = arg;
	attempt_t *attempt = &req->attempt;
	const char *result = http_msg_field(msg, FORWARD_HEADER);

	attempt->head_received = true;
	if (result == NULL ||
	    !forward_result_parse(&attempt->forward_result, result)) {
		attempt_retry_or_fail(req, ATTEMPT_UNKNOWN, "no_result");
		return;
	}
	attempt->has_forward_result = true;
	if (attempt->forward_result.code != ERR_NONE) {
		attempt->forward_retry_after_ms = retry_after_ms(msg);
		return;
	}
	req->relay->endpoint_dialect->read(
	    msg, &req->arrival, &attempt->response);
	if (attempt->response.id_mismatch) {
		stats_add(&req->relay->stats, STAT_STRAY_ANSWERS, 1);
		attempt_retry_or_fail(req, ATTEMPT_UNKNOWN, "stray_answer");
		return;
	}
	response_head_accept(req, msg);
}

static void
on_body(void *arg, const char *bytes, size_t len)
{
	relay_request_t *req = arg;

	if (req->attempt.forward_result.code == ERR_NONE)
		response_body_add(req, bytes, len);
}

/* The other daemon has not run it: none of its sends count. */
static void
sends_take_back(relay_request_t *req)
{
	req->sends -= req->attempt.forward_sends;
	req->unresolved_sends--;
	req->may_have_run = req->unresolved_sends > 0;
}

static void
on_complete(void *arg)
{
	relay_request_t *req = arg;
	err_code_t code = req->attempt.forward_result.code;

	if (code == ERR_NONE) {
		response_end(req);
		return;
	}
	if (err_info(code)->execution != ERR_NOT_EXECUTED) {
		attempt_retry_or_fail(req, ATTEMPT_UNKNOWN, "forward_failed");
		return;
	}
	sends_take_back(req);
	attempt_retry_or_fail(req, ATTEMPT_NOT_RUN, "forward_refused");
}

static void
on_failed(void *arg, http_outbound_failure_t failure)
{
	relay_request_t *req = arg;

	req->attempt.connection_lost = true;
	if (failure == HTTP_OUTBOUND_BAD_RESPONSE)
		response_record_defect(req);
	if (failure == HTTP_OUTBOUND_NOT_SENT ||
	    failure == HTTP_OUTBOUND_CONNECTION_REFUSED)
		attempt_retry_or_fail(req, ATTEMPT_NOT_SENT, "forward_connect");
	else
		attempt_retry_or_fail(req, ATTEMPT_UNKNOWN, "forward_lost");
}

static const http_outbound_ops_t forward_ops = {
    on_connected, on_sent, on_head, on_body, on_complete, on_failed};

static void
begin_log(const relay_request_t *req, const endpoint_group_t *group,
    const helper_t *helper)
{
	char host[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &helper->address.sin_addr, host, sizeof(host));
	event_log_write(req->relay->log, "forward",
	    "id=%s service=%s helper=%s load=%u in_flight=%u helpers=%zu "
	    "failed=%zu sends=%u of=%u left_ms=%" PRId64 " config=%" PRIu64
	    " resume=%d",
	    req->arrival.id, group->service, host, helper->load,
	    helper->in_flight, group->helpers.len, group->reach.failed_len,
	    req->attempt.forward_sends, request_sends_max(req),
	    request_remaining_ms(req), req->config->version,
	    req->response_started);
}

static http_outbound_t *
helper_connect(const relay_t *relay, const helper_t *helper)
{
	http_address_t address = {.port = relay->forward_port};

	inet_ntop(AF_INET, &helper->address.sin_addr, address.host,
	    sizeof(address.host));
	return http_outbound_new(relay->base, &address, NULL,
	    CONNECT_TIMEOUT_MS, relay->bounds.silence_timeout_ms);
}

bool
relay_forward_begin(relay_request_t *req)
{
	relay_t *relay = req->relay;
	endpoint_group_t *group = relay_request_group(req);
	helper_t *helper = helpers_choose(&group->helpers, req->tried_helpers,
	    req->tried_helpers_len, relay->rng->next(relay->rng));
	const http_msg_t *msg = http_inbound_request(req->caller);
	struct evbuffer *head, *body;
	http_outbound_t *conn;

	conn = helper != NULL ? helper_connect(relay, helper) : NULL;
	if (conn == NULL)
		return false;
	relay_query_end(req);
	req->attempt.forwarded = true;
	req->attempt.conn = conn;
	req->attempt.helper = helper->address;
	req->attempt.forward_sends = sends_granted(req);
	req->tried_helpers[req->tried_helpers_len++] = helper->address;
	begin_log(req, group, helper);
	helper->in_flight++;
	head = evbuffer_new();
	body = evbuffer_new();
	head_write(req, head);
	if (evbuffer_get_length(req->body) > 0)
		evbuffer_add_buffer_reference(body, req->body);
	http_outbound_send(conn, &forward_ops, req, head, body,
	    strcasecmp(msg->method, "HEAD") == 0);
	evbuffer_free(head);
	evbuffer_free(body);
	return true;
}

void
relay_forward_cancel(relay_request_t *req)
{
	endpoint_group_t *group = relay_request_group(req);
	helper_t *helper = group != NULL
	    ? helpers_find(&group->helpers, &req->attempt.helper)
	    : NULL;

	if (helper != NULL && helper->in_flight > 0)
		helper->in_flight--;
	http_outbound_free(req->attempt.conn);
	req->attempt = (attempt_t){0};
}

void
relay_forward_record(
    relay_request_t *req, attempt_outcome_t outcome, const char *why)
{
	const attempt_t *attempt = &req->attempt;
	endpoint_group_t *group = relay_request_group(req);
	char host[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &attempt->helper.sin_addr, host, sizeof(host));
	event_log_write(req->relay->log, "forward_over",
	    "id=%s helper=%s why=%s end=%d result=%s helper_sends=%u sends=%u "
	    "defect=%s begun=%d last_event=%" PRId64,
	    req->arrival.id, host, why, (int)outcome,
	    attempt->has_forward_result
		? err_info(attempt->forward_result.code)->name
		: "-",
	    attempt->forward_result.sends, req->sends,
	    http_defect_name(attempt->defect), req->response_started,
	    req->last_event_id);
	stats_add(&req->relay->stats, STAT_FORWARDS_FAILED, 1);
	/* A daemon that can't be connected to, or that refuses, is asked again
	 * before it gets another request. */
	if (group != NULL && outcome != ATTEMPT_FAILED)
		helpers_remove(&group->helpers, &attempt->helper);
}

void
relay_forward_fail_helper(
    relay_t *relay, const char *service, const struct sockaddr_in *helper)
{
	relay_request_t *req, *next;

	for (req = relay->requests; req != NULL; req = next) {
		next = req->next;
		if (req->attempt.forwarded && req->service != NULL &&
		    strcmp(req->service, service) == 0 &&
		    helper_address_equal(&req->attempt.helper, helper))
			attempt_retry_or_fail(req,
			    req->attempt.sent ? ATTEMPT_UNKNOWN
					      : ATTEMPT_NOT_SENT,
			    "helper_silent");
	}
}
