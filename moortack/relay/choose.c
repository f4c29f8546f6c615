#include "moortack/relay/choose.h"

#include <xxhash.h>

/* Consistent hashing with bounded loads (Mirrokni et al., 2018): an endpoint
 * takes what hashes to it until it holds this much more than the mean. */
#define BOUND_FACTOR 1.25
#define BOUND_SLACK 2.0
#define DICE_RANGE 4294967296.0
/* Loads this close, as a share of the slots, are the same. */
#define TIE_SHARE 0.02

static bool
any_sound(const choose_candidate_t *candidates, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (!candidates[i].ejected)
			return true;
	}
	return false;
}

static double
load_bound(const choose_candidate_t *candidates, size_t len, bool sound)
{
	double sum = 0;
	size_t count = 0;

	for (size_t i = 0; i < len; i++) {
		if (sound && candidates[i].ejected)
			continue;
		sum += candidates[i].load;
		count++;
	}
	return BOUND_FACTOR * sum / (double)count + BOUND_SLACK;
}

/* The endpoint's place in the order for what is shared. */
static uint64_t
rendezvous(uint64_t endpoint, uint64_t affinity)
{
	return XXH3_64bits_withSeed(&endpoint, sizeof(endpoint), affinity);
}

static size_t
choose_affine(const choose_candidate_t *candidates, size_t len,
    const choose_wish_t *wish, bool sound)
{
	double bound = load_bound(candidates, len, sound);
	size_t best = SIZE_MAX;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < len; i++) {
		const choose_candidate_t *one = &candidates[i];
		uint64_t weight;

		if ((sound && one->ejected) || one->load > bound)
			continue;
		weight = rendezvous(one->hash, wish->affinity);
		if (best == SIZE_MAX || weight > best_weight) {
			best = i;
			best_weight = weight;
		}
	}
	return best;
}

static size_t
choose_idlest(const choose_candidate_t *candidates, size_t len,
    const choose_wish_t *wish, bool sound)
{
	double best_score = 0;
	size_t best = SIZE_MAX;

	for (size_t i = 0; i < len; i++) {
		const choose_candidate_t *one = &candidates[i];
		double dice =
		    (double)(uint32_t)rendezvous(one->hash, wish->dice) /
		    DICE_RANGE;
		double score;

		if (sound && one->ejected)
			continue;
		score = (one->load + 1) / (one->slots > 0 ? one->slots : 1);
		score += TIE_SHARE * dice;
		if (!one->same_place)
			score += wish->place_bonus;
		if (best == SIZE_MAX || score < best_score) {
			best = i;
			best_score = score;
		}
	}
	return best;
}

bool
choose_is_long_side(
    const choose_candidate_t *candidates, size_t len, size_t candidate)
{
	size_t before = 0;

	for (size_t i = 0; i < len; i++)
		before += candidates[i].hash < candidates[candidate].hash;
	return before < len / 2;
}

size_t
choose_endpoint(
    const choose_candidate_t *candidates, size_t len, const choose_wish_t *wish)
{
	bool sound = any_sound(candidates, len);
	size_t best = SIZE_MAX;

	if (len == 0)
		return SIZE_MAX;
	if (wish->affine)
		best = choose_affine(candidates, len, wish, sound);
	if (best == SIZE_MAX)
		best = choose_idlest(candidates, len, wish, sound);
	return best;
}
