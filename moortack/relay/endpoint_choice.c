#include "moortack/relay/endpoint_choice.h"

#include <string.h>
#include <xxhash.h>

#define DICE_RANGE 4294967296.0
/* Loads this close, as a share of the slots, are the same. */
#define TIE_SHARE 0.02
/* Times this close, in milliseconds, are the same. */
#define TIE_MS 4.0
/* What each request that an endpoint holds adds to what is expected there: its
 * steps are longer, and some are prompts of other daemons that can't be seen
 * otherwise. Without it the worth of two of the users' sheets is 0.004 and
 * 0.016 less (20 days each). */
#define LOAD_MS 15.0

static bool
any_sound(const endpoint_candidate_t *candidates, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (!candidates[i].ejected)
			return true;
	}
	return false;
}

/* The endpoint's place in the order for what is shared. */
static uint64_t
rendezvous(uint64_t endpoint, uint64_t affinity)
{
	return XXH3_64bits_withSeed(&endpoint, sizeof(endpoint), affinity);
}

static double
dice_of(const endpoint_candidate_t *candidate, const choice_criteria_t *wish)
{
	return (double)(uint32_t)rendezvous(
		   candidate->hash, wish->tie_breaker) /
	    DICE_RANGE;
}

size_t
endpoint_rank_by_affinity(const endpoint_candidate_t *candidates, size_t len,
    const choice_criteria_t *wish, size_t *out, size_t most)
{
	bool sound = any_sound(candidates, len);
	size_t count = 0;

	for (size_t i = 0; i < len; i++) {
		uint64_t weight =
		    rendezvous(candidates[i].hash, wish->affinity);
		size_t at = count;

		if (sound && candidates[i].ejected)
			continue;
		while (at > 0 &&
		    rendezvous(candidates[out[at - 1]].hash, wish->affinity) <
			weight)
			at--;
		if (at == most)
			continue;
		if (count < most)
			count++;
		memmove(
		    &out[at + 1], &out[at], (count - at - 1) * sizeof(out[0]));
		out[at] = i;
	}
	return count;
}

/* Where the answer likely begins first, for what it costs others. */
static size_t
choose_soonest(const endpoint_candidate_t *candidates, size_t len,
    const choice_criteria_t *wish, bool sound)
{
	size_t first = SIZE_MAX;
	size_t best = SIZE_MAX;
	double best_ms = 0;

	if (wish->first_cached > 0)
		endpoint_rank_by_affinity(candidates, len, wish, &first, 1);
	for (size_t i = 0; i < len; i++) {
		const endpoint_candidate_t *one = &candidates[i];
		double ms = one->queue_wait_ms + one->own_prefill_ms +
		    one->shared_prefill_ms + one->cross_zone_ms +
		    LOAD_MS * one->load + TIE_MS * dice_of(one, wish);

		if (sound && one->ejected)
			continue;
		if (i == first)
			ms -= wish->first_cached * one->shared_prefill_ms;
		if (best == SIZE_MAX || ms < best_ms) {
			best = i;
			best_ms = ms;
		}
	}
	return best;
}

static size_t
choose_idlest(const endpoint_candidate_t *candidates, size_t len,
    const choice_criteria_t *wish, bool sound)
{
	double best_score = 0;
	size_t best = SIZE_MAX;

	for (size_t i = 0; i < len; i++) {
		const endpoint_candidate_t *one = &candidates[i];
		double score;

		if (sound && one->ejected)
			continue;
		score = (one->load + 1) / (one->slots > 0 ? one->slots : 1);
		score += TIE_SHARE * dice_of(one, wish);
		if (!one->same_zone)
			score += wish->cross_zone_penalty;
		if (best == SIZE_MAX || score < best_score) {
			best = i;
			best_score = score;
		}
	}
	return best;
}

size_t
endpoint_choose(const endpoint_candidate_t *candidates, size_t len,
    const choice_criteria_t *wish)
{
	bool sound = any_sound(candidates, len);

	if (len == 0)
		return SIZE_MAX;
	return wish->has_prompt ? choose_soonest(candidates, len, wish, sound)
				: choose_idlest(candidates, len, wish, sound);
}
