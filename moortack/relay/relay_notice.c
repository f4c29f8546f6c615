#include <inttypes.h>

#include "relay_request.h"

static void
rate_limit_log(const relay_request_t *req, int64_t before_milli)
{
	const endpoint_t *endpoint = req->attempt.endpoint;
	const endpoint_restrictions_t *now = &endpoint->restrictions;

	event_log_write(req->relay->log, "endpoint_rate_limit",
	    "endpoint=%s service=%s id=%s limited=%d per_s=%.3f before=%.3f "
	    "daemons=%u",
	    endpoint->info.id, endpoint->info.service, req->arrival.id,
	    now->rate_limited, (double)now->rate_milli / RATE_MILLI,
	    (double)before_milli / RATE_MILLI, req->relay->daemons_max_seen);
}

static void
drain_log(const relay_request_t *req)
{
	const endpoint_t *endpoint = req->attempt.endpoint;

	event_log_write(req->relay->log, "endpoint_draining",
	    "endpoint=%s service=%s id=%s in_flight=%u entry_leaving=%d "
	    "endpoints_age_ms=%" PRId64,
	    endpoint->info.id, endpoint->info.service, req->arrival.id,
	    endpoint->in_flight, endpoint->info.leaving,
	    row_watch_age_ms(req->relay->endpoint_watch));
}

static void
backoff_log(const relay_request_t *req)
{
	const endpoint_t *endpoint = req->attempt.endpoint;

	event_log_write(req->relay->log, "endpoint_backoff",
	    "endpoint=%s service=%s id=%s ms=%" PRId64 " in_flight=%u",
	    endpoint->info.id, endpoint->info.service, req->arrival.id,
	    req->attempt.response.notice.backoff_ms, endpoint->in_flight);
}

void
relay_notice_apply(relay_request_t *req)
{
	const attempt_t *attempt = &req->attempt;
	endpoint_t *endpoint = attempt->endpoint;
	const notice_context_t context = {.ran = !attempt->response.not_run,
	    .sent_at = attempt->sent_at,
	    .now = clock_boottime(req->relay->clock)};
	int64_t before_milli = endpoint->restrictions.rate_milli;
	unsigned int changes;

	/* Another endpoint has responded at the address. */
	if (attempt->response.wrong_endpoint)
		return;
	changes = endpoint_restrictions_apply(
	    &endpoint->restrictions, &attempt->response.notice, &context);
	if ((changes & (RESTRICTION_RATE_LIMITED | RESTRICTION_RATE_FREED)) !=
	    0)
		rate_limit_log(req, before_milli);
	if ((changes & RESTRICTION_DRAINING) != 0)
		drain_log(req);
	if ((changes & RESTRICTION_BACKOFF) != 0)
		backoff_log(req);
}
