#include "moortack/relay/model_choice.h"

#include <math.h>

/* An answer with this estimate is as often good enough as not, and the more
 * often the further the estimate is from it. Measured on the users' sites: the
 * estimates of a model spread evenly around it. */
#define CONFIDENCE_EVEN 50.0
#define CONFIDENCE_WIDTH 3.5
/* Parts of an answer's worth: what a late one earns, and what the largest
 * model costs, its own price and the time that it takes from others. Tried on
 * the users' sites, eight runs each: 0.12 and 0.22 cost more than they gave on
 * days of high load, and gave nothing on calm ones. */
#define LATE_WORTH 0.15
#define LARGEST_COST 0.45
/* An answer that is expected within this part of the time left is in time, and
 * one that is expected after that part is not. */
#define TIME_SURE 0.7
#define TIME_HOPELESS 1.3
/* Weight of the newest answer in the record, and of what is believed before
 * the first: the largest model is nearly always good enough, one in between
 * only where it is hardly better than the smaller one. */
#define RECORD_WEIGHT 0.08
#define GOOD_LARGEST 0.95
#define GOOD_BETWEEN 0.25

size_t
model_first(size_t models)
{
	(void)models;
	return 0;
}

double
model_good_enough(int confidence)
{
	return 1.0 /
	    (1.0 + exp((CONFIDENCE_EVEN - confidence) / CONFIDENCE_WIDTH));
}

/* How likely an answer of the model begins before it is late. */
static double
in_time(const model_option_t *option, double left_ms)
{
	double part;

	if (left_ms <= 0)
		return 0;
	if (option->first_ms < 0)
		return option->on_time;
	part = option->first_ms / left_ms;
	if (part <= TIME_SURE)
		return option->on_time;
	if (part >= TIME_HOPELESS)
		return 0;
	return option->on_time * (TIME_HOPELESS - part) /
	    (TIME_HOPELESS - TIME_SURE);
}

/* Worth of the model's answer less its cost, as a part of a whole answer's. */
static double
worth_of(const model_moment_t *moment, size_t model)
{
	const model_option_t *option = &moment->options[model];
	double most = moment->options[moment->models - 1].cost;
	double cost = most > 0 ? option->cost / most : 1;
	double time = in_time(option, moment->left_ms);

	return option->good * (time + (1 - time) * LATE_WORTH) -
	    LARGEST_COST * cost;
}

size_t
model_next(const model_moment_t *moment)
{
	double best_worth;
	size_t best = moment->model;

	if (moment->model + 1 >= moment->models || !moment->repeat_left ||
	    moment->confidence < 0)
		return moment->model;
	best_worth = model_good_enough(moment->confidence);
	for (size_t i = moment->model + 1; i < moment->models; i++) {
		double worth = worth_of(moment, i);

		if (worth > best_worth) {
			best = i;
			best_worth = worth;
		}
	}
	return best;
}

void
model_record_take(model_record_t *record, bool on_time)
{
	if (record->seen == 0)
		record->on_time = 1;
	record->seen++;
	record->on_time += RECORD_WEIGHT * ((double)on_time - record->on_time);
}

static double
good_believed(bool largest)
{
	return largest ? GOOD_LARGEST : GOOD_BETWEEN;
}

void
model_record_judge(model_record_t *record, int confidence, bool largest)
{
	if (confidence < 0)
		return;
	if (record->judged == 0)
		record->good = good_believed(largest);
	record->judged++;
	record->good +=
	    RECORD_WEIGHT * (model_good_enough(confidence) - record->good);
}

double
model_record_on_time(const model_record_t *record)
{
	return record->seen > 0 ? record->on_time : 1;
}

double
model_record_good(const model_record_t *record, bool largest)
{
	return record->judged > 0 ? record->good : good_believed(largest);
}
