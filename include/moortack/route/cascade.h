/**
 * @file
 * Selects the model of a request that leaves it open: the cheapest whose
 * responses are good often enough for the organisation's target.
 *
 * An engine gives each response a confidence. From late and sparse ratings the
 * cascade estimates, for each model, the probability that a response of a
 * confidence is good, and accepts a response from a threshold of it on. The
 * threshold moves so that the share of good responses stays at the target.
 */
#ifndef MOORTACK_ROUTE_CASCADE_H
#define MOORTACK_ROUTE_CASCADE_H

#include <stdbool.h>
#include <stdint.h>

#define CASCADE_MODELS_MAX 8
#define CASCADE_BINS 10

/** Ratings of one model's responses, by confidence. The counts are weighted:
 * earlier ratings decay. */
typedef struct cascade_model_stats {
	double good_ratings[CASCADE_BINS];
	double ratings[CASCADE_BINS];
	double mean_cost; /**< moving average, of a response; 0: no sample */
} cascade_model_stats_t;

/** One organisation's cascade; models from the cheapest to the best. */
typedef struct cascade {
	int model_count;
	double target;	  /**< share of good responses, 0 to 1 */
	double threshold; /**< probability of being good from which a response
			     is accepted, 0 to 1 */
	cascade_model_stats_t models[CASCADE_MODELS_MAX];
} cascade_t;

/** @param models number of models @param priors expected share of good
 * responses of each model, 0 to 1 */
void cascade_init(cascade_t *, int models, const double *priors, double target);

/** The model to ask first. Cheap models whose responses are hardly ever
 * accepted are skipped: they would cost more than they save.
 * @param explore the cheapest in any case, so that it gets ratings */
int cascade_first_model(const cascade_t *, bool explore);

/** The cheapest model whose responses of all confidences together reach the
 * target; the best if none does. For responses that can't be escalated, such as
 * streams. */
int cascade_single_model(const cascade_t *);

/** Whether a response of this confidence is accepted; of the best model,
 * always. Else the next model gets the request. */
bool cascade_accepts(const cascade_t *, int model, double confidence);

/** The estimated probability that a response of this confidence is good. */
double
cascade_good_probability(const cascade_t *, int model, double confidence);

/** Records the rating of a response, and adjusts the threshold. */
void cascade_add_rating(cascade_t *, int model, double confidence, bool good);

/** Records the cost of a response. */
void cascade_add_cost(cascade_t *, int model, double cost);

#endif
