/**
 * @file
 * How many endpoints a service should have in each zone, and of which kind.
 * Pure decisions, without I/O or clock.
 *
 * Preemptible endpoints cost a part of the price of regular ones, but all of a
 * zone may be taken back together. The plan keeps as many endpoints as the
 * service was provisioned with, most of them preemptible, and enough regular
 * ones that the loss of all preemptible ones does not end the service. Regular
 * endpoints are given up only once preemptible ones are warm in their place.
 *
 * The load that it answers: prompts share parts that endpoints keep cached, so
 * that capacity which is lost costs more than its share until the parts are
 * read again elsewhere.
 */
#ifndef MOORTACK_DUTY_CAPACITY_PLAN_H
#define MOORTACK_DUTY_CAPACITY_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CAPACITY_NAME_SIZE 201
#define CAPACITY_ZONES_MAX 32

/** What may be ordered for a service. */
typedef struct capacity_limits {
	bool allowed;	 /**< false: nothing may be ordered */
	uint32_t min;	 /**< endpoints in a zone, of both kinds together */
	uint32_t max;	 /**< the same */
	int64_t boot_ms; /**< from an order until an endpoint starts to serve */
	double preemptible_price; /**< part of the price of a regular endpoint;
				     0: there are no preemptible ones */
	char zones[CAPACITY_ZONES_MAX][CAPACITY_NAME_SIZE];
	size_t zones_len;
} capacity_limits_t;

/** The endpoints of a service in a zone, as they are. */
typedef struct capacity_zone {
	char name[CAPACITY_NAME_SIZE];
	uint32_t regular;	   /**< neither leaving nor gone */
	uint32_t preemptible;	   /**< the same */
	uint32_t preemptible_warm; /**< of these, those that are not cold */
	bool usable;		   /**< not evacuated */
	uint32_t provision; /**< endpoints that the service was given there */
	uint32_t regular_ceiling; /**< regular ones that have been given up are
				     not ordered again */
} capacity_zone_t;

/** The endpoints that a zone should have. */
typedef struct capacity_target {
	uint32_t regular;
	uint32_t preemptible;
	uint32_t regular_ceiling; /**< for the next plan */
} capacity_target_t;

/** Decide for one service.
 * @param out targets in the order of the zones */
void capacity_plan(const capacity_limits_t *, const capacity_zone_t *zones,
    size_t len, capacity_target_t *out);

#endif
