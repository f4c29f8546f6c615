#include <inttypes.h>

#include "rollouts_priv.h"

#define EVIDENCE_LOG_INTERVAL_MS 1000

static void
evidence_log(
    const rollout_t *rollout, const canary_sums_t *sums, const char *event)
{
	const canary_counts_t *new_counts = &sums->all.new_counts;
	const canary_counts_t *old_counts = &sums->all.old_counts;
	canary_evidence_t evidence = canary_tally_evidence(&sums->all);
	canary_evidence_t settled = canary_settled_evidence(sums);
	latency_evidence_t gaps = canary_gaps_evidence(&sums->gaps);
	rollout_snapshot_t snapshot = rollout_take_snapshot(rollout);

	event_log_write(rollout->owner->log, event,
	    "service=%s order=%" PRIu64 " elapsed_ms=%" PRId64
	    " share=%.2f reports=%.2f new=%u failed=%u late=%u gaps=%u"
	    " slow_gaps=%u old=%u old_failed=%u old_late=%u old_gaps=%u"
	    " old_slow_gaps=%u log_failed=%.1f log_late=%.1f log_gaps=%.1f"
	    " shortest_gaps=%u log_shortest=%.1f groups=%u log_trimmed=%.1f"
	    " settled=%u unanswered=%u gapless=%u settled_failed=%.1f"
	    " settled_late=%.1f settled_gaps=%.1f",
	    rollout->order.service, rollout->order.number, snapshot.elapsed_ms,
	    rollout_plan_share(&snapshot), rollout_reported_part(rollout),
	    new_counts->responses, new_counts->failed, new_counts->late,
	    new_counts->gaps_measured, new_counts->gaps_slow,
	    old_counts->responses, old_counts->failed, old_counts->late,
	    old_counts->gaps_measured, old_counts->gaps_slow, evidence.failed,
	    evidence.late, evidence.gaps, gaps.count, gaps.log_ratio,
	    gaps.groups, gaps.trimmed_log_ratio, sums->settled.responses,
	    sums->settled.unanswered, sums->settled.gapless, settled.failed,
	    settled.late, settled.gaps);
}

/* Log what all daemons counted and what it shows, at a daemon that has their
 * reports. */
static void
evidence_log_if_due(rollout_t *rollout, const canary_sums_t *sums)
{
	struct timespec now = clock_boottime(rollout->owner->clock);

	if (timespec_ms_between(rollout->evidence_logged_at, now) <
	    EVIDENCE_LOG_INTERVAL_MS)
		return;
	rollout->evidence_logged_at = now;
	if (rollout_reported_part(rollout) >= ROLLOUT_REPORTED_MIN)
		evidence_log(rollout, sums, "rollout_evidence");
}

static void
bad_version_log(const rollout_t *rollout, const canary_sums_t *sums,
    const canary_tally_t *tally)
{
	const canary_counts_t *new_counts = &tally->new_counts;
	const canary_counts_t *old_counts = &tally->old_counts;
	latency_evidence_t gaps = canary_gaps_evidence(&sums->gaps);

	event_log_write(rollout->owner->log, "rollout_bad",
	    "service=%s order=%" PRIu64 " route=%016" PRIx64
	    " new=%u failed=%u slow=%u paced=%u dragged=%u"
	    " old=%u failed=%u slow=%u paced=%u dragged=%u"
	    " shortest_gaps=%u log_shortest=%.1f groups=%u log_trimmed=%.1f",
	    rollout->order.service, rollout->order.number, tally->route,
	    new_counts->responses, new_counts->failed, new_counts->late,
	    new_counts->gaps_measured, new_counts->gaps_slow,
	    old_counts->responses, old_counts->failed, old_counts->late,
	    old_counts->gaps_measured, old_counts->gaps_slow, gaps.count,
	    gaps.log_ratio, gaps.groups, gaps.trimmed_log_ratio);
}

static bool
is_single_group(const rollout_t *rollout)
{
	const rollouts_t *self = rollout->owner;

	return self->new_version_is_one_group != NULL &&
	    self->new_version_is_one_group(self->relay, rollout);
}

/* Less evidence is enough once the decision is due, but not for a daemon that
 * has only its own part of it: of many such parts one looks bad by chance. */
static canary_standard_t
current_standard(rollout_t *rollout)
{
	rollout_snapshot_t snapshot = rollout_take_snapshot(rollout);

	if (snapshot.accepted_ms > 0)
		return CANARY_ACCEPTED;
	return rollout_plan_decision_is_due(&snapshot) &&
		rollout_reported_part(rollout) >= ROLLOUT_REPORTED_MIN
	    ? CANARY_TRIAL_LATE
	    : CANARY_TRIAL;
}

/* The routes are also compared together, which can show a difference before any
 * single route has enough responses to. */
static bool
sums_are_bad(rollout_t *rollout, const canary_sums_t *sums)
{
	canary_standard_t standard = current_standard(rollout);

	for (size_t i = 0; i < sums->routes_len; i++) {
		if (canary_tally_is_bad(&sums->routes[i], standard)) {
			bad_version_log(rollout, sums, &sums->routes[i]);
			return true;
		}
	}
	if (!canary_tally_is_bad(&sums->all, standard) &&
	    !canary_gaps_are_bad(
		&sums->gaps, is_single_group(rollout), standard))
		return false;
	bad_version_log(rollout, sums, &sums->all);
	return true;
}

bool
rollout_new_version_is_bad(rollout_t *rollout)
{
	canary_sums_t sums;

	rollout_sums_collect(rollout, &sums);
	return sums_are_bad(rollout, &sums);
}

int64_t
rollout_accepted_ms(const rollout_t *rollout)
{
	return rollout->state_order == rollout->order.number
	    ? rollout->accepted_ms
	    : 0;
}

bool
rollout_acceptance_pending(const rollout_t *rollout)
{
	return rollout->accepted_proposed_ms > 0 &&
	    rollout_accepted_ms(rollout) <= 0;
}

static bool
sums_are_acceptable(rollout_t *rollout, const canary_sums_t *sums,
    const rollout_snapshot_t *snapshot)
{
	if (canary_sums_are_empty(sums))
		return rollout_plan_accepts_unseen(snapshot);
	return canary_sums_are_good(sums, current_standard(rollout));
}

/* Whether a decision is due, and cannot be expected of more responses or time.
 */
static bool
is_doubtful(const canary_sums_t *sums, const rollout_snapshot_t *snapshot)
{
	return rollout_plan_gives_up(snapshot) ||
	    (rollout_plan_decision_is_due(snapshot) &&
		canary_sums_suffice(sums));
}

/* Whether a new version is as good is decided only with the reports of nearly
 * all daemons; those that are missing show nothing. */
static void
acceptance_decide(rollout_t *rollout, const canary_sums_t *sums,
    const rollout_snapshot_t *snapshot)
{
	if (rollout_reported_part(rollout) < ROLLOUT_REPORTED_MIN)
		return;
	if (sums_are_acceptable(rollout, sums, snapshot)) {
		rollout->accepted_proposed_ms = snapshot->elapsed_ms;
		rollout->given_up = false;
		evidence_log(rollout, sums, "rollout_accept");
	} else if (!rollout->given_up && is_doubtful(sums, snapshot)) {
		evidence_log(rollout, sums, "rollout_undecided");
		rollout->given_up = true;
	}
}

void
rollout_judge(rollout_t *rollout)
{
	rollout_snapshot_t snapshot = rollout_take_snapshot(rollout);
	canary_sums_t sums;

	rollout_sums_collect(rollout, &sums);
	evidence_log_if_due(rollout, &sums);
	if (sums_are_bad(rollout, &sums)) {
		rollout->stopped = true;
		rollout->write_after = clock_boottime(rollout->owner->clock);
	} else if (snapshot.accepted_ms <= 0 &&
	    rollout->accepted_proposed_ms <= 0) {
		acceptance_decide(rollout, &sums, &snapshot);
	}
}
