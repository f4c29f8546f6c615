/**
 * @file
 * Retries: a pool with little more capacity than the load is unavailable for
 * twenty seconds, with naive retries and with a retry budget.
 */
#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <string.h>

#include "experiment.h"
#include "moortack/limit/retry_budget.h"

#define ARRIVALS_PER_MS 1.0 /* requests */
#define SERVICES_PER_MS 1.2 /* capacity, in requests */
#define OUTAGE_START_MS 20000.0
#define OUTAGE_END_MS 40000.0
#define RUN_MS 180000.0
#define TIMEOUT_MS 1000.0
#define WINDOW_MS 1000.0
#define ATTEMPTS_MAX 4
#define QUEUE_MAX 20000

enum { EVENT_ARRIVAL, EVENT_SERVED, EVENT_TIMEOUT, EVENT_WINDOW_END };

typedef struct policy {
	const char *name;
	int attempts_max;	/**< at most, for one request */
	int64_t budget_percent; /**< -1: no budget */
	bool drops_expired;	/**< drops queued attempts past their timeout */
} policy_t;

static const policy_t policies[] = {
    {"no retries", 1, -1, false},
    {"naive, 3 retries", 4, -1, false},
    {"budget 10 %", 4, 10, false},
    {"budget 10 %, expired work dropped", 4, 10, true},
};

typedef struct attempt {
	double sent_ms;
	int attempts_before; /**< of the same request */
	bool responded;
} attempt_t;

typedef struct sim {
	des_t des;
	bench_rng_t rng;
	const policy_t *policy;
	retry_budget_t budget;
	attempt_t *attempts;
	int attempt_count, attempt_max;
	int queue[QUEUE_MAX];
	int head, tail;
	bool serving;
	double outage_attempts, outage_requests; /**< made in the outage */
	double window_requests, window_in_time;
	double recovered_ms;
	double in_time;
	double requests;
} sim_t;

static bool
outage_is_on(const sim_t *sim)
{
	return sim->des.now_ms >= OUTAGE_START_MS &&
	    sim->des.now_ms < OUTAGE_END_MS;
}

static void
serve_next(sim_t *sim)
{
	if (sim->serving || sim->head == sim->tail || outage_is_on(sim))
		return;
	sim->serving = true;
	des_schedule(&sim->des,
	    gsl_ran_exponential(sim->rng.gsl, 1 / SERVICES_PER_MS),
	    (des_event_t){.kind = EVENT_SERVED,
		.index = sim->queue[sim->head++ % QUEUE_MAX]});
}

static void
attempt_send(sim_t *sim, int attempts_before)
{
	int a = sim->attempt_count;

	if (a == sim->attempt_max)
		return;
	sim->attempt_count++;
	sim->attempts[a] = (attempt_t){
	    .sent_ms = sim->des.now_ms, .attempts_before = attempts_before};
	if (outage_is_on(sim))
		sim->outage_attempts++;
	des_schedule(&sim->des, TIMEOUT_MS,
	    (des_event_t){.kind = EVENT_TIMEOUT, .index = a});
	if (sim->tail - sim->head < QUEUE_MAX)
		sim->queue[sim->tail++ % QUEUE_MAX] = a;
	serve_next(sim);
}

static void
on_arrival(sim_t *sim)
{
	des_schedule(&sim->des,
	    gsl_ran_exponential(sim->rng.gsl, 1 / ARRIVALS_PER_MS),
	    (des_event_t){.kind = EVENT_ARRIVAL});
	sim->requests++;
	sim->window_requests++;
	sim->outage_requests += outage_is_on(sim);
	retry_budget_add_request(&sim->budget);
	attempt_send(sim, 0);
}

static void
on_served(sim_t *sim, int a)
{
	attempt_t *attempt = &sim->attempts[a];
	bool late = sim->des.now_ms - attempt->sent_ms > TIMEOUT_MS;

	sim->serving = false;
	if (!late) {
		attempt->responded = true;
		sim->in_time++;
		sim->window_in_time++;
	}
	/* An expired attempt costs a comparison instead of a service. */
	while (sim->policy->drops_expired && sim->head != sim->tail &&
	    sim->des.now_ms -
		    sim->attempts[sim->queue[sim->head % QUEUE_MAX]].sent_ms >
		TIMEOUT_MS)
		sim->head++;
	serve_next(sim);
}

static void
on_timeout(sim_t *sim, int a)
{
	const attempt_t *attempt = &sim->attempts[a];

	if (attempt->responded ||
	    attempt->attempts_before + 1 >= sim->policy->attempts_max)
		return;
	if (sim->policy->budget_percent >= 0 &&
	    !retry_budget_acquire(&sim->budget))
		return;
	attempt_send(sim, attempt->attempts_before + 1);
}

static void
on_window_end(sim_t *sim)
{
	bool is_recovered = sim->window_in_time >= 0.97 * sim->window_requests;

	if (sim->des.now_ms > OUTAGE_END_MS && is_recovered &&
	    sim->recovered_ms < 0)
		sim->recovered_ms = sim->des.now_ms - OUTAGE_END_MS;
	sim->window_requests = 0;
	sim->window_in_time = 0;
	serve_next(sim);
	des_schedule(
	    &sim->des, WINDOW_MS, (des_event_t){.kind = EVENT_WINDOW_END});
}

static void
simulation_run(const policy_t *policy, uint64_t seed, samples_t *amplification,
    samples_t *recovery, samples_t *in_time)
{
	static attempt_t attempts[1 << 20];
	static sim_t sim;
	des_event_t event;

	memset(&sim, 0, sizeof(sim));
	sim.policy = policy;
	sim.attempts = attempts;
	sim.attempt_max = 1 << 20;
	sim.recovered_ms = -1;
	retry_budget_init(&sim.budget, policy->budget_percent);
	des_init(&sim.des);
	bench_rng_init(&sim.rng, seed);
	des_schedule(&sim.des, 0, (des_event_t){.kind = EVENT_ARRIVAL});
	des_schedule(
	    &sim.des, WINDOW_MS, (des_event_t){.kind = EVENT_WINDOW_END});
	while (des_next(&sim.des, &event) && event.at_ms < RUN_MS) {
		switch (event.kind) {
		case EVENT_ARRIVAL:
			on_arrival(&sim);
			break;
		case EVENT_SERVED:
			on_served(&sim, event.index);
			break;
		case EVENT_TIMEOUT:
			on_timeout(&sim, event.index);
			break;
		case EVENT_WINDOW_END:
			on_window_end(&sim);
			break;
		}
	}
	samples_add(amplification, sim.outage_attempts / sim.outage_requests);
	samples_add(recovery,
	    sim.recovered_ms < 0 ? (RUN_MS - OUTAGE_END_MS) / 1000
				 : sim.recovered_ms / 1000);
	samples_add(in_time, 100 * sim.in_time / sim.requests);
	bench_rng_finish(&sim.rng);
	des_finish(&sim.des);
}

void
experiment_retry(void)
{
	printf("1,000 requests a second, a pool of 1,200, unavailable from "
	       "20 s to 40 s, timeout 1 s, run of 180 s (140 s: never "
	       "recovered).\n\n"
	       "| policy | attempts a request in the outage | recovery s | "
	       "completed in time %% |\n| --- | --- | --- | --- |\n");
	for (size_t p = 0; p < sizeof(policies) / sizeof(*policies); p++) {
		samples_t amplification = {0}, recovery = {0}, in_time = {0};

		for (uint64_t s = 1; s <= EXPERIMENT_SEEDS; s++)
			simulation_run(&policies[p], s, &amplification,
			    &recovery, &in_time);
		printf("| %s", policies[p].name);
		samples_print(&amplification, "%.2f");
		samples_print(&recovery, "%.0f");
		samples_print(&in_time, "%.1f");
		printf(" |\n");
		samples_finish(&amplification);
		samples_finish(&recovery);
		samples_finish(&in_time);
	}
}
