/**
 * @file
 * Table of requests, and of parts of prompts, that endpoints crash on (queries
 * of death), and that are refused for that reason. Bounded, without I/O; the
 * clock is passed in.
 *
 * A request becomes a suspect when an endpoint incarnation crashes while the
 * request runs there, and is quarantined, which means refused, from the third
 * crashed incarnation on. Any run that ends without a crash clears it. After a
 * while, one daemon at a time may run a quarantined request as a trial; the
 * first crash renews the quarantine.
 *
 * The same holds for the parts of its prompt, each of which stands for all
 * requests that share it. Since a part may be under way at many endpoints at
 * once, crashes of the same moment count as one, and once a part is
 * quarantined, its crashes are no evidence against others any more. Many
 * requests are refused for a part that is quarantined by mistake, so that its
 * first trial comes soon.
 */
#ifndef MOORTACK_QUARANTINE_QUARANTINE_H
#define MOORTACK_QUARANTINE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "common/clock_source.h"
#include "moortack/quarantine/request_digest.h"

/** Number of crashes from which on a request is quarantined. */
#define QUARANTINE_CRASH_THRESHOLD 3
/** Maximum number of suspects. */
#define QUARANTINE_MAX 2048

/** Crashes under a part within this time of the last one that counted do not
 * count: one failure may take many endpoints at once. */
#define PART_CRASH_SPACING_MS 400

/** A request, or a part of a prompt, that was running at an endpoint when the
 * endpoint crashed. */
typedef struct suspect {
	uint64_t digest; /**< see request_digest() and part_digest() */
	/** Hashes of the crashed incarnations, the latest last. */
	uint32_t crashes[QUARANTINE_CRASH_THRESHOLD];
	size_t crashes_len;
	uint32_t version; /**< hash of the service and the version that
			     crashed last */
	struct timespec last_crash_at;
	struct timespec cleared_at;	/**< 0: not cleared */
	struct timespec quarantined_at; /**< 0: not quarantined */
	bool trial_allowed;    /**< at once: its version is no longer in use */
	bool early_trial_used; /**< of a part: there was a crash during it */
	struct timespec trial_started_at; /**< of the last trial; 0: none */
	bool observed_locally; /**< this daemon detected one of the crashes */
	/* How far the owner of the table has processed the quarantine. */
	bool explained; /**< its crashes are no evidence against others */
	bool spread;	/**< to all daemons before it is quarantined, or another
			   daemon has to */
	uint32_t announcements;	 /**< sent to other daemons */
	size_t stored_crashes;	 /**< number of crashes in its stored row */
	uint64_t stored_version; /**< of its row; 0: there is none */
	size_t pending_crashes;	 /**< number of crashes in the pending write;
				    0: no write is pending */
	UT_hash_handle hh;
} suspect_t;

/** Why a quarantine ended, for the log. */
typedef enum quarantine_end_reason {
	QUARANTINE_CLEARED, /**< the request ran without a crash */
	QUARANTINE_EXPIRED, /**< no crash for a long time */
	QUARANTINE_EVICTED, /**< the table is full */
} quarantine_end_reason_t;

typedef struct quarantine_ops {
	/** A request was quarantined, or its quarantine was renewed. */
	void (*quarantined)(void *arg, const suspect_t *);
	/** A quarantine ended. */
	void (*released)(void *arg, const suspect_t *, quarantine_end_reason_t);
	/** A suspect is about to be removed from the table. */
	void (*removed)(void *arg, const suspect_t *);
} quarantine_ops_t;

typedef struct quarantine {
	const clock_source_t *clock;
	const quarantine_ops_t *ops;
	void *arg;
	suspect_t *suspects;
	size_t quarantined_count; /**< number of quarantined suspects */
} quarantine_t;

void quarantine_init(quarantine_t *, const clock_source_t *,
    const quarantine_ops_t *, void *arg);
void quarantine_finish(quarantine_t *);

/** @return NULL: the request is not a suspect */
suspect_t *quarantine_find(const quarantine_t *, uint64_t digest);
/** Whether the request is quarantined. @param suspect may be NULL */
bool suspect_is_quarantined(const suspect_t *);
/** Number of crashes recorded for the request. */
size_t quarantine_crash_count(const quarantine_t *, uint64_t digest);

/** Whether the last crash that counted happened at this moment: within a tenth
 * of a second, in which a failure that takes many endpoints is noticed at all
 * of them. */
bool quarantine_failed_just_now(const quarantine_t *, uint64_t digest);

/** Record that an endpoint crashed while the request ran there.
 * @param incarnation hash of the endpoint's id and start
 * @param version hash of its service and version
 * @param age_ms time since the endpoint crashed, as far as is known
 * @param observed_locally this daemon detected the crash; false: another one
 * reported it
 * @return whether the crash was recorded; false: it is known already, the
 * request was cleared recently, or out of memory */
bool
quarantine_record_crash(quarantine_t *, uint64_t digest, uint32_t incarnation,
    uint32_t version, int64_t age_ms, bool observed_locally);
/** Merge crashes that another daemon or the store knows of. If there are enough
 * of them, the request is quarantined.
 * @param age_ms time since the last crash, or since the start of the quarantine
 * @return false: the crashes have expired */
bool quarantine_merge(quarantine_t *, uint64_t digest, const uint32_t *crashes,
    size_t crashes_len, uint32_t version, int64_t age_ms);
/** The request ran without a crash, at this daemon or another one.
 * @return whether there were crashes recorded for it */
bool quarantine_clear(quarantine_t *, uint64_t digest);

/** Whether the request may be sent to an endpoint now. For a quarantined one,
 * that starts a trial.
 * @param may_try this daemon is the one that may run trials */
bool quarantine_admit(quarantine_t *, uint64_t digest, bool may_try);
/** Minimum time for which the request remains refused, ms; 0: unknown, or not
 * quarantined. */
int64_t quarantine_remaining_ms(const quarantine_t *, uint64_t digest);
/** Permit trials of the requests that are quarantined for this version, which
 * is no longer in use. */
void quarantine_allow_trials(quarantine_t *, uint32_t version);

/** Remove the crashes of newly quarantined parts from suspects that are not
 * quarantined. */
void quarantine_explain_crashes(quarantine_t *);

/** End expired quarantines and remove expired suspects; called at least every
 * few seconds. */
void quarantine_expire(quarantine_t *);

#endif
