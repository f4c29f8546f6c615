/**
 * @file
 * Which other daemons live, as one daemon can tell: pure decisions, without
 * network or clock.
 *
 * A sign of life counts from the moment at which its daemon gave it, however
 * late and through however many others it is learned of. Two things are known:
 * the signs that this daemon has itself, and the word of the one whom all ask,
 * that each daemon but those that it lists as silent gave a sign within
 * silent_ms before it spoke. The word keeps its age when it is passed on, and
 * counts for vouch_ms. So nobody is named for longer than silent_ms + vouch_ms
 * after its last sign, whoever stops in between.
 */
#ifndef MOORTACK_REPLICATION_MEMBER_LIFE_H
#define MOORTACK_REPLICATION_MEMBER_LIFE_H

#include <stdbool.h>

#include "common/clock_source.h"

typedef struct liveness_timeouts {
	/** Whoever is asked by all takes one that it did not hear of for this
	 * long for silent. */
	int64_t silence_timeout_ms;
	/** How long its word counts. */
	int64_t summary_ttl_ms;
	/** For how long nobody is judged after this daemon has started, or the
	 * store is back: nobody has had the time to show itself. */
	int64_t grace_ms;
	/** Whom nobody asks speaks for itself after this time. */
	int64_t authority_timeout_ms;
} liveness_timeouts_t;

/** What is known of one daemon. */
typedef struct member_liveness {
	struct timespec last_request_at; /**< its last question to this daemon,
				  or to one that asks this one; 0: none */
	struct timespec last_seen_at; /**< its last sign of any kind; 0: none */
	struct timespec
	    no_response_at; /**< when it last gave no answer; 0: never */
	bool silent;	    /**< as the word goes, or found by this daemon */
	struct timespec silent_since; /**< when this was learned */
} member_liveness_t;

/** What a daemon knows of all. */
typedef struct liveness_view {
	liveness_timeouts_t timeouts;
	struct timespec summary_at; /**< when the word was spoken; 0: never */
	struct timespec
	    grace_started_at; /**< see liveness_view_start_grace(); 0: never */
	bool authoritative;   /**< this daemon's word is its own */
	bool following;	      /**< another daemon tells the rows */
	bool frozen; /**< neither the store nor another daemon tells anything:
		      all stays as it was then */
	struct timespec frozen_at;
	struct timespec
	    observing_since;	    /**< when it began to follow, or ended */
	struct timespec updated_at; /**< last step */
	struct timespec
	    last_request_at; /**< last question of another; 0: none */
	struct timespec
	    requests_since; /**< first one since it began; 0: none */
} liveness_view_t;

/** What a step depends on. */
typedef struct liveness_inputs {
	bool following; /**< see liveness_view_t */
	bool frozen;
	bool rows_read; /**< the rows of all were read or told once */
	bool all_fresh; /**< a heartbeat of all that are not silent is fresh */
} liveness_inputs_t;

/** Move on; called a few times a second. */
void liveness_view_update(
    liveness_view_t *, struct timespec now, const liveness_inputs_t *);
/** Judge nobody for a time: the rows of all were read for the first time.
 * Others are told nothing of it, since it says nothing of anybody. */
void liveness_view_start_grace(liveness_view_t *, struct timespec now);
/** Another daemon asked this one. */
void liveness_view_record_request(liveness_view_t *, struct timespec now);
/** Whether another daemon asked this one within this time. */
bool liveness_view_requested_within(
    const liveness_view_t *, struct timespec now, int64_t ms);
/** The word of another daemon, spoken at @p at.
 * @return whether it is newer than what is known: it replaces that */
bool liveness_view_apply_summary(liveness_view_t *, struct timespec at);

/** A heartbeat of the daemon was sent at @p at. */
void liveness_record_heartbeat(member_liveness_t *, struct timespec at);
/** The daemon asked at @p at; false if a later question is known. */
bool liveness_record_request(member_liveness_t *, struct timespec at);
/** It is silent, or not. @return whether this is new */
bool liveness_set_silent(member_liveness_t *, bool silent, struct timespec now);

/** It gave no answer: what it showed before counts for nothing. */
void liveness_record_no_response(member_liveness_t *, struct timespec now);

/** Whether its last heartbeat is younger than silent_ms. */
bool liveness_is_fresh(
    const liveness_view_t *, const member_liveness_t *, struct timespec now);
/** Whether callers may be sent to it. */
bool liveness_is_available(
    const liveness_view_t *, const member_liveness_t *, struct timespec now);
/** Whether it may be followed: it is not known to be silent. */
bool liveness_is_responsive(
    const liveness_view_t *, const member_liveness_t *, struct timespec now);
/** Whether it has been silent for so long that nothing of it goes on. */
bool liveness_is_down(
    const liveness_view_t *, const member_liveness_t *, struct timespec now);

#endif
