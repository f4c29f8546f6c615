/**
 * @file
 * What an endpoint still has to read, as far as this daemon knows: those
 * prompts of which other daemons tell, and its own in the order sent, each with
 * the time at which its answer ought to begin. An answer that begins later or
 * earlier than expected moves all behind it, so that prompts show too of which
 * this daemon did not hear. A pure estimate.
 */
#ifndef MOORTACK_RELAY_PREFILL_QUEUE_H
#define MOORTACK_RELAY_PREFILL_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/** Milliseconds that reading one prompt is believed to take at most, whatever
 * its caller says of it: twice the longest on the users' sheets, of 58,000
 * tokens. */
#define PREFILL_QUEUE_PROMPT_MAX_MS 10000.0

/** One prompt that was sent and whose answer has not begun. */
typedef struct prefill_entry {
	double prefill_ms;	/**< that reading it ought to take */
	double expected_end_ms; /**< when its answer ought to begin */
	bool queued;
	struct prefill_entry *next;
	struct prefill_entry *prev;
} prefill_entry_t;

/** Times are milliseconds of the daemon's steady clock. */
typedef struct prefill_queue {
	prefill_entry_t *entries; /**< the oldest first */
	double idle_at_ms;	  /**< when all that is known of is read */
} prefill_queue_t;

void prefill_queue_init(prefill_queue_t *);

/** Milliseconds until the endpoint ought to begin reading one more. */
double prefill_queue_wait_ms(const prefill_queue_t *, double now_ms);

/** A prompt is sent; the ticket is the caller's, and is held until it ends. */
void prefill_queue_add(
    prefill_queue_t *, prefill_entry_t *, double read_ms, double now_ms);
/** More is to be read: another daemon sent a prompt. */
void prefill_queue_add_remote(prefill_queue_t *, double read_ms, double now_ms);
/** Its answer begins. */
void
prefill_queue_complete(prefill_queue_t *, prefill_entry_t *, double now_ms);
/** It is taken back, or its attempt has failed. */
void prefill_queue_cancel(prefill_queue_t *, prefill_entry_t *, double now_ms);

#endif
