/**
 * @file
 * Model choice: three models of unlike cost and quality, ratings that are
 * sparse and late, and a middle third in which the cheap model is worse.
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
#define RATING_DELAY 500 /* requests */
#define TARGET 0.85
#define EXPLORE_PERCENT 2

static const double costs[MODELS] = {1, 4, 12};
static const double latencies_ms[MODELS] = {120, 260, 600};
static const double skills[MODELS] = {0.62, 0.85, 0.97};
static const double priors[MODELS] = {0.62, 0.85, 0.97};

typedef struct answer {
	bool good;
	double confidence;
} answer_t;

typedef struct rating {
	int due;
	int model;
	double confidence;
	bool good;
} rating_t;

typedef struct policy {
	const char *name;
	int fixed;	  /**< model asked always; -1: a cascade */
	double threshold; /**< of a fixed cascade; 0: the library's */
} policy_t;

static const policy_t policies[] = {
    {"always the best", 2, 0},
    {"always the cheapest", 0, 0},
    {"fixed threshold 0.5", -1, 0.5},
    {"fixed threshold 0.8", -1, 0.8},
    {"learned cascade", -1, 0},
};

/* Harder requests fail more; confidence tells of it with noise. */
static answer_t
answer_make(gsl_rng *rng, int model, double hardness, int phase)
{
	double skill = skills[model];
	double chance;

	if (phase == 1 && model == 0)
		skill -= 0.25;
	chance = 1 / (1 + exp(-10 * (skill - hardness * 0.9 + 0.02)));
	return (answer_t){.good = gsl_rng_uniform(rng) < chance,
	    .confidence = fmin(0.999,
		fmax(0,
		    chance + gsl_ran_gaussian(rng, 0.12) +
			(phase == 1 && model == 0 ? 0.15 : 0)))};
}

typedef struct outcome {
	double cost[PHASES];
	double good[PHASES];
	samples_t latency;
} outcome_t;

static void
run_one(const policy_t *policy, uint64_t seed, outcome_t *outcome)
{
	static rating_t ratings[REQUESTS];
	int rated = 0, read = 0;
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	cascade_t cascade;

	gsl_rng_set(rng, seed);
	cascade_init(&cascade, MODELS, priors, TARGET);
	for (int m = 0; m < MODELS; m++)
		cascade_add_cost(&cascade, m, costs[m]);
	for (int r = 0; r < REQUESTS; r++) {
		int phase = r / (REQUESTS / PHASES);
		double hardness = gsl_rng_uniform(rng);
		bool explore = gsl_rng_uniform(rng) * 100 < EXPLORE_PERCENT;
		int model = policy->fixed >= 0 ? policy->fixed
		    : policy->threshold > 0
		    ? 0
		    : cascade_first_model(&cascade, explore);
		double latency = 0;
		answer_t answer;

		for (;; model++) {
			answer = answer_make(rng, model, hardness, phase);
			outcome->cost[phase] += costs[model];
			latency +=
			    gsl_ran_gamma(rng, 8, latencies_ms[model] / 8);
			if (policy->fixed >= 0 || model == MODELS - 1)
				break;
			if (policy->threshold > 0
				? answer.confidence >= policy->threshold
				: cascade_accepts(
				      &cascade, model, answer.confidence))
				break;
		}
		outcome->good[phase] += answer.good;
		samples_add(&outcome->latency, latency);
		if (gsl_rng_uniform(rng) * 100 < RATED_PERCENT)
			ratings[rated++] = (rating_t){r + RATING_DELAY, model,
			    answer.confidence, answer.good};
		while (read < rated && ratings[read].due <= r) {
			cascade_add_rating(&cascade, ratings[read].model,
			    ratings[read].confidence, ratings[read].good);
			read++;
		}
	}
	gsl_rng_free(rng);
}

void
experiment_cascade(void)
{
	const double each = REQUESTS / (double)PHASES;

	printf("Target: %.0f %% good. The cheap model is worse, and surer of "
	       "itself, in the middle third.\n\n"
	       "| policy | good %% 1st third | 2nd | 3rd | cost of a request "
	       "1st | 2nd | 3rd | p50 ms | p99 ms |\n"
	       "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
	    100 * TARGET);
	for (size_t p = 0; p < sizeof(policies) / sizeof(*policies); p++) {
		samples_t good[PHASES] = {0}, cost[PHASES] = {0};
		samples_t p50 = {0}, p99 = {0};

		for (uint64_t s = 1; s <= EXPERIMENT_SEEDS; s++) {
			outcome_t outcome = {0};

			run_one(&policies[p], s, &outcome);
			for (int i = 0; i < PHASES; i++) {
				samples_add(
				    &good[i], 100 * outcome.good[i] / each);
				samples_add(&cost[i], outcome.cost[i] / each);
			}
			samples_add(
			    &p50, samples_quantile(&outcome.latency, 0.5));
			samples_add(
			    &p99, samples_quantile(&outcome.latency, 0.99));
			samples_finish(&outcome.latency);
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
