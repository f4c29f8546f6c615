#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "relay_request.h"

/* Events after which an answer's pace is told, while it goes on: a version that
 * is several times slower would else be found out by the end of its answers,
 * which come as much later, or never. */
#define PACED_EVENTS 5
/* Of shorter answers, events from which a pace is taken. */
#define PACED_EVENTS_MIN 4
#define US_PER_MS 1000.0
/* An endpoint that answers within this time of a broken answer is alive, and
 * its version is to blame; one that does not has died, or can't be reached. */
#define SUSPECT_MS 2500

/* Mean time between events of the attempt. */
static double
event_gap_ms(const relay_request_t *req)
{
	int64_t us = timespec_us_between(
	    req->events_since, clock_boottime(req->relay->clock));

	return (double)us / US_PER_MS / (req->events - 1);
}

/* The roll-out whose guard is told of the attempt, or NULL. */
static rollout_t *
guarded(const relay_request_t *req)
{
	rollout_t *rollout = rollouts_find(req->relay->rollouts, req->service);

	return rollout != NULL && rollout->order.number != 0 &&
		req->attempt.sent
	    ? rollout
	    : NULL;
}

static guard_answer_t
sign_of(const relay_request_t *req, guard_sign_t sign, double ms)
{
	const attempt_t *attempt = &req->attempt;

	return (guard_answer_t){.sign = sign,
	    .route = XXH3_64bits(req->route->name, strlen(req->route->name)),
	    .model = attempt->model != NULL
		? XXH3_64bits(attempt->model, strlen(attempt->model))
		: 0,
	    .fresh = attempt->is_new,
	    .stream = req->route->kind == ROUTE_STREAM,
	    .counted = attempt->counted,
	    .ms = ms};
}

/* Answers of endpoints that are being filled are late, whatever their version:
 * with their times counted, 7 of 18 good versions were taken back on large
 * sheets. They still fail by their version alone. */
static bool
tells(const relay_request_t *req, guard_sign_t sign)
{
	return sign == GUARD_FAILED || !req->attempt.is_new ||
	    !req->attempt.on_trial;
}

static void
sign_tell(relay_request_t *req, guard_sign_t sign, double ms)
{
	rollout_t *rollout = guarded(req);
	guard_answer_t answer = sign_of(req, sign, ms);

	if (rollout != NULL && tells(req, sign) &&
	    version_guard_take(
		&rollout->guard, &answer, clock_boottime(req->relay->clock)))
		req->attempt.counted = true;
}

void
relay_guard_alive(relay_request_t *req)
{
	endpoint_t *endpoint = req->attempt.endpoint;
	struct timespec now = clock_boottime(req->relay->clock);
	rollout_t *rollout = endpoint->suspected_len > 0
	    ? rollouts_find(req->relay->rollouts, endpoint->facts.service)
	    : NULL;

	if (rollout == NULL)
		return;
	for (size_t i = 0; i < endpoint->suspected_len; i++) {
		const suspected_failure_t *failure = &endpoint->suspected[i];

		if (timespec_ms_between(failure->at, now) < SUSPECT_MS)
			version_guard_take(
			    &rollout->guard, &failure->answer, now);
	}
	endpoint->suspected_len = 0;
}

/* What stood before the prompt is not the version's doing. */
static double
beyond_wait(const relay_request_t *req, double ms)
{
	return fmax(ms - req->attempt.place.wait_ms, 0);
}

void
relay_guard_begun(relay_request_t *req)
{
	if (!req->attempt.counted)
		sign_tell(
		    req, GUARD_BEGUN, beyond_wait(req, req->attempt.first_ms));
}

static void
paced_tell(relay_request_t *req)
{
	req->attempt.paced = true;
	sign_tell(req, GUARD_PACED, event_gap_ms(req));
}

void
relay_guard_event(relay_request_t *req)
{
	if (!req->attempt.paced && req->events == PACED_EVENTS)
		paced_tell(req);
}

void
relay_guard_answered(relay_request_t *req)
{
	relay_guard_begun(req);
	if (!req->attempt.paced && req->events >= PACED_EVENTS_MIN)
		paced_tell(req);
}

void
relay_guard_failed(relay_request_t *req)
{
	sign_tell(req, GUARD_FAILED, 0);
}

void
relay_guard_suspect(relay_request_t *req)
{
	endpoint_t *endpoint = req->attempt.endpoint;

	if (guarded(req) == NULL ||
	    endpoint->suspected_len == ENDPOINT_SUSPECTED_MAX)
		return;
	endpoint->suspected[endpoint->suspected_len++] =
	    (suspected_failure_t){.answer = sign_of(req, GUARD_FAILED, 0),
		.at = clock_boottime(req->relay->clock)};
}

void
relay_guard_look(relay_t *relay)
{
	struct timespec now = clock_boottime(relay->clock);

	for (relay_request_t *req = relay->first; req != NULL;
	     req = req->next) {
		const attempt_t *attempt = &req->attempt;

		if (attempt->endpoint != NULL && attempt->sent &&
		    !attempt->headed && !attempt->counted)
			sign_tell(req, GUARD_OVERDUE,
			    beyond_wait(req,
				(double)timespec_ms_between(
				    attempt->sent_at, now)));
	}
}
