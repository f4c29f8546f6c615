/**
 * @file
 * Who waits and who is refused when endpoints are full: a bounded queue for
 * each class, cut off by the age of its head. The signal is waiting, not
 * processor time, and the classes are owned by the configuration (ideas taken
 * from "Load shedding: the arithmetic that decides whether it works"; measured
 * in docs/MEASUREMENTS.md).
 */
#ifndef MOORTACK_LIMIT_ADMISSION_H
#define MOORTACK_LIMIT_ADMISSION_H

#include "common/clock_source.h"
#include "moortack/config/config.h"

#define ADMISSION_POOLS 64

/** One waiting request; the owner embeds it. */
typedef struct waiter {
	struct waiter *next;
	struct waiter *prev;
	class_t class;
	uint32_t pool; /**< what it waits for, 0 to ADMISSION_POOLS - 1 */
	struct timespec since;
	struct timespec deadline;
	bool queued;
} waiter_t;

typedef struct admission {
	struct {
		waiter_t *first;
		waiter_t *last;
		uint32_t count;
	} queues[CLASS_COUNT];
	uint32_t max;			/**< waiting in all */
	uint32_t count;			/**< waiting now */
	int64_t cutoff_ms[CLASS_COUNT]; /**< age of the oldest at which a class
				       is refused */
} admission_t;

/** @param max requests that may wait @param cutoff_ms of the most important
 * class; each next one gets half */
void admission_init(admission_t *, uint32_t max, int64_t cutoff_ms);

/** Age of the request that waits longest, milliseconds; 0: none waits. */
int64_t admission_age_ms(const admission_t *, struct timespec now);

/**
 * Whether a new request of the class may come in now. Cheap: asked before
 * anything is parsed. One pool's queue closes no other pool.
 * @param pools bit n: it may go to pool n
 */
bool admission_open(
    const admission_t *, class_t, uint64_t pools, struct timespec now);

/** The pool of a model, by its name: the same in every revision. */
uint32_t admission_pool(const char *model);

/** Queue a request. @return false when no more may wait */
bool admission_wait(admission_t *, waiter_t *);

/** Take a request out of its queue; nothing if it isn't in one. */
void admission_leave(admission_t *, waiter_t *);

/** The next request to try: the most important class first, oldest first.
 * @param after the one tried before, or NULL to begin */
waiter_t *admission_next(const admission_t *, const waiter_t *after);

/** A waiter whose deadline has passed, or whose class is over its cut-off and
 * must be given up; NULL: none. */
waiter_t *admission_overdue(const admission_t *, struct timespec now);

/** When to come back, milliseconds: the age, spread by @p random. */
int64_t admission_retry_after_ms(
    const admission_t *, struct timespec now, uint32_t random);

#endif
