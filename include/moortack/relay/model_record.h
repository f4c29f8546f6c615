/**
 * @file
 * What is known of a model by its answers: whether they began in time, and how
 * good they are where a smaller model's was doubtful. Pure, fading estimates.
 */
#ifndef MOORTACK_RELAY_MODEL_RECORD_H
#define MOORTACK_RELAY_MODEL_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/** Of one model; all zero before its first answer. */
typedef struct model_record {
	double on_time;	   /**< part of them that began in time */
	uint32_t seen;	   /**< of these */
	double good;	   /**< part that was good enough, where the smallest
			      model's estimate was the lowest there is */
	uint32_t judged;   /**< of these */
	double gain;	   /**< its estimate less the smallest model's */
	uint32_t compared; /**< of these */
} model_record_t;

/** How likely an answer with this estimate is good enough. */
double model_good_enough(int confidence);

/** An answer of the model began in time, or is late. */
void model_record_take(model_record_t *, bool on_time);
/** An answer of the model came with this estimate.
 * @param smallest estimate of the smallest model's answer to the same request
 * @param largest of all models */
void model_record_judge(
    model_record_t *, int smallest, int confidence, bool largest);

/** How likely the next one is in time. */
double model_record_on_time(const model_record_t *);
/** How likely the model's answer is good enough, where the smallest model's
 * has this estimate. */
double model_record_good(const model_record_t *, int smallest, bool largest);

#endif
