#include <inttypes.h>

#include "relay_request.h"

/* Milliseconds since a moment; -1: it never came. */
static int64_t
age_ms(struct timespec at, struct timespec now)
{
	return at.tv_sec == 0 ? -1 : timespec_ms_between(at, now);
}

static void
verdict_log(const relay_t *relay, const endpoint_group_t *group,
    const char *event, struct timespec failing_since)
{
	const reach_t *reach = &group->reach;
	struct timespec now = clock_boottime(relay->clock);

	event_log_write(relay->log, event,
	    "service=%s endpoints=%zu failed=%zu since_ms=%" PRId64
	    " opened_ms=%" PRId64 " response_ms=%" PRId64
	    " endpoints_age_ms=%" PRId64,
	    group->service, group->len, reach->failed_len,
	    age_ms(failing_since, now), age_ms(reach->opened_at, now),
	    age_ms(reach->response_at, now),
	    row_watch_age_ms(relay->endpoint_watch));
}

void
relay_reach_response(const relay_request_t *req)
{
	endpoint_group_t *group = req->attempt.endpoint->group;
	struct timespec now = clock_boottime(req->relay->clock);
	struct timespec failing_since;

	if (group == NULL)
		return;
	if (req->attempt.reused) {
		reach_record_response(&group->reach, now);
		return;
	}
	failing_since = group->reach.failing_since;
	if (reach_verdict(&group->reach, group->len) == REACH_OK) {
		reach_record_opened(&group->reach, now);
		return;
	}
	reach_record_opened(&group->reach, now);
	verdict_log(req->relay, group, "endpoints_reachable", failing_since);
}

void
relay_reach_failure(const relay_request_t *req)
{
	const endpoint_t *endpoint = req->attempt.endpoint;
	endpoint_group_t *group = endpoint->group;
	reach_verdict_t before;

	if (group == NULL)
		return;
	before = reach_verdict(&group->reach, group->len);
	reach_record_failure(
	    &group->reach, endpoint->hash, clock_boottime(req->relay->clock));
	if (before == REACH_OK &&
	    reach_verdict(&group->reach, group->len) != REACH_OK)
		verdict_log(req->relay, group, "endpoints_unreachable",
		    group->reach.failing_since);
}

uint32_t
relay_unreachable_services(const relay_t *relay)
{
	const endpoint_group_t *group = relay->endpoints->groups;
	uint32_t count = 0;

	for (; group != NULL; group = group->hh.next)
		count += reach_verdict(&group->reach, group->len) != REACH_OK;
	return count;
}
