/**
 * @file
 * Admission control: which requests wait and which are refused when endpoints
 * are full. Each class has a queue; the queues share one bound, and a class is
 * refused once the oldest request ahead of it has waited for its cut-off. Load
 * is measured by waiting time, not processor time, and the configuration
 * determines the classes (after "Load
 * shedding: the arithmetic that decides whether it works"; measured in
 * docs/MEASUREMENTS.md).
 */
#ifndef MOORTACK_LIMIT_ADMISSION_H
#define MOORTACK_LIMIT_ADMISSION_H

#include "common/clock_source.h"
#include "moortack/config/config.h"

#define ADMISSION_POOL_COUNT 64

/** One waiting request; embedded in the owner's struct. */
typedef struct waiter {
	struct waiter *next;
	struct waiter *prev;
	class_t class;
	uint32_t pool; /**< that it waits for, 0 to ADMISSION_POOL_COUNT - 1 */
	struct timespec arrived_at;
	struct timespec deadline;
	bool queued;
} waiter_t;

typedef struct admission {
	struct {
		waiter_t *first;
		waiter_t *last;
		uint32_t count;
	} queues[CLASS_COUNT];
	uint32_t waiting_max;		/**< in all queues */
	uint32_t waiting_count;		/**< in all queues */
	int64_t cutoff_ms[CLASS_COUNT]; /**< age of the oldest at which a class
				       is refused */
} admission_t;

/** @param max requests that may wait @param cutoff_ms of the most important
 * class, milliseconds; each next class gets half of the one before */
void admission_init(admission_t *, uint32_t max, int64_t cutoff_ms);

/** How long the oldest request has waited, milliseconds; 0: none waits. */
int64_t admission_longest_wait_ms(const admission_t *, struct timespec now);

/**
 * Whether a new request of the class is admitted now. Cheap: called before
 * anything is parsed. Waiters for one pool don't close another pool.
 * @param pools bit n: the request may go to pool n
 */
bool admission_allows(
    const admission_t *, class_t, uint64_t pools, struct timespec now);

/** The pool of a model, from its name: the same in every revision. */
uint32_t admission_pool(const char *model);

/** Adds a request to its class's queue. @return false: no more may wait */
bool admission_enqueue(admission_t *, waiter_t *);

/** Removes a request from its queue; does nothing if it isn't queued. */
void admission_remove(admission_t *, waiter_t *);

/** The next request to try: the most important class first, oldest first.
 * @param after the one tried before; NULL: start at the first
 * @return NULL: no more */
waiter_t *admission_next(const admission_t *, const waiter_t *after);

/** A waiter that must be refused, as its deadline has passed or it has waited
 * for its class's cut-off; the least important class first. NULL: none. */
waiter_t *admission_overdue(const admission_t *, struct timespec now);

/** When a refused caller should retry, milliseconds: from the longest wait,
 * spread by @p random so that callers don't return all at once. */
int64_t admission_retry_after_ms(
    const admission_t *, struct timespec now, uint32_t random);

#endif
