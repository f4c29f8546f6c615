#include "moortack/route/cascade.h"

#define PRIOR_WEIGHT 4.0
#define FADE 0.995    /* of what was learned, a rating: about 200 count */
#define BAR_STEP 0.01 /* the bar's move for one rating */
#define BAR_MIN 0.05
#define BAR_MAX 0.99
#define COST_SMOOTHING 0.02
#define NEIGHBOUR 0.25	 /* a rating says this much of the bins beside */
#define WORTH_MARGIN 1.0 /* asking first is worth it below this cost ratio */

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
			/* Before any rating, confidence is taken at its word
			 * around the model's prior. */
			double chance = priors[m] +
			    ((b + 0.5) / CASCADE_BINS - 0.5) * (1 - priors[m]);

			cascade->models[m].ratings[b] = PRIOR_WEIGHT;
			cascade->models[m].good_ratings[b] = PRIOR_WEIGHT *
			    (chance < 0		 ? 0
				    : chance > 1 ? 1
						 : chance);
		}
	}
}

double
cascade_good_probability(const cascade_t *cascade, int model, double confidence)
{
	const cascade_model_stats_t *row = &cascade->models[model];
	int bin = bin_of(confidence);

	return row->good_ratings[bin] / row->ratings[bin];
}

bool
cascade_accepts(const cascade_t *cascade, int model, double confidence)
{
	if (model == cascade->model_count - 1)
		return true;
	return cascade_good_probability(cascade, model, confidence) >=
	    cascade->threshold;
}

/* The share of the model's answers that would be accepted, by what was seen. */
static double
accepted_share(const cascade_t *cascade, int model)
{
	const cascade_model_stats_t *row = &cascade->models[model];
	double accepted = 0;
	double all = 0;

	for (int b = 0; b < CASCADE_BINS; b++) {
		all += row->ratings[b];
		if (row->good_ratings[b] / row->ratings[b] >=
		    cascade->threshold)
			accepted += row->ratings[b];
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
		    cost < best * accepted_share(cascade, m) * WORTH_MARGIN)
			return m;
	}
	return last;
}

int
cascade_single_model(const cascade_t *cascade)
{
	int last = cascade->model_count - 1;

	for (int m = 0; m < last; m++) {
		const cascade_model_stats_t *row = &cascade->models[m];
		double good = 0;
		double seen = 0;

		for (int b = 0; b < CASCADE_BINS; b++) {
			good += row->good_ratings[b];
			seen += row->ratings[b];
		}
		if (good >= cascade->target * seen)
			return m;
	}
	return last;
}

static void
bin_rate(cascade_model_stats_t *row, int bin, double weight, bool good)
{
	if (bin < 0 || bin >= CASCADE_BINS)
		return;
	row->ratings[bin] += weight;
	row->good_ratings[bin] += good ? weight : 0;
}

void
cascade_add_rating(cascade_t *cascade, int model, double confidence, bool good)
{
	cascade_model_stats_t *row = &cascade->models[model];
	int bin = bin_of(confidence);

	for (int b = 0; b < CASCADE_BINS; b++) {
		/* What was learned fades, so that a change shows; never to
		 * nothing, so that a chance stays defined. */
		if (row->ratings[b] * FADE < PRIOR_WEIGHT / 2)
			continue;
		row->ratings[b] *= FADE;
		row->good_ratings[b] *= FADE;
	}
	bin_rate(row, bin, 1, good);
	bin_rate(row, bin - 1, NEIGHBOUR, good);
	bin_rate(row, bin + 1, NEIGHBOUR, good);
	/* Too many bad answers raise the bar, good ones let it down, so that
	 * it stands still at the target. */
	cascade->threshold += good ? -BAR_STEP * (1 - cascade->target)
				   : BAR_STEP * cascade->target;
	if (cascade->threshold < BAR_MIN)
		cascade->threshold = BAR_MIN;
	if (cascade->threshold > BAR_MAX)
		cascade->threshold = BAR_MAX;
}

void
cascade_add_cost(cascade_t *cascade, int model, double cost)
{
	cascade_model_stats_t *row = &cascade->models[model];

	row->mean_cost = row->mean_cost <= 0
	    ? cost
	    : row->mean_cost + COST_SMOOTHING * (cost - row->mean_cost);
}
