#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "rollouts_priv.h"

/* Sessions that all daemons together report, about. They travel to each of
 * them while a roll-out is in progress. */
#define REPORTED_SESSIONS_MAX 512

void
rollouts_record_old_session(rollouts_t *self, uint64_t hash)
{
	if (rollout_share_includes(ROLLOUT_PINNED_SHARE_MAX, hash))
		recent_sessions_add(
		    &self->local_sessions, hash, clock_boottime(self->clock));
}

bool
rollouts_session_on_old(const rollouts_t *self, uint64_t hash)
{
	struct timespec now = clock_boottime(self->clock);

	return recent_sessions_contain(&self->local_sessions, hash, now) ||
	    recent_sessions_contain(&self->peer_sessions, hash, now);
}

bool
rollout_session_may_be_on_old(
    const rollout_snapshot_t *snapshot, const rollout_request_t *request)
{
	return request->tried_ms_ago > 0 &&
	    !rollout_share_includes(
		rollout_trial_share(&snapshot->trial,
		    snapshot->elapsed_ms - request->tried_ms_ago),
		request->hash);
}

void
rollouts_apply_sessions_row(rollouts_t *self, const row_t *row)
{
	json_t *list;

	if (row->deleted)
		return;
	list = json_loadb(row->value, row->value_len, 0, NULL);
	recent_sessions_merge(
	    &self->peer_sessions, list, clock_boottime(self->clock));
	json_decref(list);
}

char *
rollouts_encode_sessions(const rollouts_t *self)
{
	struct timespec now = clock_boottime(self->clock);
	json_t *all = json_array();
	json_t *served = recent_sessions_encode(
	    &self->local_sessions, now, rollouts_own_sessions_share(self));
	json_t *heard = recent_sessions_encode(&self->peer_sessions, now, 1);
	char *text;

	if (served != NULL)
		json_array_extend(all, served);
	if (heard != NULL)
		json_array_extend(all, heard);
	text = json_dumps(all, JSON_COMPACT);
	json_decref(served);
	json_decref(heard);
	json_decref(all);
	return text;
}

/* The largest share of a trial in force: its sessions are reported in any case.
 */
static double
trial_share_max(const rollouts_t *self)
{
	double share = ROLLOUT_FIRST_SHARE;

	for (const rollout_t *rollout = self->by_service; rollout != NULL;
	     rollout = rollout->hh.next)
		share = fmax(share, rollout_current_trial(rollout).share);
	return fmin(share, ROLLOUT_PINNED_SHARE_MAX);
}

double
rollouts_own_sessions_share(const rollouts_t *self)
{
	double daemons = HASH_COUNT(self->members->members) + 1.0;
	double sessions = HASH_COUNT(self->local_sessions.sessions);
	double part = REPORTED_SESSIONS_MAX / daemons / fmax(sessions, 1);

	return fmax(
	    ROLLOUT_PINNED_SHARE_MAX * fmin(part, 1), trial_share_max(self));
}

double
rollouts_reported_sessions_share(const rollouts_t *self)
{
	double share = rollouts_own_sessions_share(self);

	for (const member_t *member = self->members->members; member != NULL;
	     member = member->hh.next) {
		double reported = json_number_value(
		    json_object_get(member->report, "sessions_share"));

		if (member_is_alive(self->members, member))
			share =
			    fmin(share, fmax(reported, ROLLOUT_FIRST_SHARE));
	}
	return share;
}

void
rollouts_merge_member_sessions(rollouts_t *self)
{
	struct timespec now = clock_boottime(self->clock);

	for (const member_t *member = self->members->members; member != NULL;
	     member = member->hh.next)
		recent_sessions_merge(&self->peer_sessions,
		    json_object_get(member->report, "sessions"), now);
}
