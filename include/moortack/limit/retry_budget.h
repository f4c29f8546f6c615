/**
 * @file
 * Limits retries to a share of the requests: each request adds a fraction of a
 * retry to the budget, and each retry takes one. So when all of a pool fails,
 * the load on it grows by that share and no more.
 */
#ifndef MOORTACK_LIMIT_RETRY_BUDGET_H
#define MOORTACK_LIMIT_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct retry_budget {
	double retries_per_request; /**< added by each request */
	double balance;		    /**< retries allowed now */
} retry_budget_t;

/** @param percent retries as a percentage of requests; 0: no retries */
void retry_budget_init(retry_budget_t *, int64_t percent);

/** Counts a new request. */
void retry_budget_add_request(retry_budget_t *);

/** Takes one retry from the budget. @return false if there is none */
bool retry_budget_acquire(retry_budget_t *);

#endif
