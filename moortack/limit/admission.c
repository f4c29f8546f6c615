#include "moortack/limit/admission.h"

#include <string.h>
#include <xxhash.h>

#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_SPREAD 4

void
admission_init(admission_t *admission, uint32_t max, int64_t cutoff_ms)
{
	*admission = (admission_t){.waiting_max = max};
	for (int c = 0; c < CLASS_COUNT; c++)
		admission->cutoff_ms[c] = cutoff_ms >> c;
}

int64_t
admission_longest_wait_ms(const admission_t *admission, struct timespec now)
{
	int64_t oldest = 0;

	for (int c = 0; c < CLASS_COUNT; c++) {
		const waiter_t *first = admission->queues[c].first;
		int64_t age = first != NULL
		    ? timespec_ms_between(first->arrived_at, now)
		    : 0;

		if (age > oldest)
			oldest = age;
	}
	return oldest;
}

/* The pools where a class is over its cut-off. Waiters of its own class and of
 * more important ones count, as they are ahead of it; each queue is in order of
 * age, so few are examined. */
static uint64_t
pools_closed(const admission_t *admission, class_t class, struct timespec now)
{
	uint64_t closed = 0;

	for (int c = 0; c <= (int)class; c++) {
		for (const waiter_t *w = admission->queues[c].first;
		     w != NULL &&
		     timespec_ms_between(w->arrived_at, now) >=
			 admission->cutoff_ms[class];
		     w = w->next)
			closed |= UINT64_C(1) << w->pool;
	}
	return closed;
}

bool
admission_allows(const admission_t *admission, class_t class, uint64_t pools,
    struct timespec now)
{
	return admission->waiting_count < admission->waiting_max &&
	    (pools & ~pools_closed(admission, class, now)) != 0;
}

uint32_t
admission_pool(const char *model)
{
	return (
	    uint32_t)(XXH3_64bits(model, strlen(model)) % ADMISSION_POOL_COUNT);
}

bool
admission_enqueue(admission_t *admission, waiter_t *waiter)
{
	if (admission->waiting_count >= admission->waiting_max)
		return false;
	waiter->next = NULL;
	waiter->prev = admission->queues[waiter->class].last;
	if (waiter->prev != NULL)
		waiter->prev->next = waiter;
	else
		admission->queues[waiter->class].first = waiter;
	admission->queues[waiter->class].last = waiter;
	admission->queues[waiter->class].count++;
	admission->waiting_count++;
	waiter->queued = true;
	return true;
}

void
admission_remove(admission_t *admission, waiter_t *waiter)
{
	if (!waiter->queued)
		return;
	if (waiter->prev != NULL)
		waiter->prev->next = waiter->next;
	else
		admission->queues[waiter->class].first = waiter->next;
	if (waiter->next != NULL)
		waiter->next->prev = waiter->prev;
	else
		admission->queues[waiter->class].last = waiter->prev;
	admission->queues[waiter->class].count--;
	admission->waiting_count--;
	waiter->queued = false;
	waiter->next = waiter->prev = NULL;
}

waiter_t *
admission_next(const admission_t *admission, const waiter_t *after)
{
	int c = 0;

	if (after != NULL) {
		if (after->next != NULL)
			return after->next;
		c = (int)after->class + 1;
	}
	for (; c < CLASS_COUNT; c++) {
		if (admission->queues[c].first != NULL)
			return admission->queues[c].first;
	}
	return NULL;
}

waiter_t *
admission_overdue(const admission_t *admission, struct timespec now)
{
	for (int c = CLASS_COUNT - 1; c >= 0; c--) {
		for (waiter_t *w = admission->queues[c].first; w != NULL;
		     w = w->next) {
			if (timespec_ms_between(w->deadline, now) >= 0 ||
			    timespec_ms_between(w->arrived_at, now) >=
				admission->cutoff_ms[c])
				return w;
		}
	}
	return NULL;
}

int64_t
admission_retry_after_ms(
    const admission_t *admission, struct timespec now, uint32_t random)
{
	int64_t base =
	    RETRY_AFTER_MIN_MS + admission_longest_wait_ms(admission, now);

	return base + random % (base * RETRY_AFTER_SPREAD);
}
