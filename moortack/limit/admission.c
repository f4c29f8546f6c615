#include "moortack/limit/admission.h"

#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_SPREAD 4

void
admission_init(admission_t *admission, uint32_t max, int64_t cutoff_ms)
{
	*admission = (admission_t){.max = max};
	for (int c = 0; c < CLASSES; c++)
		admission->cutoff_ms[c] = cutoff_ms >> c;
}

int64_t
admission_age_ms(const admission_t *admission, struct timespec now)
{
	int64_t oldest = 0;

	for (int c = 0; c < CLASSES; c++) {
		const waiter_t *first = admission->queues[c].first;
		int64_t age =
		    first != NULL ? timespec_ms_between(first->since, now) : 0;

		if (age > oldest)
			oldest = age;
	}
	return oldest;
}

/* A class waits behind its own kind and those above it. */
static int64_t
age_before(const admission_t *admission, class_t class, struct timespec now)
{
	int64_t oldest = 0;

	for (int c = 0; c <= (int)class; c++) {
		const waiter_t *first = admission->queues[c].first;
		int64_t age =
		    first != NULL ? timespec_ms_between(first->since, now) : 0;

		if (age > oldest)
			oldest = age;
	}
	return oldest;
}

bool
admission_open(const admission_t *admission, class_t class, struct timespec now)
{
	return admission->count < admission->max &&
	    age_before(admission, class, now) < admission->cutoff_ms[class];
}

bool
admission_wait(admission_t *admission, waiter_t *waiter)
{
	if (admission->count >= admission->max)
		return false;
	waiter->next = NULL;
	waiter->prev = admission->queues[waiter->class].last;
	if (waiter->prev != NULL)
		waiter->prev->next = waiter;
	else
		admission->queues[waiter->class].first = waiter;
	admission->queues[waiter->class].last = waiter;
	admission->queues[waiter->class].count++;
	admission->count++;
	waiter->queued = true;
	return true;
}

void
admission_leave(admission_t *admission, waiter_t *waiter)
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
	admission->count--;
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
	for (; c < CLASSES; c++) {
		if (admission->queues[c].first != NULL)
			return admission->queues[c].first;
	}
	return NULL;
}

waiter_t *
admission_overdue(const admission_t *admission, struct timespec now)
{
	for (int c = CLASSES - 1; c >= 0; c--) {
		for (waiter_t *w = admission->queues[c].first; w != NULL;
		     w = w->next) {
			if (timespec_ms_between(w->deadline, now) >= 0 ||
			    timespec_ms_between(w->since, now) >=
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
	int64_t base = RETRY_AFTER_MIN_MS + admission_age_ms(admission, now);

	return base + random % (base * RETRY_AFTER_SPREAD);
}
