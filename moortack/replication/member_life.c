#include "moortack/replication/member_life.h"

/* Whoever takes over waits this long for the questions of all others before it
 * speaks for itself. Those who follow one daemon find out within half a second
 * of each other that it is gone, and who reads the store beside one that stands
 * before it asks that one each second. */
#define SETTLE_MS 1500
/* Two steps are this far apart only if the process stood still: what others
 * sent meanwhile is not read yet. */
#define STALL_MS 1000
/* A daemon that freezes comes back within a few seconds more often than not:
 * what it reported counts for so much longer than callers are sent to it. */
#define GONE_MS 2500

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
later(struct timespec at, struct timespec known)
{
	return !is_set(known) || timespec_ms_between(known, at) > 0;
}

static void
begin(liveness_view_t *view, struct timespec now)
{
	view->observing_since = now;
	view->requests_since = (struct timespec){0};
}

static void
hold(liveness_view_t *view, struct timespec now, bool held)
{
	if (held && !view->frozen)
		view->frozen_at = now;
	if (!held && view->frozen) {
		begin(view, now);
		if (!view->following)
			liveness_view_start_grace(view, now);
	}
	view->frozen = held;
}

/* Whether all had the time to ask this daemon, and it knows who they are: one
 * that has read no rows knows of nobody that is silent. */
static bool
is_settled(const liveness_view_t *view, struct timespec now,
    const liveness_inputs_t *step)
{
	if (view->following || view->frozen || !step->rows_read)
		return false;
	if (is_set(view->requests_since) &&
	    within(view->last_request_at, now,
		view->timeouts.silence_timeout_ms) &&
	    (view->authoritative || step->all_fresh ||
		!within(view->requests_since, now, SETTLE_MS)))
		return true;
	return !within(
	    view->observing_since, now, view->timeouts.authority_timeout_ms);
}

void
liveness_view_update(
    liveness_view_t *view, struct timespec now, const liveness_inputs_t *step)
{
	if (!within(view->updated_at, now, STALL_MS) ||
	    view->following != step->following)
		begin(view, now);
	view->updated_at = now;
	view->following = step->following;
	hold(view, now, step->frozen);
	view->authoritative = is_settled(view, now, step);
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
	if (!later(at, view->summary_at))
		return false;
	view->summary_at = at;
	return true;
}

void
liveness_record_heartbeat(member_liveness_t *life, struct timespec at)
{
	if (later(at, life->last_seen_at))
		life->last_seen_at = at;
}

bool
liveness_record_request(member_liveness_t *life, struct timespec at)
{
	liveness_record_heartbeat(life, at);
	if (!later(at, life->last_request_at))
		return false;
	life->last_request_at = at;
	return true;
}

bool
liveness_set_silent(member_liveness_t *life, bool silent, struct timespec now)
{
	if (life->silent == silent)
		return false;
	life->silent = silent;
	life->silent_since = now;
	return true;
}

void
liveness_record_no_response(member_liveness_t *life, struct timespec now)
{
	life->no_response_at = now;
	liveness_set_silent(life, true, now);
}

/* While nothing is heard at all, the moment at which that began. */
static struct timespec
now_of(const liveness_view_t *view, struct timespec now)
{
	return view->frozen ? view->frozen_at : now;
}

bool
liveness_is_fresh(const liveness_view_t *view, const member_liveness_t *life,
    struct timespec now)
{
	return later(life->last_seen_at, life->no_response_at) &&
	    within(life->last_seen_at, now_of(view, now),
		view->timeouts.silence_timeout_ms);
}

bool
liveness_is_available(const liveness_view_t *view,
    const member_liveness_t *life, struct timespec now)
{
	struct timespec then = now_of(view, now);

	if (liveness_is_fresh(view, life, now))
		return true;
	return !life->silent &&
	    (within(view->summary_at, then, view->timeouts.summary_ttl_ms) ||
		within(view->grace_started_at, then, view->timeouts.grace_ms));
}

bool
liveness_is_responsive(const liveness_view_t *view,
    const member_liveness_t *life, struct timespec now)
{
	return !life->silent || liveness_is_fresh(view, life, now);
}

bool
liveness_is_down(const liveness_view_t *view, const member_liveness_t *life,
    struct timespec now)
{
	/* Nor is anybody gone at once for who could hear nothing until just
	 * now: a row that is cleared by mistake makes two that read the store
	 * miss each other for seconds. */
	return life->silent && !within(life->silent_since, now, GONE_MS) &&
	    !within(view->observing_since, now, GONE_MS) &&
	    !liveness_is_fresh(view, life, now);
}
