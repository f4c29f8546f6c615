#include <stdlib.h>
#include <string.h>

#include "rollouts_priv.h"

void
rollouts_record_old_session(rollouts_t *self, uint64_t hash)
{
	if (rollout_share_includes(ROLLOUT_FIRST_SHARE, hash))
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
	json_t *served = recent_sessions_encode(&self->local_sessions, now);
	json_t *heard = recent_sessions_encode(&self->peer_sessions, now);
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

void
rollouts_merge_member_sessions(rollouts_t *self)
{
	struct timespec now = clock_boottime(self->clock);

	for (const member_t *member = self->members->members; member != NULL;
	     member = member->hh.next)
		recent_sessions_merge(&self->peer_sessions,
		    json_object_get(member->report, "sessions"), now);
}
