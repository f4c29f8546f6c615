/**
 * @file
 * Which model answers, where a route leaves the choice to the router: the
 * smallest first, and a larger one where the answer's own estimate says that it
 * is not good enough, and the larger one's is likely to be better and in time.
 * Pure decisions.
 */
#ifndef MOORTACK_RELAY_MODEL_CHOICE_H
#define MOORTACK_RELAY_MODEL_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MODELS_MAX 8

/** What is known of a model's answers of late, as far as they went. */
typedef struct model_record {
	double on_time;	 /**< part of them that began in time, fading */
	uint32_t seen;	 /**< of these */
	double good;	 /**< part that was good enough, fading */
	uint32_t judged; /**< of these */
} model_record_t;

/** One of the models that a route names. */
typedef struct model_option {
	double cost;	 /**< for what it generates, in any unit */
	double first_ms; /**< until its answer would begin; negative: unknown */
	double good;	 /**< how likely it is good enough, after a smaller
			    one's answer was not */
	double on_time;	 /**< part of its answers that began in time */
} model_option_t;

/** What the choice depends on. */
typedef struct model_moment {
	size_t model;	  /**< index of the one that answers; smallest is 0 */
	size_t models;	  /**< how many there are */
	int confidence;	  /**< of that model in its answer; -1: not told */
	bool repeat_left; /**< attempts, time and budget allow another run */
	double left_ms;	  /**< until the answer is late; may be negative */
	model_option_t options[MODELS_MAX];
} model_moment_t;

/** The model for the first attempt. */
size_t model_first(size_t models);

/** The model that ought to answer: the present one if its answer is taken. */
size_t model_next(const model_moment_t *);

/** How likely an answer with this estimate is good enough. */
double model_good_enough(int confidence);

/** An answer of the model began in time, or is late. */
void model_record_take(model_record_t *, bool on_time);
/** An answer of the model, asked for after a smaller one's was not good enough,
 * came with this estimate. */
void model_record_judge(model_record_t *, int confidence, bool largest);

/** How likely the next one is in time. */
double model_record_on_time(const model_record_t *);
/** How likely the next one is good enough. @param largest of all models */
double model_record_good(const model_record_t *, bool largest);

#endif
