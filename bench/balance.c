/**
 * @file
 * Endpoint choice: eight daemons before twenty-four engines in four places,
 * reports every half second that are half a second old.
 */
#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "experiment.h"
#include "moortack/route/balance.h"

#define DAEMONS 8
#define ENGINES 24
#define PLACES 4
#define SLOTS 8
#define RUN_MS 60000.0
#define WARM_MS 10000.0
#define FAULT_MS 20000.0
#define REPORT_MS 500.0
#define HISTORY 4
#define SERVICE_MS 400.0 /* mean time that a request holds its slot */
#define PREFILL_MS 60.0
#define PREFILL_HIT_MS 8.0
#define REMOTE_MS 1.5
#define SESSIONS 600
#define CACHE 24 /* prefixes that an engine keeps */
#define RETRY_MS 10.0
#define GIVE_UP_MS 5000.0

enum { ARRIVE, START, DONE, REPORT, TRY };

typedef enum fault {
	FAULT_NONE,
	FAULT_SLOW,
	FAULT_HALF_DEAD,
	FAULT_DEAD_PLACE,
	FAULT_DRY
} fault_t;

static const struct {
	const char *name;
	fault_t fault;
	double load; /**< of all slots */
} cases[] = {
    {"even, 70 % load", FAULT_NONE, 0.7},
    {"one engine four times as slow", FAULT_SLOW, 0.7},
    {"one engine fails half", FAULT_HALF_DEAD, 0.7},
    {"a place dies at 20 s", FAULT_DEAD_PLACE, 0.6},
    {"pool run dry, 120 % load", FAULT_DRY, 1.2},
};

typedef struct request {
	int daemon;
	int session;
	double begun_ms;
	handle_t avoid[BALANCE_TRIED_MAX];
	uint32_t avoid_count;
} request_t;

typedef struct engine {
	int running;
	int queue[8192]; /**< requests, a ring */
	int head, tail;
	int cache[CACHE]; /**< sessions whose prefix it holds, a ring */
	int cached;
	int load[HISTORY]; /**< as it was at the last reports */
	double busy_ms;
	bool dead;
} engine_t;

typedef struct sim {
	des_t des;
	bench_rng_t rng;
	const balance_policy_t *policy;
	fault_t fault;
	endpoint_table_t fleets[DAEMONS];
	rng_t turns[DAEMONS]; /**< the turn of round robin */
	handle_t hints[SESSIONS];
	engine_t engines[ENGINES];
	request_t requests[65536];
	int request_count;
	int waiting[DAEMONS];
	samples_t first;
	long hits, starts, failures, gave_up;
} sim_t;

static config_t *
config_make(void)
{
	json_t *document =
	    json_pack("{s:{s:{},s:{},s:{},s:{}},s:{s:{s:s}},s:{s:{s:s}},"
		      "s:{s:{s:[s,s,s,s],s:[s]}}}",
		"places", "p0", "p1", "p2", "p3", "models", "m", "kind",
		"engine", "versions", "m@1", "state", "live", "organisations",
		"o", "places", "p0", "p1", "p2", "p3", "allow", "m@*");
	err_t err;
	config_t *config = config_compile(document, 1, &err);

	json_decref(document);
	return config;
}

static void
fleets_init(sim_t *sim, const config_t *config)
{
	for (int d = 0; d < DAEMONS; d++) {
		endpoint_table_init(&sim->fleets[d]);
		for (int e = 0; e < ENGINES; e++) {
			char address[32], place[8];
			handle_t handle;
			endpoint_t *endpoint;

			snprintf(address, sizeof(address), "10.0.0.%d:1", e);
			snprintf(place, sizeof(place), "p%d", e % PLACES);
			handle = endpoint_table_update_entry(&sim->fleets[d],
			    address, place, false, timespec_from_ms(0));
			endpoint = endpoint_table_at(&sim->fleets[d], handle);
			endpoint_add_version(endpoint, "m@1");
			endpoint->slots = SLOTS;
		}
		endpoint_table_resolve(&sim->fleets[d], config);
	}
}

static double
hold_ms(sim_t *sim, int e)
{
	double mean = SERVICE_MS * (sim->fault == FAULT_SLOW && e == 0 ? 4 : 1);

	return gsl_ran_gamma(sim->rng.gsl, 2.0, mean / 2.0);
}

static bool
cache_hit(engine_t *engine, int session)
{
	for (int i = 0; i < CACHE; i++) {
		if (engine->cache[i] == session + 1)
			return true;
	}
	engine->cache[engine->cached++ % CACHE] = session + 1;
	return false;
}

static void
engine_start(sim_t *sim, int e)
{
	engine_t *engine = &sim->engines[e];

	while (engine->running < SLOTS && engine->head != engine->tail) {
		int r = engine->queue[engine->head++ % 8192];
		request_t *request = &sim->requests[r];
		bool hit = cache_hit(engine, request->session);
		double prefill = (hit ? PREFILL_HIT_MS : PREFILL_MS) *
		    (sim->fault == FAULT_SLOW && e == 0 ? 4 : 1);
		double hold = hold_ms(sim, e);

		engine->running++;
		engine->busy_ms += hold;
		sim->starts++;
		sim->hits += hit;
		des_schedule(&sim->des, prefill + hold,
		    (des_event_t){.kind = DONE,
			.index = r,
			.second_index = e,
			.time_ms = prefill});
		if (sim->des.now_ms > WARM_MS)
			samples_add(&sim->first,
			    sim->des.now_ms + prefill - request->begun_ms);
	}
}

static void
request_fail(sim_t *sim, int r, int e)
{
	request_t *request = &sim->requests[r];

	sim->failures++;
	endpoint_attempt_failed(
	    &sim->fleets[request->daemon], (handle_t)e, des_time(&sim->des));
	if (request->avoid_count < BALANCE_TRIED_MAX) {
		request->avoid[request->avoid_count++] = (handle_t)e;
		des_schedule(&sim->des, REMOTE_MS,
		    (des_event_t){.kind = TRY, .index = r});
	} else {
		sim->gave_up++;
	}
}

static void
request_start(sim_t *sim, int r, int e)
{
	engine_t *engine = &sim->engines[e];
	bool fails = engine->dead ||
	    (sim->fault == FAULT_HALF_DEAD && e == 0 &&
		gsl_rng_uniform(sim->rng.gsl) < 0.5);

	if (fails) {
		request_fail(sim, r, e);
		return;
	}
	engine->queue[engine->tail++ % 8192] = r;
	engine_start(sim, e);
}

static void
request_try(sim_t *sim, const config_t *config, int r)
{
	request_t *request = &sim->requests[r];
	balance_query_t query = {.config = config,
	    .organisation = 0,
	    .version = 0,
	    .preferred_place = (handle_t)(request->daemon % PLACES),
	    .prefix_endpoint = sim->hints[request->session],
	    .tried_count = request->avoid_count,
	    .now = des_time(&sim->des)};
	endpoint_table_t *fleet = &sim->fleets[request->daemon];
	rng_t *rng = sim->policy == &balance_round_robin
	    ? &sim->turns[request->daemon]
	    : &sim->rng.rng;
	handle_t picked;

	memcpy(query.tried_endpoints, request->avoid,
	    sizeof(query.tried_endpoints));
	if (balance_pick(fleet, sim->policy, &query, rng, &picked) !=
	    BALANCE_PICKED) {
		if (sim->des.now_ms - request->begun_ms < GIVE_UP_MS)
			des_schedule(&sim->des, RETRY_MS,
			    (des_event_t){.kind = TRY, .index = r});
		else
			sim->gave_up++;
		return;
	}
	endpoint_attempt_started(endpoint_table_at(fleet, picked));
	sim->hints[request->session] = picked;
	des_schedule(&sim->des, REMOTE_MS,
	    (des_event_t){
		.kind = START, .index = r, .second_index = (int)picked});
}

static void
reports_read(sim_t *sim, const config_t *config)
{
	for (int e = 0; e < ENGINES; e++) {
		engine_t *engine = &sim->engines[e];
		load_report_t report = {
		    .responded = !engine->dead, .slots = SLOTS};

		snprintf(
		    report.address, sizeof(report.address), "10.0.0.%d:1", e);
		report.running = (uint32_t)engine->load[1];
		for (int i = HISTORY - 1; i > 0; i--)
			engine->load[i] = engine->load[i - 1];
		engine->load[0] = engine->running + engine->tail - engine->head;
		for (int d = 0; d < DAEMONS; d++)
			endpoint_table_apply_report(
			    &sim->fleets[d], &report, config);
	}
}

static void
arrive(sim_t *sim, const config_t *config, double rate)
{
	int r = sim->request_count;

	des_schedule(&sim->des, gsl_ran_exponential(sim->rng.gsl, 1.0 / rate),
	    (des_event_t){.kind = ARRIVE});
	if (r == 65536)
		return;
	sim->request_count++;
	sim->requests[r] = (request_t){
	    .daemon = (int)gsl_rng_uniform_int(sim->rng.gsl, DAEMONS),
	    .session = (int)gsl_rng_uniform_int(sim->rng.gsl, SESSIONS),
	    .begun_ms = sim->des.now_ms};
	request_try(sim, config, r);
}

static void
event_take(
    sim_t *sim, const config_t *config, const des_event_t *event, double rate)
{
	request_t *request = &sim->requests[event->index];

	switch (event->kind) {
	case ARRIVE:
		arrive(sim, config, rate);
		break;
	case TRY:
		request_try(sim, config, event->index);
		break;
	case START:
		request_start(sim, event->index, event->second_index);
		break;
	case DONE:
		sim->engines[event->second_index].running--;
		endpoint_attempt_succeeded(
		    endpoint_table_at(&sim->fleets[request->daemon],
			(handle_t)event->second_index),
		    event->time_ms, des_time(&sim->des));
		engine_start(sim, event->second_index);
		break;
	case REPORT:
		reports_read(sim, config);
		des_schedule(
		    &sim->des, REPORT_MS, (des_event_t){.kind = REPORT});
		if (sim->fault == FAULT_DEAD_PLACE &&
		    sim->des.now_ms >= FAULT_MS) {
			for (int e = 0; e < ENGINES; e += PLACES)
				sim->engines[e].dead = true;
		}
		break;
	}
}

static double
imbalance(const sim_t *sim)
{
	double most = 0;
	double sum = 0;

	for (int e = 0; e < ENGINES; e++) {
		sum += sim->engines[e].busy_ms;
		if (sim->engines[e].busy_ms > most)
			most = sim->engines[e].busy_ms;
	}
	return most / (sum / ENGINES);
}

typedef struct result {
	samples_t p50, p99, p999, imbalance, hits, failed;
} result_t;

static void
run_one(const balance_policy_t *policy, fault_t fault, double load,
    uint64_t seed, result_t *result)
{
	static sim_t sim;
	config_t *config = config_make();
	double rate = load * ENGINES * SLOTS / (SERVICE_MS + PREFILL_MS / 2);
	des_event_t event;

	memset(&sim, 0, sizeof(sim));
	sim.policy = policy;
	sim.fault = fault;
	des_init(&sim.des);
	bench_rng_init(&sim.rng, seed);
	samples_init(&sim.first);
	fleets_init(&sim, config);
	for (int s = 0; s < SESSIONS; s++)
		sim.hints[s] = HANDLE_NONE;
	des_schedule(&sim.des, 0, (des_event_t){.kind = ARRIVE});
	des_schedule(&sim.des, 0, (des_event_t){.kind = REPORT});
	while (des_next(&sim.des, &event) && event.at_ms < RUN_MS)
		event_take(&sim, config, &event, rate);
	samples_add(&result->p50, samples_quantile(&sim.first, 0.5));
	samples_add(&result->p99, samples_quantile(&sim.first, 0.99));
	samples_add(&result->p999, samples_quantile(&sim.first, 0.999));
	samples_add(&result->imbalance, imbalance(&sim));
	samples_add(
	    &result->hits, 100.0 * (double)sim.hits / (double)sim.starts);
	samples_add(
	    &result->failed, 100.0 * (double)sim.gave_up / sim.request_count);
	for (int d = 0; d < DAEMONS; d++)
		endpoint_table_finish(&sim.fleets[d]);
	samples_finish(&sim.first);
	bench_rng_finish(&sim.rng);
	des_finish(&sim.des);
	config_release(config);
}

static void
row_print(const char *name, const balance_policy_t *policy, fault_t fault,
    double load)
{
	result_t result = {0};

	for (uint64_t seed = 1; seed <= EXPERIMENT_SEEDS; seed++)
		run_one(policy, fault, load, seed, &result);
	printf("| %s | %s", name, policy->name);
	samples_print(&result.p50, "%.0f");
	samples_print(&result.p99, "%.0f");
	samples_print(&result.p999, "%.0f");
	samples_print(&result.imbalance, "%.2f");
	samples_print(&result.hits, "%.0f");
	samples_print(&result.failed, "%.1f");
	printf(" |\n");
	samples_finish(&result.p50);
	samples_finish(&result.p99);
	samples_finish(&result.p999);
	samples_finish(&result.imbalance);
	samples_finish(&result.hits);
	samples_finish(&result.failed);
}

void
experiment_balance(void)
{
	static const balance_policy_t *const policies[] = {&balance_random,
	    &balance_round_robin, &balance_least_reported,
	    &balance_two_choices};

	printf("| case | policy | first token p50 ms | p99 | p999 | busiest "
	       "over mean | cache hits %% | given up %% |\n"
	       "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
	for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
		for (size_t p = 0; p < sizeof(policies) / sizeof(*policies);
		     p++)
			row_print(cases[c].name, policies[p], cases[c].fault,
			    cases[c].load);
	}
}
