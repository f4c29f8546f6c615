/**
 * @file
 * The schedule of a roll-out: which share of a service's requests goes to its
 * new version at which time, once that was found to be as good as the old one.
 * Pure functions without state.
 */
#ifndef MOORTACK_ROLLOUT_ROLLOUT_PLAN_H
#define MOORTACK_ROLLOUT_ROLLOUT_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "moortack/rollout/rollout_trial.h"

/** The state of a roll-out. */
typedef enum rollout_state {
	ROLLOUT_PENDING, /**< ordered, not started */
	ROLLOUT_IN_PROGRESS,
	ROLLOUT_COMPLETED,
	ROLLOUT_REVERTED,
} rollout_state_t;

/** Routes by whose requests a new version is put under load. */
#define ROLLOUT_LOAD_ROUTES_MAX 12

/** How the new version is put under load: requests of some routes are sent to
 * so few of its endpoints that most of the slots of these are in use. */
typedef struct rollout_load {
	double share;	    /**< of these routes' requests, for the new
			       version; 0: not known */
	double fill_share;  /**< the share that fills the endpoints, which may
			       be larger, also over 1 */
	uint32_t endpoints; /**< that receive them; 0: not known */
	uint64_t routes[ROLLOUT_LOAD_ROUTES_MAX]; /**< hashes of their names */
	size_t routes_len;
} rollout_load_t;

/** A request, as far as the choice of its version depends on it. */
typedef struct rollout_request {
	uint64_t hash;	/**< of its session, or of its id if it has none */
	uint64_t route; /**< hash of the route's name */
	bool session;
	int64_t tried_ms_ago; /**< its caller may have tried that long ago, by a
				 daemon that was lost since; 0: it has not */
} rollout_request_t;

/** What the schedule depends on at one moment. */
typedef struct rollout_snapshot {
	rollout_state_t state;
	int64_t elapsed_ms; /**< since the order, as far as is known */
	int64_t late_ms;    /**< time that may have passed before that, in which
			       no daemon knew the order */
	int64_t duration_ms;
	int64_t accepted_ms; /**< when the new version was found to be as good
				as the old one, after the order; 0: it was not
				yet */
	rollout_trial_t trial;
	rollout_load_t load;
	bool stopped; /**< this daemon found the new version to be bad */
	bool stale;   /**< the order and the state may be outdated */
} rollout_snapshot_t;

/** Figures from which the load of the new version is determined. */
typedef struct rollout_load_input {
	uint32_t in_flight; /**< requests of the load's routes in flight, of
			       all daemons */
	double route_part;  /**< part of all requests that is of these routes,
			       0 to 1 */
	double rate;	    /**< requests a second, of all routes and
			       daemons; 0: not known */
	uint32_t slots;	    /**< of an endpoint */
	double trial_share; /**< see rollout_trial_t */
	double trial_exposure; /**< part of all requests that the new version
				  gets before it is put under load */
	double exposure_max;   /**< part of all requests that a version which
				  turns out to be bad may get, 0 to 1 */
} rollout_load_input_t;

/** Determine how to put the new version under load.
 * @param load its routes are set; share and endpoints are filled in */
void rollout_plan_load(rollout_load_t *load, const rollout_load_input_t *);
/** Whether it is time to determine that, ahead of its use. */
bool rollout_plan_load_due(const rollout_snapshot_t *);

/** Whether the new version's requests are concentrated on few endpoints, so
 * that a fault that shows only under load is found while the share is small. */
bool rollout_plan_is_saturating(const rollout_snapshot_t *);
/** Whether requests of the route are among those of the load. */
bool rollout_load_has_route(const rollout_load_t *, uint64_t route);
/** Whether requests of the route put the new version under load now. */
bool rollout_plan_loads(const rollout_snapshot_t *, uint64_t route);
/** Endpoints of the new version that are put under load; 0: not known. */
uint32_t rollout_plan_endpoints(const rollout_snapshot_t *);

/** Whether sessions that the old version served recently stay there. */
bool rollout_plan_pins_sessions(const rollout_snapshot_t *);
/** Share of the requests of sessions for the new version meanwhile. */
double rollout_plan_pinned_share(const rollout_snapshot_t *);

/** When it should be known whether the new version is as good, after the order.
 */
int64_t rollout_plan_decision_ms(const rollout_snapshot_t *);
/** Requests that the new version gets before it is put under load, as a part of
 * all. */
double rollout_plan_trial_exposure(const rollout_snapshot_t *);

/** Share of the requests for the new version, 0 to 1, apart from those that put
 * it under load. */
double rollout_plan_share(const rollout_snapshot_t *);
/** Share of the route's requests for the new version, 0 to 1. */
double rollout_plan_route_share(const rollout_snapshot_t *, uint64_t route);

/** Whether a request with this hash is in the share of the new version.
 * @param share 0 to 1 */
bool rollout_share_includes(double share, uint64_t hash);

/** Whether it is late enough that the new version is accepted if it is likely
 * to be as good. */
bool rollout_plan_decision_is_due(const rollout_snapshot_t *);
/** Whether the new version was not accepted for so long after the order's time
 * that the old version gets all requests again. */
bool rollout_plan_gives_up(const rollout_snapshot_t *);
/** Whether a service without requests may be taken for accepted. */
bool rollout_plan_accepts_unseen(const rollout_snapshot_t *);

/** Whether the roll-out may be declared complete.
 * @param drained every daemon sends all requests to the new version and has
 * none in flight on the old one */
bool rollout_plan_may_complete(const rollout_snapshot_t *, bool drained);

#endif
