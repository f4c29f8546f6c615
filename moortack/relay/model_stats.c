#include "moortack/relay/model_stats.h"

#include <math.h>

/* An answer with this estimate is as often good enough as not, and the more
 * often the further the estimate is from it. Measured on the users' sites: the
 * estimates of a model spread evenly around it. */
#define CONFIDENCE_EVEN 50.0
#define CONFIDENCE_WIDTH 3.5
#define CONFIDENCE_MAX 100
/* The same, where the estimate is worked out from a smaller model's: both of
 * them are rough. */
#define DERIVED_WIDTH 5.0
/* Weight of the newest answer in a record; before there are enough, all count
 * alike. */
#define RECORD_WEIGHT 0.08
/* What is believed before the first answer: the largest model is nearly always
 * good enough, one in between where the smaller one was doubtful, not bad. */
#define GOOD_LARGEST 0.95
#define GOOD_BETWEEN 0.25
#define GAIN_LARGEST 60.0
#define GAIN_BETWEEN 12.0

static double
likelihood(double estimate, double width)
{
	return 1.0 / (1.0 + exp((CONFIDENCE_EVEN - estimate) / width));
}

double
model_good_probability(int confidence)
{
	return likelihood(confidence, CONFIDENCE_WIDTH);
}

/* Weight of the newest of so many. */
static double
newest_weight(uint32_t count)
{
	double even = 1.0 / (count + 1);

	return even > RECORD_WEIGHT ? even : RECORD_WEIGHT;
}

void
model_stats_add_start(model_stats_t *record, bool on_time)
{
	if (record->on_time_samples == 0)
		record->on_time_rate = 1;
	record->on_time_samples++;
	record->on_time_rate +=
	    RECORD_WEIGHT * ((double)on_time - record->on_time_rate);
}

static double
good_of(const model_stats_t *record, bool largest)
{
	if (record->good_samples > 0)
		return record->good_rate;
	return largest ? GOOD_LARGEST : GOOD_BETWEEN;
}

static double
gain_of(const model_stats_t *record, bool largest)
{
	if (record->gain_samples > 0)
		return record->confidence_gain;
	return largest ? GAIN_LARGEST : GAIN_BETWEEN;
}

/* Whether an estimate stands at the end of its range: the answer may be worse
 * or better than it says. */
static bool
at_end(int confidence)
{
	return confidence <= 0 || confidence >= CONFIDENCE_MAX;
}

void
model_stats_add_confidence(
    model_stats_t *record, int smallest, int confidence, bool largest)
{
	if (confidence < 0 || smallest < 0)
		return;
	if (smallest == 0) {
		record->good_rate = good_of(record, largest);
		record->good_samples++;
		record->good_rate += RECORD_WEIGHT *
		    (model_good_probability(confidence) - record->good_rate);
		return;
	}
	if (at_end(confidence))
		return;
	record->confidence_gain = gain_of(record, largest);
	record->gain_samples++;
	record->confidence_gain += newest_weight(record->gain_samples) *
	    (confidence - smallest - record->confidence_gain);
}

double
model_stats_on_time_probability(const model_stats_t *record)
{
	return record->on_time_samples > 0 ? record->on_time_rate : 1;
}

double
model_stats_good_probability(
    const model_stats_t *record, int smallest, bool largest)
{
	if (smallest <= 0)
		return good_of(record, largest);
	return likelihood(smallest + gain_of(record, largest), DERIVED_WIDTH);
}
