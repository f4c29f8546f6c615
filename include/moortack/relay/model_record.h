/**
 * @file
 * Running estimates for a model, learned from its responses: how often they
 * start in time, and how good they are where a smaller model's was doubtful.
 * Newer responses weigh more. Performs no I/O and reads no clock.
 */
#ifndef MOORTACK_RELAY_MODEL_RECORD_H
#define MOORTACK_RELAY_MODEL_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/** Estimates for one model; all zero before its first response. */
typedef struct model_stats {
	double on_time_rate; /**< part of its responses that started in time */
	uint32_t on_time_samples;
	double good_rate; /**< part of its responses that was good enough where
			     the smallest model's confidence was 0 */
	uint32_t good_samples;
	double confidence_gain; /**< its confidence minus the smallest model's
				   for the same request */
	uint32_t gain_samples;
} model_stats_t;

/** The probability that a response with this confidence is good enough.
 * @param confidence 0 to 100 */
double model_good_probability(int confidence);

/** Add whether a response of the model started in time. */
void model_stats_add_start(model_stats_t *, bool on_time);
/** Add the confidence of a response of the model.
 * @param smallest confidence of the smallest model's response to the same
 * request; negative: not known, nothing is added
 * @param confidence 0 to 100; negative: not reported, nothing is added
 * @param largest the model is the largest of the route */
void model_stats_add_confidence(
    model_stats_t *, int smallest, int confidence, bool largest);

/** The probability that the next response starts in time. */
double model_stats_on_time_probability(const model_stats_t *);
/** The probability that the model's response is good enough.
 * @param smallest confidence of the smallest model's response to the request;
 * negative, not known, counts as 0
 * @param largest the model is the largest of the route */
double
model_stats_good_probability(const model_stats_t *, int smallest, bool largest);

#endif
