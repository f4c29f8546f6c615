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

typedef struct life_bounds {
	/** Whoever is asked by all takes one that it did not hear of for this
	 * long for silent. */
	int64_t silent_ms;
	/** How long its word counts. */
	int64_t vouch_ms;
	/** For how long nobody is judged after this daemon has started, or the
	 * store is back: nobody has had the time to show itself. */
	int64_t grant_ms;
	/** Whom nobody asks speaks for itself after this time. */
	int64_t lone_ms;
} life_bounds_t;

/** What is known of one daemon. */
typedef struct member_life {
	struct timespec heard; /**< its last question to this daemon, or to one
				  that asks this one; 0: none */
	struct timespec seen;  /**< its last sign of any kind; 0: none */
	struct timespec
	    unanswered; /**< when it last gave no answer; 0: never */
	bool silent;	/**< as the word goes, or found by this daemon */
	struct timespec silent_since; /**< when this was learned */
} member_life_t;

/** What a daemon knows of all. */
typedef struct life_view {
	life_bounds_t bounds;
	struct timespec vouched; /**< when the word was spoken; 0: never */
	struct timespec granted; /**< see life_view_grant(); 0: never */
	bool settled;		 /**< this daemon's word is its own */
	bool following;		 /**< another daemon tells the rows */
	bool held; /**< neither the store nor another daemon tells anything:
		      all stays as it was then */
	struct timespec held_at;
	struct timespec began;	     /**< when it began to follow, or ended */
	struct timespec stepped;     /**< last step */
	struct timespec asked;	     /**< last question of another; 0: none */
	struct timespec asked_since; /**< first one since it began; 0: none */
} life_view_t;

/** What a step depends on. */
typedef struct life_step {
	bool following; /**< see life_view_t */
	bool held;
	bool all_known; /**< the rows of all were read or told once */
	bool all_fresh; /**< a heartbeat of all that are not silent is fresh */
} life_step_t;

/** Move on; called a few times a second. */
void life_view_step(life_view_t *, struct timespec now, const life_step_t *);
/** Judge nobody for a time: the rows of all were read for the first time.
 * Others are told nothing of it, since it says nothing of anybody. */
void life_view_grant(life_view_t *, struct timespec now);
/** Another daemon asked this one. */
void life_view_asked(life_view_t *, struct timespec now);
/** Whether another daemon asked this one within this time. */
bool
life_view_asked_within(const life_view_t *, struct timespec now, int64_t ms);
/** The word of another daemon, spoken at @p at.
 * @return whether it is newer than what is known: it replaces that */
bool life_view_take(life_view_t *, struct timespec at);

/** A heartbeat of the daemon was sent at @p at. */
void life_seen(member_life_t *, struct timespec at);
/** The daemon asked at @p at; false if a later question is known. */
bool life_heard(member_life_t *, struct timespec at);
/** It is silent, or not. @return whether this is new */
bool life_set_silent(member_life_t *, bool silent, struct timespec now);

/** It gave no answer: what it showed before counts for nothing. */
void life_no_answer(member_life_t *, struct timespec now);

/** Whether its last heartbeat is younger than silent_ms. */
bool
life_fresh(const life_view_t *, const member_life_t *, struct timespec now);
/** Whether callers may be sent to it. */
bool
life_named(const life_view_t *, const member_life_t *, struct timespec now);
/** Whether it may be followed: it is not known to be silent. */
bool
life_answers(const life_view_t *, const member_life_t *, struct timespec now);
/** Whether it has been silent for so long that nothing of it goes on. */
bool life_gone(const life_view_t *, const member_life_t *, struct timespec now);

#endif
