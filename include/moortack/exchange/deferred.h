/**
 * @file
 * Work that can wait: accepted once the table holds it, run by any daemon, and
 * collected by its caller, each whole and once.
 *
 * Rows: "defer/ID" holds a job {"organisation", "model", "body", "state"}; a
 * daemon takes one by writing its claim with a lease into it, and ends it in
 * one transaction that checks the claim, so a daemon whose lease lapsed while
 * it was stopped changes nothing, and that carries the bill, so there is one.
 */
#ifndef MOORTACK_EXCHANGE_DEFERRED_H
#define MOORTACK_EXCHANGE_DEFERRED_H

#include "moortack/exchange/exchange.h"
#include "moortack/ledger/bill.h"

/** Accept a chat request that asks to be answered later. */
void deferred_accept(front_t *, struct evhttp_request *);

/** Answer GET /v1/deferred/ID. @param id what follows the prefix */
void deferred_collect(front_t *, struct evhttp_request *, const char *id);

/** Runs of the job that broke off so far. */
uint32_t deferred_interrupted_attempts(const deferred_job_t *);

/** Look for jobs that nobody holds, now and then. */
void deferred_tick(front_t *);

/** A job's exchange ended with a whole answer. */
void deferred_completed(exchange_t *, const bill_t *bill);

/** A job's exchange ended without one: it goes back, or is given up. */
void deferred_failed(exchange_t *, const err_t *err);

#endif
