/**
 * @file
 * Deferred requests: accepted once the store holds them, run by any daemon, and
 * collected by the caller. Each one gets a single, complete result.
 *
 * The row "defer/ID" holds a queued job: {"id", "organisation", "body", "by",
 * "until_ms", "tries"}, and "broken", the count of its interrupted attempts,
 * after a failed run. A daemon claims a job by writing its incarnation as "by"
 * and the end of its lease (wall-clock) as "until_ms"; no other daemon claims
 * the job before. It ends the job in one transaction, which checks that the row
 * still holds this claim: a daemon that was stopped while its lease expired
 * changes nothing. The same transaction writes the result, as "deferred/ID",
 * and the bill, so that there is exactly one bill.
 */
#ifndef MOORTACK_EXCHANGE_DEFERRED_H
#define MOORTACK_EXCHANGE_DEFERRED_H

#include "moortack/exchange/exchange.h"
#include "moortack/ledger/bill.h"

/** Accept a chat request whose caller prefers an asynchronous response. */
void deferred_accept(front_t *, http_request_t *);

/** Respond to GET /v1/deferred/ID. @param id what follows the prefix */
void deferred_collect(front_t *, http_request_t *, const char *id);

/** Attempts of the job, over all its runs so far, that were interrupted. */
uint32_t deferred_interrupted_attempts(const deferred_job_t *);

/** Poll the store for unclaimed jobs when the next poll is due. */
void deferred_tick(front_t *);

/** The exchange of a job ended with a complete response. */
void deferred_completed(exchange_t *, const bill_t *bill);

/** The exchange of a job ended without a response: the job is queued again, or
 * ends as failed. */
void deferred_failed(exchange_t *, const err_t *err);

#endif
