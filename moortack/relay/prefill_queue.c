#include "moortack/relay/prefill_queue.h"

#include <stddef.h>
#include <utlist.h>

void
prefill_queue_init(prefill_queue_t *queue)
{
	*queue = (prefill_queue_t){0};
}

/* How late the oldest answer is: what stands behind it is at least as late. */
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
believed_ms(double read_ms)
{
	return read_ms < PREFILL_QUEUE_PROMPT_MAX_MS
	    ? read_ms
	    : PREFILL_QUEUE_PROMPT_MAX_MS;
}

void
prefill_queue_add_remote(prefill_queue_t *queue, double read_ms, double now_ms)
{
	if (queue->idle_at_ms < now_ms)
		queue->idle_at_ms = now_ms;
	queue->idle_at_ms += believed_ms(read_ms);
}

void
prefill_queue_add(prefill_queue_t *queue, prefill_entry_t *ticket,
    double read_ms, double now_ms)
{
	prefill_queue_add_remote(queue, read_ms, now_ms);
	ticket->prefill_ms = believed_ms(read_ms);
	ticket->expected_end_ms = queue->idle_at_ms;
	ticket->queued = true;
	DL_APPEND(queue->entries, ticket);
}

/* Take the ticket out; what is behind it moves by the time given. */
static void
ticket_out(prefill_queue_t *queue, prefill_entry_t *ticket, double moved_ms)
{
	for (prefill_entry_t *after = ticket->next; after != NULL;
	     after = after->next)
		after->expected_end_ms += moved_ms;
	queue->idle_at_ms += moved_ms;
	DL_DELETE(queue->entries, ticket);
	ticket->queued = false;
}

void
prefill_queue_complete(
    prefill_queue_t *queue, prefill_entry_t *ticket, double now_ms)
{
	if (ticket->queued)
		ticket_out(queue, ticket, now_ms - ticket->expected_end_ms);
}

void
prefill_queue_cancel(
    prefill_queue_t *queue, prefill_entry_t *ticket, double now_ms)
{
	double unread_ms = ticket->expected_end_ms - now_ms;

	if (!ticket->queued)
		return;
	if (unread_ms > ticket->prefill_ms)
		unread_ms = ticket->prefill_ms;
	ticket_out(queue, ticket, unread_ms > 0 ? -unread_ms : 0);
}
