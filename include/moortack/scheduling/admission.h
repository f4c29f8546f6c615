/**
 * @file
 * Decides whether a request is sent to a service's endpoints now, waits, or is
 * refused. One instance per service and daemon, without I/O: times are passed
 * in, in ms of any clock; one that goes backwards counts as standing still.
 *
 * It responds to the wait that endpoints report. Until a service is crowded,
 * everything is sent. While it is crowded, this daemon's part of the capacity,
 * corrected by the reported wait, is divided among ranks and organisations
 * (fair_share.h).
 *
 * Differs from the interface of the design page in these points:
 * - The type and its functions have the prefix service_admission, since
 *   limit/admission.h defines admission_t and admission_init(), and programs
 *   that link both libraries need both.
 * - Crowded is a state of the service, judged by the shortest objective of its
 *   recent requests. Judged by each request's own objective, a request with a
 *   long objective would be sent without limit while more urgent ones with a
 *   short objective are held.
 * - The wait queue tells the admission what waits (wait_queue_init() takes it),
 *   as the credit for these requests must not be given to others.
 */
#ifndef MOORTACK_SCHEDULING_ADMISSION_H
#define MOORTACK_SCHEDULING_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "moortack/scheduling/fair_share.h"

typedef struct admission_request {
	uint64_t organisation;	 /**< hash; 0: none */
	int rank;		 /**< 0 is the highest, 9 the lowest */
	double cost_ms;		 /**< endpoint time that it takes, expected;
				    0 or less: as usual for the service */
	int64_t objective_ms;	 /**< latency objective of its route; 0: none */
	int64_t latest_start_ms; /**< clock time after which it would be late */
} admission_request_t;

typedef enum admission_verdict {
	ADMISSION_SEND,
	ADMISSION_WAIT,
	ADMISSION_REFUSE
} admission_verdict_t;

typedef enum admission_reason {
	ADMISSION_FREE,	       /**< sent: the service is not crowded */
	ADMISSION_SHARE,       /**< sent: within the organisation's share */
	ADMISSION_ABOVE_SHARE, /**< its organisation is above its share */
	ADMISSION_RANK,	       /**< higher ranks use the capacity */
	ADMISSION_LATE /**< within the share, but none is free in time */
} admission_reason_t;

typedef struct admission_decision {
	admission_verdict_t verdict;
	/** When a place is likely, without jitter; 0 if it is sent. Set for
	 * ADMISSION_WAIT too: the queue may be full. */
	int64_t retry_after_ms;
	admission_reason_t reason;
} admission_decision_t;

typedef struct service_admission {
	int64_t now_ms; /**< latest time that was passed in */
	double capacity_ms_per_s;
	uint32_t daemons;
	double service_ms;  /**< of a request, without waiting; 0: not known */
	double cost_ms;	    /**< of requests, smoothed */
	double cost_square; /**< square of it, smoothed */

	double wait_ms;	     /**< smoothed */
	double busy;	     /**< smoothed share of busy slots, 0 to 1 */
	double last_wait_ms; /**< of the last observation */
	double last_busy;    /**< of the last observation */
	int64_t observed_ms; /**< INT64_MIN: never */
	uint32_t sent_since; /**< requests sent since then */

	int64_t objective_ms; /**< shortest of recent requests; 0: none */
	int64_t objective_seen_ms;

	bool crowded;
	int64_t crowded_since_ms;
	int64_t calm_since_ms; /**< wait under the lower bound; INT64_MIN: no */

	double correction;    /**< of the rate, slow part */
	double rate_ms_per_s; /**< that this daemon may send */
	double pool_ms; /**< unused part of the rate; negative: overdrawn */
	/** Part of each rank's minimum that it has not used. */
	double floors_ms[FAIR_SHARE_RANKS];
	uint32_t waiting_count; /**< requests that wait */
	double waiting_ms;	/**< their cost */
	int64_t pool_at_ms;
	int64_t controlled_ms; /**< last step of the control */
	int64_t sent_ms;       /**< last request sent; INT64_MIN: never */
	int64_t held_ms;       /**< last request not sent at once; INT64_MIN:
				  never */
	fair_share_t shares;
} service_admission_t;

void service_admission_init(service_admission_t *);
void service_admission_finish(service_admission_t *);

/** @param ms_per_s capacity of the service's endpoints, in ms of endpoint time
 * a second over all daemons @param daemons that share it; 0 counts as 1 */
void service_admission_set_capacity(
    service_admission_t *, double ms_per_s, uint32_t daemons);

/** A response's load figures. @param wait_ms the wait that they mean
 * @param busy share of busy slots, 0 to 1 */
void service_admission_observe(
    service_admission_t *, double wait_ms, double busy, int64_t now_ms);

/** An endpoint refused a request as full. */
void service_admission_observe_refusal(service_admission_t *, int64_t now_ms);

/** Time that a request took without waiting. */
void service_admission_observe_service_ms(
    service_admission_t *, double ms, int64_t now_ms);

bool service_admission_is_crowded(const service_admission_t *, int64_t now_ms);

/** Smoothed wait, ms; negative: nothing known. */
double service_admission_wait_ms(const service_admission_t *, int64_t now_ms);

/** Flows above their share, for the log; 0 unless crowded. */
size_t
service_admission_above_share(const service_admission_t *, int64_t now_ms);

/** Decides on a request that arrives, counts it as demand, and charges it if it
 * is to be sent. */
admission_decision_t service_admission_decide(
    service_admission_t *, const admission_request_t *, int64_t now_ms);

/** Counts a request as sent that is not held, such as a resumed stream or one
 * that another daemon forwarded. */
void service_admission_charge(
    service_admission_t *, const admission_request_t *, int64_t now_ms);

/** For wait_queue.c: whether a request that waits may be sent now; it is then
 * charged. */
bool service_admission_try(
    service_admission_t *, const admission_request_t *, int64_t now_ms);

/** When the caller of a request that got no place in time may come back, in
 * milliseconds, without jitter; 0: at once, the service is not crowded. */
int64_t service_admission_retry_after_ms(
    service_admission_t *, const admission_request_t *, int64_t now_ms);
/** For wait_queue.c: when credit for a request that waits is likely. Without
 * regard to others that wait. @return not before now_ms */
int64_t service_admission_credit_at(
    service_admission_t *, const admission_request_t *, int64_t now_ms);

/** For wait_queue.c: a request begins or ends to wait. */
void service_admission_add_waiting(
    service_admission_t *, const admission_request_t *, bool waits);

/** Cost of a request, with that of the service in place of an unknown one. */
double service_admission_cost_ms(
    const service_admission_t *, const admission_request_t *);

/** Until when a request may wait: early enough that it also starts in time at
 * an endpoint where some wait. */
int64_t admission_request_give_up_ms(const admission_request_t *);

#endif
