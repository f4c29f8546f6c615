/**
 * @file
 * One run of the admission experiment.
 */
#ifndef BENCH_ADMISSION_H
#define BENCH_ADMISSION_H

#include "experiment.h"
#include "moortack/limit/admission.h"

/** What a refusal costs of a service, as counted by bench/refusal.sh. */
#define ADMISSION_REFUSAL_COST 0.15

typedef struct admission_case {
	double load_factor;  /**< load, of the capacity */
	double refusal_cost; /**< cost of a refusal, of a service's capacity */
	double accept_cost;  /**< cost of taking a request in, likewise */
	int64_t cutoff_ms;   /**< of the most important class */
	bool uses_classes;   /**< false: one queue, nobody refused by class */
} admission_case_t;

typedef struct admission_result {
	double offered[CLASSES];
	double in_time[CLASSES]; /**< within their deadline */
	double refused[CLASSES];
	double recovery_ms;
	samples_t latencies_ms[CLASSES];
} admission_result_t;

/** @param out its samples are the caller's to finish */
void
admission_run(const admission_case_t *, uint64_t seed, admission_result_t *out);

#endif
