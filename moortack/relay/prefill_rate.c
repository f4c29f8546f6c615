#include "moortack/relay/prefill_rate.h"

/* Factor by which earlier samples decay with each response: about fifty of them
 * count, so that a change of load or version shows within seconds. */
#define DECAY 0.98
/* Minimum number of samples for an estimate. */
#define SAMPLES_MIN 5
/* Minimum variance of the token counts, relative to their squared mean, for a
 * slope. */
#define VARIANCE_MIN 0.01
/* Part of the variance that is added to that of the pairs: tokens and pairs
 * grow together, and without it the noise of a few samples would decide which
 * of the two takes the time. */
#define PAIRS_RIDGE 0.05
#define TOKENS_PER_MILLION 1e6

/** Regression coefficients. */
typedef struct slopes {
	double per_token; /**< ms */
	double per_pair;  /**< ms for a million pairs */
} slopes_t;

prefill_work_t
prefill_work(uint32_t tokens, uint32_t uncached)
{
	double cached = tokens > uncached ? (double)tokens - uncached : 0;

	return (prefill_work_t){.tokens = uncached,
	    .pairs = uncached * (cached + uncached / 2.0) / TOKENS_PER_MILLION};
}

void
prefill_rate_observe(prefill_rate_t *rate, prefill_work_t work, double ms)
{
	const double tokens = work.tokens, pairs = work.pairs;

	rate->weight = DECAY * rate->weight + 1;
	rate->sum_tokens = DECAY * rate->sum_tokens + tokens;
	rate->sum_pairs = DECAY * rate->sum_pairs + pairs;
	rate->sum_ms = DECAY * rate->sum_ms + ms;
	rate->sum_tokens_squared =
	    DECAY * rate->sum_tokens_squared + tokens * tokens;
	rate->sum_pairs_squared =
	    DECAY * rate->sum_pairs_squared + pairs * pairs;
	rate->sum_tokens_pairs =
	    DECAY * rate->sum_tokens_pairs + tokens * pairs;
	rate->sum_tokens_ms = DECAY * rate->sum_tokens_ms + tokens * ms;
	rate->sum_pairs_ms = DECAY * rate->sum_pairs_ms + pairs * ms;
	rate->samples++;
}

static double
covariance(double sum, double sum_a, double sum_b, double weight)
{
	return sum / weight - sum_a / weight * (sum_b / weight);
}

/* Neither tokens nor pairs make a prefill faster: a negative slope is noise,
 * and the other one then explains the times alone. */
static slopes_t
slopes_bounded(slopes_t both, double token_alone, double pair_alone)
{
	if (both.per_pair < 0)
		return (slopes_t){token_alone > 0 ? token_alone : 0, 0};
	if (both.per_token < 0)
		return (slopes_t){0, pair_alone > 0 ? pair_alone : 0};
	return both;
}

/* @return false: too few samples, or all have about the same length */
static bool
slopes_fit(const prefill_rate_t *rate, slopes_t *out)
{
	const double w = rate->weight;
	double mean, var_t, var_p, cov_tp, cov_tm, cov_pm, det;
	slopes_t both;

	if (rate->samples < SAMPLES_MIN)
		return false;
	mean = rate->sum_tokens / w;
	var_t = covariance(
	    rate->sum_tokens_squared, rate->sum_tokens, rate->sum_tokens, w);
	if (var_t <= VARIANCE_MIN * mean * mean)
		return false;
	var_p = (1 + PAIRS_RIDGE) *
	    covariance(
		rate->sum_pairs_squared, rate->sum_pairs, rate->sum_pairs, w);
	cov_tp = covariance(
	    rate->sum_tokens_pairs, rate->sum_tokens, rate->sum_pairs, w);
	cov_tm =
	    covariance(rate->sum_tokens_ms, rate->sum_tokens, rate->sum_ms, w);
	cov_pm =
	    covariance(rate->sum_pairs_ms, rate->sum_pairs, rate->sum_ms, w);
	det = var_t * var_p - cov_tp * cov_tp;
	if (var_p <= 0 || det <= 0) {
		*out = (slopes_t){cov_tm > 0 ? cov_tm / var_t : 0, 0};
		return true;
	}
	both = (slopes_t){.per_token = (cov_tm * var_p - cov_pm * cov_tp) / det,
	    .per_pair = (cov_pm * var_t - cov_tm * cov_tp) / det};
	*out = slopes_bounded(both, cov_tm / var_t, cov_pm / var_p);
	return true;
}

double
prefill_rate_ms_per_token(const prefill_rate_t *rate)
{
	slopes_t slopes;

	if (!slopes_fit(rate, &slopes))
		return -1;
	return slopes.per_token +
	    slopes.per_pair * rate->sum_tokens / rate->weight /
	    TOKENS_PER_MILLION;
}

double
prefill_rate_first_byte_ms(const prefill_rate_t *rate, prefill_work_t work)
{
	slopes_t slopes;
	double ms;

	if (rate->samples < SAMPLES_MIN)
		return -1;
	ms = rate->sum_ms / rate->weight;
	if (slopes_fit(rate, &slopes))
		ms += slopes.per_token *
			(work.tokens - rate->sum_tokens / rate->weight) +
		    slopes.per_pair *
			(work.pairs - rate->sum_pairs / rate->weight);
	return ms > 0 ? ms : 0;
}
