/**
 * @file
 * Helpers for experiments that run the library's decision code in a
 * discrete-event simulation, against small models of endpoints and callers. No
 * networking.
 */
#ifndef BENCH_EXPERIMENT_H
#define BENCH_EXPERIMENT_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock_source.h"
#include "common/rng.h"

/** Number of seeds, from 1, that each experiment runs with. */
#define EXPERIMENT_SEEDS 7

/** Samples of one figure. samples_quantile() sorts them. */
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

/** Prints a table cell with "mean±standard deviation" of the samples, one
 * sample per seed. @param format printf format for one double */
void samples_print(const samples_t *, const char *format);

/** An event of the simulation. Events occur by time, then in the order in which
 * they were scheduled. */
typedef struct des_event {
	double at_ms;
	uint64_t order;
	int kind; /**< defined by the experiment, as are the next four */
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
/** Removes the earliest event and advances the clock to its time.
 * @return false if no event is left */
bool des_next(des_t *, des_event_t *out);

/** The simulated time as the decision code's clock reports it. */
struct timespec des_time(const des_t *);

/** A seeded GSL generator behind the library's rng_t. */
typedef struct bench_rng {
	rng_t rng; /**< must be first: it is cast to this type */
	gsl_rng *gsl;
} bench_rng_t;

void bench_rng_init(bench_rng_t *, uint64_t seed);
void bench_rng_finish(bench_rng_t *);

/* Each prints its table, in Markdown, and has a source file of its own. */
void experiment_admission(void);
void experiment_balance(void);
void experiment_cascade(void);
void experiment_exposure(void);
void experiment_placing(void);
void experiment_retry(void);
void experiment_weights(void);

#endif
