/**
 * @file
 * Model choice: three models that differ in cost and quality, with few ratings
 * that arrive late. In the middle third of the requests the cheapest model is
 * worse.
 */
#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>

#include "experiment.h"
#include "moortack/route/cascade.h"

#define MODELS 3
#define REQUESTS 60000
#define PHASES 3
#define RATED_PERCENT 10
#define RATING_DELAY_REQUESTS 500
#define TARGET_QUALITY 0.85
#define EXPLORE_PERCENT 2

static const double costs[MODELS] = {1, 4, 12};
static const double mean_latencies_ms[MODELS] = {120, 260, 600};
static const double skills[MODELS] = {0.62, 0.85, 0.97};
static const double priors[MODELS] = {0.62, 0.85, 0.97};

typedef struct response {
	bool good;
	double confidence;
} response_t;

typedef struct rating {
	int due_request;
	int model;
	double confidence;
	bool good;
} rating_t;

typedef struct policy {
	const char *name;
	int fixed_model; /**< index of the only model used; -1: a cascade */
	double fixed_threshold; /**< of confidence; 0: the library's cascade */
} policy_t;

static const policy_t policies[] = {
    {"always the best", 2, 0},
    {"always the cheapest", 0, 0},
    {"fixed threshold 0.5", -1, 0.5},
    {"fixed threshold 0.8", -1, 0.8},
    {"learned cascade", -1, 0},
};

/* More difficult requests have a lower chance of a good response. The
 * confidence is that chance with noise. */
static response_t
response_draw(gsl_rng *rng, int model, double difficulty, int phase)
{
	double skill = skills[model];
	double chance;

	if (phase == 1 && model == 0)
		skill -= 0.25;
	chance = 1 / (1 + exp(-10 * (skill - difficulty * 0.9 + 0.02)));
	return (response_t){.good = gsl_rng_uniform(rng) < chance,
	    .confidence = fmin(0.999,
		fmax(0,
		    chance + gsl_ran_gaussian(rng, 0.12) +
			(phase == 1 && model == 0 ? 0.15 : 0)))};
}

typedef struct result {
	double cost[PHASES];
	double good[PHASES];
	samples_t latency_ms;
} result_t;

static void
policy_simulate(const policy_t *policy, uint64_t seed, result_t *result)
{
	static rating_t ratings[REQUESTS];
	int ratings_len = 0, next_rating = 0;
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	cascade_t cascade;

	gsl_rng_set(rng, seed);
	cascade_init(&cascade, MODELS, priors, TARGET_QUALITY);
	for (int m = 0; m < MODELS; m++)
		cascade_add_cost(&cascade, m, costs[m]);
	for (int r = 0; r < REQUESTS; r++) {
		int phase = r / (REQUESTS / PHASES);
		double difficulty = gsl_rng_uniform(rng);
		bool explore = gsl_rng_uniform(rng) * 100 < EXPLORE_PERCENT;
		int model = policy->fixed_model >= 0 ? policy->fixed_model
		    : policy->fixed_threshold > 0
		    ? 0
		    : cascade_first_model(&cascade, explore);
		double latency_ms = 0;
		response_t response;

		for (;; model++) {
			response = response_draw(rng, model, difficulty, phase);
			result->cost[phase] += costs[model];
			latency_ms +=
			    gsl_ran_gamma(rng, 8, mean_latencies_ms[model] / 8);
			if (policy->fixed_model >= 0 || model == MODELS - 1)
				break;
			if (policy->fixed_threshold > 0
				? response.confidence >= policy->fixed_threshold
				: cascade_accepts(
				      &cascade, model, response.confidence))
				break;
		}
		result->good[phase] += response.good;
		samples_add(&result->latency_ms, latency_ms);
		if (gsl_rng_uniform(rng) * 100 < RATED_PERCENT)
			ratings[ratings_len++] =
			    (rating_t){r + RATING_DELAY_REQUESTS, model,
				response.confidence, response.good};
		while (next_rating < ratings_len &&
		    ratings[next_rating].due_request <= r) {
			cascade_add_rating(&cascade, ratings[next_rating].model,
			    ratings[next_rating].confidence,
			    ratings[next_rating].good);
			next_rating++;
		}
	}
	gsl_rng_free(rng);
}

void
experiment_cascade(void)
{
	const double requests_per_phase = REQUESTS / (double)PHASES;

	printf("Target: %.0f %% good. The cheap model is worse, and more "
	       "confident, in the middle third.\n\n"
	       "| policy | good %% 1st third | 2nd | 3rd | cost of a request "
	       "1st | 2nd | 3rd | p50 ms | p99 ms |\n"
	       "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
	    100 * TARGET_QUALITY);
	for (size_t p = 0; p < sizeof(policies) / sizeof(*policies); p++) {
		samples_t good[PHASES] = {0}, cost[PHASES] = {0};
		samples_t p50 = {0}, p99 = {0};

		for (uint64_t s = 1; s <= EXPERIMENT_SEEDS; s++) {
			result_t result = {0};

			policy_simulate(&policies[p], s, &result);
			for (int i = 0; i < PHASES; i++) {
				samples_add(&good[i],
				    100 * result.good[i] / requests_per_phase);
				samples_add(&cost[i],
				    result.cost[i] / requests_per_phase);
			}
			samples_add(
			    &p50, samples_quantile(&result.latency_ms, 0.5));
			samples_add(
			    &p99, samples_quantile(&result.latency_ms, 0.99));
			samples_finish(&result.latency_ms);
		}
		printf("| %s", policies[p].name);
		for (int i = 0; i < PHASES; i++)
			samples_print(&good[i], "%.1f");
		for (int i = 0; i < PHASES; i++)
			samples_print(&cost[i], "%.2f");
		samples_print(&p50, "%.0f");
		samples_print(&p99, "%.0f");
		printf(" |\n");
		for (int i = 0; i < PHASES; i++) {
			samples_finish(&good[i]);
			samples_finish(&cost[i]);
		}
		samples_finish(&p50);
		samples_finish(&p99);
	}
}
