/**
 * @file
 * Version exposure: how many bad answers a roll-out gives until it is stopped,
 * and how often a good one is stopped.
 */
#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <string.h>

#include "experiment.h"
#include "exposure.h"
#include "moortack/route/guard.h"

#define DAEMONS 8
#define ORGANISATIONS 10
#define RATE 160.0 /* requests a second over all daemons */
#define SHARE 0.10 /* of them on the new version */
#define RUN_S 1800.0
#define BASE_BAD 0.01
#define SPREAD_S 0.05 /* until peers have heard */
#define STORE_S 45.0  /* an outage that a guard waiting for the store meets */
#define GOOD_ROLLOUTS 300

typedef enum kind { KIND_NONE, KIND_STORE, KIND_LOCAL } kind_t;

static const char *const kind_names[] = {
    "no guard", "guard that writes to the store first", "guard, local stop"};

typedef struct fault {
	const char *name;
	double bad;    /**< share of bad answers added */
	bool only_one; /**< for the first organisation alone */
} fault_t;

static const fault_t faults[] = {
    {"bad at 100 %", 1.0, false},
    {"bad at 20 %", 0.2, false},
    {"bad at 5 %", 0.05, false},
    {"bad at 100 % for one organisation in ten", 1.0, true},
};

typedef struct rollout {
	double bad_answers; /**< over the base */
	double stopped_s;   /**< when the last daemon stopped; RUN_S: never */
	bool stopped;
} rollout_t;

typedef struct world {
	guard_t guards[DAEMONS];
	double hear_s[DAEMONS][ORGANISATIONS + 1]; /**< from when; 0: not yet */
} world_t;

static void
organisation_name(int o, char out[16])
{
	snprintf(out, 16, "o%d", o);
}

static bool
stopped_for(const world_t *world, int daemon, int organisation, double now)
{
	const double *hear = world->hear_s[daemon];

	return (hear[ORGANISATIONS] > 0 && hear[ORGANISATIONS] <= now) ||
	    (hear[organisation] > 0 && hear[organisation] <= now);
}

/* A stop, for one organisation or for all, spreads from one daemon. */
static void
stop_spread(world_t *world, int from, int scope, kind_t kind, double now)
{
	for (int d = 0; d < DAEMONS; d++) {
		double when = now +
		    (kind == KIND_STORE ? STORE_S
			    : d == from ? 1e-9
					: SPREAD_S);

		if (world->hear_s[d][scope] == 0)
			world->hear_s[d][scope] = when;
	}
}

static bool
scope_all(const guard_t *guard)
{
	for (handle_t h = 0; h < guard->versions.len; h++) {
		const guard_version_t *row = table_at(&guard->versions, h);

		if (row->stopped && *row->organisation == '\0')
			return true;
	}
	return false;
}

static void
observe(world_t *world, gsl_rng *rng, kind_t kind, int daemon, int o,
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
	if (kind == KIND_NONE ||
	    !guard_observe(&world->guards[daemon], &sample) || !new_version)
		return;
	stop_spread(world, daemon,
	    scope_all(&world->guards[daemon]) ? ORGANISATIONS : o, kind, now);
}

static void
guard_start(guard_t *guard, double limit)
{
	guard_init(guard);
	if (limit > 0)
		guard->threshold = limit;
}

static rollout_t
rollout_run(kind_t kind, const fault_t *fault, double limit, uint64_t seed)
{
	static world_t world;
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	rollout_t result = {.stopped_s = RUN_S};
	double now = 0;

	memset(&world, 0, sizeof(world));
	gsl_rng_set(rng, seed);
	for (int d = 0; d < DAEMONS; d++)
		guard_start(&world.guards[d], limit);
	while ((now += gsl_ran_exponential(rng, 1 / RATE)) < RUN_S) {
		int daemon = (int)gsl_rng_uniform_int(rng, DAEMONS);
		int o = (int)gsl_rng_uniform_int(rng, ORGANISATIONS);
		bool new_version = gsl_rng_uniform(rng) < SHARE &&
		    !stopped_for(&world, daemon, o, now);
		double extra =
		    new_version && fault != NULL && (!fault->only_one || o == 0)
		    ? fault->bad
		    : 0;
		bool worse = gsl_rng_uniform(rng) < extra;
		bool bad = worse || gsl_rng_uniform(rng) < BASE_BAD;

		result.bad_answers += worse;
		if (worse)
			result.stopped_s = now;
		observe(&world, rng, kind, daemon, o, new_version, bad, now);
	}
	for (int d = 0; d < DAEMONS; d++) {
		for (int o = 0; o <= ORGANISATIONS; o++)
			result.stopped |= world.hear_s[d][o] > 0;
		guard_finish(&world.guards[d]);
	}
	gsl_rng_free(rng);
	return result;
}

double
exposure_bad_responses(double limit, double bad, uint64_t seed)
{
	const fault_t fault = {.bad = bad};

	return rollout_run(KIND_LOCAL, &fault, limit, seed).bad_answers;
}

bool
exposure_is_false_stop(double limit, uint64_t seed)
{
	return rollout_run(KIND_LOCAL, NULL, limit, seed).stopped;
}

static void
false_stops_print(kind_t kind)
{
	int stops = 0;

	for (int i = 0; i < GOOD_ROLLOUTS; i++)
		stops += rollout_run(kind, NULL, 0, (uint64_t)i + 1000).stopped;
	printf("False stops of the %s over %d good roll-outs of 30 min: %d "
	       "(%.1f %%).\n",
	    kind_names[kind], GOOD_ROLLOUTS, stops,
	    100.0 * stops / GOOD_ROLLOUTS);
}

void
experiment_exposure(void)
{
	printf("%.0f requests a second over %d daemons, %.0f %% on the new "
	       "version, 30 min, base rate of bad answers %.0f %%.\n\n"
	       "| version | guard | bad answers served | last one after s |\n"
	       "| --- | --- | --- | --- |\n",
	    RATE, DAEMONS, 100 * SHARE, 100 * BASE_BAD);
	for (size_t f = 0; f < sizeof(faults) / sizeof(*faults); f++) {
		for (int k = KIND_NONE; k <= KIND_LOCAL; k++) {
			samples_t bad = {0}, when = {0};

			for (uint64_t s = 1; s <= EXPERIMENT_SEEDS; s++) {
				rollout_t one =
				    rollout_run((kind_t)k, &faults[f], 0, s);

				samples_add(&bad, one.bad_answers);
				samples_add(&when, one.stopped_s);
			}
			printf("| %s | %s", faults[f].name, kind_names[k]);
			samples_print(&bad, "%.0f");
			samples_print(&when, "%.1f");
			printf(" |\n");
			samples_finish(&bad);
			samples_finish(&when);
		}
	}
	printf("\n");
	false_stops_print(KIND_LOCAL);
}
