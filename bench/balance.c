/**
 * @file
 * Endpoint choice: eight daemons in front of twenty-four engines in four
 * places. The load reports arrive every half second and are half a second old.
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
#define WARMUP_MS 10000.0
#define FAULT_MS 20000.0
#define REPORT_MS 500.0
#define LOAD_HISTORY 4
#define SERVICE_MS 400.0 /* mean time that a request holds its slot */
#define PREFILL_MS 60.0
#define PREFILL_HIT_MS 8.0
#define NETWORK_MS 1.5
#define SESSIONS 600
#define CACHED_PREFIXES 24 /* per engine */
#define RETRY_MS 10.0
#define GIVE_UP_MS 5000.0

enum {
	EVENT_ARRIVAL,
	EVENT_DELIVERY,
	EVENT_COMPLETED,
	EVENT_REPORT,
	EVENT_ATTEMPT
};

typedef enum fault {
	FAULT_NONE,
	FAULT_SLOW,
	FAULT_HALF_FAILS,
	FAULT_PLACE_DOWN,
	FAULT_OVERLOAD
} fault_t;

static const struct {
	const char *name;
	fault_t fault;
	double load; /**< offered, relative to all slots */
} cases[] = {
    {"no fault, 70 % load", FAULT_NONE, 0.7},
    {"one engine four times as slow", FAULT_SLOW, 0.7},
    {"one engine fails half its requests", FAULT_HALF_FAILS, 0.7},
    {"a place goes down at 20 s", FAULT_PLACE_DOWN, 0.6},
    {"pool overloaded, 120 % load", FAULT_OVERLOAD, 1.2},
};

typedef struct request {
	int daemon;
	int session;
	double arrived_ms;
	handle_t tried[BALANCE_TRIED_MAX];
	uint32_t tried_count;
} request_t;

typedef struct engine {
	int running;
	int queue[8192]; /**< ring buffer of request indices */
	int head, tail;
	/** Ring buffer of session index + 1 whose prefix is cached; 0: none. */
	int cache[CACHED_PREFIXES];
	int cache_inserts;
	int load[LOAD_HISTORY]; /**< at the last reports, newest first */
	double busy_ms;
	bool down;
} engine_t;

typedef struct sim {
	des_t des;
	bench_rng_t rng;
	const balance_policy_t *policy;
	fault_t fault;
	endpoint_table_t tables[DAEMONS];
	rng_t round_robin_rngs[DAEMONS]; /**< counters of round robin */
	handle_t prefix_endpoints[SESSIONS];
	engine_t engines[ENGINES];
	request_t requests[65536];
	int request_count;
	int waiting[DAEMONS];
	samples_t first_token_ms;
	long cache_hits, prefills, failures, gave_up;
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
tables_init(sim_t *sim, const config_t *config)
{
	for (int d = 0; d < DAEMONS; d++) {
		endpoint_table_init(&sim->tables[d]);
		for (int e = 0; e < ENGINES; e++) {
			char address[32], place[8];
			handle_t handle;
			endpoint_t *endpoint;

			snprintf(address, sizeof(address), "10.0.0.%d:1", e);
			snprintf(place, sizeof(place), "p%d", e % PLACES);
			handle = endpoint_table_update_entry(&sim->tables[d],
			    address, place, false, timespec_from_ms(0));
			endpoint = endpoint_table_at(&sim->tables[d], handle);
			endpoint_add_version(endpoint, "m@1");
			endpoint->slots = SLOTS;
		}
		endpoint_table_resolve(&sim->tables[d], config);
	}
}

static double
slot_time_draw(sim_t *sim, int e)
{
	double mean = SERVICE_MS * (sim->fault == FAULT_SLOW && e == 0 ? 4 : 1);

	return gsl_ran_gamma(sim->rng.gsl, 2.0, mean / 2.0);
}

static bool
cache_hit(engine_t *engine, int session)
{
	for (int i = 0; i < CACHED_PREFIXES; i++) {
		if (engine->cache[i] == session + 1)
			return true;
	}
	engine->cache[engine->cache_inserts++ % CACHED_PREFIXES] = session + 1;
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
		double prefill_ms = (hit ? PREFILL_HIT_MS : PREFILL_MS) *
		    (sim->fault == FAULT_SLOW && e == 0 ? 4 : 1);
		double slot_ms = slot_time_draw(sim, e);

		engine->running++;
		engine->busy_ms += slot_ms;
		sim->prefills++;
		sim->cache_hits += hit;
		des_schedule(&sim->des, prefill_ms + slot_ms,
		    (des_event_t){.kind = EVENT_COMPLETED,
			.index = r,
			.second_index = e,
			.time_ms = prefill_ms});
		if (sim->des.now_ms > WARMUP_MS)
			samples_add(&sim->first_token_ms,
			    sim->des.now_ms + prefill_ms - request->arrived_ms);
	}
}

static void
request_fail(sim_t *sim, int r, int e)
{
	request_t *request = &sim->requests[r];

	sim->failures++;
	endpoint_attempt_failed(
	    &sim->tables[request->daemon], (handle_t)e, des_time(&sim->des));
	if (request->tried_count < BALANCE_TRIED_MAX) {
		request->tried[request->tried_count++] = (handle_t)e;
		des_schedule(&sim->des, NETWORK_MS,
		    (des_event_t){.kind = EVENT_ATTEMPT, .index = r});
	} else {
		sim->gave_up++;
	}
}

static void
request_deliver(sim_t *sim, int r, int e)
{
	engine_t *engine = &sim->engines[e];
	bool fails = engine->down ||
	    (sim->fault == FAULT_HALF_FAILS && e == 0 &&
		gsl_rng_uniform(sim->rng.gsl) < 0.5);

	if (fails) {
		request_fail(sim, r, e);
		return;
	}
	engine->queue[engine->tail++ % 8192] = r;
	engine_start(sim, e);
}

static void
request_route(sim_t *sim, const config_t *config, int r)
{
	request_t *request = &sim->requests[r];
	balance_query_t query = {.config = config,
	    .organisation = 0,
	    .version = 0,
	    .preferred_place = (handle_t)(request->daemon % PLACES),
	    .prefix_endpoint = sim->prefix_endpoints[request->session],
	    .tried_count = request->tried_count,
	    .now = des_time(&sim->des)};
	endpoint_table_t *table = &sim->tables[request->daemon];
	rng_t *rng = sim->policy == &balance_round_robin
	    ? &sim->round_robin_rngs[request->daemon]
	    : &sim->rng.rng;
	handle_t chosen;

	memcpy(query.tried_endpoints, request->tried,
	    sizeof(query.tried_endpoints));
	if (balance_pick(table, sim->policy, &query, rng, &chosen) !=
	    BALANCE_PICKED) {
		if (sim->des.now_ms - request->arrived_ms < GIVE_UP_MS)
			des_schedule(&sim->des, RETRY_MS,
			    (des_event_t){.kind = EVENT_ATTEMPT, .index = r});
		else
			sim->gave_up++;
		return;
	}
	endpoint_attempt_started(endpoint_table_at(table, chosen));
	sim->prefix_endpoints[request->session] = chosen;
	des_schedule(&sim->des, NETWORK_MS,
	    (des_event_t){.kind = EVENT_DELIVERY,
		.index = r,
		.second_index = (int)chosen});
}

static void
reports_apply(sim_t *sim, const config_t *config)
{
	for (int e = 0; e < ENGINES; e++) {
		engine_t *engine = &sim->engines[e];
		load_report_t report = {
		    .responded = !engine->down, .slots = SLOTS};

		snprintf(
		    report.address, sizeof(report.address), "10.0.0.%d:1", e);
		report.running = (uint32_t)engine->load[1];
		for (int i = LOAD_HISTORY - 1; i > 0; i--)
			engine->load[i] = engine->load[i - 1];
		engine->load[0] = engine->running + engine->tail - engine->head;
		for (int d = 0; d < DAEMONS; d++)
			endpoint_table_apply_report(
			    &sim->tables[d], &report, config);
	}
}

static void
on_arrival(sim_t *sim, const config_t *config, double rate)
{
	int r = sim->request_count;

	des_schedule(&sim->des, gsl_ran_exponential(sim->rng.gsl, 1.0 / rate),
	    (des_event_t){.kind = EVENT_ARRIVAL});
	if (r == 65536)
		return;
	sim->request_count++;
	sim->requests[r] = (request_t){
	    .daemon = (int)gsl_rng_uniform_int(sim->rng.gsl, DAEMONS),
	    .session = (int)gsl_rng_uniform_int(sim->rng.gsl, SESSIONS),
	    .arrived_ms = sim->des.now_ms};
	request_route(sim, config, r);
}

static void
event_handle(
    sim_t *sim, const config_t *config, const des_event_t *event, double rate)
{
	request_t *request = &sim->requests[event->index];

	switch (event->kind) {
	case EVENT_ARRIVAL:
		on_arrival(sim, config, rate);
		break;
	case EVENT_ATTEMPT:
		request_route(sim, config, event->index);
		break;
	case EVENT_DELIVERY:
		request_deliver(sim, event->index, event->second_index);
		break;
	case EVENT_COMPLETED:
		sim->engines[event->second_index].running--;
		endpoint_attempt_succeeded(
		    endpoint_table_at(&sim->tables[request->daemon],
			(handle_t)event->second_index),
		    event->time_ms, des_time(&sim->des));
		engine_start(sim, event->second_index);
		break;
	case EVENT_REPORT:
		reports_apply(sim, config);
		des_schedule(
		    &sim->des, REPORT_MS, (des_event_t){.kind = EVENT_REPORT});
		if (sim->fault == FAULT_PLACE_DOWN &&
		    sim->des.now_ms >= FAULT_MS) {
			for (int e = 0; e < ENGINES; e += PLACES)
				sim->engines[e].down = true;
		}
		break;
	}
}

static double
imbalance(const sim_t *sim)
{
	double busiest = 0;
	double sum = 0;

	for (int e = 0; e < ENGINES; e++) {
		sum += sim->engines[e].busy_ms;
		if (sim->engines[e].busy_ms > busiest)
			busiest = sim->engines[e].busy_ms;
	}
	return busiest / (sum / ENGINES);
}

typedef struct result {
	samples_t p50, p99, p999, imbalance, cache_hits, failed;
} result_t;

static void
simulation_run(const balance_policy_t *policy, fault_t fault, double load,
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
	samples_init(&sim.first_token_ms);
	tables_init(&sim, config);
	for (int s = 0; s < SESSIONS; s++)
		sim.prefix_endpoints[s] = HANDLE_NONE;
	des_schedule(&sim.des, 0, (des_event_t){.kind = EVENT_ARRIVAL});
	des_schedule(&sim.des, 0, (des_event_t){.kind = EVENT_REPORT});
	while (des_next(&sim.des, &event) && event.at_ms < RUN_MS)
		event_handle(&sim, config, &event, rate);
	samples_add(&result->p50, samples_quantile(&sim.first_token_ms, 0.5));
	samples_add(&result->p99, samples_quantile(&sim.first_token_ms, 0.99));
	samples_add(
	    &result->p999, samples_quantile(&sim.first_token_ms, 0.999));
	samples_add(&result->imbalance, imbalance(&sim));
	samples_add(&result->cache_hits,
	    100.0 * (double)sim.cache_hits / (double)sim.prefills);
	samples_add(
	    &result->failed, 100.0 * (double)sim.gave_up / sim.request_count);
	for (int d = 0; d < DAEMONS; d++)
		endpoint_table_finish(&sim.tables[d]);
	samples_finish(&sim.first_token_ms);
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
		simulation_run(policy, fault, load, seed, &result);
	printf("| %s | %s", name, policy->name);
	samples_print(&result.p50, "%.0f");
	samples_print(&result.p99, "%.0f");
	samples_print(&result.p999, "%.0f");
	samples_print(&result.imbalance, "%.2f");
	samples_print(&result.cache_hits, "%.0f");
	samples_print(&result.failed, "%.1f");
	printf(" |\n");
	samples_finish(&result.p50);
	samples_finish(&result.p99);
	samples_finish(&result.p999);
	samples_finish(&result.imbalance);
	samples_finish(&result.cache_hits);
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
