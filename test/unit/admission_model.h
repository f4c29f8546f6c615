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
#define MODEL_OBJECTIVE_MS 300
/* The time before the burst lets daemons learn the usual demand. */
#define MODEL_BURST_MS 20000
#define MODEL_BURST_END_MS 28000
#define MODEL_END_MS 34000
/* Figures over time are per 100 ms. */
#define MODEL_STEP_MS 100
#define MODEL_STEPS (MODEL_END_MS / MODEL_STEP_MS)

/** Results of the callers of an organisation in the measured time. */
typedef struct model_counts {
	int sent;	  /**< by callers, retries excluded */
	int in_time;	  /**< served within the objective */
	int refused;	  /**< by admission */
	int refused_slow; /**< of them, later than a tenth of the objective */
	int full;	  /**< refused by an endpoint */
	int late;
} model_counts_t;

typedef struct model {
	/* Set by the test. */
	int daemons;
	int endpoints;
	double per_s[MODEL_ORGANISATIONS]; /**< usual requests */
	int rank[MODEL_ORGANISATIONS];
	double factor[MODEL_ORGANISATIONS]; /**< of the burst */
	int retries;			    /**< at once, of organisation 0 */
	int dead_daemons; /**< from the middle of the burst on */

	/* Results. */
	model_counts_t counts[MODEL_ORGANISATIONS];
	int completed[MODEL_STEPS]; /**< in each 100 ms */
	int admitted[MODEL_STEPS];
	int refusals[MODEL_STEPS];
	int refused_while_free; /**< under half of the slots were busy */
	int refused_told;	/**< of them, the daemon had been told */
	int held;		/**< waited or were refused */
} model_t;

void model_run(model_t *, uint64_t seed);

#endif
