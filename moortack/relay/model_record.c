#include "moortack/relay/model_record.h"

#include <math.h>

/* A response with this confidence is good enough with probability 0.5; the
 * probability rises with the confidence. Measured on the users' sites: the
 * confidences of a model spread evenly around it. */
#define CONFIDENCE_MIDPOINT 50.0
#define CONFIDENCE_WIDTH 3.5
#define CONFIDENCE_MAX 100
/* The width where the confidence is derived from a smaller model's: larger,
 * since both are rough. */
#define DERIVED_WIDTH 5.0
/* Weight of the newest response in an estimate. In the gain, the initial
 * estimate and the first responses weigh alike; see newest_weight(). */
#define NEWEST_WEIGHT 0.08
/* Estimates before the first response: the largest model is nearly always good
 * enough; a model in between is where the smallest was doubtful, not bad. */
#define GOOD_LARGEST 0.95
#define GOOD_BETWEEN 0.25
#define GAIN_LARGEST 60.0
#define GAIN_BETWEEN 12.0

static double
logistic(double confidence, double width)
{
	return 1.0 / (1.0 + exp((CONFIDENCE_MIDPOINT - confidence) / width));
}

double
model_good_probability(int confidence)
{
	return logistic(confidence, CONFIDENCE_WIDTH);
}

/* Weight of the newest of @p count samples. */
static double
newest_weight(uint32_t count)
{
	double even = 1.0 / (count + 1);

	return even > NEWEST_WEIGHT ? even : NEWEST_WEIGHT;
}

void
model_stats_add_start(model_stats_t *stats, bool on_time)
{
	if (stats->on_time_samples == 0)
		stats->on_time_rate = 1;
	stats->on_time_samples++;
	stats->on_time_rate +=
	    NEWEST_WEIGHT * ((double)on_time - stats->on_time_rate);
}

static double
current_good_rate(const model_stats_t *stats, bool largest)
{
	if (stats->good_samples > 0)
		return stats->good_rate;
	return largest ? GOOD_LARGEST : GOOD_BETWEEN;
}

static double
current_gain(const model_stats_t *stats, bool largest)
{
	if (stats->gain_samples > 0)
		return stats->confidence_gain;
	return largest ? GAIN_LARGEST : GAIN_BETWEEN;
}

/* Whether a confidence is at the end of its range: the response may be worse or
 * better than it says. */
static bool
is_at_limit(int confidence)
{
	return confidence <= 0 || confidence >= CONFIDENCE_MAX;
}

void
model_stats_add_confidence(
    model_stats_t *stats, int smallest, int confidence, bool largest)
{
	if (confidence < 0 || smallest < 0)
		return;
	if (smallest == 0) {
		stats->good_rate = current_good_rate(stats, largest);
		stats->good_samples++;
		stats->good_rate += NEWEST_WEIGHT *
		    (model_good_probability(confidence) - stats->good_rate);
		return;
	}
	if (is_at_limit(confidence))
		return;
	stats->confidence_gain = current_gain(stats, largest);
	stats->gain_samples++;
	stats->confidence_gain += newest_weight(stats->gain_samples) *
	    (confidence - smallest - stats->confidence_gain);
}

double
model_stats_on_time_probability(const model_stats_t *stats)
{
	return stats->on_time_samples > 0 ? stats->on_time_rate : 1;
}

double
model_stats_good_probability(
    const model_stats_t *stats, int smallest, bool largest)
{
	if (smallest <= 0)
		return current_good_rate(stats, largest);
	return logistic(smallest + current_gain(stats, largest), DERIVED_WIDTH);
}
