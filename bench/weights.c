/**
 * @file
 * The settings that weigh objectives of two deployments: cutoff-ms trades the
 * latency of dock scans against refusals at Pyykkiväylä, and guard-limit trades
 * exposure against false stops at Gmunden.
 */
#include <stdio.h>

#include "admission.h"
#include "exposure.h"

#define GOOD_ROLLOUTS 200

static void
cutoffs_print(void)
{
	static const int64_t cutoffs[] = {100, 200, 400, 1000, 2000};

	printf("Pyykkiväylä, dock scans at twice the pool's capacity:\n\n"
	       "| cutoff-ms | critical p99 ms | critical served %% | "
	       "sheddable served %% |\n| --- | --- | --- | --- |\n");
	for (size_t i = 0; i < sizeof(cutoffs) / sizeof(*cutoffs); i++) {
		samples_t p99 = {0}, critical = {0}, sheddable = {0};
		const admission_case_t params = {.load_factor = 2,
		    .refusal_cost = ADMISSION_REFUSAL_COST,
		    .accept_cost = 0.05,
		    .cutoff_ms = cutoffs[i],
		    .uses_classes = true};

		for (uint64_t s = 1; s <= EXPERIMENT_SEEDS; s++) {
			admission_result_t result;

			admission_run(&params, s, &result);
			samples_add(&p99,
			    samples_quantile(
				&result.latencies_ms[CLASS_CRITICAL], 0.99));
			samples_add(&critical,
			    100 * result.in_time[CLASS_CRITICAL] /
				result.offered[CLASS_CRITICAL]);
			samples_add(&sheddable,
			    100 * result.in_time[CLASS_SHEDDABLE] /
				result.offered[CLASS_SHEDDABLE]);
			for (int c = 0; c < CLASS_COUNT; c++)
				samples_finish(&result.latencies_ms[c]);
		}
		printf("| %lld", (long long)cutoffs[i]);
		samples_print(&p99, "%.0f");
		samples_print(&critical, "%.1f");
		samples_print(&sheddable, "%.1f");
		printf(" |\n");
		samples_finish(&p99);
		samples_finish(&critical);
		samples_finish(&sheddable);
	}
}

static void
limits_print(void)
{
	static const double limits[] = {7, 9, 12, 14, 16};

	printf("\nGmunden, a version bad at 20 %%, and good roll-outs:\n\n"
	       "| guard-limit | bad responses served | false stops %% |\n"
	       "| --- | --- | --- |\n");
	for (size_t i = 0; i < sizeof(limits) / sizeof(*limits); i++) {
		samples_t bad = {0};
		int stops = 0;

		for (uint64_t s = 1; s <= EXPERIMENT_SEEDS; s++)
			samples_add(
			    &bad, exposure_bad_responses(limits[i], 0.2, s));
		for (int g = 0; g < GOOD_ROLLOUTS; g++)
			stops += exposure_is_false_stop(
			    limits[i], (uint64_t)g + 5000);
		printf("| %.0f", limits[i]);
		samples_print(&bad, "%.0f");
		printf(" | %.1f |\n", 100.0 * stops / GOOD_ROLLOUTS);
		samples_finish(&bad);
	}
}

void
experiment_weights(void)
{
	cutoffs_print();
	limits_print();
}
