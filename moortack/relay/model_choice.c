#include "moortack/relay/model_choice.h"

#include "moortack/relay/model_stats.h"

/* Parts of an answer's worth: what a late one earns, and what the largest
 * model costs, its own price and the time that it takes from others. Tried on
 * the users' sites, eight runs each: 0.12 and 0.22 cost more than they gave on
 * days of high load, and gave nothing on calm ones. */
#define LATE_WORTH 0.15
#define LARGEST_COST 0.45
/* An answer that is this likely good is kept: a larger model, which costs more
 * than the rest, can't be worth it. Spares two searches for an endpoint for a
 * third of all streams. */
#define GOOD_SURE 0.99
/* An answer that is expected within this part of the time left is in time, and
 * one that is expected after that part is not. */
#define TIME_SURE 0.7
#define TIME_HOPELESS 1.3
size_t
model_choice_first(size_t models)
{
	(void)models;
	return 0;
}

/* How likely an answer of the model begins before it is late. */
static double
in_time(const model_option_t *option, double left_ms)
{
	double part;

	if (left_ms <= 0)
		return 0;
	if (option->first_byte_ms < 0)
		return option->on_time_rate;
	part = option->first_byte_ms / left_ms;
	if (part <= TIME_SURE)
		return option->on_time_rate;
	if (part >= TIME_HOPELESS)
		return 0;
	return option->on_time_rate * (TIME_HOPELESS - part) /
	    (TIME_HOPELESS - TIME_SURE);
}

/* Worth of the model's answer less its cost, as a part of a whole answer's. */
static double
worth_of(const model_choice_input_t *moment, size_t model)
{
	const model_option_t *option = &moment->options[model];
	double most = moment->options[moment->models - 1].cost;
	double cost = most > 0 ? option->cost / most : 1;
	double time = in_time(option, moment->remaining_ms);

	return option->good_probability * (time + (1 - time) * LATE_WORTH) -
	    LARGEST_COST * cost;
}

bool
model_choice_is_final(int confidence)
{
	return model_good_probability(confidence) >= GOOD_SURE;
}

size_t
model_choice_next(const model_choice_input_t *moment)
{
	double best_worth;
	size_t best = moment->model;

	if (moment->model + 1 >= moment->models || !moment->retry_allowed ||
	    moment->confidence < 0)
		return moment->model;
	best_worth = model_good_probability(moment->confidence);
	for (size_t i = moment->model + 1; i < moment->models; i++) {
		double worth = worth_of(moment, i);

		if (worth > best_worth) {
			best = i;
			best_worth = worth;
		}
	}
	return best;
}
