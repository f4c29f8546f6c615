#include <stdlib.h>
#include <string.h>

#include "rollouts_priv.h"

void
rollouts_note_old(rollouts_t *self, uint64_t hash)
{
	if (rollout_takes(ROLLOUT_FIRST_SHARE, hash))
		session_memory_note(
		    &self->served, hash, clock_boottime(self->clock));
}

bool
rollouts_session_served(const rollouts_t *self, uint64_t hash)
{
	struct timespec now = clock_boottime(self->clock);

	return session_memory_has(&self->served, hash, now) ||
	    session_memory_has(&self->heard, hash, now);
}

void
rollouts_sessions_row(rollouts_t *self, const row_t *row)
{
	json_t *list;

	if (row->deleted)
		return;
	list = json_loadb(row->value, row->value_len, 0, NULL);
	session_memory_take(&self->heard, list, clock_boottime(self->clock));
	json_decref(list);
}

char *
rollouts_sessions(const rollouts_t *self)
{
	struct timespec now = clock_boottime(self->clock);
	json_t *all = json_array();
	json_t *served = session_memory_list(&self->served, now);
	json_t *heard = session_memory_list(&self->heard, now);
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
rollouts_sessions_take(rollouts_t *self)
{
	struct timespec now = clock_boottime(self->clock);

	for (const member_t *member = self->members->members; member != NULL;
	     member = member->hh.next)
		session_memory_take(&self->heard,
		    json_object_get(member->report, "sessions"), now);
}
