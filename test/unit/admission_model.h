/**
 * @file
 * Model of a plain service in front of which many daemons decide on their own.
 * A daemon learns the load only from the responses and refusals that it gets.
 * Time advances by 1 ms; seeds are fixed.
 */
#ifndef TEST_UNIT_ADMISSION_MODEL_H
#define TEST_UNIT_ADMISSION_MODEL_H

#include "moortack/scheduling/wait_queue.h"

#define MODEL_DAEMONS_MAX 985
#define MODEL_ENDPOINTS_MAX 150
#define MODEL_SLOTS 6
#define MODEL_WORK_MS 60
/* As endpoints refuse after 0.15 s in their queue. */
#define MODEL_QUEUE_MAX 15
#define MODEL_ORGANISATIONS 11
#define MODEL_MS_MAX 60000
#define MODEL_OBJECTIVE_MS 300

/** What the callers of an organisation got in the measured time. */
typedef struct model_counts {
	int sent;	  /**< by callers, retries excluded */
	int in_time;	  /**< served within the objective */
	int refused;	  /**< by admission */
	int refused_slow; /**< of them, later than a tenth of the objective */
	int full;	  /**< refused by an endpoint */
	int late;
	int reasons[ADMISSION_LATE + 1]; /**< of what was not sent at once */
} model_counts_t;

typedef struct model {
	/* Set by the test. */
	int daemons;
	int endpoints;
	double per_s[MODEL_ORGANISATIONS]; /**< usual requests */
	int rank[MODEL_ORGANISATIONS];
	double factor[MODEL_ORGANISATIONS]; /**< of the burst */
	int burst_from_ms;
	int burst_to_ms;
	int end_ms;
	int retries;	  /**< at once, of organisation 0 */
	int dead_daemons; /**< from the middle of the burst on */
	int measure_from_ms;
	int measure_to_ms;

	/* Results. */
	model_counts_t counts[MODEL_ORGANISATIONS];
	int completed[MODEL_MS_MAX / 100]; /**< in each 100 ms */
	double rates[MODEL_MS_MAX / 100];  /**< sum over daemons, as a share of
					      the capacity */
	int refusals[MODEL_MS_MAX / 100];
	int full[MODEL_MS_MAX / 100];
	int refused_while_free; /**< under half of the slots were busy */
	int held;		/**< waited or were refused */
} model_t;

void model_run(model_t *, uint64_t seed);

#endif
