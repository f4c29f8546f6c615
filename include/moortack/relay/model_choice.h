/**
 * @file
 * Selection of the model where a route leaves it to the router. The smallest
 * model gets the request first. If its response reports a low confidence, a
 * larger model gets it, provided that its response is likely to be better and
 * in time. Pure functions without state.
 */
#ifndef MOORTACK_RELAY_MODEL_CHOICE_H
#define MOORTACK_RELAY_MODEL_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MODELS_MAX 32

/** One of the models that a route names. */
typedef struct model_option {
	double cost;		 /**< of what it generates, in any unit */
	double first_byte_ms;	 /**< until its response would start; negative:
				    not known */
	double good_probability; /**< that its response is good enough, after a
				    smaller model's was not */
	double on_time_rate; /**< part of its responses that started in time */
	double endpoint_ms;  /**< time that it takes of an endpoint; 0: not
				known */
	double price; /**< of that time, see price_now(); 0: not known, or
			 nothing waits */
	double cut_probability; /**< that its stream does not end before the
				   caller's time limit; 0 also if not known */
} model_option_t;

/** What the selection depends on. */
typedef struct model_choice_input {
	size_t model;	/**< index of the model that responds; 0: smallest */
	size_t models;	/**< number of models */
	int confidence; /**< of that model in its response, 0 to 100; -1: not
			   reported */
	bool retry_allowed;  /**< attempts, time and budget allow another run */
	double remaining_ms; /**< until the response is late; may be negative */
	double
	    objective_ms; /**< latency objective; 0: prices are not charged */
	int rank;	  /**< of the request, 0 is the most urgent */
	double cut_probability; /**< that the present response is cut, as above
				 */
	model_option_t options[MODELS_MAX];
} model_choice_input_t;

/** The model for the first attempt. */
size_t model_choice_first(size_t models);

/** Whether a response with this confidence is accepted whatever a larger model
 * would take. */
bool model_choice_is_final(int confidence);

/** The model that should respond: the present one if its response is accepted,
 * else the larger one to ask. */
size_t model_choice_next(const model_choice_input_t *);

#endif
