#include "placing.h"

#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "moortack/relay/choose.h"
#include "moortack/relay/prefill_queue.h"
#include "moortack/relay/prefix_index.h"

/* Sizes of two of the users' deployments. Long prompts start with one of a set
 * of shared prefixes of 13,000 tokens. */
#define DAEMONS_MAX 96
#define ENDPOINTS_MAX 144
#define PLACES 3
/* The request rate of a run is given for this many endpoints. */
#define LOAD_UNIT_ENDPOINTS 12
/* The same number as the product queries. */
#define OWNERS_QUERIED_MAX 3
#define LONG_PROMPT_SHARE 0.6
#define LONG_SHARED_TOKENS 13000
#define LONG_OWN_TOKENS 3700
#define LONG_OBJECTIVE_MS 4000
#define SHORT_SHARED_TOKENS 350
#define SHORT_OWN_TOKENS 1100
#define SHORT_OBJECTIVE_MS 2000
/* Prefill time of a token, in milliseconds, on the smallest and on the largest
 * model. 46 of 100 requests go to the largest model as well. */
#define SMALL_MODEL_MS_PER_TOKEN 0.008
#define LARGE_MODEL_MS_PER_TOKEN 0.08
#define LARGE_MODEL_SHARE 0.46
#define CROSS_ZONE_MS_PER_TOKEN 0.008
#define RUN_MS 60000.0
#define REPORT_MS 200.0
#define MS_PER_SEC 1000.0
/* Attempts whose response has not started; a run that exceeds it aborts. */
#define ATTEMPTS_MAX 32768

const placing_fleet_t placing_small_fleet = {6, 12, 50};
const placing_fleet_t placing_large_fleet = {90, 141, 600};

typedef struct request {
	placing_prompt_kind_t kind;
	uint64_t shared_hash;
	uint64_t own_hash;
	int daemon;
	bool needs_large_model;
	double received_ms;
} request_t;

typedef struct attempt {
	bool used;
	request_t request;
	int model;
	int endpoint;
	prefill_entry_t prefill;
} attempt_t;

/** The actual state of an endpoint. */
typedef struct sim_endpoint {
	prefix_index_t cached_prefixes;
	prefill_queue_t owner_queue; /**< as its owner estimates it from the
					sends reported to it */
	double idle_at_ms;
	int waiting;
	int reported_waiting; /**< number waiting, as of the last report */
} sim_endpoint_t;

/** What a daemon has recorded of the endpoints. */
typedef struct daemon {
	prefix_index_t cached_prefixes;
	prefill_queue_t queues[ENDPOINTS_MAX];
} daemon_t;

typedef struct sim {
	const placing_fleet_t *fleet;
	placing_policy_t policy;
	des_t des;
	bench_rng_t rng;
	sim_endpoint_t endpoints[ENDPOINTS_MAX];
	daemon_t daemons[DAEMONS_MAX];
	placing_result_t *out;
	uint64_t requests;
	attempt_t attempts[ATTEMPTS_MAX];
} sim_t;

enum { EVENT_ARRIVAL, EVENT_RESPONSE_STARTED, EVENT_REPORT };

static uint64_t
endpoint_hash(int endpoint)
{
	return 1000003ULL * ((uint64_t)endpoint + 17);
}

static arrival_t
arrival_build(const request_t *request)
{
	bool is_long = request->kind == PLACING_LONG_PROMPT;
	arrival_t arrival = {.parts_len = 2};

	arrival.parts[0] = (prompt_part_t){request->shared_hash,
	    is_long ? LONG_SHARED_TOKENS : SHORT_SHARED_TOKENS};
	arrival.parts[1] = (prompt_part_t){
	    request->own_hash, is_long ? LONG_OWN_TOKENS : SHORT_OWN_TOKENS};
	arrival.tokens_in = arrival.parts[0].tokens + arrival.parts[1].tokens;
	return arrival;
}

static double
model_ms_per_token(int model)
{
	return model == 0 ? SMALL_MODEL_MS_PER_TOKEN : LARGE_MODEL_MS_PER_TOKEN;
}

/** An estimate for one endpoint and one prompt. */
typedef struct endpoint_estimate {
	double wait_ms;
	uint32_t cached_tokens; /**< of the prompt */
} endpoint_estimate_t;

static endpoint_candidate_t
candidate_build(const attempt_t *attempt, const prefix_list_t *prefixes,
    int endpoint, const endpoint_estimate_t *estimate)
{
	double ms_per_token = model_ms_per_token(attempt->model);
	uint32_t shared_tokens = prefixes->tokens[0];
	uint32_t shared_uncached = shared_tokens > estimate->cached_tokens
	    ? shared_tokens - estimate->cached_tokens
	    : 0;
	uint32_t uncached = prefixes->tokens[1] - estimate->cached_tokens;
	bool same = endpoint % PLACES == attempt->request.daemon % PLACES;

	return (endpoint_candidate_t){.hash = endpoint_hash(endpoint),
	    .slots = 64,
	    .same_zone = same,
	    .uncached_tokens = uncached,
	    .queue_wait_ms = estimate->wait_ms,
	    .own_prefill_ms = ms_per_token * (uncached - shared_uncached),
	    .shared_prefill_ms =
		(ms_per_token + LARGE_MODEL_MS_PER_TOKEN) * shared_uncached,
	    .cross_zone_ms =
		same ? 0 : CROSS_ZONE_MS_PER_TOKEN * prefixes->tokens[1]};
}

static void
candidates_build(const sim_t *sim, const attempt_t *attempt,
    const prefix_list_t *prefixes, endpoint_candidate_t out[ENDPOINTS_MAX])
{
	const daemon_t *daemon = &sim->daemons[attempt->request.daemon];
	int64_t now_ms = (int64_t)sim->des.now_ms;

	for (int i = 0; i < sim->fleet->endpoints; i++) {
		endpoint_estimate_t estimate = {
		    prefill_queue_wait_ms(&daemon->queues[i], sim->des.now_ms),
		    prefix_index_cached_tokens(&daemon->cached_prefixes,
			prefixes, endpoint_hash(i), now_ms)};

		out[i] = candidate_build(attempt, prefixes, i, &estimate);
	}
}

/* Chooses among the endpoints that rank first by affinity, with the estimates
 * of the daemons that own them. */
static int
endpoint_choose_by_query(const sim_t *sim, const attempt_t *attempt,
    const prefix_list_t *prefixes, const endpoint_candidate_t *candidates,
    const choice_criteria_t *criteria)
{
	endpoint_candidate_t queried[OWNERS_QUERIED_MAX];
	size_t ranked[OWNERS_QUERIED_MAX];
	size_t len =
	    endpoint_rank_by_affinity(candidates, (size_t)sim->fleet->endpoints,
		criteria, ranked, OWNERS_QUERIED_MAX);

	for (size_t i = 0; i < len; i++) {
		const sim_endpoint_t *endpoint = &sim->endpoints[ranked[i]];
		endpoint_estimate_t estimate = {
		    prefill_queue_wait_ms(
			&endpoint->owner_queue, sim->des.now_ms),
		    prefix_index_cached_tokens(&endpoint->cached_prefixes,
			prefixes, 1, (int64_t)sim->des.now_ms)};

		queried[i] = candidate_build(
		    attempt, prefixes, (int)ranked[i], &estimate);
	}
	return (int)ranked[endpoint_choose(queried, len, criteria)];
}

static int
endpoint_least_reported(sim_t *sim)
{
	int best =
	    (int)rng_below(&sim->rng.rng, (uint32_t)sim->fleet->endpoints);

	for (int i = 0; i < sim->fleet->endpoints; i++) {
		if (sim->endpoints[i].reported_waiting <
		    sim->endpoints[best].reported_waiting)
			best = i;
	}
	return best;
}

static int
endpoint_for_attempt(
    sim_t *sim, const attempt_t *attempt, const prefix_list_t *prefixes)
{
	const placing_fleet_t *fleet = sim->fleet;
	size_t len = (size_t)fleet->endpoints;
	endpoint_candidate_t candidates[ENDPOINTS_MAX];
	bool own_sends_only = sim->policy != PLACING_BROADCAST &&
	    sim->policy != PLACING_OWNERS_QUERIED;
	choice_criteria_t criteria = {.has_prompt = true,
	    .affinity = prefixes->hashes[0],
	    .first_cached = own_sends_only ? 1 - 1.0 / fleet->daemons : 0,
	    .tie_breaker = sim->rng.rng.next(&sim->rng.rng)};

	if (sim->policy == PLACING_RANDOM)
		return (int)rng_below(&sim->rng.rng, (uint32_t)len);
	if (sim->policy == PLACING_LEAST_REPORTED)
		return endpoint_least_reported(sim);
	candidates_build(sim, attempt, prefixes, candidates);
	if (sim->policy == PLACING_OWNERS_QUERIED)
		return endpoint_choose_by_query(
		    sim, attempt, prefixes, candidates, &criteria);
	for (size_t i = 0; i < len && sim->policy == PLACING_AFFINITY_HASH;
	     i++) {
		candidates[i].queue_wait_ms = 0;
		candidates[i].cross_zone_ms = 0;
		candidates[i].shared_prefill_ms = 1e6;
		criteria.first_cached = 1;
	}
	return (int)endpoint_choose(candidates, len, &criteria);
}

/* Records a sent prompt at the endpoint's owner and at the sending daemon; with
 * PLACING_BROADCAST at all daemons. */
static void
attempt_record_send(sim_t *sim, attempt_t *attempt,
    const prefix_list_t *prefixes, double prefill_ms)
{
	int64_t now_ms = (int64_t)sim->des.now_ms;

	prefill_queue_add_remote(&sim->endpoints[attempt->endpoint].owner_queue,
	    prefill_ms, sim->des.now_ms);
	for (int i = 0; i < sim->fleet->daemons; i++) {
		daemon_t *daemon = &sim->daemons[i];
		prefill_queue_t *queue = &daemon->queues[attempt->endpoint];

		if (i == attempt->request.daemon)
			prefill_queue_add(queue, &attempt->prefill, prefill_ms,
			    sim->des.now_ms);
		else if (sim->policy == PLACING_BROADCAST)
			prefill_queue_add_remote(
			    queue, prefill_ms, sim->des.now_ms);
		else
			continue;
		prefix_index_add(&daemon->cached_prefixes, prefixes,
		    endpoint_hash(attempt->endpoint), now_ms);
	}
}

static int
attempt_allocate(sim_t *sim, const request_t *request, int model)
{
	int index = 0;

	while (index < ATTEMPTS_MAX && sim->attempts[index].used)
		index++;
	if (index == ATTEMPTS_MAX)
		abort();
	sim->attempts[index] =
	    (attempt_t){.used = true, .request = *request, .model = model};
	return index;
}

static void
attempt_start(sim_t *sim, const request_t *request, int model)
{
	int index = attempt_allocate(sim, request, model);
	attempt_t *attempt = &sim->attempts[index];
	arrival_t arrival = arrival_build(request);
	int64_t now_ms = (int64_t)sim->des.now_ms;
	prefix_list_t prefixes;
	sim_endpoint_t *endpoint;
	double prefill_ms;
	uint32_t uncached;

	prefix_list_fill(&prefixes, &arrival, (uint64_t)model);
	attempt->endpoint = endpoint_for_attempt(sim, attempt, &prefixes);
	endpoint = &sim->endpoints[attempt->endpoint];
	uncached = arrival.tokens_in -
	    prefix_index_cached_tokens(
		&endpoint->cached_prefixes, &prefixes, 1, now_ms);
	prefix_index_add(&endpoint->cached_prefixes, &prefixes, 1, now_ms);
	prefill_ms = model_ms_per_token(model) * uncached;
	sim->out->tokens_prefilled += uncached;
	if (endpoint->idle_at_ms < sim->des.now_ms)
		endpoint->idle_at_ms = sim->des.now_ms;
	endpoint->idle_at_ms += prefill_ms;
	endpoint->waiting++;
	attempt_record_send(sim, attempt, &prefixes, prefill_ms);
	des_schedule(&sim->des, endpoint->idle_at_ms - sim->des.now_ms,
	    (des_event_t){.kind = EVENT_RESPONSE_STARTED, .index = index});
}

static void
first_event_record(sim_t *sim, const request_t *request)
{
	double elapsed_ms = sim->des.now_ms - request->received_ms;
	double objective = request->kind == PLACING_LONG_PROMPT
	    ? LONG_OBJECTIVE_MS
	    : SHORT_OBJECTIVE_MS;

	samples_add(&sim->out->first_event_ms[request->kind], elapsed_ms);
	sim->out->in_time[request->kind] += elapsed_ms <= objective;
}

static void
on_response_started(sim_t *sim, attempt_t *attempt)
{
	request_t request = attempt->request;
	daemon_t *daemon = &sim->daemons[request.daemon];

	prefill_queue_complete(&daemon->queues[attempt->endpoint],
	    &attempt->prefill, sim->des.now_ms);
	sim->endpoints[attempt->endpoint].waiting--;
	attempt->used = false;
	if (request.needs_large_model && attempt->model == 0)
		attempt_start(sim, &request, 1);
	else
		first_event_record(sim, &request);
}

static void
on_arrival(sim_t *sim, double requests_per_s)
{
	gsl_rng *gsl = sim->rng.gsl;
	request_t request = {.kind = gsl_rng_uniform(gsl) < LONG_PROMPT_SHARE
		? PLACING_LONG_PROMPT
		: PLACING_SHORT_PROMPT,
	    .own_hash = 1000 + ++sim->requests,
	    .daemon =
		(int)rng_below(&sim->rng.rng, (uint32_t)sim->fleet->daemons),
	    .needs_large_model = gsl_rng_uniform(gsl) < LARGE_MODEL_SHARE,
	    .received_ms = sim->des.now_ms};

	request.shared_hash = 1 +
	    rng_below(&sim->rng.rng, (uint32_t)sim->fleet->shared_prefixes) +
	    (uint64_t)sim->fleet->shared_prefixes * request.kind;
	sim->out->requests[request.kind]++;
	attempt_start(sim, &request, 0);
	des_schedule(&sim->des,
	    gsl_ran_exponential(gsl, MS_PER_SEC / requests_per_s),
	    (des_event_t){.kind = EVENT_ARRIVAL});
}

static void
on_report(sim_t *sim)
{
	for (int i = 0; i < sim->fleet->endpoints; i++)
		sim->endpoints[i].reported_waiting = sim->endpoints[i].waiting;
	des_schedule(&sim->des, REPORT_MS, (des_event_t){.kind = EVENT_REPORT});
}

static void
sim_init(sim_t *sim, const placing_fleet_t *fleet, placing_policy_t policy,
    uint64_t seed, placing_result_t *out)
{
	memset(sim, 0, sizeof(*sim));
	sim->fleet = fleet;
	sim->policy = policy;
	sim->out = out;
	des_init(&sim->des);
	bench_rng_init(&sim->rng, seed);
	for (int i = 0; i < fleet->endpoints; i++) {
		if (!prefix_index_init(&sim->endpoints[i].cached_prefixes))
			abort();
		prefill_queue_init(&sim->endpoints[i].owner_queue);
	}
	for (int i = 0; i < fleet->daemons; i++) {
		if (!prefix_index_init(&sim->daemons[i].cached_prefixes))
			abort();
		for (int j = 0; j < fleet->endpoints; j++)
			prefill_queue_init(&sim->daemons[i].queues[j]);
	}
	*out = (placing_result_t){0};
	for (int i = 0; i < PLACING_PROMPT_KINDS; i++)
		samples_init(&out->first_event_ms[i]);
}

static void
sim_finish(sim_t *sim)
{
	for (int i = 0; i < sim->fleet->endpoints; i++)
		prefix_index_finish(&sim->endpoints[i].cached_prefixes);
	for (int i = 0; i < sim->fleet->daemons; i++)
		prefix_index_finish(&sim->daemons[i].cached_prefixes);
	bench_rng_finish(&sim->rng);
	des_finish(&sim->des);
}

void
placing_run(const placing_fleet_t *fleet, placing_policy_t policy,
    double requests_per_s, uint64_t seed, placing_result_t *out)
{
	static sim_t sim;
	des_event_t event;
	bool more = true;

	requests_per_s *= (double)fleet->endpoints / LOAD_UNIT_ENDPOINTS;
	sim_init(&sim, fleet, policy, seed, out);
	des_schedule(&sim.des, 0, (des_event_t){.kind = EVENT_ARRIVAL});
	des_schedule(&sim.des, 0, (des_event_t){.kind = EVENT_REPORT});
	while (more && des_next(&sim.des, &event)) {
		bool over = sim.des.now_ms > RUN_MS;

		if (event.kind == EVENT_RESPONSE_STARTED)
			on_response_started(&sim, &sim.attempts[event.index]);
		else if (!over && event.kind == EVENT_ARRIVAL)
			on_arrival(&sim, requests_per_s);
		else if (!over)
			on_report(&sim);
	}
	sim_finish(&sim);
}

static void
row_print(const placing_fleet_t *fleet, placing_policy_t policy,
    double requests_per_s)
{
	static const char *const policy_names[PLACING_POLICIES] = {
	    "expected time, sends broadcast", "expected time, owners queried",
	    "expected time, own sends only", "hashing only", "least reported",
	    "random"};
	samples_t long_in_time, short_in_time, p95, tokens;

	samples_init(&long_in_time);
	samples_init(&short_in_time);
	samples_init(&p95);
	samples_init(&tokens);
	for (uint64_t seed = 1; seed <= EXPERIMENT_SEEDS; seed++) {
		placing_result_t result;

		placing_run(fleet, policy, requests_per_s, seed, &result);
		samples_add(&long_in_time,
		    100 * result.in_time[PLACING_LONG_PROMPT] /
			result.requests[PLACING_LONG_PROMPT]);
		samples_add(&short_in_time,
		    100 * result.in_time[PLACING_SHORT_PROMPT] /
			result.requests[PLACING_SHORT_PROMPT]);
		samples_add(&p95,
		    samples_quantile(
			&result.first_event_ms[PLACING_LONG_PROMPT], 0.95));
		samples_add(&tokens, result.tokens_prefilled / 1e6);
		for (int i = 0; i < PLACING_PROMPT_KINDS; i++)
			samples_finish(&result.first_event_ms[i]);
	}
	printf("| %.0f | %s", requests_per_s, policy_names[policy]);
	samples_print(&long_in_time, "%.1f");
	samples_print(&short_in_time, "%.1f");
	samples_print(&p95, "%.0f");
	samples_print(&tokens, "%.2f");
	printf(" |\n");
	samples_finish(&long_in_time);
	samples_finish(&short_in_time);
	samples_finish(&p95);
	samples_finish(&tokens);
}

static void
table_print(const placing_fleet_t *fleet, int policies)
{
	static const double loads[] = {16, 28, 40};

	printf("%d daemons before %d endpoints, 60 s; 46 of 100 prompts also "
	       "go to the largest model. Rates are for each twelve endpoints."
	       "\n\n"
	       "| requests/s | policy | long in time %% | short in time %% | "
	       "long first event p95 ms | prefilled tokens, millions |\n"
	       "| --- | --- | --- | --- | --- | --- |\n",
	    fleet->daemons, fleet->endpoints);
	for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		for (int policy = 0; policy < policies; policy++)
			row_print(fleet, (placing_policy_t)policy, loads[i]);
	}
}

void
experiment_placing(void)
{
	table_print(&placing_small_fleet, PLACING_POLICIES);
	printf("\n");
	/* With the last two policies more prompts wait than ATTEMPTS_MAX. */
	table_print(&placing_large_fleet, PLACING_LEAST_REPORTED);
}
