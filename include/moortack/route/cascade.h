/**
 * @file
 * Which model answers, when the caller leaves it open: the cheapest whose
 * answers are good often enough for the organisation's target.
 *
 * An engine gives each answer a confidence. From late and sparse ratings the
 * cascade learns, for each model, how often answers of a confidence are good,
 * and accepts an answer where that is over a bar. The bar moves so that the
 * share of good answers in all stays at the target.
 */
#ifndef MOORTACK_ROUTE_CASCADE_H
#define MOORTACK_ROUTE_CASCADE_H

#include <stdbool.h>
#include <stdint.h>

#define CASCADE_MODELS_MAX 8
#define CASCADE_BINS 10

/** What was learned of one model's answers, by confidence. */
typedef struct cascade_model_stats {
	double good_ratings[CASCADE_BINS];
	double ratings[CASCADE_BINS];
	double mean_cost; /**< mean of an answer */
} cascade_model_stats_t;

/** One organisation's cascade; models from the cheapest to the best. */
typedef struct cascade {
	int model_count;
	double target;	  /**< share of good answers, 0 to 1 */
	double threshold; /**< an answer is accepted from this chance on */
	cascade_model_stats_t models[CASCADE_MODELS_MAX];
} cascade_t;

/** @param priors share of good answers expected of each model, 0 to 1 */
void cascade_init(cascade_t *, int models, const double *priors, double target);

/** The model to ask first. Where the cheap ones are hardly ever accepted, it
 * is not worth to ask them. @param explore asks the cheapest all the same */
int cascade_first_model(const cascade_t *, bool explore);

/** The cheapest model whose answers, taken all together, are good often enough;
 * the best when there is none. For answers that can't be taken back. */
int cascade_single_model(const cascade_t *);

/** Whether an answer of this confidence is good enough to be given. */
bool cascade_accepts(const cascade_t *, int model, double confidence);

/** The chance that an answer of this confidence is good. */
double
cascade_good_probability(const cascade_t *, int model, double confidence);

/** A rating came for an answer that was given. */
void cascade_add_rating(cascade_t *, int model, double confidence, bool good);

/** An answer of the model was made. @param cost of it */
void cascade_add_cost(cascade_t *, int model, double cost);

#endif
