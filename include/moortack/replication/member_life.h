/**
 * @file
 * Failure detection: one daemon's view of which other daemons are alive.
 * Pure decisions, without network or clock.
 *
 * A sign of life counts from the moment at which its daemon gave it, however
 * late it arrives and through however many other daemons. A daemon knows two
 * things: the signs of life that it received itself, and the latest liveness
 * summary. A summary is made by an authoritative daemon, which all others send
 * requests to, directly or through others. It says that all members but those
 * that it lists as silent gave a sign of life within silence_timeout_ms before
 * it was made. It keeps its age when it is passed on, and counts for
 * summary_ttl_ms. So no daemon counts as available for longer than
 * silence_timeout_ms + summary_ttl_ms after its last sign of life, whichever
 * other daemons stop in between.
 */
#ifndef MOORTACK_REPLICATION_MEMBER_LIFE_H
#define MOORTACK_REPLICATION_MEMBER_LIFE_H

#include <stdbool.h>

#include "common/clock_source.h"

typedef struct liveness_timeouts {
	/** A member without a sign of life for this long is silent to the
	 * authoritative daemon. */
	int64_t silence_timeout_ms;
	/** How long a liveness summary counts. */
	int64_t summary_ttl_ms;
	/** How long all members count as available after this daemon has
	 * started, or the store has become available again: they had no time
	 * to give a sign of life. */
	int64_t grace_ms;
	/** A daemon that receives no requests becomes authoritative after this
	 * time. */
	int64_t authority_timeout_ms;
} liveness_timeouts_t;

/** What is known of one daemon. */
typedef struct member_liveness {
	struct timespec last_request_at; /**< its last request to this daemon,
					    or to one that sends this one
					    requests; 0: none */
	struct timespec last_seen_at;	 /**< last sign of any kind; 0: none */
	struct timespec
	    no_response_at; /**< when it last did not respond; 0: never */
	bool silent; /**< by the liveness summary, or found by this daemon */
	struct timespec silent_since; /**< when this was learned */
} member_liveness_t;

/** What a daemon knows of all members together. */
typedef struct liveness_view {
	liveness_timeouts_t timeouts;
	struct timespec summary_at; /**< when the latest liveness summary was
				       made; 0: there is none */
	struct timespec grace_started_at; /**< see liveness_view_start_grace();
					     0: never */
	bool authoritative; /**< this daemon makes the liveness summary */
	bool following;	    /**< another daemon sends it the rows */
	bool frozen;	    /**< neither the store nor another daemon sends
			       anything: members are evaluated as of
			       frozen_at */
	struct timespec frozen_at;
	struct timespec observing_since; /**< when it began or ceased to follow,
					    was paused, or ceased to be
					    frozen */
	struct timespec updated_at;	 /**< last liveness_view_update() */
	struct timespec last_request_at; /**< of another daemon; 0: none */
	struct timespec requests_since;	 /**< first request since
					    observing_since, or since a gap of
					    silence_timeout_ms; 0: none */
} liveness_view_t;

/** What an update depends on. */
typedef struct liveness_inputs {
	bool following; /**< see liveness_view_t */
	bool frozen;
	bool rows_read; /**< the rows of all members were read or received
			   once */
	bool all_fresh; /**< see liveness_is_fresh(): all members that are not
			   silent */
} liveness_inputs_t;

/** Updates the role of this daemon; called a few times a second. */
void liveness_view_update(
    liveness_view_t *, struct timespec now, const liveness_inputs_t *);
/** Counts all members as available for grace_ms: their rows were read for the
 * first time. Other daemons are not sent this, since it is no sign of life of
 * any member. */
void liveness_view_start_grace(liveness_view_t *, struct timespec now);
/** Another daemon sent this one a request. */
void liveness_view_record_request(liveness_view_t *, struct timespec now);
/** Whether another daemon sent this one a request within this time. */
bool liveness_view_requested_within(
    const liveness_view_t *, struct timespec now, int64_t ms);
/** Applies the time of a liveness summary of another daemon, made at @p at.
 * @return whether it is newer than the latest one, and replaces it */
bool liveness_view_apply_summary(liveness_view_t *, struct timespec at);

/** The daemon sent a heartbeat, or another sign of life, at @p at. */
void liveness_record_heartbeat(member_liveness_t *, struct timespec at);
/** The daemon sent a request at @p at. @return false if a later one is known */
bool liveness_record_request(member_liveness_t *, struct timespec at);
/** Sets whether it is silent. @return whether this is new */
bool liveness_set_silent(member_liveness_t *, bool silent, struct timespec now);

/** It did not respond: its earlier signs of life no longer count. */
void liveness_record_no_response(member_liveness_t *, struct timespec now);

/** Whether its last sign of life is younger than silence_timeout_ms. */
bool liveness_is_fresh(
    const liveness_view_t *, const member_liveness_t *, struct timespec now);
/** Whether callers may be sent to it. */
bool liveness_is_available(
    const liveness_view_t *, const member_liveness_t *, struct timespec now);
/** Whether it may be followed: it is not known to be silent. */
bool liveness_is_responsive(
    const liveness_view_t *, const member_liveness_t *, struct timespec now);
/** Whether it has been silent for so long that it has nothing in progress. */
bool liveness_is_down(
    const liveness_view_t *, const member_liveness_t *, struct timespec now);

#endif
