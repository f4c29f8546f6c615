#include <string.h>

#include "relay_request.h"

/* How long a request without a further attempt waits for other daemons' reports
 * on a service that can't be reached: two rounds of queries, since one that has
 * no requests itself probes an endpoint first. */
#define WAIT_MS 700
/* Later, the reports have come. */
#define FAILING_MAX_MS 2000
/* Less time for the other daemon is of no use. */
#define REMAINING_MIN_MS 100
#define US_PER_MS 1000

static bool
may_wait(const relay_request_t *req)
{
	return !req->waited_for_reports && !req->from_daemon &&
	    req->relay->forward_port != 0 &&
	    relay_reach_verdict(req) == REACH_FAILING &&
	    relay_reach_failing_ms(req) < FAILING_MAX_MS &&
	    request_remaining_ms(req) > WAIT_MS + REMAINING_MIN_MS &&
	    req->sends < request_sends_max(req) &&
	    (!req->may_have_run || request_idempotent(req)) &&
	    (!req->response_started || req->has_last_event_id);
}

static void
wait_end(relay_request_t *req)
{
	event_free(req->reports_timer);
	req->reports_timer = NULL;
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	relay_request_t *req = arg;

	(void)fd;
	(void)what;
	wait_end(req);
	attempt_conclude(req, req->refusal, req->refusal_why);
}

bool
relay_reach_wait(relay_request_t *req, err_code_t refusal, const char *why)
{
	static const struct timeval time = {0, WAIT_MS * US_PER_MS};

	if (!may_wait(req))
		return false;
	relay_query_end(req);
	req->reports_timer = evtimer_new(req->relay->base, on_timeout, req);
	if (req->reports_timer == NULL)
		return false;
	if (event_add(req->reports_timer, &time) != 0) {
		wait_end(req);
		return false;
	}
	req->waited_for_reports = true;
	req->refusal = refusal;
	req->refusal_why = why;
	stats_add(&req->relay->stats, STAT_REPORT_WAITS, 1);
	return true;
}

static void
wait_resume(relay_request_t *req)
{
	wait_end(req);
	if (req->sends > 0 && !relay_retry_acquire(req->relay, req->service)) {
		stats_add(&req->relay->stats, STAT_REPEATS_DENIED, 1);
		attempt_conclude(req, req->refusal, req->refusal_why);
		return;
	}
	attempt_begin(req);
}

void
relay_reach_waits_resume(relay_t *relay, const char *service)
{
	relay_request_t *req, *next;

	for (req = relay->requests; req != NULL; req = next) {
		next = req->next;
		if (req->reports_timer != NULL &&
		    strcmp(req->service, service) == 0)
			wait_resume(req);
	}
}
