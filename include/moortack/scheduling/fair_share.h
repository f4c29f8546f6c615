/**
 * @file
 * Max-min fair shares of a rate. A flow is what one organisation sends with one
 * rank. Each flow's demand is estimated from its arrivals; the rate is given to
 * the highest rank first, and within a rank equally, so that what a flow does
 * not use goes to the others (core-stateless fair queueing, Stoica et al.,
 * 1998, without labels). Decisions without I/O. Times are in ms of the caller's
 * clock and must not go backwards; service_admission_t takes care of that.
 */
#ifndef MOORTACK_SCHEDULING_FAIR_SHARE_H
#define MOORTACK_SCHEDULING_FAIR_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** 64 organisations with two ranks each. The one that was not seen for the
 * longest time is replaced. */
#define FAIR_SHARE_FLOWS_MAX 128
#define FAIR_SHARE_RANKS 10
/** Part of the rate that each rank with demand keeps, so that none starves. */
#define FAIR_SHARE_RANK_FLOOR 0.05

/** The requests of one organisation with one rank. Rates are in ms of endpoint
 * time a second. */
typedef struct fair_share_flow {
	int rank;
	double long_rate;  /**< demand over the window, as of seen_ms */
	double short_rate; /**< demand over a second, as of seen_ms */
	double window_ms;  /**< over which the long rate is averaged */
	double cost_ms;	   /**< of a request, smoothed */
	double credit_ms;  /**< that may be sent beyond the share, as of
			      credited_ms */
	double waiting_ms; /**< of its requests that wait */
	int64_t seen_ms;   /**< of its last arrival */
	int64_t credited_ms;
} fair_share_flow_t;

typedef struct fair_share {
	uint64_t keys[FAIR_SHARE_FLOWS_MAX]; /**< of organisation and rank */
	fair_share_flow_t flows[FAIR_SHARE_FLOWS_MAX];
	size_t flow_count;
	/** A flow's share in each rank; INFINITY: all demand fits. */
	double levels[FAIR_SHARE_RANKS];
	/** A flow's share if there were no ranks. */
	double level_without_ranks;
	int top_rank; /**< highest rank with demand */
	/** Rate that flows under their share leave to the others. */
	double spare_rate;
} fair_share_t;

void fair_share_init(fair_share_t *);

/** The flow of an organisation and rank; NULL: not known. */
fair_share_flow_t *
fair_share_find(fair_share_t *, uint64_t organisation, int rank);

/** Counts a request as demand. @return its flow, never NULL */
fair_share_flow_t *fair_share_arrive(fair_share_t *, uint64_t organisation,
    int rank, double cost_ms, int64_t now_ms);

/** Demand of a flow. */
double fair_share_demand(const fair_share_flow_t *, int64_t now_ms);

/** Whether its demand is above its share by more than chance. */
bool fair_share_is_above(
    const fair_share_t *, const fair_share_flow_t *, int64_t now_ms);

/** Demand of all flows. */
double fair_share_demand_sum(const fair_share_t *, int64_t now_ms);

/** Computes the shares that use up the rate. */
void fair_share_compute(fair_share_t *, double rate, int64_t now_ms);

/** Credits of all flows as a service becomes crowded: the burst allowance, less
 * what the flow used of its share before. */
void fair_share_reset_credits(fair_share_t *, int64_t now_ms);

/** Credit of a flow, increased by its share since it was last asked for. */
double
fair_share_credit(const fair_share_t *, fair_share_flow_t *, int64_t now_ms);

/** Credit that a request needs to be sent. One that costs more than the burst
 * allowance would never be sent; it leaves a debt instead. */
double fair_share_needed_ms(const fair_share_flow_t *, double cost_ms);

/** Charges a request that is sent to its flow. */
void fair_share_charge(fair_share_flow_t *, double cost_ms);

#endif
