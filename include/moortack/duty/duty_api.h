/**
 * @file
 * Interface to the outside system at which duties are done, as a table of
 * function pointers. Its calls carry the fencing token of the duty's lease.
 */
#ifndef MOORTACK_DUTY_DUTY_API_H
#define MOORTACK_DUTY_DUTY_API_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "moortack/duty/usage_counts.h"

/** How a call ended. */
typedef enum duty_api_result {
	DUTY_API_DONE,
	DUTY_API_REFUSED,     /**< not done; a later call may be */
	DUTY_API_INVALID,     /**< not done; the same call never will be */
	DUTY_API_UNAVAILABLE, /**< not done: there is no such capacity now */
	DUTY_API_NOT_SENT,    /**< no byte of it was sent */
	DUTY_API_NO_RESPONSE, /**< it may have been done; its connection was
				 reset */
} duty_api_result_t;

/** One call. What it points to is copied when the call starts. */
typedef struct duty_call {
	uint64_t token; /**< fencing token */
	/** After this time the connection is reset, so that what is still on
	 * its way does not arrive. */
	int64_t timeout_ms;
	/** Asked when the connection is established, right before the call is
	 * sent. @return false: it must not be sent any more */
	bool (*may_send)(void *arg);
	/** Called exactly once, unless the call could not be started. */
	void (*done)(void *arg, duty_api_result_t);
	void *arg;
} duty_call_t;

/** Number of endpoints that a service should have in a zone. */
typedef struct capacity_order {
	const char *service;
	const char *zone;
	uint32_t endpoints;
	bool preemptible; /**< of the kind that may be taken back */
} capacity_order_t;

typedef struct duty_api duty_api_t;

typedef struct duty_api_ops {
	/** Report how many requests each organisation had in a window. */
	bool (*report_usage)(duty_api_t *, const duty_call_t *, int64_t window,
	    const usage_sum_t *counts, size_t len);
	bool (*order_capacity)(
	    duty_api_t *, const duty_call_t *, const capacity_order_t *);
} duty_api_ops_t;

/* The functions of ops return false if the call could not be started. */
struct duty_api {
	const duty_api_ops_t *ops;
};

#endif
