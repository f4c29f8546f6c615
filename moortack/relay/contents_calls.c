#include "contents_calls.h"

#include <inttypes.h>
#include <stdlib.h>

#define CONNECT_TIMEOUT_MS 300
#define SILENCE_TIMEOUT_MS 2000
/* Longest time for a response, beyond the time for which the endpoint may hold
 * the call. */
#define CALL_TIMEOUT_MS 2000
/* For this long after its start, a daemon requests lists as after a start of
 * the whole fleet. */
#define START_MS 5000
/* Least time between two log lines on gaps and failures. */
#define LOG_INTERVAL_MS 1000
#define MS_PER_SEC 1000
#define US_PER_MS 1000

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_TIMEOUT 408
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_UNAVAILABLE 503

static int64_t
now_ms(const relay_t *relay)
{
	return timespec_to_ms(clock_boottime(relay->clock));
}

static void
connection_close(followed_endpoint_t *self)
{
	if (self->conn == NULL)
		return;
	http_outbound_free(self->conn);
	self->conn = NULL;
}

void
followed_free(followed_endpoint_t *self)
{
	connection_close(self);
	if (self->timer != NULL)
		event_free(self->timer);
	if (self->body != NULL)
		evbuffer_free(self->body);
	endpoint_contents_finish(&self->contents);
	endpoint_release(self->endpoint);
	free(self);
}

static void
timer_set(followed_endpoint_t *self, int64_t ms)
{
	struct timeval delay = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	event_add(self->timer, &delay);
}

/* Limits lines on gaps and failures, which may come often. */
static bool
may_log(relay_contents_t *contents, struct timespec now)
{
	if (timespec_ms_between(contents->logged_at, now) < LOG_INTERVAL_MS)
		return false;
	contents->logged_at = now;
	return true;
}

/* It does not count as one of this daemon's connections for requests, of which
 * there may be two in a large fleet: the endpoint bounds such calls itself. */
static bool
connection_ensure(followed_endpoint_t *self)
{
	if (self->conn != NULL)
		return true;
	self->conn = endpoint_connect(self->endpoint, self->relay->base,
	    CONNECT_TIMEOUT_MS, SILENCE_TIMEOUT_MS);
	return self->conn != NULL;
}

static const char *
call_name(follow_action_t call)
{
	return call == FOLLOW_LIST ? "list" : "events";
}

static void
call_failed(followed_endpoint_t *self, follow_failure_t failure)
{
	relay_t *relay = self->relay;
	follow_action_t call = self->call;

	self->call = FOLLOW_WAIT;
	stats_add(&relay->stats, STAT_CONTENTS_FAILED, 1);
	contents_follow_failed(
	    &self->follow, failure, now_ms(relay), rng_u64(relay->rng));
	if (failure == FOLLOW_NOT_OFFERED ||
	    (self->follow.failures == 1 &&
		may_log(&relay->contents, clock_boottime(relay->clock))))
		event_log_write(relay->log, "contents_unavailable",
		    "endpoint=%s call=%s status=%d again=%d",
		    self->endpoint->info.id, call_name(call), self->status,
		    failure != FOLLOW_NOT_OFFERED);
	timer_set(self, 0);
}

static void
call_abort(followed_endpoint_t *self, follow_failure_t failure)
{
	connection_close(self);
	call_failed(self, failure);
}

static follow_failure_t
failure_from_status(int status)
{
	switch (status) {
	case STATUS_BAD_REQUEST:
	case STATUS_NOT_FOUND:
		return FOLLOW_NOT_OFFERED;
	case STATUS_TIMEOUT:
	case STATUS_TOO_MANY_REQUESTS:
	case STATUS_UNAVAILABLE:
		return FOLLOW_REFUSED;
	default:
		return FOLLOW_NO_RESPONSE;
	}
}

static void
gap_noted(followed_endpoint_t *self, contents_result_t result)
{
	relay_t *relay = self->relay;

	stats_add(&relay->stats, STAT_CONTENTS_GAPS, 1);
	if (may_log(&relay->contents, clock_boottime(relay->clock)))
		event_log_write(relay->log, "contents_gap",
		    "endpoint=%s discarded=%d next=%" PRIu64,
		    self->endpoint->info.id, result == CONTENTS_LOST,
		    self->contents.next);
}

static void
report_apply(followed_endpoint_t *self, contents_report_t *report)
{
	relay_t *relay = self->relay;
	contents_result_t result = CONTENTS_COMPLETE;
	bool had_gap = self->follow.needs_list;

	if (self->call == FOLLOW_LIST) {
		endpoint_contents_apply_list(&self->contents, report);
		stats_add(&relay->stats, STAT_CONTENTS_LISTS, 1);
		event_log_write(relay->log, "contents_listed",
		    "endpoint=%s parts=%zu ms=%" PRId64,
		    self->endpoint->info.id,
		    endpoint_contents_count(&self->contents),
		    now_ms(relay) - self->follow.sent_ms);
	} else {
		result =
		    endpoint_contents_apply_events(&self->contents, report);
		stats_add(&relay->stats, STAT_CONTENTS_EVENTS, report->len);
	}
	self->call = FOLLOW_WAIT;
	contents_follow_succeeded(
	    &self->follow, result, report->next, now_ms(relay));
	if (result != CONTENTS_COMPLETE && !had_gap)
		gap_noted(self, result);
}

static void
body_apply(followed_endpoint_t *self)
{
	const contents_dialect_t *dialect = self->relay->contents.dialect;
	size_t len = evbuffer_get_length(self->body);
	const char *body = (const char *)evbuffer_pullup(self->body, -1);
	contents_report_t report = {0};
	bool valid = body != NULL &&
	    (self->call == FOLLOW_LIST
		    ? dialect->decode_list
		    : dialect->decode_events)(body, len, &report, NULL);

	if (!valid) {
		stats_add(&self->relay->stats, STAT_CONTENTS_INVALID, 1);
		call_failed(self, FOLLOW_INVALID);
		return;
	}
	report_apply(self, &report);
	free(report.changes);
	timer_set(self, 0);
}

static bool
on_connected(void *arg)
{
	(void)arg;
	return true;
}

static void
on_sent(void *arg)
{
	(void)arg;
}

static void
on_head(void *arg, const http_msg_t *msg)
{
	followed_endpoint_t *self = arg;

	self->status = msg->status;
	self->closes = !msg->keep_alive;
}

static void
on_body(void *arg, const char *bytes, size_t len)
{
	followed_endpoint_t *self = arg;

	if (evbuffer_get_length(self->body) + len <= CONTENTS_BODY_MAX &&
	    evbuffer_add(self->body, bytes, len) == 0)
		return;
	stats_add(&self->relay->stats, STAT_CONTENTS_INVALID, 1);
	call_abort(self, FOLLOW_INVALID);
}

static void
on_idle_closed(void *arg, http_outbound_t *conn)
{
	(void)conn;
	connection_close(arg);
}

static void
on_complete(void *arg)
{
	followed_endpoint_t *self = arg;

	event_del(self->timer);
	if (http_outbound_reusable(self->conn) && !self->closes)
		http_outbound_set_idle(self->conn, on_idle_closed, self);
	else
		connection_close(self);
	if (self->status == STATUS_OK)
		body_apply(self);
	else
		call_failed(self, failure_from_status(self->status));
	/* Up to 512 KB an endpoint would else be kept until the next call. */
	evbuffer_drain(self->body, evbuffer_get_length(self->body));
}

static void
on_failed(void *arg, http_outbound_failure_t failure)
{
	followed_endpoint_t *self = arg;

	if (failure == HTTP_OUTBOUND_BAD_RESPONSE)
		stats_count_defect(
		    &self->relay->stats, http_outbound_defect(self->conn));
	call_abort(self, FOLLOW_NO_RESPONSE);
}

static const http_outbound_ops_t call_ops = {
    on_connected, on_sent, on_head, on_body, on_complete, on_failed};

static void
call_begin(followed_endpoint_t *self, const follow_step_t *step)
{
	relay_t *relay = self->relay;
	const contents_dialect_t *dialect = relay->contents.dialect;
	const endpoint_info_t *info = &self->endpoint->info;
	struct evbuffer *head = evbuffer_new();
	bool lists = step->action == FOLLOW_LIST;

	contents_follow_sent(&self->follow, now_ms(relay));
	self->call = step->action;
	self->status = 0;
	evbuffer_drain(self->body, evbuffer_get_length(self->body));
	stats_add(&relay->stats, STAT_CONTENTS_CALLS, 1);
	timer_set(self, CALL_TIMEOUT_MS + (lists ? 0 : FOLLOW_EVENTS_WAIT_MS));
	if (head == NULL || !connection_ensure(self)) {
		if (head != NULL)
			evbuffer_free(head);
		return;
	}
	if (lists)
		dialect->write_list(info, head);
	else
		dialect->write_events(
		    info, step->since, FOLLOW_EVENTS_WAIT_MS, head);
	http_outbound_send(self->conn, &call_ops, self, head, NULL, false);
	evbuffer_free(head);
}

static void
followed_step(followed_endpoint_t *self)
{
	int64_t now = now_ms(self->relay);
	follow_step_t step = contents_follow_next(&self->follow, now);

	switch (step.action) {
	case FOLLOW_WAIT:
		if (step.at_ms != INT64_MAX)
			timer_set(self, step.at_ms - now);
		break;
	case FOLLOW_STOP:
		connection_close(self);
		break;
	case FOLLOW_LIST:
	case FOLLOW_EVENTS:
		call_begin(self, &step);
		break;
	}
}

/* The time limit of a call, or the time of the next one. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	followed_endpoint_t *self = arg;

	(void)fd;
	(void)what;
	if (self->call != FOLLOW_WAIT)
		call_abort(self, FOLLOW_NO_RESPONSE);
	else
		followed_step(self);
}

followed_endpoint_t *
followed_begin(relay_t *relay, endpoint_t *endpoint)
{
	followed_endpoint_t *self = calloc(1, sizeof(*self));
	bool starting = timespec_ms_between(relay->started_at,
			    clock_boottime(relay->clock)) < START_MS;

	if (self == NULL)
		return NULL;
	self->relay = relay;
	self->endpoint = endpoint_hold(endpoint);
	self->call = FOLLOW_WAIT;
	endpoint_contents_init(&self->contents);
	contents_follow_init(&self->follow, now_ms(relay),
	    starting ? FOLLOW_START_SPREAD_MS : FOLLOW_SPREAD_MS,
	    rng_u64(relay->rng));
	self->body = evbuffer_new();
	self->timer = evtimer_new(relay->base, on_timer, self);
	if (self->body == NULL || self->timer == NULL) {
		followed_free(self);
		return NULL;
	}
	followed_step(self);
	return self;
}

bool
followed_is_known(const followed_endpoint_t *self)
{
	return self->contents.known &&
	    contents_follow_is_fresh(&self->follow, now_ms(self->relay));
}
