/**
 * @file
 * The duty of ordering capacity: keeps the numbers of endpoints of each service
 * and zone at what capacity_plan() decides. All orders are made under one
 * lease, and the numbers are written to the store before they are ordered, so
 * that a successor goes on with the same ones.
 */
#ifndef MOORTACK_DUTY_CAPACITY_ORDERS_H
#define MOORTACK_DUTY_CAPACITY_ORDERS_H

#include <uthash.h>

#include "moortack/duty/capacity_plan.h"
#include "moortack/duty/duty_api.h"
#include "moortack/duty/duty_holder.h"

/** A service for which capacity may be ordered, as it is now. */
typedef struct capacity_service_view {
	const char *service;
	const capacity_limits_t *limits;
	capacity_zone_t zones[CAPACITY_ZONES_MAX]; /**< without provision and
						      ceiling */
	size_t zones_len;
	bool rolling_out; /**< endpoints of two versions run */
} capacity_service_view_t;

typedef void (*capacity_view_cb_t)(void *arg, const capacity_service_view_t *);

typedef struct capacity_source {
	/** Pass each such service. */
	void (*each_service)(void *source, capacity_view_cb_t, void *arg);
	void *source;
} capacity_source_t;

/** Kinds of endpoints. */
typedef enum capacity_kind {
	CAPACITY_REGULAR,
	CAPACITY_PREEMPTIBLE,
	CAPACITY_KINDS /* count */
} capacity_kind_t;

/** The order of one kind in one zone. */
typedef struct capacity_order_state {
	uint32_t wanted;
	uint32_t stored; /**< as in the store */
	uint32_t present;
	bool known;   /**< wanted has been decided */
	bool sent;    /**< the outside system has confirmed wanted */
	bool refused; /**< it could not be met, and is not met yet */
	struct timespec sent_at;
} capacity_order_state_t;

/** The orders of a service in a zone. */
typedef struct capacity_subject {
	char key[2 * CAPACITY_NAME_SIZE + 1]; /**< service, a slash, zone */
	char service[CAPACITY_NAME_SIZE];
	char zone[CAPACITY_NAME_SIZE];
	uint32_t provision;
	uint32_t stored_provision;
	struct timespec provision_at; /**< when it last grew */
	uint32_t regular_ceiling;     /**< see capacity_zone_t; UINT32_MAX: none
					 were given up yet */
	uint32_t stored_ceiling;
	bool rolling_out;
	int64_t boot_ms;
	capacity_order_state_t orders[CAPACITY_KINDS];
	bool writing; /**< its row is in the write in flight */
	UT_hash_handle hh;
} capacity_subject_t;

typedef struct capacity_orders {
	const clock_source_t *clock;
	event_log_t *log;
	duty_api_t *api;
	capacity_source_t source;
	duty_holder_t holder;
	capacity_subject_t *subjects;
	struct timespec planned_at;
	struct timespec responsible_since;
	bool responsible;
	bool call_pending;
	capacity_subject_t *pending_subject;
	capacity_kind_t pending_kind;
	struct timespec next_send_at;
	uint64_t orders_done;
	uint64_t orders_failed;
} capacity_orders_t;

/** Fill in clock, log, api and source before.
 * @param vm name of this VM
 * @param process random number of this process */
void capacity_orders_init(capacity_orders_t *, row_store_t *, const char *vm,
    uint64_t process, int64_t lease_ms);
void capacity_orders_finish(capacity_orders_t *);

/** Do what is due; called a few times a second.
 * @param responsible whether this daemon orders capacity */
void capacity_orders_tick(capacity_orders_t *, bool responsible);

/** Whether a call is in flight or the lease still has to be given back. */
bool capacity_orders_busy(const capacity_orders_t *);

#endif
