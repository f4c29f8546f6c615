#include "moortack/scheduling/fair_share.h"

#include <math.h>
#include <string.h>

#define MS_PER_S 1000.0
/* A flow's demand over a second shows an organisation that multiplies its load;
 * most of the time it has too few requests to tell flows apart. */
#define SHORT_WINDOW_MS 1000.0
/* The long window holds this many requests, which gives a deviation of 18 %. */
#define WINDOW_REQUESTS 16.0
#define WINDOW_MIN_MS 3000.0
#define WINDOW_MAX_MS 30000.0
/* The short window counts if it differs from the long one by more than chance
 * explains: this many standard deviations and one request. A lower number cuts
 * flows of half a request a second that send three at once. */
#define DEVIATIONS 3.0
#define COST_WEIGHT 0.1
/* Standard deviations by which a flow must be above its share to be cut. With
 * one, 60 daemons refuse a tenth of what organisations under their share send;
 * with more than two, an organisation above it is noticed too late. */
#define DOUBT 2.0
/* Requests that a flow may send at once. */
#define BURST_REQUESTS 2.0
/* Finalizer of SplitMix64, and its increment. */
#define MIX_INCREMENT UINT64_C(0x9e3779b97f4a7c15)
#define MIX_1 UINT64_C(0xbf58476d1ce4e5b9)
#define MIX_2 UINT64_C(0x94d049bb133111eb)

void
fair_share_init(fair_share_t *shares)
{
	memset(shares, 0, sizeof(*shares));
	for (size_t i = 0; i < FAIR_SHARE_RANKS; i++)
		shares->levels[i] = INFINITY;
	shares->level_without_ranks = INFINITY;
}

static uint64_t
flow_key(uint64_t organisation, int rank)
{
	uint64_t x = (uint64_t)(rank + 1) * MIX_INCREMENT;

	x = (x ^ (x >> 30)) * MIX_1;
	x = (x ^ (x >> 27)) * MIX_2;
	return organisation ^ x ^ (x >> 31);
}

static int
rank_clamp(int rank)
{
	if (rank < 0)
		return 0;
	return rank < FAIR_SHARE_RANKS ? rank : FAIR_SHARE_RANKS - 1;
}

fair_share_flow_t *
fair_share_find(fair_share_t *shares, uint64_t organisation, int rank)
{
	uint64_t key = flow_key(organisation, rank_clamp(rank));

	for (size_t i = 0; i < shares->flow_count; i++) {
		if (shares->keys[i] == key)
			return &shares->flows[i];
	}
	return NULL;
}

static double
decayed(double rate, int64_t age_ms, double window_ms)
{
	return age_ms <= 0 ? rate : rate * exp(-(double)age_ms / window_ms);
}

/* By how much the short rate may differ from the long one by chance. */
static double
chance_deviation(const fair_share_flow_t *flow, double long_rate)
{
	double requests = long_rate / flow->cost_ms;

	return flow->cost_ms *
	    (DEVIATIONS * sqrt(requests * MS_PER_S / (2 * SHORT_WINDOW_MS)) +
		1);
}

double
fair_share_demand(const fair_share_flow_t *flow, int64_t now_ms)
{
	int64_t age_ms = now_ms - flow->seen_ms;
	double long_rate = decayed(flow->long_rate, age_ms, flow->window_ms);
	double short_rate = decayed(flow->short_rate, age_ms, SHORT_WINDOW_MS);

	if (fabs(short_rate - long_rate) > chance_deviation(flow, long_rate))
		return short_rate;
	return long_rate;
}

static fair_share_flow_t *
flow_add(fair_share_t *shares, uint64_t key, int rank, double cost_ms,
    int64_t now_ms)
{
	size_t slot = shares->flow_count;

	if (slot < FAIR_SHARE_FLOWS_MAX) {
		shares->flow_count++;
	} else {
		slot = 0;
		for (size_t i = 1; i < FAIR_SHARE_FLOWS_MAX; i++) {
			if (shares->flows[i].seen_ms <
			    shares->flows[slot].seen_ms)
				slot = i;
		}
	}
	shares->keys[slot] = key;
	shares->flows[slot] = (fair_share_flow_t){.rank = rank,
	    .window_ms = SHORT_WINDOW_MS,
	    .cost_ms = cost_ms,
	    .credit_ms = BURST_REQUESTS * cost_ms,
	    .seen_ms = now_ms,
	    .credited_ms = now_ms};
	return &shares->flows[slot];
}

/* The window starts at a second and grows with the time for which the demand
 * has not changed by more than chance. */
static void
flow_count(fair_share_flow_t *flow, double cost_ms, int64_t now_ms)
{
	int64_t age_ms = now_ms - flow->seen_ms;
	double window_max_ms;

	flow->cost_ms += COST_WEIGHT * (cost_ms - flow->cost_ms);
	flow->window_ms = fmin(flow->window_ms + (double)age_ms, WINDOW_MAX_MS);
	flow->long_rate = decayed(flow->long_rate, age_ms, flow->window_ms) +
	    cost_ms * MS_PER_S / flow->window_ms;
	flow->short_rate = decayed(flow->short_rate, age_ms, SHORT_WINDOW_MS) +
	    cost_ms * MS_PER_S / SHORT_WINDOW_MS;
	flow->seen_ms = now_ms;
	if (fabs(flow->short_rate - flow->long_rate) >
	    chance_deviation(flow, flow->long_rate)) {
		/* A decaying average is as certain as a plain one over twice
		 * the time. */
		flow->long_rate = flow->short_rate;
		flow->window_ms = 2 * SHORT_WINDOW_MS;
	}
	window_max_ms =
	    WINDOW_REQUESTS * MS_PER_S * flow->cost_ms / flow->long_rate;
	flow->window_ms =
	    fmin(flow->window_ms, fmax(window_max_ms, WINDOW_MIN_MS));
}

fair_share_flow_t *
fair_share_arrive(fair_share_t *shares, uint64_t organisation, int rank,
    double cost_ms, int64_t now_ms)
{
	fair_share_flow_t *flow;

	rank = rank_clamp(rank);
	flow = fair_share_find(shares, organisation, rank);
	if (flow == NULL)
		flow = flow_add(shares, flow_key(organisation, rank), rank,
		    cost_ms, now_ms);
	flow_count(flow, cost_ms, now_ms);
	return flow;
}

/* Demand that the flow has at least, as far as its few requests tell. Flows
 * under their share would otherwise be cut each time that they send a little
 * more than usual by chance. */
static double
demand_at_least(const fair_share_flow_t *flow, double demand)
{
	double deviation =
	    sqrt(demand * flow->cost_ms * MS_PER_S / flow->window_ms);

	return fmax(demand - DOUBT * deviation, 0);
}

bool
fair_share_is_above(
    const fair_share_t *shares, const fair_share_flow_t *flow, int64_t now_ms)
{
	return demand_at_least(flow, fair_share_demand(flow, now_ms)) >
	    shares->levels[flow->rank];
}

double
fair_share_demand_sum(const fair_share_t *shares, int64_t now_ms)
{
	double sum = 0;

	for (size_t i = 0; i < shares->flow_count; i++)
		sum += fair_share_demand(&shares->flows[i], now_ms);
	return sum;
}

/* The level at which the flows' demands, cut at it, use up the rate.
 * @param rank of the flows; -1: all */
static double
water_level(
    const fair_share_t *shares, const double *demands, int rank, double rate)
{
	double level = 0;

	/* Each round takes out the flows under the level; at most one round
	 * per flow. */
	for (size_t round = 0; round <= shares->flow_count; round++) {
		double left = rate;
		size_t above = 0;

		for (size_t i = 0; i < shares->flow_count; i++) {
			if (rank >= 0 && shares->flows[i].rank != rank)
				continue;
			if (demands[i] <= level)
				left -= demands[i];
			else
				above++;
		}
		if (above == 0)
			return INFINITY;
		if (left / (double)above <= level)
			break;
		level = left / (double)above;
	}
	return level;
}

void
fair_share_compute(fair_share_t *shares, double rate, int64_t now_ms)
{
	double demands[FAIR_SHARE_FLOWS_MAX];
	double rank_demand[FAIR_SHARE_RANKS] = {0};
	double floors = 0;
	double left = rate;

	for (size_t i = 0; i < shares->flow_count; i++) {
		demands[i] = fair_share_demand(&shares->flows[i], now_ms);
		rank_demand[shares->flows[i].rank] += demands[i];
	}
	shares->top_rank = 0;
	while (shares->top_rank < FAIR_SHARE_RANKS - 1 &&
	    rank_demand[shares->top_rank] <= 0)
		shares->top_rank++;
	for (size_t i = 0; i < FAIR_SHARE_RANKS; i++)
		floors += fmin(rank_demand[i], FAIR_SHARE_RANK_FLOOR * rate);
	for (int i = 0; i < FAIR_SHARE_RANKS; i++) {
		double floor =
		    fmin(rank_demand[i], FAIR_SHARE_RANK_FLOOR * rate);
		double given;

		floors -= floor;
		given = fmax(left - floors, floor);
		shares->levels[i] = INFINITY;
		if (rank_demand[i] > given)
			shares->levels[i] =
			    water_level(shares, demands, i, given);
		left -= fmin(rank_demand[i], given);
	}
	shares->spare_rate = rate;
	for (size_t i = 0; i < shares->flow_count; i++) {
		const fair_share_flow_t *flow = &shares->flows[i];

		if (demand_at_least(flow, demands[i]) <=
		    shares->levels[flow->rank])
			shares->spare_rate -= demands[i];
	}
	shares->level_without_ranks = water_level(shares, demands, -1, rate);
}

void
fair_share_reset_credits(fair_share_t *shares, int64_t now_ms)
{
	for (size_t i = 0; i < shares->flow_count; i++) {
		fair_share_flow_t *flow = &shares->flows[i];
		double used = fair_share_demand(flow, now_ms) /
		    shares->levels[flow->rank];

		flow->credit_ms =
		    BURST_REQUESTS * flow->cost_ms * fmax(1 - used, 0);
		flow->credited_ms = now_ms;
	}
}

double
fair_share_credit(
    const fair_share_t *shares, fair_share_flow_t *flow, int64_t now_ms)
{
	double age_ms = (double)(now_ms - flow->credited_ms);
	double level = shares->levels[flow->rank];
	double burst_ms = BURST_REQUESTS * flow->cost_ms;

	if (isinf(level))
		flow->credit_ms = burst_ms;
	else if (age_ms > 0)
		flow->credit_ms =
		    fmin(flow->credit_ms + level * age_ms / MS_PER_S, burst_ms);
	flow->credited_ms = now_ms;
	return flow->credit_ms;
}

double
fair_share_needed_ms(const fair_share_flow_t *flow, double cost_ms)
{
	return fmin(cost_ms, BURST_REQUESTS * flow->cost_ms);
}

void
fair_share_charge(fair_share_flow_t *flow, double cost_ms)
{
	double debt_max_ms = fmax(BURST_REQUESTS * flow->cost_ms, cost_ms);

	flow->credit_ms = fmax(flow->credit_ms - cost_ms, -debt_max_ms);
}
