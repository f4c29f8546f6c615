#include "moortack/route/cascade.h"

#define PRIOR_WEIGHT 4.0
#define DECAY 0.995 /* of earlier ratings at each new one: about 200 count */
#define THRESHOLD_STEP 0.01 /* change of the threshold for one rating */
#define THRESHOLD_MIN 0.05
#define THRESHOLD_MAX 0.99
#define COST_SMOOTHING 0.02
#define NEIGHBOUR_WEIGHT 0.25 /* weight of a rating in the adjacent bins */
/* A model gets the request first if its cost is below this many times the best
 * model's cost times the share of its responses that are accepted. */
#define COST_MARGIN 1.0

static int
bin_of(double confidence)
{
	int bin = (int)(confidence * CASCADE_BINS);

	return bin < 0 ? 0 : bin >= CASCADE_BINS ? CASCADE_BINS - 1 : bin;
}

void
cascade_init(
    cascade_t *cascade, int models, const double *priors, double target)
{
	*cascade = (cascade_t){
	    .model_count = models, .target = target, .threshold = target};
	for (int m = 0; m < models; m++) {
		for (int b = 0; b < CASCADE_BINS; b++) {
			/* Before any rating, the probability rises with the
			 * confidence, around the model's prior. */
			double probability = priors[m] +
			    ((b + 0.5) / CASCADE_BINS - 0.5) * (1 - priors[m]);

			cascade->models[m].ratings[b] = PRIOR_WEIGHT;
			cascade->models[m].good_ratings[b] = PRIOR_WEIGHT *
			    (probability < 0	      ? 0
				    : probability > 1 ? 1
						      : probability);
		}
	}
}

double
cascade_good_probability(const cascade_t *cascade, int model, double confidence)
{
	const cascade_model_stats_t *stats = &cascade->models[model];
	int bin = bin_of(confidence);

	return stats->good_ratings[bin] / stats->ratings[bin];
}

bool
cascade_accepts(const cascade_t *cascade, int model, double confidence)
{
	if (model == cascade->model_count - 1)
		return true;
	return cascade_good_probability(cascade, model, confidence) >=
	    cascade->threshold;
}

/* The share of the model's rated responses that the threshold accepts. */
static double
accepted_share(const cascade_t *cascade, int model)
{
	const cascade_model_stats_t *stats = &cascade->models[model];
	double accepted = 0;
	double all = 0;

	for (int b = 0; b < CASCADE_BINS; b++) {
		all += stats->ratings[b];
		if (stats->good_ratings[b] / stats->ratings[b] >=
		    cascade->threshold)
			accepted += stats->ratings[b];
	}
	return accepted / all;
}

int
cascade_first_model(const cascade_t *cascade, bool explore)
{
	int last = cascade->model_count - 1;

	for (int m = 0; m < last; m++) {
		double cost = cascade->models[m].mean_cost;
		double best = cascade->models[last].mean_cost;

		if (explore || cost <= 0 || best <= 0 ||
		    cost < best * accepted_share(cascade, m) * COST_MARGIN)
			return m;
	}
	return last;
}

int
cascade_single_model(const cascade_t *cascade)
{
	int last = cascade->model_count - 1;

	for (int m = 0; m < last; m++) {
		const cascade_model_stats_t *stats = &cascade->models[m];
		double good = 0;
		double seen = 0;

		for (int b = 0; b < CASCADE_BINS; b++) {
			good += stats->good_ratings[b];
			seen += stats->ratings[b];
		}
		if (good >= cascade->target * seen)
			return m;
	}
	return last;
}

static void
bin_add_rating(cascade_model_stats_t *stats, int bin, double weight, bool good)
{
	if (bin < 0 || bin >= CASCADE_BINS)
		return;
	stats->ratings[bin] += weight;
	stats->good_ratings[bin] += good ? weight : 0;
}

void
cascade_add_rating(cascade_t *cascade, int model, double confidence, bool good)
{
	cascade_model_stats_t *stats = &cascade->models[model];
	int bin = bin_of(confidence);

	for (int b = 0; b < CASCADE_BINS; b++) {
		/* Earlier ratings decay, so that a change of the model shows;
		 * a minimum stays, so that the probability is defined. */
		if (stats->ratings[b] * DECAY < PRIOR_WEIGHT / 2)
			continue;
		stats->ratings[b] *= DECAY;
		stats->good_ratings[b] *= DECAY;
	}
	bin_add_rating(stats, bin, 1, good);
	bin_add_rating(stats, bin - 1, NEIGHBOUR_WEIGHT, good);
	bin_add_rating(stats, bin + 1, NEIGHBOUR_WEIGHT, good);
	/* Bad responses raise the threshold and good ones lower it, by steps
	 * that cancel out when the share of good ones is the target. */
	cascade->threshold += good ? -THRESHOLD_STEP * (1 - cascade->target)
				   : THRESHOLD_STEP * cascade->target;
	if (cascade->threshold < THRESHOLD_MIN)
		cascade->threshold = THRESHOLD_MIN;
	if (cascade->threshold > THRESHOLD_MAX)
		cascade->threshold = THRESHOLD_MAX;
}

void
cascade_add_cost(cascade_t *cascade, int model, double cost)
{
	cascade_model_stats_t *stats = &cascade->models[model];

	stats->mean_cost = stats->mean_cost <= 0
	    ? cost
	    : stats->mean_cost + COST_SMOOTHING * (cost - stats->mean_cost);
}
