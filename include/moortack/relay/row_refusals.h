/**
 * @file
 * Rows that can't be taken, as others write them: counted by what they ought to
 * be and by what is wrong with them, and told by a bounded number of lines.
 */
#ifndef MOORTACK_RELAY_ROW_REFUSALS_H
#define MOORTACK_RELAY_ROW_REFUSALS_H

#include <event2/buffer.h>

#include "common/err.h"
#include "common/event_log.h"
#include "moortack/replication/row_store.h"

/** What a row ought to be. */
typedef enum row_kind {
	ROW_KIND_CONFIG,
	ROW_KIND_ROLLOUT_ORDER,
	ROW_KIND_ENDPOINT,
	ROW_KIND_EVACUATION,
	ROW_KIND_MEMBER,
	ROW_KIND_ROLLOUT_STATE, /**< of a roll-out */
	ROW_KIND_FLEET_KEY,	/**< of the fleet */
	ROW_KIND_QUARANTINE,	/**< on a request that crashes endpoints */
	ROW_KIND_COUNT		/* count */
} row_kind_t;

/** What is wrong with it. */
typedef enum row_fault {
	ROW_FAULT_NAME,	      /**< its key is no name */
	ROW_FAULT_UNREADABLE, /**< its bytes are no JSON object */
	ROW_FAULT_FIELD,      /**< a field is missing, or not as it should be */
	ROW_FAULT_COUNT	      /* count */
} row_fault_t;

typedef struct row_refusal {
	uint64_t count;
	uint64_t logged_count;	   /**< of them, in a line */
	struct timespec logged_at; /**< when the last line was written */
} row_refusal_t;

typedef struct row_refusals {
	const clock_source_t *clock;
	event_log_t *log; /**< NULL: none */
	row_refusal_t counts[ROW_KIND_COUNT][ROW_FAULT_COUNT];
} row_refusals_t;

/** Count a row, and tell of it unless that was done shortly before.
 * @param why as the decoder says */
void row_refusals_record(
    row_refusals_t *, row_kind_t, const row_t *, const err_t *why);
/** In the Prometheus text format. */
void row_refusals_write_metrics(const row_refusals_t *, struct evbuffer *out);

#endif
