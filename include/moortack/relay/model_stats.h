/**
 * @file
 * What is known of a model by its answers: whether they began in time, and how
 * good they are where a smaller model's was doubtful. Pure, fading estimates.
 */
#ifndef MOORTACK_RELAY_MODEL_STATS_H
#define MOORTACK_RELAY_MODEL_STATS_H

#include <stdbool.h>
#include <stdint.h>

/** Of one model; all zero before its first answer. */
typedef struct model_stats {
	double on_time_rate;	  /**< part of them that began in time */
	uint32_t on_time_samples; /**< of these */
	double good_rate; /**< part that was good enough, where the smallest
			model's estimate was the lowest there is */
	uint32_t good_samples;	/**< of these */
	double confidence_gain; /**< its estimate less the smallest model's */
	uint32_t gain_samples;	/**< of these */
} model_stats_t;

/** How likely an answer with this estimate is good enough. */
double model_good_probability(int confidence);

/** An answer of the model began in time, or is late. */
void model_stats_add_start(model_stats_t *, bool on_time);
/** An answer of the model came with this estimate.
 * @param smallest estimate of the smallest model's answer to the same request
 * @param largest of all models */
void model_stats_add_confidence(
    model_stats_t *, int smallest, int confidence, bool largest);

/** How likely the next one is in time. */
double model_stats_on_time_probability(const model_stats_t *);
/** How likely the model's answer is good enough, where the smallest model's
 * has this estimate. */
double
model_stats_good_probability(const model_stats_t *, int smallest, bool largest);

#endif
