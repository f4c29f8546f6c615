/**
 * @file
 * Retries: a pool that is out for twenty seconds, with a capacity not far above
 * the load, under naive retries and under a budget.
 */
#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <string.h>

#include "experiment.h"
#include "moortack/limit/retry_budget.h"

#define RATE 1.0     /* requests a millisecond */
#define CAPACITY 1.2 /* the same */
#define OUT_FROM_MS 20000.0
#define OUT_TO_MS 40000.0
#define RUN_MS 180000.0
#define TIMEOUT_MS 1000.0
#define WINDOW_MS 1000.0
#define TRIES_MAX 4
#define QUEUE_MAX 20000

enum { ARRIVE, SERVE, TIMEOUT, WINDOW };

typedef struct policy {
	const char *name;
	int tries;	 /**< at most, for one request */
	int64_t percent; /**< budget; -1: none */
	bool drop_late;	 /**< work past its deadline is dropped unserved */
} policy_t;

static const policy_t policies[] = {
    {"no retries", 1, -1, false},
    {"naive, 3 retries", 4, -1, false},
    {"budget 10 %", 4, 10, false},
    {"budget 10 %, expired work dropped", 4, 10, true},
};

typedef struct attempt {
	double begun_ms; /**< of the attempt */
	int tries;	 /**< made before it */
	bool answered;
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
	double sent_out, asked_out; /**< in the outage */
	double window_asked, window_good;
	double recovered_ms;
	double good;
	double asked;
} sim_t;

static bool
out_now(const sim_t *sim)
{
	return sim->des.now_ms >= OUT_FROM_MS && sim->des.now_ms < OUT_TO_MS;
}

static void
serve_next(sim_t *sim)
{
	if (sim->serving || sim->head == sim->tail || out_now(sim))
		return;
	sim->serving = true;
	des_schedule(&sim->des, gsl_ran_exponential(sim->rng.gsl, 1 / CAPACITY),
	    (des_event_t){
		.kind = SERVE, .index = sim->queue[sim->head++ % QUEUE_MAX]});
}

static void
attempt_send(sim_t *sim, int tries)
{
	int a = sim->attempt_count;

	if (a == sim->attempt_max)
		return;
	sim->attempt_count++;
	sim->attempts[a] =
	    (attempt_t){.begun_ms = sim->des.now_ms, .tries = tries};
	if (out_now(sim))
		sim->sent_out++;
	des_schedule(
	    &sim->des, TIMEOUT_MS, (des_event_t){.kind = TIMEOUT, .index = a});
	if (sim->tail - sim->head < QUEUE_MAX)
		sim->queue[sim->tail++ % QUEUE_MAX] = a;
	serve_next(sim);
}

static void
arrive(sim_t *sim)
{
	des_schedule(&sim->des, gsl_ran_exponential(sim->rng.gsl, 1 / RATE),
	    (des_event_t){.kind = ARRIVE});
	sim->asked++;
	sim->window_asked++;
	sim->asked_out += out_now(sim);
	retry_budget_add_request(&sim->budget);
	attempt_send(sim, 0);
}

static void
served(sim_t *sim, int a)
{
	attempt_t *attempt = &sim->attempts[a];
	bool late = sim->des.now_ms - attempt->begun_ms > TIMEOUT_MS;

	sim->serving = false;
	if (!late) {
		attempt->answered = true;
		sim->good++;
		sim->window_good++;
	}
	/* Expired work costs a comparison in place of a service. */
	while (sim->policy->drop_late && sim->head != sim->tail &&
	    sim->des.now_ms -
		    sim->attempts[sim->queue[sim->head % QUEUE_MAX]].begun_ms >
		TIMEOUT_MS)
		sim->head++;
	serve_next(sim);
}

static void
timed_out(sim_t *sim, int a)
{
	const attempt_t *attempt = &sim->attempts[a];

	if (attempt->answered || attempt->tries + 1 >= sim->policy->tries)
		return;
	if (sim->policy->percent >= 0 && !retry_budget_acquire(&sim->budget))
		return;
	attempt_send(sim, attempt->tries + 1);
}

static void
window_end(sim_t *sim)
{
	bool fine = sim->window_good >= 0.97 * sim->window_asked;

	if (sim->des.now_ms > OUT_TO_MS && fine && sim->recovered_ms < 0)
		sim->recovered_ms = sim->des.now_ms - OUT_TO_MS;
	sim->window_asked = 0;
	sim->window_good = 0;
	serve_next(sim);
	des_schedule(&sim->des, WINDOW_MS, (des_event_t){.kind = WINDOW});
}

static void
run_one(const policy_t *policy, uint64_t seed, samples_t *amplification,
    samples_t *recovery, samples_t *good)
{
	static attempt_t attempts[1 << 20];
	static sim_t sim;
	des_event_t event;

	memset(&sim, 0, sizeof(sim));
	sim.policy = policy;
	sim.attempts = attempts;
	sim.attempt_max = 1 << 20;
	sim.recovered_ms = -1;
	retry_budget_init(&sim.budget, policy->percent);
	des_init(&sim.des);
	bench_rng_init(&sim.rng, seed);
	des_schedule(&sim.des, 0, (des_event_t){.kind = ARRIVE});
	des_schedule(&sim.des, WINDOW_MS, (des_event_t){.kind = WINDOW});
	while (des_next(&sim.des, &event) && event.at_ms < RUN_MS) {
		switch (event.kind) {
		case ARRIVE:
			arrive(&sim);
			break;
		case SERVE:
			served(&sim, event.index);
			break;
		case TIMEOUT:
			timed_out(&sim, event.index);
			break;
		case WINDOW:
			window_end(&sim);
			break;
		}
	}
	samples_add(amplification, sim.sent_out / sim.asked_out);
	samples_add(recovery,
	    sim.recovered_ms < 0 ? (RUN_MS - OUT_TO_MS) / 1000
				 : sim.recovered_ms / 1000);
	samples_add(good, 100 * sim.good / sim.asked);
	bench_rng_finish(&sim.rng);
	des_finish(&sim.des);
}

void
experiment_retry(void)
{
	printf("1,000 requests a second, a pool of 1,200, out from 20 s to 40 "
	       "s, timeout 1 s, run of 180 s (140 s: never recovered).\n\n"
	       "| policy | attempts a request in the outage | recovery s | "
	       "answered in time %% |\n| --- | --- | --- | --- |\n");
	for (size_t p = 0; p < sizeof(policies) / sizeof(*policies); p++) {
		samples_t amplification = {0}, recovery = {0}, good = {0};

		for (uint64_t s = 1; s <= EXPERIMENT_SEEDS; s++)
			run_one(
			    &policies[p], s, &amplification, &recovery, &good);
		printf("| %s", policies[p].name);
		samples_print(&amplification, "%.2f");
		samples_print(&recovery, "%.0f");
		samples_print(&good, "%.1f");
		printf(" |\n");
		samples_finish(&amplification);
		samples_finish(&recovery);
		samples_finish(&good);
	}
}
