#include "relay_admission.h"

/* Part of the objective after which a reused connection without a response is
 * silent. What is left of the objective is twice what such a request takes in
 * the users' deployments. */
#define SILENCE_OBJECTIVE_SHARE 0.6
/* What a process sent before it ended is received at once. The entry that
 * reports its end is written by the next process at its start, hundreds of
 * milliseconds later. An attempt at the old process that has received nothing
 * for this long gets no further data. */
#define RESTARTED_QUIET_MS 100
/* Time after which a silent connection of a crowded service is looked at again:
 * an endpoint has served what waited before by then. */
#define CROWDED_RECHECK_MS 500
/* An unused body of more bytes or time is not read to its end. */
#define UNUSED_BODY_MAX (64U << 10)
#define UNUSED_BODY_MS 1000
#define MS_PER_SEC 1000
#define US_PER_MS 1000

/* A lost connection looks like a slow endpoint, except that a slow one reports
 * that it is full. So only attempts of requests that are safe to repeat are
 * given up, as long as another attempt is left. */
static bool
silence_applies(const relay_request_t *req)
{
	const attempt_t *attempt = &req->attempt;
	const endpoint_load_t *load = &attempt->endpoint->load;

	return attempt->reused && req->route->kind == ROUTE_IDEMPOTENT &&
	    req->sends < request_sends_max(req) && load->waiting == 0 &&
	    (load->slots == 0 || load->running < load->slots);
}

static void silence_timer_start(relay_request_t *, int64_t ms);

/* No further data is received from a process that has ended, unless reading was
 * paused because the caller is slow. */
static void
restarted_endpoint_silent(relay_request_t *req)
{
	if (req->paused)
		silence_timer_start(req, RESTARTED_QUIET_MS);
	else
		attempt_retry_or_fail(
		    req, ATTEMPT_UNKNOWN, "endpoint_restarted");
}

static void on_silence(evutil_socket_t fd, short what, void *arg);

static void
silence_timer_start(relay_request_t *req, int64_t ms)
{
	struct timeval delay = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	if (req->silence_timer == NULL)
		req->silence_timer =
		    event_new(req->relay->base, -1, 0, on_silence, req);
	if (req->silence_timer != NULL)
		event_add(req->silence_timer, &delay);
}

static void
unused_body_cut(relay_request_t *req)
{
	const endpoint_response_t *response = &req->attempt.response;

	endpoint_record_failure(req->attempt.endpoint);
	if (response->not_run || response->wrong_endpoint)
		response_not_run(req, "endless_body");
	else
		attempt_retry_or_fail(req, ATTEMPT_UNKNOWN, "endless_body");
}

static void
on_silence(evutil_socket_t fd, short what, void *arg)
{
	relay_request_t *req = arg;

	(void)fd;
	(void)what;
	if (req->attempt.endpoint_restarted) {
		restarted_endpoint_silent(req);
		return;
	}
	if (req->attempt.body_unused) {
		unused_body_cut(req);
		return;
	}
	/* Without a retry left, a late response is the only one to be had. */
	if (!relay_retry_has_spare(req->relay, req->service))
		return;
	/* If requests wait at the endpoints by now, this one is likely to, and
	 * another attempt would wait as well. */
	if (relay_admission_is_crowded(req)) {
		silence_timer_start(req, CROWDED_RECHECK_MS);
		return;
	}
	endpoint_close_idle(req->attempt.endpoint);
	req->avoid_reuse = true;
	attempt_retry_or_fail(req, ATTEMPT_UNKNOWN, "silent");
}

void
attempt_watch_silence(relay_request_t *req)
{
	int64_t ms = (int64_t)((double)req->route->latency_objective_ms *
	    SILENCE_OBJECTIVE_SHARE);

	if (ms > 0 && silence_applies(req))
		silence_timer_start(req, ms);
}

void
attempt_watch_unused_body(relay_request_t *req)
{
	req->attempt.body_unused = true;
	if (!req->attempt.endpoint_restarted)
		silence_timer_start(req, UNUSED_BODY_MS);
}

bool
attempt_unused_body_add(relay_request_t *req, size_t len)
{
	attempt_t *attempt = &req->attempt;

	if (!attempt->body_unused)
		return true;
	attempt->unused_body_bytes += len;
	if (attempt->unused_body_bytes <= UNUSED_BODY_MAX)
		return true;
	unused_body_cut(req);
	return false;
}

void
attempt_bytes_received(relay_request_t *req)
{
	if (req->attempt.endpoint_restarted)
		silence_timer_start(req, RESTARTED_QUIET_MS);
	else if (req->attempt.body_unused)
		return;
	else if (req->silence_timer != NULL)
		event_del(req->silence_timer);
}

void
relay_endpoint_restarted(relay_t *relay, const endpoint_t *endpoint)
{
	relay_quarantine_endpoint_crashed(
	    &relay->quarantine, endpoint, "restarted");
	for (relay_request_t *req = relay->requests; req != NULL;
	     req = req->next) {
		if (req->attempt.endpoint != endpoint || !req->attempt.sent)
			continue;
		req->attempt.endpoint_restarted = true;
		silence_timer_start(req, RESTARTED_QUIET_MS);
	}
}
