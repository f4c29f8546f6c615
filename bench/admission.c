/**
 * @file
 * Admission: one entry before a pool of known capacity, offered up to five
 * times as much, by four classes, with the cost of a refusal as measured.
 */
#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"

#define SLOTS 40
#define SERVICE_MS 200.0 /* so that the pool serves 200 a second */
#define RUN_MS 40000.0
#define LOAD_FROM_MS 5000.0
#define LOAD_TO_MS 25000.0
#define DEADLINE_MS 3000.0
#define TICK_MS 10.0
#define WAITING_MAX 512
#define RECOVERED_MS 100 /* the queue's age counts as normal below this */

enum { ARRIVE, DONE, TICK };

typedef struct job {
	waiter_t waiter; /**< must stay first */
	double begun_ms;
	int class;
} job_t;

typedef struct pool {
	des_t des;
	bench_rng_t rng;
	admission_t admission;
	const admission_case_t *what;
	int running;
	double busy_until_ms; /**< of the entry's processor */
	admission_result_t result;
	bool measured;
} pool_t;

/* Of the requests offered: docks, drivers, summaries, the rest. */
static const double class_shares[CLASSES] = {0.10, 0.25, 0.40, 0.25};

static bool
overloaded(const pool_t *pool)
{
	return pool->des.now_ms >= LOAD_FROM_MS &&
	    pool->des.now_ms < LOAD_TO_MS;
}

/* The entry's own processor: a share r of a service for each refusal. What it
 * spends on refusals it can't spend on passing answers on. */
static bool
processor_take(pool_t *pool, double cost_ms)
{
	if (pool->busy_until_ms < pool->des.now_ms)
		pool->busy_until_ms = pool->des.now_ms;
	if (pool->busy_until_ms - pool->des.now_ms > DEADLINE_MS)
		return false;
	pool->busy_until_ms += cost_ms;
	return true;
}

static void
job_start(pool_t *pool, job_t *job)
{
	admission_remove(&pool->admission, &job->waiter);
	pool->running++;
	des_schedule(&pool->des,
	    gsl_ran_gamma(pool->rng.gsl, 4, SERVICE_MS / 4),
	    (des_event_t){
		.kind = DONE, .index = job->class, .time_ms = job->begun_ms});
	free(job);
}

static void
jobs_start(pool_t *pool)
{
	while (pool->running < SLOTS) {
		waiter_t *waiter = admission_next(&pool->admission, NULL);

		if (waiter == NULL)
			return;
		job_start(pool, (job_t *)waiter);
	}
}

static int
class_choose(pool_t *pool)
{
	double at = gsl_rng_uniform(pool->rng.gsl);

	for (int c = 0; c < CLASSES; c++) {
		if (at < class_shares[c])
			return c;
		at -= class_shares[c];
	}
	return CLASSES - 1;
}

static void
job_refuse(pool_t *pool, int class)
{
	if (overloaded(pool))
		pool->result.refused[class]++;
	processor_take(pool, pool->what->refusal_cost * SERVICE_MS / SLOTS);
}

static void
arrive(pool_t *pool)
{
	double rate = SLOTS / SERVICE_MS *
	    (overloaded(pool) ? pool->what->load_factor : 0.6);
	int class = class_choose(pool);
	struct timespec now = des_time(&pool->des);
	job_t *job;

	des_schedule(&pool->des, gsl_ran_exponential(pool->rng.gsl, 1 / rate),
	    (des_event_t){.kind = ARRIVE});
	if (overloaded(pool))
		pool->result.offered[class]++;
	if (pool->what->uses_classes &&
	    !admission_allows(&pool->admission, (class_t) class, 1, now)) {
		job_refuse(pool, class);
		return;
	}
	job = calloc(1, sizeof(*job));
	if (job == NULL)
		abort();
	job->class = class;
	job->begun_ms = pool->des.now_ms;
	job->waiter = (waiter_t){
	    .class =
		pool->what->uses_classes ? (class_t) class : CLASS_CRITICAL,
	    .arrived_at = now,
	    .deadline = timespec_add_ms(now, (int64_t)DEADLINE_MS)};
	if (!processor_take(
		pool, SERVICE_MS / SLOTS * pool->what->accept_cost) ||
	    !admission_enqueue(&pool->admission, &job->waiter)) {
		job_refuse(pool, class);
		free(job);
		return;
	}
	jobs_start(pool);
}

static void
tick(pool_t *pool)
{
	struct timespec now = des_time(&pool->des);
	waiter_t *waiter;

	while (pool->what->uses_classes &&
	    (waiter = admission_overdue(&pool->admission, now)) != NULL) {
		job_t *job = (job_t *)waiter;

		admission_remove(&pool->admission, waiter);
		job_refuse(pool, job->class);
		free(job);
	}
	if (pool->des.now_ms > LOAD_TO_MS && !pool->measured &&
	    admission_longest_wait_ms(&pool->admission, now) < RECOVERED_MS) {
		pool->measured = true;
		pool->result.recovery_ms = pool->des.now_ms - LOAD_TO_MS;
	}
	jobs_start(pool);
	des_schedule(&pool->des, TICK_MS, (des_event_t){.kind = TICK});
}

static void
done(pool_t *pool, const des_event_t *event)
{
	double took = pool->des.now_ms - event->time_ms;
	bool counted =
	    event->time_ms >= LOAD_FROM_MS && event->time_ms < LOAD_TO_MS;

	pool->running--;
	if (counted && took <= DEADLINE_MS) {
		pool->result.in_time[event->index]++;
		samples_add(&pool->result.latencies_ms[event->index], took);
	}
	jobs_start(pool);
}

void
admission_run(
    const admission_case_t *what, uint64_t seed, admission_result_t *out)
{
	static pool_t pool;
	des_event_t event;
	waiter_t *waiter;

	memset(&pool, 0, sizeof(pool));
	pool.what = what;
	pool.result.recovery_ms = RUN_MS - LOAD_TO_MS;
	des_init(&pool.des);
	bench_rng_init(&pool.rng, seed);
	admission_init(&pool.admission, WAITING_MAX, what->cutoff_ms);
	des_schedule(&pool.des, 0, (des_event_t){.kind = ARRIVE});
	des_schedule(&pool.des, 0, (des_event_t){.kind = TICK});
	while (des_next(&pool.des, &event) && event.at_ms < RUN_MS) {
		if (event.kind == ARRIVE)
			arrive(&pool);
		else if (event.kind == DONE)
			done(&pool, &event);
		else
			tick(&pool);
	}
	while ((waiter = admission_next(&pool.admission, NULL)) != NULL) {
		admission_remove(&pool.admission, waiter);
		free(waiter);
	}
	bench_rng_finish(&pool.rng);
	des_finish(&pool.des);
	*out = pool.result;
}

static double
sum(const double *values)
{
	double all = 0;

	for (int c = 0; c < CLASSES; c++)
		all += values[c];
	return all;
}

static void
row_print(const char *name, const admission_case_t *what)
{
	samples_t good[CLASSES] = {0};
	samples_t goodput = {0}, recovery = {0}, p99 = {0};
	double capacity = SLOTS / SERVICE_MS * (LOAD_TO_MS - LOAD_FROM_MS);

	for (uint64_t seed = 1; seed <= EXPERIMENT_SEEDS; seed++) {
		admission_result_t one;

		admission_run(what, seed, &one);
		for (int c = 0; c < CLASSES; c++) {
			samples_add(
			    &good[c], 100 * one.in_time[c] / one.offered[c]);
			if (c == CLASS_CRITICAL)
				samples_add(&p99,
				    samples_quantile(
					&one.latencies_ms[c], 0.99));
			samples_finish(&one.latencies_ms[c]);
		}
		samples_add(&goodput, 100 * sum(one.in_time) / capacity);
		samples_add(&recovery, one.recovery_ms);
	}
	printf("| %gx | %s", what->load_factor, name);
	samples_print(&goodput, "%.0f");
	for (int c = 0; c < CLASSES; c++) {
		samples_print(&good[c], "%.0f");
		samples_finish(&good[c]);
	}
	samples_print(&p99, "%.0f");
	samples_print(&recovery, "%.0f");
	printf(" |\n");
	samples_finish(&goodput);
	samples_finish(&recovery);
	samples_finish(&p99);
}

void
experiment_admission(void)
{
	static const double times[] = {1, 2, 3, 5};

	printf(
	    "A pool of 200 requests a second; the load is raised for 20 s; "
	    "deadline 3 s.\nGoodput is what came within its deadline, of the "
	    "pool's capacity.\n\n"
	    "| load | policy | goodput %% | critical served %% | high | "
	    "medium | sheddable | critical p99 ms | recovery ms |\n"
	    "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
	for (size_t t = 0; t < sizeof(times) / sizeof(*times); t++) {
		row_print("one queue, no classes",
		    &(admission_case_t){.load_factor = times[t],
			.refusal_cost = 0.05,
			.accept_cost = 0.05,
			.cutoff_ms = 2000});
		row_print("classes by age, r 0.3 (refused in the handler)",
		    &(admission_case_t){.load_factor = times[t],
			.refusal_cost = 0.3,
			.accept_cost = 0.3,
			.cutoff_ms = 2000,
			.uses_classes = true});
		row_print("classes by age, r 0.15 (measured: 0.10 to 0.25)",
		    &(admission_case_t){.load_factor = times[t],
			.refusal_cost = ADMISSION_REFUSAL_COST,
			.accept_cost = 0.05,
			.cutoff_ms = 2000,
			.uses_classes = true});
	}
}
