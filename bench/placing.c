#include "placing.h"

#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "moortack/relay/choose.h"
#include "moortack/relay/prefix_memory.h"
#include "moortack/relay/read_queue.h"

/* Sizes of one of the users' sheets: six daemons and twelve endpoints in three
 * places; long prompts share 13,000 tokens of one of 50 subjects. */
#define DAEMONS 6
#define ENDPOINTS 12
#define PLACES 3
#define SUBJECTS 50
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
#define ATTEMPTS_MAX 8192

typedef struct request {
	placing_kind_t kind;
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
	read_ticket_t ticket;
} attempt_t;

/** An endpoint as it is. */
typedef struct reader {
	prefix_memory_t kept;
	double free_ms;
	int waiting;
	int reported; /**< waiting, as of the last report */
} reader_t;

/** What a daemon knows. */
typedef struct daemon {
	prefix_memory_t kept;
	read_queue_t queues[ENDPOINTS];
} daemon_t;

typedef struct sim {
	placing_policy_t policy;
	des_t des;
	bench_rng_t rng;
	reader_t readers[ENDPOINTS];
	daemon_t daemons[DAEMONS];
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
	bool is_long = request->kind == PLACING_LONG;
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

static void
candidates_see(const sim_t *sim, const attempt_t *attempt,
    const prefix_list_t *prefixes, choose_candidate_t out[ENDPOINTS])
{
	const daemon_t *daemon = &sim->daemons[attempt->request.daemon];
	double slope = slope_of(attempt->model);
	int64_t now_ms = (int64_t)sim->des.now_ms;

	for (int i = 0; i < ENDPOINTS; i++) {
		uint32_t kept = prefix_memory_kept(
		    &daemon->kept, prefixes, endpoint_hash(i), now_ms);
		uint32_t shared = prefixes->tokens[0];
		uint32_t shared_unread = shared > kept ? shared - kept : 0;
		uint32_t unread = prefixes->tokens[1] - kept;
		bool same = i % PLACES == attempt->request.daemon % PLACES;

		out[i] = (choose_candidate_t){.hash = endpoint_hash(i),
		    .slots = 64,
		    .same_place = same,
		    .unread = unread,
		    .wait_ms =
			read_queue_wait_ms(&daemon->queues[i], sim->des.now_ms),
		    .own_ms = slope * (unread - shared_unread),
		    .shared_ms = (slope + SLOPE_LARGE) * shared_unread,
		    .far_ms =
			same ? 0 : FAR_MS_PER_TOKEN * prefixes->tokens[1]};
	}
}

static int
endpoint_least(sim_t *sim)
{
	int best = (int)rng_below(&sim->rng.rng, ENDPOINTS);

	for (int i = 0; i < ENDPOINTS; i++) {
		if (sim->readers[i].reported < sim->readers[best].reported)
			best = i;
	}
	return best;
}

static int
endpoint_chosen(
    sim_t *sim, const attempt_t *attempt, const prefix_list_t *prefixes)
{
	choose_candidate_t seen[ENDPOINTS];
	choose_wish_t wish = {.prompt = true,
	    .affinity = prefixes->hashes[0],
	    .first_keeps = sim->policy == PLACING_TOLD ? 0 : 1 - 1.0 / DAEMONS,
	    .dice = sim->rng.rng.next(&sim->rng.rng)};

	if (sim->policy == PLACING_RANDOM)
		return (int)rng_below(&sim->rng.rng, ENDPOINTS);
	if (sim->policy == PLACING_LEAST)
		return endpoint_least(sim);
	candidates_see(sim, attempt, prefixes, seen);
	for (int i = 0; i < ENDPOINTS && sim->policy == PLACING_HASH; i++) {
		seen[i].wait_ms = 0;
		seen[i].far_ms = 0;
		seen[i].shared_ms = 1e6;
		wish.first_keeps = 1;
	}
	return (int)choose_endpoint(seen, ENDPOINTS, &wish);
}

/* What the daemons know of a prompt that was sent. */
static void
sent_note(sim_t *sim, attempt_t *attempt, const prefix_list_t *prefixes,
    double read_ms)
{
	int64_t now_ms = (int64_t)sim->des.now_ms;

	for (int i = 0; i < DAEMONS; i++) {
		daemon_t *daemon = &sim->daemons[i];
		read_queue_t *queue = &daemon->queues[attempt->endpoint];

		if (i == attempt->request.daemon)
			read_queue_add(
			    queue, &attempt->ticket, read_ms, sim->des.now_ms);
		else if (sim->policy == PLACING_TOLD)
			read_queue_extend(queue, read_ms, sim->des.now_ms);
		else
			continue;
		prefix_memory_note(&daemon->kept, prefixes,
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
	    prefix_memory_kept(&reader->kept, &prefixes, 1, now_ms);
	prefix_memory_note(&reader->kept, &prefixes, 1, now_ms);
	read_ms = slope_of(model) * unread;
	sim->out->tokens_read += unread;
	if (reader->free_ms < sim->des.now_ms)
		reader->free_ms = sim->des.now_ms;
	reader->free_ms += read_ms;
	reader->waiting++;
	sent_note(sim, attempt, &prefixes, read_ms);
	des_add(&sim->des, reader->free_ms - sim->des.now_ms,
	    (des_event_t){.kind = EVENT_BEGUN, .a = at});
}

static void
first_event(sim_t *sim, const request_t *request)
{
	double first_ms = sim->des.now_ms - request->taken_ms;
	double objective = request->kind == PLACING_LONG ? LONG_OBJECTIVE_MS
							 : SHORT_OBJECTIVE_MS;

	samples_add(&sim->out->first_ms[request->kind], first_ms);
	sim->out->in_time[request->kind] += first_ms <= objective;
}

static void
on_begun(sim_t *sim, attempt_t *attempt)
{
	request_t request = attempt->request;
	daemon_t *daemon = &sim->daemons[request.daemon];

	read_queue_begun(&daemon->queues[attempt->endpoint], &attempt->ticket,
	    sim->des.now_ms);
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
		? PLACING_LONG
		: PLACING_SHORT,
	    .own = 1000 + ++sim->requests,
	    .daemon = (int)rng_below(&sim->rng.rng, DAEMONS),
	    .wants_large = gsl_rng_uniform(gsl) < LARGE_SHARE,
	    .taken_ms = sim->des.now_ms};

	request.subject =
	    1 + rng_below(&sim->rng.rng, SUBJECTS) + SUBJECTS * request.kind;
	sim->out->asked[request.kind]++;
	attempt_start(sim, &request, 0);
	des_add(&sim->des, gsl_ran_exponential(gsl, MS_PER_SEC / per_s),
	    (des_event_t){.kind = EVENT_ARRIVAL});
}

static void
on_report(sim_t *sim)
{
	for (int i = 0; i < ENDPOINTS; i++)
		sim->readers[i].reported = sim->readers[i].waiting;
	des_add(&sim->des, REPORT_MS, (des_event_t){.kind = EVENT_REPORT});
}

static void
sim_init(
    sim_t *sim, placing_policy_t policy, uint64_t seed, placing_result_t *out)
{
	memset(sim, 0, sizeof(*sim));
	sim->policy = policy;
	sim->out = out;
	des_init(&sim->des);
	bench_rng_init(&sim->rng, seed);
	for (int i = 0; i < ENDPOINTS; i++) {
		if (!prefix_memory_init(&sim->readers[i].kept))
			abort();
	}
	for (int i = 0; i < DAEMONS; i++) {
		if (!prefix_memory_init(&sim->daemons[i].kept))
			abort();
		for (int j = 0; j < ENDPOINTS; j++)
			read_queue_init(&sim->daemons[i].queues[j]);
	}
	*out = (placing_result_t){0};
	for (int i = 0; i < PLACING_KINDS; i++)
		samples_init(&out->first_ms[i]);
}

static void
sim_finish(sim_t *sim)
{
	for (int i = 0; i < ENDPOINTS; i++)
		prefix_memory_finish(&sim->readers[i].kept);
	for (int i = 0; i < DAEMONS; i++)
		prefix_memory_finish(&sim->daemons[i].kept);
	bench_rng_finish(&sim->rng);
	des_finish(&sim->des);
}

void
placing_run(
    placing_policy_t policy, double per_s, uint64_t seed, placing_result_t *out)
{
	static sim_t sim;
	des_event_t event;
	bool more = true;

	sim_init(&sim, policy, seed, out);
	des_add(&sim.des, 0, (des_event_t){.kind = EVENT_ARRIVAL});
	des_add(&sim.des, 0, (des_event_t){.kind = EVENT_REPORT});
	while (more && des_next(&sim.des, &event)) {
		bool over = sim.des.now_ms > RUN_MS;

		if (event.kind == EVENT_BEGUN)
			on_begun(&sim, &sim.attempts[event.a]);
		else if (!over && event.kind == EVENT_ARRIVAL)
			on_arrival(&sim, per_s);
		else if (!over)
			on_report(&sim);
	}
	sim_finish(&sim);
}

static void
row_print(placing_policy_t policy, double per_s)
{
	static const char *const names[PLACING_POLICIES] = {
	    "expected time, sends told", "expected time, own sends only",
	    "hashing only", "least reported", "random"};
	samples_t longs, shorts, p95, tokens;

	samples_init(&longs);
	samples_init(&shorts);
	samples_init(&p95);
	samples_init(&tokens);
	for (uint64_t seed = 1; seed <= EXPERIMENT_SEEDS; seed++) {
		placing_result_t one;

		placing_run(policy, per_s, seed, &one);
		samples_add(&longs,
		    100 * one.in_time[PLACING_LONG] / one.asked[PLACING_LONG]);
		samples_add(&shorts,
		    100 * one.in_time[PLACING_SHORT] /
			one.asked[PLACING_SHORT]);
		samples_add(
		    &p95, samples_quantile(&one.first_ms[PLACING_LONG], 0.95));
		samples_add(&tokens, one.tokens_read / 1e6);
		for (int i = 0; i < PLACING_KINDS; i++)
			samples_finish(&one.first_ms[i]);
	}
	printf("| %.0f | %s", per_s, names[policy]);
	figure_print(&longs, "%.1f");
	figure_print(&shorts, "%.1f");
	figure_print(&p95, "%.0f");
	figure_print(&tokens, "%.2f");
	printf(" |\n");
	samples_finish(&longs);
	samples_finish(&shorts);
	samples_finish(&p95);
	samples_finish(&tokens);
}

void
experiment_placing(void)
{
	static const double loads[] = {16, 28, 40};

	printf(
	    "Six daemons before twelve endpoints, 60 s; 46 of 100 prompts are "
	    "read by the largest model too.\n\n"
	    "| requests/s | policy | long in time %% | short in time %% | "
	    "long first event p95 ms | tokens read, millions |\n"
	    "| --- | --- | --- | --- | --- | --- |\n");
	for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		for (int policy = 0; policy < PLACING_POLICIES; policy++)
			row_print((placing_policy_t)policy, loads[i]);
	}
}
