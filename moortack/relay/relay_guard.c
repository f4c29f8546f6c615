#include <string.h>
#include <xxhash.h>

#include "relay_request.h"

/* Events from which a pace is taken. */
#define GAP_EVENTS_MIN 4
#define US_PER_MS 1000.0
/* An endpoint that answers within this time of a broken answer is alive, and
 * its version is to blame; one that does not has died, or can't be reached. */
#define DOUBT_MS 2500

/* Mean time between events of the attempt; negative: too few came. */
static double
event_gap_ms(const relay_request_t *req)
{
	int64_t us;

	if (req->events < GAP_EVENTS_MIN)
		return -1;
	us = timespec_us_between(
	    req->events_since, clock_elapsed(req->relay->clock));
	return (double)us / US_PER_MS / (req->events - 1);
}

/* What the guard of the attempt's roll-out is to be told, once.
 * @return the roll-out, or NULL */
static rollout_t *
answer_fill(relay_request_t *req, bool failed, guard_answer_t *answer)
{
	attempt_t *attempt = &req->attempt;
	rollout_t *rollout = rollouts_find(req->relay->rollouts, req->service);

	if (rollout == NULL || rollout->order.number == 0 || attempt->paced ||
	    !attempt->sent)
		return NULL;
	attempt->paced = true;
	*answer = (guard_answer_t){
	    .route = XXH3_64bits(req->route->name, strlen(req->route->name)),
	    .model = attempt->model != NULL
		? XXH3_64bits(attempt->model, strlen(attempt->model))
		: 0,
	    .fresh = attempt->is_new,
	    .stream = req->route->kind == ROUTE_STREAM,
	    .failed = failed,
	    .first_ms = attempt->first_ms,
	    .gap_ms = event_gap_ms(req)};
	return rollout;
}

void
relay_guard_alive(relay_request_t *req)
{
	endpoint_t *endpoint = req->attempt.endpoint;
	struct timespec now = clock_elapsed(req->relay->clock);
	rollout_t *rollout = endpoint->doubts_len > 0
	    ? rollouts_find(req->relay->rollouts, endpoint->facts.service)
	    : NULL;

	if (rollout == NULL)
		return;
	for (size_t i = 0; i < endpoint->doubts_len; i++) {
		const endpoint_doubt_t *doubt = &endpoint->doubts[i];

		if (timespec_ms_between(doubt->at, now) < DOUBT_MS)
			version_guard_take(
			    &rollout->guard, &doubt->answer, now);
	}
	endpoint->doubts_len = 0;
}

void
relay_guard_tell(relay_request_t *req, bool failed)
{
	guard_answer_t answer;
	rollout_t *rollout = answer_fill(req, failed, &answer);

	if (rollout == NULL)
		return;
	version_guard_take(
	    &rollout->guard, &answer, clock_elapsed(req->relay->clock));
}

void
relay_guard_doubt(relay_request_t *req)
{
	endpoint_t *endpoint = req->attempt.endpoint;
	guard_answer_t answer;

	if (answer_fill(req, true, &answer) == NULL ||
	    endpoint->doubts_len == ENDPOINT_DOUBTS_MAX)
		return;
	endpoint->doubts[endpoint->doubts_len++] = (endpoint_doubt_t){
	    .answer = answer, .at = clock_elapsed(req->relay->clock)};
}
