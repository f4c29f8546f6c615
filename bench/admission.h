/**
 * @file
 * One run of the admission experiment.
 */
#ifndef BENCH_ADMISSION_H
#define BENCH_ADMISSION_H

#include "experiment.h"
#include "moortack/limit/admission.h"

/** Processor time of a refusal relative to serving a request, as measured by
 * bench/refusal.lua. */
#define ADMISSION_REFUSAL_COST 0.15

typedef struct admission_case {
	double load_factor;  /**< offered load, relative to the capacity */
	double refusal_cost; /**< cost of a refusal, relative to a service */
	double accept_cost;  /**< cost of accepting a request, likewise */
	int64_t cutoff_ms;   /**< of the most important class */
	bool uses_classes;   /**< false: one queue, no refusals by class */
} admission_case_t;

/** Counts and latencies from the time in which the load is raised. */
typedef struct admission_result {
	double offered[CLASS_COUNT];
	double in_time[CLASS_COUNT]; /**< completed within their deadline */
	double refused[CLASS_COUNT];
	/** From the end of the raised load until the longest wait is normal
	 * again; the rest of the run if it never is. */
	double recovery_ms;
	samples_t latencies_ms[CLASS_COUNT]; /**< of those completed in time */
} admission_result_t;

/** Runs one simulation. @param out the caller finishes its samples */
void
admission_run(const admission_case_t *, uint64_t seed, admission_result_t *out);

#endif
