#include "moortack/relay/model_choice.h"

#include <math.h>

#include "moortack/relay/model_record.h"
#include "moortack/scheduling/price.h"

/* As parts of the value of a good response: the value of a late one, and the
 * cost of the largest model, which is its own price and the time that it takes
 * from other requests. Tried on the users' sites with eight runs each: costs of
 * 0.12 and 0.22 made larger models cost more than they gained on days of high
 * load, and gained nothing on days of low load. */
#define LATE_VALUE 0.15
#define LARGEST_COST 0.45
/* A response that is good with this probability is accepted: the cost of a
 * larger model exceeds what could be gained. This saves two endpoint lookups
 * for a third of all streams. */
#define GOOD_FINAL 0.99
/* A response that is expected within the first part of the remaining time is in
 * time, and one that is expected after the second part is late. */
#define IN_TIME_PART 0.7
#define LATE_PART 1.3
/* A request of this rank, the default, is charged the full price. The price is
 * what others wait for, and an endpoint makes only requests wait that are not
 * more urgent. So an urgent request is charged less, in proportion to its rank:
 * those it delays are worth less to their callers than it is to its own. Of all
 * requests, less urgent ones give up larger models first. */
#define FULL_PRICE_RANK 5
/* Parts of the latency objective. A request that waits for a tenth is served in
 * time whatever is added; with half of it gone, the prefill takes the rest. */
#define HARMLESS_WAIT 0.1
#define HARMFUL_WAIT 0.5

size_t
model_choice_first(size_t models)
{
	(void)models;
	return 0;
}

/* The probability that a response of the model starts in time. */
static double
in_time_probability(const model_option_t *option, double remaining_ms)
{
	double part;

	if (remaining_ms <= 0)
		return 0;
	if (option->first_byte_ms < 0)
		return option->on_time_rate;
	part = option->first_byte_ms / remaining_ms;
	if (part <= IN_TIME_PART)
		return option->on_time_rate;
	if (part >= LATE_PART)
		return 0;
	return option->on_time_rate * (LATE_PART - part) /
	    (LATE_PART - IN_TIME_PART);
}

/* How much of a delay makes those that wait late: none while they wait for a
 * small part of the objective, all of it once they wait for most of it. */
static double
delay_harm(double wait_part)
{
	double harm =
	    (wait_part - HARMLESS_WAIT) / (HARMFUL_WAIT - HARMLESS_WAIT);

	return fmin(fmax(harm, 0), 1);
}

/* Value that other requests lose by the time that the model takes of an
 * endpoint: the value of one in time for each latency objective that they wait,
 * as far as they become late by it. */
static double
scarcity_cost(const model_choice_input_t *input, const model_option_t *option)
{
	double rank_part = (input->rank + 1.0) / (FULL_PRICE_RANK + 1.0);

	if (input->objective_ms <= 0)
		return 0;
	return option->price * rank_part * option->endpoint_ms /
	    input->objective_ms *
	    delay_harm(price_to_wait_ms(option->price) / input->objective_ms);
}

/* The value of the model's response minus its cost, as a part of the value of a
 * good response in time. */
static double
option_value(const model_choice_input_t *input, size_t model)
{
	const model_option_t *option = &input->options[model];
	double max_cost = input->options[input->models - 1].cost;
	double cost = max_cost > 0 ? option->cost / max_cost : 1;
	double in_time = in_time_probability(option, input->remaining_ms);

	return option->good_probability *
	    (in_time + (1 - in_time) * LATE_VALUE) *
	    (1 - option->cut_probability) -
	    LARGEST_COST * cost - scarcity_cost(input, option);
}

bool
model_choice_is_final(int confidence)
{
	return model_good_probability(confidence) >= GOOD_FINAL;
}

size_t
model_choice_next(const model_choice_input_t *input)
{
	double best_value;
	size_t best = input->model;

	if (input->model + 1 >= input->models || !input->retry_allowed ||
	    input->confidence < 0)
		return input->model;
	best_value = model_good_probability(input->confidence) *
	    (1 - input->cut_probability);
	for (size_t i = input->model + 1; i < input->models; i++) {
		double value = option_value(input, i);

		if (value > best_value) {
			best = i;
			best_value = value;
		}
	}
	return best;
}
