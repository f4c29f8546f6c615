#include "moortack/replication/member_life.h"

/* A daemon that receives requests waits this long for those of all others
 * before it becomes authoritative. The followers of one daemon detect within
 * half a second of each other that it is down, and a daemon that reads the
 * store although another is before it in the order sends that one a request
 * each second. */
#define AUTHORITY_DELAY_MS 1500
/* Two updates are this far apart only if the process was paused: what others
 * sent meanwhile is not read yet. */
#define STALL_MS 1000
/* A process that is paused continues within a few seconds more often than not:
 * what it reported counts this much longer than callers are sent to it. */
#define DOWN_DELAY_MS 2500

static bool
is_set(struct timespec at)
{
	return at.tv_sec != 0 || at.tv_nsec != 0;
}

static bool
within(struct timespec since, struct timespec now, int64_t ms)
{
	return is_set(since) && timespec_ms_between(since, now) < ms;
}

static bool
is_later(struct timespec at, struct timespec known)
{
	return !is_set(known) || timespec_ms_between(known, at) > 0;
}

static void
observation_restart(liveness_view_t *view, struct timespec now)
{
	view->observing_since = now;
	view->requests_since = (struct timespec){0};
}

static void
view_set_frozen(liveness_view_t *view, struct timespec now, bool frozen)
{
	if (frozen && !view->frozen)
		view->frozen_at = now;
	if (!frozen && view->frozen) {
		observation_restart(view, now);
		if (!view->following)
			liveness_view_start_grace(view, now);
	}
	view->frozen = frozen;
}

/* Whether all other daemons had the time to send this one a request, and it
 * knows which there are: one that has read no rows knows of no silent one. */
static bool
has_authority(const liveness_view_t *view, struct timespec now,
    const liveness_inputs_t *inputs)
{
	if (view->following || view->frozen || !inputs->rows_read)
		return false;
	if (is_set(view->requests_since) &&
	    within(view->last_request_at, now,
		view->timeouts.silence_timeout_ms) &&
	    (view->authoritative || inputs->all_fresh ||
		!within(view->requests_since, now, AUTHORITY_DELAY_MS)))
		return true;
	return !within(
	    view->observing_since, now, view->timeouts.authority_timeout_ms);
}

void
liveness_view_update(
    liveness_view_t *view, struct timespec now, const liveness_inputs_t *inputs)
{
	if (!within(view->updated_at, now, STALL_MS) ||
	    view->following != inputs->following)
		observation_restart(view, now);
	view->updated_at = now;
	view->following = inputs->following;
	view_set_frozen(view, now, inputs->frozen);
	view->authoritative = has_authority(view, now, inputs);
	if (view->authoritative)
		view->summary_at = now;
}

void
liveness_view_start_grace(liveness_view_t *view, struct timespec now)
{
	view->grace_started_at = now;
}

void
liveness_view_record_request(liveness_view_t *view, struct timespec now)
{
	if (!is_set(view->requests_since) ||
	    !within(
		view->last_request_at, now, view->timeouts.silence_timeout_ms))
		view->requests_since = now;
	view->last_request_at = now;
}

bool
liveness_view_requested_within(
    const liveness_view_t *view, struct timespec now, int64_t ms)
{
	return within(view->last_request_at, now, ms);
}

bool
liveness_view_apply_summary(liveness_view_t *view, struct timespec at)
{
	if (!is_later(at, view->summary_at))
		return false;
	view->summary_at = at;
	return true;
}

void
liveness_record_heartbeat(member_liveness_t *liveness, struct timespec at)
{
	if (is_later(at, liveness->last_seen_at))
		liveness->last_seen_at = at;
}

bool
liveness_record_request(member_liveness_t *liveness, struct timespec at)
{
	liveness_record_heartbeat(liveness, at);
	if (!is_later(at, liveness->last_request_at))
		return false;
	liveness->last_request_at = at;
	return true;
}

bool
liveness_set_silent(
    member_liveness_t *liveness, bool silent, struct timespec now)
{
	if (liveness->silent == silent)
		return false;
	liveness->silent = silent;
	liveness->silent_since = now;
	return true;
}

void
liveness_record_no_response(member_liveness_t *liveness, struct timespec now)
{
	liveness->no_response_at = now;
	liveness_set_silent(liveness, true, now);
}

/* The time as of which members are evaluated: while frozen, the time at which
 * that began. */
static struct timespec
evaluation_time(const liveness_view_t *view, struct timespec now)
{
	return view->frozen ? view->frozen_at : now;
}

bool
liveness_is_fresh(const liveness_view_t *view,
    const member_liveness_t *liveness, struct timespec now)
{
	return is_later(liveness->last_seen_at, liveness->no_response_at) &&
	    within(liveness->last_seen_at, evaluation_time(view, now),
		view->timeouts.silence_timeout_ms);
}

bool
liveness_is_available(const liveness_view_t *view,
    const member_liveness_t *liveness, struct timespec now)
{
	struct timespec at = evaluation_time(view, now);

	if (liveness_is_fresh(view, liveness, now))
		return true;
	return !liveness->silent &&
	    (within(view->summary_at, at, view->timeouts.summary_ttl_ms) ||
		within(view->grace_started_at, at, view->timeouts.grace_ms));
}

bool
liveness_is_responsive(const liveness_view_t *view,
    const member_liveness_t *liveness, struct timespec now)
{
	return !liveness->silent || liveness_is_fresh(view, liveness, now);
}

bool
liveness_is_down(const liveness_view_t *view, const member_liveness_t *liveness,
    struct timespec now)
{
	/* Nor is a member down as soon as this daemon can receive signs of life
	 * again: if its row were deleted by mistake, two daemons that read the
	 * store would not know of each other for seconds. */
	return liveness->silent &&
	    !within(liveness->silent_since, now, DOWN_DELAY_MS) &&
	    !within(view->observing_since, now, DOWN_DELAY_MS) &&
	    !liveness_is_fresh(view, liveness, now);
}
