/**
 * @file
 * Retries as a share of traffic: each request earns a fraction of a retry, and
 * each retry spends one. In an outage of a whole pool the load on it grows by
 * that share and no more.
 */
#ifndef MOORTACK_LIMIT_RETRY_BUDGET_H
#define MOORTACK_LIMIT_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct retry_budget {
	double retries_per_request; /**< retries earned by a request */
	double balance;		    /**< retries that may be spent now */
} retry_budget_t;

/** @param percent retries as a share of requests */
void retry_budget_init(retry_budget_t *, int64_t percent);

/** A request came in. */
void retry_budget_add_request(retry_budget_t *);

/** Spend one retry. @return false when there is none */
bool retry_budget_acquire(retry_budget_t *);

#endif
