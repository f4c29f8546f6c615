/**
 * @file
 * The experiment driver: the decision code of the library, on a discrete clock,
 * against small models of what it decides about. No networking.
 */
#ifndef BENCH_EXPERIMENT_H
#define BENCH_EXPERIMENT_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock_source.h"
#include "common/rng.h"

#define EXPERIMENT_SEEDS 7

/** Samples of one figure; sorted when a quantile is asked for. */
typedef struct samples {
	double *values;
	size_t count;
	size_t capacity;
} samples_t;

void samples_init(samples_t *);
void samples_finish(samples_t *);
void samples_add(samples_t *, double);
double samples_quantile(samples_t *, double share);
double samples_mean(const samples_t *);
double samples_stddev(const samples_t *); /**< standard deviation */

/** A figure over the seeds, printed as "mean±spread". */
void samples_print(const samples_t *, const char *format);

/** What happens at a time, in the order of time, then of being added. */
typedef struct des_event {
	double at_ms;
	uint64_t order;
	int kind;
	int index, second_index, third_index;
	double time_ms;
} des_event_t;

typedef struct des {
	des_event_t *heap;
	size_t count;
	size_t capacity;
	uint64_t next_order;
	double now_ms;
} des_t;

void des_init(des_t *);
void des_finish(des_t *);
void des_schedule(des_t *, double after_ms, des_event_t);
/** @return false when nothing is left */
bool des_next(des_t *, des_event_t *out);

/** The simulation's time on the clock of the decision code. */
struct timespec des_time(const des_t *);

/** A seeded generator of GSL behind the library's interface. */
typedef struct bench_rng {
	rng_t rng; /**< must stay first */
	gsl_rng *gsl;
} bench_rng_t;

void bench_rng_init(bench_rng_t *, uint64_t seed);
void bench_rng_finish(bench_rng_t *);

/* One file each; each prints its table, in Markdown. */
void experiment_admission(void);
void experiment_balance(void);
void experiment_cascade(void);
void experiment_exposure(void);
void experiment_placing(void);
void experiment_retry(void);
void experiment_weights(void);

#endif
