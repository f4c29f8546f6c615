/**
 * @file
 * One run of the admission experiment.
 */
#ifndef BENCH_ADMISSION_H
#define BENCH_ADMISSION_H

#include "experiment.h"
#include "moortack/limit/admission.h"

/** What a refusal costs of a service, as counted by bench/refusal.sh. */
#define ADMISSION_R 0.15

typedef struct admission_case {
	double times;	   /**< load, of the capacity */
	double r;	   /**< cost of a refusal, of a service's capacity */
	double entry;	   /**< cost of taking a request in, likewise */
	int64_t cutoff_ms; /**< of the most important class */
	bool classes;	   /**< false: one queue, nobody refused by class */
} admission_case_t;

typedef struct admission_result {
	double offered[CLASS_COUNT];
	double good[CLASS_COUNT]; /**< within their deadline */
	double refused[CLASS_COUNT];
	double recovery_ms;
	samples_t took[CLASS_COUNT];
} admission_result_t;

/** @param out its samples are the caller's to finish */
void
admission_run(const admission_case_t *, uint64_t seed, admission_result_t *out);

#endif
