#include "moortack/relay/prefill_queue.h"

#include <stddef.h>
#include <utlist.h>

void
prefill_queue_init(prefill_queue_t *queue)
{
	*queue = (prefill_queue_t){0};
}

/* How late the response to the oldest prompt is; the prompts queued behind it
 * are at least as late. */
static double
overdue_ms(const prefill_queue_t *queue, double now_ms)
{
	const prefill_entry_t *oldest = queue->entries;

	return oldest != NULL && now_ms > oldest->expected_end_ms
	    ? now_ms - oldest->expected_end_ms
	    : 0;
}

double
prefill_queue_wait_ms(const prefill_queue_t *queue, double now_ms)
{
	double wait_ms =
	    queue->idle_at_ms > now_ms ? queue->idle_at_ms - now_ms : 0;

	return wait_ms + overdue_ms(queue, now_ms);
}

static double
capped_ms(double prefill_ms)
{
	return prefill_ms < PREFILL_QUEUE_PROMPT_MAX_MS
	    ? prefill_ms
	    : PREFILL_QUEUE_PROMPT_MAX_MS;
}

void
prefill_queue_add_remote(
    prefill_queue_t *queue, double prefill_ms, double now_ms)
{
	if (queue->idle_at_ms < now_ms)
		queue->idle_at_ms = now_ms;
	queue->idle_at_ms += capped_ms(prefill_ms);
}

void
prefill_queue_add(prefill_queue_t *queue, prefill_entry_t *entry,
    double prefill_ms, double now_ms)
{
	prefill_queue_add_remote(queue, prefill_ms, now_ms);
	entry->prefill_ms = capped_ms(prefill_ms);
	entry->expected_end_ms = queue->idle_at_ms;
	entry->queued = true;
	DL_APPEND(queue->entries, entry);
}

/* Removes the entry, and shifts the expected end of those behind it. */
static void
entry_remove(prefill_queue_t *queue, prefill_entry_t *entry, double shift_ms)
{
	for (prefill_entry_t *after = entry->next; after != NULL;
	     after = after->next)
		after->expected_end_ms += shift_ms;
	queue->idle_at_ms += shift_ms;
	DL_DELETE(queue->entries, entry);
	entry->queued = false;
}

void
prefill_queue_complete(
    prefill_queue_t *queue, prefill_entry_t *entry, double now_ms)
{
	if (entry->queued)
		entry_remove(queue, entry, now_ms - entry->expected_end_ms);
}

void
prefill_queue_cancel(
    prefill_queue_t *queue, prefill_entry_t *entry, double now_ms)
{
	double remaining_ms = entry->expected_end_ms - now_ms;

	if (!entry->queued)
		return;
	if (remaining_ms > entry->prefill_ms)
		remaining_ms = entry->prefill_ms;
	entry_remove(queue, entry, remaining_ms > 0 ? -remaining_ms : 0);
}
