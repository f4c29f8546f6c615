#include "placing.h"

#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "moortack/relay/choose.h"
#include "moortack/relay/prefill_queue.h"
#include "moortack/relay/prefix_index.h"

/* Sizes of two of the users' sheets: long prompts share 13,000 tokens of one of
 * the subjects. */
#define DAEMONS_MAX 96
#define ENDPOINTS_MAX 144
#define PLACES 3
/* What a load is told for. */
#define ENDPOINTS_UNIT 12
/* As many as the product asks about. */
#define OWNERS_QUERIED_MAX 3
#define LONG_SHARE 0.6
#define LONG_SHARED 13000
#define LONG_OWN 3700
#define LONG_OBJECTIVE_MS 4000
#define SHORT_SHARED 350
#define SHORT_OWN 1100
#define SHORT_OBJECTIVE_MS 2000
/* Milliseconds that a token takes: the smallest model, and the largest, which
 * 46 of 100 answers are asked of as well. */
#define SLOPE_SMALL 0.008
#define SLOPE_LARGE 0.08
#define LARGE_SHARE 0.46
#define FAR_MS_PER_TOKEN 0.008
#define RUN_MS 60000.0
#define REPORT_MS 200.0
#define MS_PER_SEC 1000.0
/* Under way at the same time; beyond it the run has failed. */
#define ATTEMPTS_MAX 32768

const placing_fleet_t placing_small_fleet = {6, 12, 50};
const placing_fleet_t placing_large_fleet = {90, 141, 600};

typedef struct request {
	placing_prompt_kind_t kind;
	uint64_t subject;
	uint64_t own;
	int daemon;
	bool wants_large;
	double taken_ms;
} request_t;

typedef struct attempt {
	bool used;
	request_t request;
	int model;
	int endpoint;
	prefill_entry_t ticket;
} attempt_t;

/** An endpoint as it is. */
typedef struct reader {
	prefix_index_t kept;
	prefill_queue_t told; /**< what its owner was told that it reads */
	double free_ms;
	int waiting;
	int reported; /**< waiting, as of the last report */
} reader_t;

/** What a daemon knows. */
typedef struct daemon {
	prefix_index_t kept;
	prefill_queue_t queues[ENDPOINTS_MAX];
} daemon_t;

typedef struct sim {
	const placing_fleet_t *fleet;
	placing_policy_t policy;
	des_t des;
	bench_rng_t rng;
	reader_t readers[ENDPOINTS_MAX];
	daemon_t daemons[DAEMONS_MAX];
	placing_result_t *out;
	uint64_t requests;
	attempt_t attempts[ATTEMPTS_MAX];
} sim_t;

enum { EVENT_ARRIVAL, EVENT_BEGUN, EVENT_REPORT };

static uint64_t
endpoint_hash(int endpoint)
{
	return 1000003ULL * ((uint64_t)endpoint + 17);
}

static arrival_t
arrival_of(const request_t *request)
{
	bool is_long = request->kind == PLACING_LONG_PROMPT;
	arrival_t arrival = {.parts_len = 2};

	arrival.parts[0] = (prompt_part_t){
	    request->subject, is_long ? LONG_SHARED : SHORT_SHARED};
	arrival.parts[1] =
	    (prompt_part_t){request->own, is_long ? LONG_OWN : SHORT_OWN};
	arrival.tokens_in = arrival.parts[0].tokens + arrival.parts[1].tokens;
	return arrival;
}

static double
slope_of(int model)
{
	return model == 0 ? SLOPE_SMALL : SLOPE_LARGE;
}

/** What is known of one endpoint and a prompt. */
typedef struct knowledge {
	double wait_ms;
	uint32_t kept; /**< tokens of the prompt */
} knowledge_t;

static endpoint_candidate_t
candidate_of(const attempt_t *attempt, const prefix_list_t *prefixes,
    int endpoint, const knowledge_t *known)
{
	double slope = slope_of(attempt->model);
	uint32_t shared = prefixes->tokens[0];
	uint32_t shared_unread =
	    shared > known->kept ? shared - known->kept : 0;
	uint32_t unread = prefixes->tokens[1] - known->kept;
	bool same = endpoint % PLACES == attempt->request.daemon % PLACES;

	return (endpoint_candidate_t){.hash = endpoint_hash(endpoint),
	    .slots = 64,
	    .same_zone = same,
	    .uncached_tokens = unread,
	    .queue_wait_ms = known->wait_ms,
	    .own_prefill_ms = slope * (unread - shared_unread),
	    .shared_prefill_ms = (slope + SLOPE_LARGE) * shared_unread,
	    .cross_zone_ms = same ? 0 : FAR_MS_PER_TOKEN * prefixes->tokens[1]};
}

static void
candidates_see(const sim_t *sim, const attempt_t *attempt,
    const prefix_list_t *prefixes, endpoint_candidate_t out[ENDPOINTS_MAX])
{
	const daemon_t *daemon = &sim->daemons[attempt->request.daemon];
	int64_t now_ms = (int64_t)sim->des.now_ms;

	for (int i = 0; i < sim->fleet->endpoints; i++) {
		knowledge_t known = {
		    prefill_queue_wait_ms(&daemon->queues[i], sim->des.now_ms),
		    prefix_index_cached_tokens(
			&daemon->kept, prefixes, endpoint_hash(i), now_ms)};

		out[i] = candidate_of(attempt, prefixes, i, &known);
	}
}

/* Of those that stand first, by what their owners know. */
static int
endpoint_asked(const sim_t *sim, const attempt_t *attempt,
    const prefix_list_t *prefixes, const endpoint_candidate_t *seen,
    const choice_criteria_t *wish)
{
	endpoint_candidate_t asked[OWNERS_QUERIED_MAX];
	size_t first[OWNERS_QUERIED_MAX];
	size_t len = endpoint_rank_by_affinity(seen,
	    (size_t)sim->fleet->endpoints, wish, first, OWNERS_QUERIED_MAX);

	for (size_t i = 0; i < len; i++) {
		const reader_t *reader = &sim->readers[first[i]];
		knowledge_t known = {
		    prefill_queue_wait_ms(&reader->told, sim->des.now_ms),
		    prefix_index_cached_tokens(
			&reader->kept, prefixes, 1, (int64_t)sim->des.now_ms)};

		asked[i] =
		    candidate_of(attempt, prefixes, (int)first[i], &known);
	}
	return (int)first[endpoint_choose(asked, len, wish)];
}

static int
endpoint_least(sim_t *sim)
{
	int best =
	    (int)rng_below(&sim->rng.rng, (uint32_t)sim->fleet->endpoints);

	for (int i = 0; i < sim->fleet->endpoints; i++) {
		if (sim->readers[i].reported < sim->readers[best].reported)
			best = i;
	}
	return best;
}

static int
endpoint_chosen(
    sim_t *sim, const attempt_t *attempt, const prefix_list_t *prefixes)
{
	const placing_fleet_t *fleet = sim->fleet;
	size_t len = (size_t)fleet->endpoints;
	endpoint_candidate_t seen[ENDPOINTS_MAX];
	bool alone = sim->policy != PLACING_BROADCAST &&
	    sim->policy != PLACING_OWNERS_QUERIED;
	choice_criteria_t wish = {.has_prompt = true,
	    .affinity = prefixes->hashes[0],
	    .first_cached = alone ? 1 - 1.0 / fleet->daemons : 0,
	    .tie_breaker = sim->rng.rng.next(&sim->rng.rng)};

	if (sim->policy == PLACING_RANDOM)
		return (int)rng_below(&sim->rng.rng, (uint32_t)len);
	if (sim->policy == PLACING_LEAST_REPORTED)
		return endpoint_least(sim);
	candidates_see(sim, attempt, prefixes, seen);
	if (sim->policy == PLACING_OWNERS_QUERIED)
		return endpoint_asked(sim, attempt, prefixes, seen, &wish);
	for (size_t i = 0; i < len && sim->policy == PLACING_AFFINITY_HASH;
	     i++) {
		seen[i].queue_wait_ms = 0;
		seen[i].cross_zone_ms = 0;
		seen[i].shared_prefill_ms = 1e6;
		wish.first_cached = 1;
	}
	return (int)endpoint_choose(seen, len, &wish);
}

/* What the daemons know of a prompt that was sent. */
static void
sent_note(sim_t *sim, attempt_t *attempt, const prefix_list_t *prefixes,
    double read_ms)
{
	int64_t now_ms = (int64_t)sim->des.now_ms;

	prefill_queue_add_remote(
	    &sim->readers[attempt->endpoint].told, read_ms, sim->des.now_ms);
	for (int i = 0; i < sim->fleet->daemons; i++) {
		daemon_t *daemon = &sim->daemons[i];
		prefill_queue_t *queue = &daemon->queues[attempt->endpoint];

		if (i == attempt->request.daemon)
			prefill_queue_add(
			    queue, &attempt->ticket, read_ms, sim->des.now_ms);
		else if (sim->policy == PLACING_BROADCAST)
			prefill_queue_add_remote(
			    queue, read_ms, sim->des.now_ms);
		else
			continue;
		prefix_index_add(&daemon->kept, prefixes,
		    endpoint_hash(attempt->endpoint), now_ms);
	}
}

static int
attempt_new(sim_t *sim, const request_t *request, int model)
{
	int at = 0;

	while (at < ATTEMPTS_MAX && sim->attempts[at].used)
		at++;
	if (at == ATTEMPTS_MAX)
		abort();
	sim->attempts[at] =
	    (attempt_t){.used = true, .request = *request, .model = model};
	return at;
}

static void
attempt_start(sim_t *sim, const request_t *request, int model)
{
	int at = attempt_new(sim, request, model);
	attempt_t *attempt = &sim->attempts[at];
	arrival_t arrival = arrival_of(request);
	int64_t now_ms = (int64_t)sim->des.now_ms;
	prefix_list_t prefixes;
	reader_t *reader;
	double read_ms;
	uint32_t unread;

	prefix_list_fill(&prefixes, &arrival, (uint64_t)model);
	attempt->endpoint = endpoint_chosen(sim, attempt, &prefixes);
	reader = &sim->readers[attempt->endpoint];
	unread = arrival.tokens_in -
	    prefix_index_cached_tokens(&reader->kept, &prefixes, 1, now_ms);
	prefix_index_add(&reader->kept, &prefixes, 1, now_ms);
	read_ms = slope_of(model) * unread;
	sim->out->tokens_prefilled += unread;
	if (reader->free_ms < sim->des.now_ms)
		reader->free_ms = sim->des.now_ms;
	reader->free_ms += read_ms;
	reader->waiting++;
	sent_note(sim, attempt, &prefixes, read_ms);
	des_schedule(&sim->des, reader->free_ms - sim->des.now_ms,
	    (des_event_t){.kind = EVENT_BEGUN, .index = at});
}

static void
first_event(sim_t *sim, const request_t *request)
{
	double first_ms = sim->des.now_ms - request->taken_ms;
	double objective = request->kind == PLACING_LONG_PROMPT
	    ? LONG_OBJECTIVE_MS
	    : SHORT_OBJECTIVE_MS;

	samples_add(&sim->out->first_event_ms[request->kind], first_ms);
	sim->out->in_time[request->kind] += first_ms <= objective;
}

static void
on_begun(sim_t *sim, attempt_t *attempt)
{
	request_t request = attempt->request;
	daemon_t *daemon = &sim->daemons[request.daemon];

	prefill_queue_complete(&daemon->queues[attempt->endpoint],
	    &attempt->ticket, sim->des.now_ms);
	sim->readers[attempt->endpoint].waiting--;
	attempt->used = false;
	if (request.wants_large && attempt->model == 0)
		attempt_start(sim, &request, 1);
	else
		first_event(sim, &request);
}

static void
on_arrival(sim_t *sim, double per_s)
{
	gsl_rng *gsl = sim->rng.gsl;
	request_t request = {.kind = gsl_rng_uniform(gsl) < LONG_SHARE
		? PLACING_LONG_PROMPT
		: PLACING_SHORT_PROMPT,
	    .own = 1000 + ++sim->requests,
	    .daemon =
		(int)rng_below(&sim->rng.rng, (uint32_t)sim->fleet->daemons),
	    .wants_large = gsl_rng_uniform(gsl) < LARGE_SHARE,
	    .taken_ms = sim->des.now_ms};

	request.subject = 1 +
	    rng_below(&sim->rng.rng, (uint32_t)sim->fleet->shared_prefixes) +
	    (uint64_t)sim->fleet->shared_prefixes * request.kind;
	sim->out->requests[request.kind]++;
	attempt_start(sim, &request, 0);
	des_schedule(&sim->des, gsl_ran_exponential(gsl, MS_PER_SEC / per_s),
	    (des_event_t){.kind = EVENT_ARRIVAL});
}

static void
on_report(sim_t *sim)
{
	for (int i = 0; i < sim->fleet->endpoints; i++)
		sim->readers[i].reported = sim->readers[i].waiting;
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
		if (!prefix_index_init(&sim->readers[i].kept))
			abort();
		prefill_queue_init(&sim->readers[i].told);
	}
	for (int i = 0; i < fleet->daemons; i++) {
		if (!prefix_index_init(&sim->daemons[i].kept))
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
		prefix_index_finish(&sim->readers[i].kept);
	for (int i = 0; i < sim->fleet->daemons; i++)
		prefix_index_finish(&sim->daemons[i].kept);
	bench_rng_finish(&sim->rng);
	des_finish(&sim->des);
}

void
placing_run(const placing_fleet_t *fleet, placing_policy_t policy, double per_s,
    uint64_t seed, placing_result_t *out)
{
	static sim_t sim;
	des_event_t event;
	bool more = true;

	per_s *= (double)fleet->endpoints / ENDPOINTS_UNIT;
	sim_init(&sim, fleet, policy, seed, out);
	des_schedule(&sim.des, 0, (des_event_t){.kind = EVENT_ARRIVAL});
	des_schedule(&sim.des, 0, (des_event_t){.kind = EVENT_REPORT});
	while (more && des_next(&sim.des, &event)) {
		bool over = sim.des.now_ms > RUN_MS;

		if (event.kind == EVENT_BEGUN)
			on_begun(&sim, &sim.attempts[event.index]);
		else if (!over && event.kind == EVENT_ARRIVAL)
			on_arrival(&sim, per_s);
		else if (!over)
			on_report(&sim);
	}
	sim_finish(&sim);
}

static void
row_print(const placing_fleet_t *fleet, placing_policy_t policy, double per_s)
{
	static const char *const names[PLACING_POLICIES] = {
	    "expected time, sends told", "expected time, owners asked",
	    "expected time, own sends only", "hashing only", "least reported",
	    "random"};
	samples_t longs, shorts, p95, tokens;

	samples_init(&longs);
	samples_init(&shorts);
	samples_init(&p95);
	samples_init(&tokens);
	for (uint64_t seed = 1; seed <= EXPERIMENT_SEEDS; seed++) {
		placing_result_t one;

		placing_run(fleet, policy, per_s, seed, &one);
		samples_add(&longs,
		    100 * one.in_time[PLACING_LONG_PROMPT] /
			one.requests[PLACING_LONG_PROMPT]);
		samples_add(&shorts,
		    100 * one.in_time[PLACING_SHORT_PROMPT] /
			one.requests[PLACING_SHORT_PROMPT]);
		samples_add(&p95,
		    samples_quantile(
			&one.first_event_ms[PLACING_LONG_PROMPT], 0.95));
		samples_add(&tokens, one.tokens_prefilled / 1e6);
		for (int i = 0; i < PLACING_PROMPT_KINDS; i++)
			samples_finish(&one.first_event_ms[i]);
	}
	printf("| %.0f | %s", per_s, names[policy]);
	samples_print(&longs, "%.1f");
	samples_print(&shorts, "%.1f");
	samples_print(&p95, "%.0f");
	samples_print(&tokens, "%.2f");
	printf(" |\n");
	samples_finish(&longs);
	samples_finish(&shorts);
	samples_finish(&p95);
	samples_finish(&tokens);
}

static void
table_print(const placing_fleet_t *fleet, int policies)
{
	static const double loads[] = {16, 28, 40};

	printf(
	    "%d daemons before %d endpoints, 60 s; 46 of 100 prompts are read "
	    "by the largest model too. Loads are for each twelve endpoints."
	    "\n\n"
	    "| requests/s | policy | long in time %% | short in time %% | "
	    "long first event p95 ms | tokens read, millions |\n"
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
	/* The last two let more prompts wait than the run holds. */
	table_print(&placing_large_fleet, PLACING_LEAST_REPORTED);
}
