/**
 * @file
 * Version exposure: how many bad responses a roll-out serves until it is
 * stopped, and how often a good roll-out is stopped.
 */
#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <string.h>

#include "experiment.h"
#include "exposure.h"
#include "moortack/route/guard.h"

#define DAEMONS 8
#define ORGANISATIONS 10
#define RATE 160.0	       /* requests a second over all daemons */
#define NEW_VERSION_SHARE 0.10 /* of the requests, on the new version */
#define RUN_S 1800.0
#define BASELINE_BAD_SHARE 0.01
#define PEER_DELAY_S 0.05 /* until a stop reaches the peers */
/* An outage of the store. It delays a guard that writes to the store first. */
#define STORE_OUTAGE_S 45.0
#define GOOD_ROLLOUTS 300

typedef enum guard_kind {
	GUARD_KIND_NONE,
	GUARD_KIND_STORE_FIRST,
	GUARD_KIND_LOCAL
} guard_kind_t;

static const char *const guard_kind_names[] = {
    "no guard", "guard that writes to the store first", "guard, local stop"};

typedef struct fault {
	const char *name;
	double bad_share;	      /**< added share of bad responses */
	bool first_organisation_only; /**< others get none of them */
} fault_t;

static const fault_t faults[] = {
    {"bad at 100 %", 1.0, false},
    {"bad at 20 %", 0.2, false},
    {"bad at 5 %", 0.05, false},
    {"bad at 100 % for one organisation in ten", 1.0, true},
};

typedef struct rollout {
	double bad_responses; /**< above the baseline */
	double last_bad_s;    /**< time of the last of them; RUN_S: none */
	bool stopped;
} rollout_t;

typedef struct cluster {
	guard_t guards[DAEMONS];
	/** When a stop takes effect at a daemon, by organisation and last for
	 * all of them; 0: not stopped. */
	double stop_known_s[DAEMONS][ORGANISATIONS + 1];
} cluster_t;

static void
organisation_name(int o, char out[16])
{
	snprintf(out, 16, "o%d", o);
}

static bool
is_stopped_for(
    const cluster_t *cluster, int daemon, int organisation, double now)
{
	const double *stop_known = cluster->stop_known_s[daemon];

	return (stop_known[ORGANISATIONS] > 0 &&
		   stop_known[ORGANISATIONS] <= now) ||
	    (stop_known[organisation] > 0 && stop_known[organisation] <= now);
}

/* Schedules a stop, for one organisation or for all, at the daemon that decided
 * on it and at its peers. */
static void
stop_propagate(
    cluster_t *cluster, int from, int scope, guard_kind_t kind, double now)
{
	for (int d = 0; d < DAEMONS; d++) {
		double known_s = now +
		    (kind == GUARD_KIND_STORE_FIRST ? STORE_OUTAGE_S
			    : d == from		    ? 1e-9
						    : PEER_DELAY_S);

		if (cluster->stop_known_s[d][scope] == 0)
			cluster->stop_known_s[d][scope] = known_s;
	}
}

static bool
guard_stopped_for_all(const guard_t *guard)
{
	for (handle_t h = 0; h < guard->versions.len; h++) {
		const guard_version_t *row = table_at(&guard->versions, h);

		if (row->stopped && *row->organisation == '\0')
			return true;
	}
	return false;
}

static void
observe(cluster_t *cluster, gsl_rng *rng, guard_kind_t kind, int daemon, int o,
    bool new_version, bool bad, double now)
{
	char name[16];
	guard_sample_t sample = {.model = "m",
	    .version = new_version ? "m@2" : "m@1",
	    .organisation = name,
	    .is_baseline = !new_version,
	    .signal = GUARD_ERROR,
	    .bad = bad};

	(void)rng;
	organisation_name(o, name);
	if (kind == GUARD_KIND_NONE ||
	    !guard_observe(&cluster->guards[daemon], &sample) || !new_version)
		return;
	stop_propagate(cluster, daemon,
	    guard_stopped_for_all(&cluster->guards[daemon]) ? ORGANISATIONS : o,
	    kind, now);
}

static void
guard_start(guard_t *guard, double limit)
{
	guard_init(guard);
	if (limit > 0)
		guard->threshold = limit;
}

static rollout_t
rollout_run(
    guard_kind_t kind, const fault_t *fault, double limit, uint64_t seed)
{
	static cluster_t cluster;
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	rollout_t result = {.last_bad_s = RUN_S};
	double now = 0;

	memset(&cluster, 0, sizeof(cluster));
	gsl_rng_set(rng, seed);
	for (int d = 0; d < DAEMONS; d++)
		guard_start(&cluster.guards[d], limit);
	while ((now += gsl_ran_exponential(rng, 1 / RATE)) < RUN_S) {
		int daemon = (int)gsl_rng_uniform_int(rng, DAEMONS);
		int o = (int)gsl_rng_uniform_int(rng, ORGANISATIONS);
		bool new_version = gsl_rng_uniform(rng) < NEW_VERSION_SHARE &&
		    !is_stopped_for(&cluster, daemon, o, now);
		double added_bad_share = new_version && fault != NULL &&
			(!fault->first_organisation_only || o == 0)
		    ? fault->bad_share
		    : 0;
		bool is_added_bad = gsl_rng_uniform(rng) < added_bad_share;
		bool bad =
		    is_added_bad || gsl_rng_uniform(rng) < BASELINE_BAD_SHARE;

		result.bad_responses += is_added_bad;
		if (is_added_bad)
			result.last_bad_s = now;
		observe(&cluster, rng, kind, daemon, o, new_version, bad, now);
	}
	for (int d = 0; d < DAEMONS; d++) {
		for (int o = 0; o <= ORGANISATIONS; o++)
			result.stopped |= cluster.stop_known_s[d][o] > 0;
		guard_finish(&cluster.guards[d]);
	}
	gsl_rng_free(rng);
	return result;
}

double
exposure_bad_responses(double limit, double bad, uint64_t seed)
{
	const fault_t fault = {.bad_share = bad};

	return rollout_run(GUARD_KIND_LOCAL, &fault, limit, seed).bad_responses;
}

bool
exposure_is_false_stop(double limit, uint64_t seed)
{
	return rollout_run(GUARD_KIND_LOCAL, NULL, limit, seed).stopped;
}

static void
false_stops_print(guard_kind_t kind)
{
	int stops = 0;

	for (int i = 0; i < GOOD_ROLLOUTS; i++)
		stops += rollout_run(kind, NULL, 0, (uint64_t)i + 1000).stopped;
	printf("False stops of the %s over %d good roll-outs of 30 min: %d "
	       "(%.1f %%).\n",
	    guard_kind_names[kind], GOOD_ROLLOUTS, stops,
	    100.0 * stops / GOOD_ROLLOUTS);
}

void
experiment_exposure(void)
{
	printf("%.0f requests a second over %d daemons, %.0f %% on the new "
	       "version, 30 min, base rate of bad responses %.0f %%.\n\n"
	       "| version | guard | bad responses served | last one after s |\n"
	       "| --- | --- | --- | --- |\n",
	    RATE, DAEMONS, 100 * NEW_VERSION_SHARE, 100 * BASELINE_BAD_SHARE);
	for (size_t f = 0; f < sizeof(faults) / sizeof(*faults); f++) {
		for (int k = GUARD_KIND_NONE; k <= GUARD_KIND_LOCAL; k++) {
			samples_t bad = {0}, last_bad = {0};

			for (uint64_t s = 1; s <= EXPERIMENT_SEEDS; s++) {
				rollout_t rollout = rollout_run(
				    (guard_kind_t)k, &faults[f], 0, s);

				samples_add(&bad, rollout.bad_responses);
				samples_add(&last_bad, rollout.last_bad_s);
			}
			printf(
			    "| %s | %s", faults[f].name, guard_kind_names[k]);
			samples_print(&bad, "%.0f");
			samples_print(&last_bad, "%.1f");
			printf(" |\n");
			samples_finish(&bad);
			samples_finish(&last_bad);
		}
	}
	printf("\n");
	false_stops_print(GUARD_KIND_LOCAL);
}
