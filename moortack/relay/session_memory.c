#include "moortack/relay/session_memory.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/clock_source.h"

#define HASH_TEXT_SIZE 17

void
session_memory_init(session_memory_t *memory, int64_t window_ms)
{
	*memory = (session_memory_t){.window_ms = window_ms};
}

static void
session_free(session_memory_t *memory, session_seen_t *session)
{
	HASH_DEL(memory->sessions, session);
	free(session);
}

void
session_memory_finish(session_memory_t *memory)
{
	session_seen_t *session, *next;

	HASH_ITER(hh, memory->sessions, session, next)
	session_free(memory, session);
}

static bool
is_recent(
    const session_memory_t *memory, struct timespec at, struct timespec now)
{
	return at.tv_sec != 0 &&
	    timespec_ms_between(at, now) < memory->window_ms;
}

static void
sessions_expire(session_memory_t *memory, struct timespec now)
{
	while (memory->sessions != NULL &&
	    !is_recent(memory, memory->sessions->at, now))
		session_free(memory, memory->sessions);
}

static session_seen_t *
session_find(const session_memory_t *memory, uint64_t hash)
{
	session_seen_t *session;

	HASH_FIND(hh, memory->sessions, &hash, sizeof(hash), session);
	return session;
}

void
session_memory_note(
    session_memory_t *memory, uint64_t hash, struct timespec now)
{
	session_seen_t *session = session_find(memory, hash);

	if (session != NULL)
		/* Adding it again moves it to the end of the list. */
		HASH_DEL(memory->sessions, session);
	sessions_expire(memory, now);
	if (session == NULL &&
	    HASH_COUNT(memory->sessions) < SESSION_MEMORY_MAX)
		session = calloc(1, sizeof(*session));
	if (session == NULL) {
		memory->dropped_at = now;
		return;
	}
	session->hash = hash;
	session->at = now;
	HASH_ADD(hh, memory->sessions, hash, sizeof(session->hash), session);
}

bool
session_memory_has(
    const session_memory_t *memory, uint64_t hash, struct timespec now)
{
	const session_seen_t *session = session_find(memory, hash);

	return is_recent(memory, memory->dropped_at, now) ||
	    (session != NULL && is_recent(memory, session->at, now));
}

json_t *
session_memory_list(const session_memory_t *memory, struct timespec now)
{
	json_t *list = NULL;

	for (const session_seen_t *session = memory->sessions; session != NULL;
	     session = session->hh.next) {
		char text[HASH_TEXT_SIZE];

		if (!is_recent(memory, session->at, now))
			continue;
		if (list == NULL)
			list = json_array();
		snprintf(text, sizeof(text), "%016" PRIx64, session->hash);
		json_array_append_new(list, json_string(text));
	}
	return list;
}

void
session_memory_take(
    session_memory_t *memory, const json_t *list, struct timespec now)
{
	size_t i;
	const json_t *text;

	json_array_foreach(list, i, text)
	{
		if (json_is_string(text))
			session_memory_note(memory,
			    strtoull(json_string_value(text), NULL, 16), now);
	}
}
