/**
 * @file
 * Admission: one entry in front of a pool of known capacity. Four classes offer
 * up to five times that capacity. One of the policies uses the measured cost of
 * a refusal.
 */
#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"

#define SLOTS 40
#define SERVICE_MS 200.0 /* with SLOTS, 200 requests a second */
#define RUN_MS 40000.0
#define OVERLOAD_START_MS 5000.0
#define OVERLOAD_END_MS 25000.0
#define DEADLINE_MS 3000.0
#define TICK_INTERVAL_MS 10.0
#define WAITING_MAX 512
#define RECOVERED_WAIT_MS 100 /* recovered when the longest wait is less */

enum { EVENT_ARRIVAL, EVENT_COMPLETED, EVENT_TICK };

typedef struct job {
	waiter_t waiter; /**< must be first: waiters are cast to jobs */
	double arrived_ms;
	int class;
} job_t;

typedef struct pool {
	des_t des;
	bench_rng_t rng;
	admission_t admission;
	const admission_case_t *params;
	int in_service;
	double busy_until_ms; /**< of the entry's processor */
	admission_result_t result;
	bool recovery_measured;
} pool_t;

/* Share of each class in the requests offered: dock scans, drivers, summaries,
 * the rest. */
static const double class_shares[CLASS_COUNT] = {0.10, 0.25, 0.40, 0.25};

static bool
overload_is_on(const pool_t *pool)
{
	return pool->des.now_ms >= OVERLOAD_START_MS &&
	    pool->des.now_ms < OVERLOAD_END_MS;
}

/* Charges work to the entry's own processor, such as refusal_cost for each
 * refusal. Time spent on refusals is not available for relaying responses.
 * Charges nothing and returns false if the processor is more than DEADLINE_MS
 * behind. */
static bool
processor_charge(pool_t *pool, double cost_ms)
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
	pool->in_service++;
	des_schedule(&pool->des,
	    gsl_ran_gamma(pool->rng.gsl, 4, SERVICE_MS / 4),
	    (des_event_t){.kind = EVENT_COMPLETED,
		.index = job->class,
		.time_ms = job->arrived_ms});
	free(job);
}

static void
jobs_start_waiting(pool_t *pool)
{
	while (pool->in_service < SLOTS) {
		waiter_t *waiter = admission_next(&pool->admission, NULL);

		if (waiter == NULL)
			return;
		job_start(pool, (job_t *)waiter);
	}
}

static int
class_draw(pool_t *pool)
{
	double draw = gsl_rng_uniform(pool->rng.gsl);

	for (int c = 0; c < CLASS_COUNT; c++) {
		if (draw < class_shares[c])
			return c;
		draw -= class_shares[c];
	}
	return CLASS_COUNT - 1;
}

static void
job_refuse(pool_t *pool, int class)
{
	if (overload_is_on(pool))
		pool->result.refused[class]++;
	processor_charge(pool, pool->params->refusal_cost * SERVICE_MS / SLOTS);
}

static void
on_arrival(pool_t *pool)
{
	double rate = SLOTS / SERVICE_MS *
	    (overload_is_on(pool) ? pool->params->load_factor : 0.6);
	int class = class_draw(pool);
	struct timespec now = des_time(&pool->des);
	job_t *job;

	des_schedule(&pool->des, gsl_ran_exponential(pool->rng.gsl, 1 / rate),
	    (des_event_t){.kind = EVENT_ARRIVAL});
	if (overload_is_on(pool))
		pool->result.offered[class]++;
	if (pool->params->uses_classes &&
	    !admission_allows(&pool->admission, (class_t) class, 1, now)) {
		job_refuse(pool, class);
		return;
	}
	job = calloc(1, sizeof(*job));
	if (job == NULL)
		abort();
	job->class = class;
	job->arrived_ms = pool->des.now_ms;
	job->waiter = (waiter_t){
	    .class =
		pool->params->uses_classes ? (class_t) class : CLASS_CRITICAL,
	    .arrived_at = now,
	    .deadline = timespec_add_ms(now, (int64_t)DEADLINE_MS)};
	if (!processor_charge(
		pool, SERVICE_MS / SLOTS * pool->params->accept_cost) ||
	    !admission_enqueue(&pool->admission, &job->waiter)) {
		job_refuse(pool, class);
		free(job);
		return;
	}
	jobs_start_waiting(pool);
}

static void
on_tick(pool_t *pool)
{
	struct timespec now = des_time(&pool->des);
	waiter_t *waiter;

	while (pool->params->uses_classes &&
	    (waiter = admission_overdue(&pool->admission, now)) != NULL) {
		job_t *job = (job_t *)waiter;

		admission_remove(&pool->admission, waiter);
		job_refuse(pool, job->class);
		free(job);
	}
	if (pool->des.now_ms > OVERLOAD_END_MS && !pool->recovery_measured &&
	    admission_longest_wait_ms(&pool->admission, now) <
		RECOVERED_WAIT_MS) {
		pool->recovery_measured = true;
		pool->result.recovery_ms = pool->des.now_ms - OVERLOAD_END_MS;
	}
	jobs_start_waiting(pool);
	des_schedule(
	    &pool->des, TICK_INTERVAL_MS, (des_event_t){.kind = EVENT_TICK});
}

static void
on_completed(pool_t *pool, const des_event_t *event)
{
	double latency_ms = pool->des.now_ms - event->time_ms;
	bool is_counted = event->time_ms >= OVERLOAD_START_MS &&
	    event->time_ms < OVERLOAD_END_MS;

	pool->in_service--;
	if (is_counted && latency_ms <= DEADLINE_MS) {
		pool->result.in_time[event->index]++;
		samples_add(
		    &pool->result.latencies_ms[event->index], latency_ms);
	}
	jobs_start_waiting(pool);
}

void
admission_run(
    const admission_case_t *params, uint64_t seed, admission_result_t *out)
{
	static pool_t pool;
	des_event_t event;
	waiter_t *waiter;

	memset(&pool, 0, sizeof(pool));
	pool.params = params;
	pool.result.recovery_ms = RUN_MS - OVERLOAD_END_MS;
	des_init(&pool.des);
	bench_rng_init(&pool.rng, seed);
	admission_init(&pool.admission, WAITING_MAX, params->cutoff_ms);
	des_schedule(&pool.des, 0, (des_event_t){.kind = EVENT_ARRIVAL});
	des_schedule(&pool.des, 0, (des_event_t){.kind = EVENT_TICK});
	while (des_next(&pool.des, &event) && event.at_ms < RUN_MS) {
		if (event.kind == EVENT_ARRIVAL)
			on_arrival(&pool);
		else if (event.kind == EVENT_COMPLETED)
			on_completed(&pool, &event);
		else
			on_tick(&pool);
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
	double total = 0;

	for (int c = 0; c < CLASS_COUNT; c++)
		total += values[c];
	return total;
}

static void
row_print(const char *name, const admission_case_t *params)
{
	samples_t good[CLASS_COUNT] = {0};
	samples_t goodput = {0}, recovery = {0}, p99 = {0};
	double capacity =
	    SLOTS / SERVICE_MS * (OVERLOAD_END_MS - OVERLOAD_START_MS);

	for (uint64_t seed = 1; seed <= EXPERIMENT_SEEDS; seed++) {
		admission_result_t result;

		admission_run(params, seed, &result);
		for (int c = 0; c < CLASS_COUNT; c++) {
			samples_add(&good[c],
			    100 * result.in_time[c] / result.offered[c]);
			if (c == CLASS_CRITICAL)
				samples_add(&p99,
				    samples_quantile(
					&result.latencies_ms[c], 0.99));
			samples_finish(&result.latencies_ms[c]);
		}
		samples_add(&goodput, 100 * sum(result.in_time) / capacity);
		samples_add(&recovery, result.recovery_ms);
	}
	printf("| %gx | %s", params->load_factor, name);
	samples_print(&goodput, "%.0f");
	for (int c = 0; c < CLASS_COUNT; c++) {
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
	static const double load_factors[] = {1, 2, 3, 5};

	printf("A pool of 200 requests a second; the load is raised for 20 s; "
	       "deadline 3 s.\nGoodput is the responses within their deadline, "
	       "relative to the pool's capacity.\n\n"
	       "| load | policy | goodput %% | critical served %% | high | "
	       "medium | sheddable | critical p99 ms | recovery ms |\n"
	       "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
	for (size_t t = 0; t < sizeof(load_factors) / sizeof(*load_factors);
	     t++) {
		row_print("one queue, no classes",
		    &(admission_case_t){.load_factor = load_factors[t],
			.refusal_cost = 0.05,
			.accept_cost = 0.05,
			.cutoff_ms = 2000});
		row_print(
		    "classes by age, refusal cost 0.3 (refused in the handler)",
		    &(admission_case_t){.load_factor = load_factors[t],
			.refusal_cost = 0.3,
			.accept_cost = 0.3,
			.cutoff_ms = 2000,
			.uses_classes = true});
		row_print("classes by age, refusal cost 0.15 (measured: 0.10 "
			  "to 0.25)",
		    &(admission_case_t){.load_factor = load_factors[t],
			.refusal_cost = ADMISSION_REFUSAL_COST,
			.accept_cost = 0.05,
			.cutoff_ms = 2000,
			.uses_classes = true});
	}
}
