#include "moortack/relay/choose.h"

#include <string.h>
#include <xxhash.h>

#define RANDOM_RANGE 4294967296.0
/* Loads that differ by less than this share of the slots count as equal. */
#define TIE_LOAD_SHARE 0.02
/* Costs that differ by less than this many milliseconds count as equal. */
#define TIE_MS 4.0
/* Cost of each request that an endpoint is estimated to hold: its decoding
 * steps take longer, and some of the requests are prompts of other daemons that
 * this daemon doesn't know of otherwise. Raises the benchmark score of two
 * deployments by 0.004 and 0.016, over 20 days each. */
#define MS_PER_REQUEST 15.0

static bool
any_healthy(const endpoint_candidate_t *candidates, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (!candidates[i].ejected)
			return true;
	}
	return false;
}

/* Rendezvous hashing: the endpoint with the greatest weight ranks first for the
 * affinity hash. */
static uint64_t
rendezvous_weight(uint64_t endpoint, uint64_t affinity)
{
	return XXH3_64bits_withSeed(&endpoint, sizeof(endpoint), affinity);
}

static double
tie_break(
    const endpoint_candidate_t *candidate, const choice_criteria_t *criteria)
{
	return (double)(uint32_t)rendezvous_weight(
		   candidate->hash, criteria->tie_breaker) /
	    RANDOM_RANGE;
}

size_t
endpoint_rank_by_affinity(const endpoint_candidate_t *candidates, size_t len,
    const choice_criteria_t *criteria, size_t *out, size_t max)
{
	bool healthy_only = any_healthy(candidates, len);
	size_t count = 0;

	for (size_t i = 0; i < len; i++) {
		uint64_t weight =
		    rendezvous_weight(candidates[i].hash, criteria->affinity);
		size_t at = count;

		if (healthy_only && candidates[i].ejected)
			continue;
		while (at > 0 &&
		    rendezvous_weight(candidates[out[at - 1]].hash,
			criteria->affinity) < weight)
			at--;
		if (at == max)
			continue;
		if (count < max)
			count++;
		memmove(
		    &out[at + 1], &out[at], (count - at - 1) * sizeof(out[0]));
		out[at] = i;
	}
	return count;
}

/* Picks the endpoint with the lowest estimated time to the first byte,
 * including the cost to other requests. */
static size_t
choose_lowest_cost(const endpoint_candidate_t *candidates, size_t len,
    const choice_criteria_t *criteria, bool healthy_only)
{
	size_t first = SIZE_MAX;
	size_t best = SIZE_MAX;
	double best_ms = 0;

	if (criteria->first_cached > 0)
		endpoint_rank_by_affinity(candidates, len, criteria, &first, 1);
	for (size_t i = 0; i < len; i++) {
		const endpoint_candidate_t *candidate = &candidates[i];
		double ms = candidate->queue_wait_ms +
		    candidate->own_prefill_ms + candidate->shared_prefill_ms +
		    candidate->cross_zone_ms +
		    MS_PER_REQUEST * candidate->load +
		    TIE_MS * tie_break(candidate, criteria);

		if (healthy_only && candidate->ejected)
			continue;
		if (i == first)
			ms -= criteria->first_cached *
			    candidate->shared_prefill_ms;
		if (best == SIZE_MAX || ms < best_ms) {
			best = i;
			best_ms = ms;
		}
	}
	return best;
}

static size_t
choose_least_loaded(const endpoint_candidate_t *candidates, size_t len,
    const choice_criteria_t *criteria, bool healthy_only)
{
	double best_score = 0;
	size_t best = SIZE_MAX;

	for (size_t i = 0; i < len; i++) {
		const endpoint_candidate_t *candidate = &candidates[i];
		double score;

		if (healthy_only && candidate->ejected)
			continue;
		score = (candidate->load + 1) /
		    (candidate->slots > 0 ? candidate->slots : 1);
		score += TIE_LOAD_SHARE * tie_break(candidate, criteria);
		if (!candidate->same_zone)
			score += criteria->cross_zone_penalty;
		if (best == SIZE_MAX || score < best_score) {
			best = i;
			best_score = score;
		}
	}
	return best;
}

size_t
endpoint_choose(const endpoint_candidate_t *candidates, size_t len,
    const choice_criteria_t *criteria)
{
	bool healthy_only = any_healthy(candidates, len);

	if (len == 0)
		return SIZE_MAX;
	return criteria->has_prompt
	    ? choose_lowest_cost(candidates, len, criteria, healthy_only)
	    : choose_least_loaded(candidates, len, criteria, healthy_only);
}
