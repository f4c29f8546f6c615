#include <inttypes.h>

#include "relay_brittle.h"
#include "relay_warmup.h"

/* Reports that are older, or from the future, are not believed. */
#define REPORT_AGE_MAX_MS 5000

#define RATE_CHANGES (RESTRICTION_RATE_LIMITED | RESTRICTION_RATE_FREED)

/* @param id of the request whose response said so; "-": another daemon said it
 */
static void
rate_limit_log(const relay_t *relay, const endpoint_t *endpoint, const char *id,
    int64_t before_milli)
{
	const endpoint_restrictions_t *now = &endpoint->restrictions;

	event_log_write(relay->log, "endpoint_rate_limit",
	    "endpoint=%s service=%s id=%s limited=%d per_s=%.3f before=%.3f "
	    "daemons=%u",
	    endpoint->info.id, endpoint->info.service, id, now->rate_limited,
	    (double)now->rate_milli / RATE_MILLI,
	    (double)before_milli / RATE_MILLI, relay->daemons_max_seen);
}

/* Other daemons keep to a new limit, or none, before they hear of it
 * themselves. */
static void
rate_limit_spread(const relay_request_t *req)
{
	relay_t *relay = req->relay;
	const endpoint_t *endpoint = req->attempt.endpoint;
	const endpoint_restrictions_t *now = &endpoint->restrictions;
	struct timespec at =
	    now->rate_limited ? now->rate_limited_at : now->rate_freed_at;
	int64_t store_ms = relay_store_now_ms(relay) -
	    timespec_ms_between(at, clock_boottime(relay->clock));
	const gossip_message_t message = {.kind = GOSSIP_RATE_LIMIT,
	    .endpoint_hash = endpoint->short_hash,
	    .rate_limited = now->rate_limited,
	    .rate_milli = (uint32_t)now->rate_milli,
	    .noticed_ms = (uint64_t)store_ms};

	if (store_ms > 0)
		gossip_spread(relay->gossip, &message);
}

/* @param at filled in, by this daemon's clock
 * @return false: the report is too old, or from the future */
static bool
report_time_read(
    const relay_t *relay, const gossip_message_t *message, struct timespec *at)
{
	int64_t store_ms = relay_store_now_ms(relay);
	int64_t age_ms;

	if (store_ms < 0 || message->noticed_ms > INT64_MAX)
		return false;
	age_ms = store_ms - (int64_t)message->noticed_ms;
	*at = timespec_add_ms(clock_boottime(relay->clock), -age_ms);
	return age_ms >= -REPORT_AGE_MAX_MS && age_ms <= REPORT_AGE_MAX_MS;
}

bool
relay_rate_limit_receive(void *arg, const gossip_message_t *message)
{
	relay_t *relay = arg;
	endpoint_t *endpoint = endpoint_set_find_by_short_hash(
	    relay->endpoints, message->endpoint_hash);
	rate_report_t report = {.limited = message->rate_limited,
	    .rate_milli = message->rate_milli};
	int64_t before_milli;

	if (endpoint == NULL || !report_time_read(relay, message, &report.at))
		return false;
	before_milli = endpoint->restrictions.rate_milli;
	if (endpoint_restrictions_apply_report(
		&endpoint->restrictions, &report) == 0)
		return false;
	rate_limit_log(relay, endpoint, "-", before_milli);
	return true;
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
	relay_brittle_apply(req);
	relay_brittle_resolve(req, attempt->response.not_run);
	if (attempt->response.notice.unreadable)
		stats_add(&req->relay->stats, STAT_UNREADABLE_NOTICES, 1);
	changes = endpoint_restrictions_apply(
	    &endpoint->restrictions, &attempt->response.notice, &context);
	if ((changes & RATE_CHANGES) != 0) {
		rate_limit_log(
		    req->relay, endpoint, req->arrival.id, before_milli);
		rate_limit_spread(req);
	}
	if ((changes & RESTRICTION_DRAINING) != 0)
		drain_log(req);
	if ((changes & RESTRICTION_BACKOFF) != 0)
		backoff_log(req);
}
