/**
 * @file
 * Estimates which prompts an endpoint still has to prefill: those that other
 * daemons report, and those of this daemon in the order sent, each with the
 * time at which its response is expected to start. A response that starts later
 * or earlier than expected shifts all entries behind it, which accounts for
 * prompts that this daemon wasn't notified of. A pure estimate.
 */
#ifndef MOORTACK_RELAY_PREFILL_QUEUE_H
#define MOORTACK_RELAY_PREFILL_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/** Upper bound, in milliseconds, for the prefill of one prompt, whatever its
 * caller declares: twice the longest in the users' deployments, of 58,000
 * tokens. */
#define PREFILL_QUEUE_PROMPT_MAX_MS 10000.0

/** A prompt that was sent and whose response hasn't started. */
typedef struct prefill_entry {
	double prefill_ms;	/**< expected duration */
	double expected_end_ms; /**< when its response is expected to start */
	bool queued;
	struct prefill_entry *next;
	struct prefill_entry *prev;
} prefill_entry_t;

/** Times are milliseconds of the daemon's monotonic clock. */
typedef struct prefill_queue {
	prefill_entry_t *entries; /**< oldest first */
	double idle_at_ms;	  /**< when the prefill of all known prompts is
				     expected to end */
} prefill_queue_t;

void prefill_queue_init(prefill_queue_t *);

/** Milliseconds until the endpoint is expected to start the prefill of another
 * prompt. */
double prefill_queue_wait_ms(const prefill_queue_t *, double now_ms);

/** Adds a prompt that this daemon sent. The entry is owned by the caller and
 * must stay valid until it is completed or cancelled. */
void prefill_queue_add(
    prefill_queue_t *, prefill_entry_t *, double prefill_ms, double now_ms);
/** Adds a prompt that another daemon sent. */
void
prefill_queue_add_remote(prefill_queue_t *, double prefill_ms, double now_ms);
/** The response to the prompt has started. Does nothing if the entry isn't
 * queued. */
void
prefill_queue_complete(prefill_queue_t *, prefill_entry_t *, double now_ms);
/** The request was cancelled, or its attempt has failed. Does nothing if the
 * entry isn't queued. */
void prefill_queue_cancel(prefill_queue_t *, prefill_entry_t *, double now_ms);

#endif
