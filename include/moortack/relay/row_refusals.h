/**
 * @file
 * Invalid rows, which other programs may write: counted by kind and fault, and
 * logged at a limited rate.
 */
#ifndef MOORTACK_RELAY_ROW_REFUSALS_H
#define MOORTACK_RELAY_ROW_REFUSALS_H

#include <event2/buffer.h>

#include "common/err.h"
#include "common/event_log.h"
#include "moortack/replication/row_store.h"

/** Kind of a row, by its table and key. */
typedef enum row_kind {
	ROW_KIND_CONFIG,
	ROW_KIND_ROLLOUT_ORDER,
	ROW_KIND_ENDPOINT,
	ROW_KIND_EVACUATION,
	ROW_KIND_MEMBER,
	ROW_KIND_ROLLOUT_STATE,
	ROW_KIND_FLEET_KEY,
	ROW_KIND_QUARANTINE, /**< of a request that crashes endpoints */
	ROW_KIND_COUNT
} row_kind_t;

/** What is wrong with a row. */
typedef enum row_fault {
	ROW_FAULT_NAME,	      /**< its key is invalid */
	ROW_FAULT_UNREADABLE, /**< its value is not a JSON object */
	ROW_FAULT_FIELD,      /**< a field is missing or invalid */
	ROW_FAULT_COUNT
} row_fault_t;

typedef struct row_refusal {
	uint64_t count;
	uint64_t logged_count;	   /**< value of count when the last line was
				 logged */
	struct timespec logged_at; /**< when the last line was logged */
} row_refusal_t;

typedef struct row_refusals {
	const clock_source_t *clock;
	event_log_t *log; /**< NULL: no logging */
	row_refusal_t counts[ROW_KIND_COUNT][ROW_FAULT_COUNT];
} row_refusals_t;

/** Count an invalid row, and log it unless one of the same kind and fault was
 * logged recently.
 * @param why the decoder's error */
void row_refusals_record(
    row_refusals_t *, row_kind_t, const row_t *, const err_t *why);
/** Write the counters in the Prometheus text format. */
void row_refusals_write_metrics(const row_refusals_t *, struct evbuffer *out);

#endif
