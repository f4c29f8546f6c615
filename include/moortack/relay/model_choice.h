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

/** One of the models that a route names. */
typedef struct model_option {
	double cost;		 /**< for what it generates, in any unit */
	double first_byte_ms;	 /**< until its answer would begin; negative:
				    unknown */
	double good_probability; /**< how likely it is good enough, after a
		    smaller one's answer was not */
	double on_time_rate;	 /**< part of its answers that began in time */
} model_option_t;

/** What the choice depends on. */
typedef struct model_choice_input {
	size_t model;	    /**< index of the one that answers; smallest is 0 */
	size_t models;	    /**< how many there are */
	int confidence;	    /**< of that model in its answer; -1: not told */
	bool retry_allowed; /**< attempts, time and budget allow another run */
	double remaining_ms; /**< until the answer is late; may be negative */
	model_option_t options[MODELS_MAX];
} model_choice_input_t;

/** The model for the first attempt. */
size_t model_choice_first(size_t models);

/** Whether no larger model is worth asking, whatever it takes now. */
bool model_choice_is_final(int confidence);

/** The model that ought to answer: the present one if its answer is taken. */
size_t model_choice_next(const model_choice_input_t *);

#endif
