/**
 * @file
 * Requests that wait for their place at a service: by rank, within a rank by
 * least slack. Entries are embedded in the caller's memory. Decisions without
 * I/O.
 */
#ifndef MOORTACK_SCHEDULING_WAIT_QUEUE_H
#define MOORTACK_SCHEDULING_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "moortack/scheduling/admission.h"

#define WAIT_QUEUE_MAX_DEFAULT 256

/** One waiting request. Zeroed by the caller; it sets request. */
typedef struct wait_entry {
	struct wait_entry *prev;
	struct wait_entry *next;
	admission_request_t request;
	int64_t added_ms;
	bool queued;
} wait_entry_t;

typedef struct wait_queue {
	wait_entry_t *first;
	service_admission_t *admission;
	uint32_t count;
	uint32_t max;
} wait_queue_t;

/** @param admission of the same service; must outlive the queue
 * @param max requests that may wait */
void wait_queue_init(wait_queue_t *, service_admission_t *, uint32_t max);

/** @return false: full. */
bool wait_queue_add(wait_queue_t *, wait_entry_t *, int64_t now_ms);

/** Does nothing if the entry does not wait. */
void wait_queue_remove(wait_queue_t *, wait_entry_t *);

/** Removes the next one that may be sent now and charges it. The first of all
 * waiting ones by rank and least slack whose organisation has credit. NULL:
 * none. */
wait_entry_t *wait_queue_pop(wait_queue_t *, int64_t now_ms);

/** Removes one that got no place in time (admission_request_give_up_ms()), to
 * be refused. NULL: none. */
wait_entry_t *wait_queue_pop_late(wait_queue_t *, int64_t now_ms);

/** Removes any: the daemon drains. NULL: the queue is empty. */
wait_entry_t *wait_queue_pop_any(wait_queue_t *);

/** When to call wait_queue_pop() and wait_queue_pop_late() next; INT64_MAX: the
 * queue is empty. */
int64_t wait_queue_next_ms(wait_queue_t *, int64_t now_ms);

#endif
