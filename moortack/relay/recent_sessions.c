#include "moortack/relay/recent_sessions.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/clock_source.h"
#include "moortack/rollout/rollout_plan.h"

#define HASH_TEXT_SIZE 17

void
recent_sessions_init(recent_sessions_t *recent, int64_t window_ms)
{
	*recent = (recent_sessions_t){.window_ms = window_ms};
}

static void
session_free(recent_sessions_t *recent, recent_session_t *session)
{
	HASH_DEL(recent->sessions, session);
	free(session);
}

void
recent_sessions_finish(recent_sessions_t *recent)
{
	recent_session_t *session, *next;

	HASH_ITER(hh, recent->sessions, session, next)
	session_free(recent, session);
}

static bool
is_recent(
    const recent_sessions_t *recent, struct timespec at, struct timespec now)
{
	return at.tv_sec != 0 &&
	    timespec_ms_between(at, now) < recent->window_ms;
}

static void
sessions_expire(recent_sessions_t *recent, struct timespec now)
{
	while (recent->sessions != NULL &&
	    !is_recent(recent, recent->sessions->served_at, now))
		session_free(recent, recent->sessions);
}

static recent_session_t *
session_find(const recent_sessions_t *recent, uint64_t hash)
{
	recent_session_t *session;

	HASH_FIND(hh, recent->sessions, &hash, sizeof(hash), session);
	return session;
}

void
recent_sessions_add(
    recent_sessions_t *recent, uint64_t hash, struct timespec now)
{
	recent_session_t *session = session_find(recent, hash);

	if (session != NULL)
		/* Adding it again moves it to the end of the list. */
		HASH_DEL(recent->sessions, session);
	sessions_expire(recent, now);
	if (session == NULL &&
	    HASH_COUNT(recent->sessions) < RECENT_SESSIONS_MAX)
		session = calloc(1, sizeof(*session));
	if (session == NULL) {
		recent->dropped_at = now;
		return;
	}
	session->hash = hash;
	session->served_at = now;
	HASH_ADD(hh, recent->sessions, hash, sizeof(session->hash), session);
}

bool
recent_sessions_contain(
    const recent_sessions_t *recent, uint64_t hash, struct timespec now)
{
	const recent_session_t *session = session_find(recent, hash);

	return is_recent(recent, recent->dropped_at, now) ||
	    (session != NULL && is_recent(recent, session->served_at, now));
}

json_t *
recent_sessions_encode(
    const recent_sessions_t *recent, struct timespec now, double share)
{
	json_t *list = NULL;

	for (const recent_session_t *session = recent->sessions;
	     session != NULL; session = session->hh.next) {
		char text[HASH_TEXT_SIZE];

		if (!is_recent(recent, session->served_at, now) ||
		    !rollout_share_includes(share, session->hash))
			continue;
		if (list == NULL)
			list = json_array();
		snprintf(text, sizeof(text), "%016" PRIx64, session->hash);
		json_array_append_new(list, json_string(text));
	}
	return list;
}

void
recent_sessions_merge(
    recent_sessions_t *recent, const json_t *list, struct timespec now)
{
	size_t i;
	const json_t *text;

	json_array_foreach(list, i, text)
	{
		if (json_is_string(text))
			recent_sessions_add(recent,
			    strtoull(json_string_value(text), NULL, 16), now);
	}
}
