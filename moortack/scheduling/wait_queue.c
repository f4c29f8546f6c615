#include "moortack/scheduling/wait_queue.h"

#include <string.h>

#include <utlist.h>

static int
entry_compare(const wait_entry_t *a, const wait_entry_t *b)
{
	if (a->request.rank != b->request.rank)
		return a->request.rank < b->request.rank ? -1 : 1;
	return a->request.latest_start_ms <= b->request.latest_start_ms ? -1
									: 1;
}

void
wait_queue_init(
    wait_queue_t *queue, service_admission_t *admission, uint32_t max)
{
	memset(queue, 0, sizeof(*queue));
	queue->admission = admission;
	queue->max = max;
}

bool
wait_queue_add(wait_queue_t *queue, wait_entry_t *entry, int64_t now_ms)
{
	if (queue->count >= queue->max)
		return false;
	/* Fixed, so that what is added to the account is what is removed. */
	entry->request.cost_ms =
	    service_admission_cost_ms(queue->admission, &entry->request);
	entry->added_ms = now_ms;
	entry->queued = true;
	DL_INSERT_INORDER(queue->first, entry, entry_compare);
	queue->count++;
	service_admission_add_waiting(queue->admission, &entry->request, true);
	return true;
}

void
wait_queue_remove(wait_queue_t *queue, wait_entry_t *entry)
{
	if (!entry->queued)
		return;
	DL_DELETE(queue->first, entry);
	entry->queued = false;
	queue->count--;
	service_admission_add_waiting(queue->admission, &entry->request, false);
}

wait_entry_t *
wait_queue_pop(wait_queue_t *queue, int64_t now_ms)
{
	for (wait_entry_t *entry = queue->first; entry != NULL;
	     entry = entry->next) {
		if (!service_admission_try(
			queue->admission, &entry->request, now_ms))
			continue;
		wait_queue_remove(queue, entry);
		return entry;
	}
	return NULL;
}

wait_entry_t *
wait_queue_pop_late(wait_queue_t *queue, int64_t now_ms)
{
	for (wait_entry_t *entry = queue->first; entry != NULL;
	     entry = entry->next) {
		if (admission_request_give_up_ms(&entry->request) >= now_ms)
			continue;
		wait_queue_remove(queue, entry);
		return entry;
	}
	return NULL;
}

wait_entry_t *
wait_queue_pop_any(wait_queue_t *queue)
{
	wait_entry_t *entry = queue->first;

	if (entry != NULL)
		wait_queue_remove(queue, entry);
	return entry;
}

int64_t
wait_queue_next_ms(wait_queue_t *queue, int64_t now_ms)
{
	int64_t next_ms = INT64_MAX;

	for (wait_entry_t *entry = queue->first; entry != NULL;
	     entry = entry->next) {
		int64_t at_ms = service_admission_credit_at(
		    queue->admission, &entry->request, now_ms);
		int64_t late_ms =
		    admission_request_give_up_ms(&entry->request) + 1;

		at_ms = at_ms < late_ms ? at_ms : late_ms;
		next_ms = next_ms < at_ms ? next_ms : at_ms;
	}
	return next_ms;
}
