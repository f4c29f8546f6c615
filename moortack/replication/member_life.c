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
begin(life_view_t *view, struct timespec now)
{
	view->began = now;
	view->asked_since = (struct timespec){0};
}

static void
hold(life_view_t *view, struct timespec now, bool held)
{
	if (held && !view->held)
		view->held_at = now;
	if (!held && view->held) {
		begin(view, now);
		if (!view->following)
			life_view_grant(view, now);
	}
	view->held = held;
}

/* Whether all had the time to ask this daemon, and it knows who they are: one
 * that has read no rows knows of nobody that is silent. */
static bool
is_settled(
    const life_view_t *view, struct timespec now, const life_step_t *step)
{
	if (view->following || view->held || !step->all_known)
		return false;
	if (is_set(view->asked_since) &&
	    within(view->asked, now, view->bounds.silent_ms) &&
	    (view->settled || step->all_fresh ||
		!within(view->asked_since, now, SETTLE_MS)))
		return true;
	return !within(view->began, now, view->bounds.lone_ms);
}

void
life_view_step(life_view_t *view, struct timespec now, const life_step_t *step)
{
	if (!within(view->stepped, now, STALL_MS) ||
	    view->following != step->following)
		begin(view, now);
	view->stepped = now;
	view->following = step->following;
	hold(view, now, step->held);
	view->settled = is_settled(view, now, step);
	if (view->settled)
		view->vouched = now;
}

void
life_view_grant(life_view_t *view, struct timespec now)
{
	view->granted = now;
}

void
life_view_asked(life_view_t *view, struct timespec now)
{
	if (!is_set(view->asked_since) ||
	    !within(view->asked, now, view->bounds.silent_ms))
		view->asked_since = now;
	view->asked = now;
}

bool
life_view_asked_within(const life_view_t *view, struct timespec now, int64_t ms)
{
	return within(view->asked, now, ms);
}

bool
life_view_take(life_view_t *view, struct timespec at)
{
	if (!later(at, view->vouched))
		return false;
	view->vouched = at;
	return true;
}

void
life_seen(member_life_t *life, struct timespec at)
{
	if (later(at, life->seen))
		life->seen = at;
}

bool
life_heard(member_life_t *life, struct timespec at)
{
	life_seen(life, at);
	if (!later(at, life->heard))
		return false;
	life->heard = at;
	return true;
}

bool
life_set_silent(member_life_t *life, bool silent, struct timespec now)
{
	if (life->silent == silent)
		return false;
	life->silent = silent;
	life->silent_since = now;
	return true;
}

void
life_no_answer(member_life_t *life, struct timespec now)
{
	life->unanswered = now;
	life_set_silent(life, true, now);
}

/* While nothing is heard at all, the moment at which that began. */
static struct timespec
now_of(const life_view_t *view, struct timespec now)
{
	return view->held ? view->held_at : now;
}

bool
life_fresh(
    const life_view_t *view, const member_life_t *life, struct timespec now)
{
	return later(life->seen, life->unanswered) &&
	    within(life->seen, now_of(view, now), view->bounds.silent_ms);
}

bool
life_named(
    const life_view_t *view, const member_life_t *life, struct timespec now)
{
	struct timespec then = now_of(view, now);

	if (life_fresh(view, life, now))
		return true;
	return !life->silent &&
	    (within(view->vouched, then, view->bounds.vouch_ms) ||
		within(view->granted, then, view->bounds.grant_ms));
}

bool
life_answers(
    const life_view_t *view, const member_life_t *life, struct timespec now)
{
	return !life->silent || life_fresh(view, life, now);
}

bool
life_gone(
    const life_view_t *view, const member_life_t *life, struct timespec now)
{
	/* Nor is anybody gone at once for who could hear nothing until just
	 * now: a row that is cleared by mistake makes two that read the store
	 * miss each other for seconds. */
	return life->silent && !within(life->silent_since, now, GONE_MS) &&
	    !within(view->began, now, GONE_MS) && !life_fresh(view, life, now);
}
