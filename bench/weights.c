/**
 * @file
 * The two deployments' weights as settings: what cutoff-ms buys Pyykkiväylä
 * (latency of dock scans against refusals) and guard-limit buys Gmunden
 * (exposure against false stops).
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
		const admission_case_t what = {.times = 2,
		    .r = ADMISSION_R,
		    .entry = 0.05,
		    .cutoff_ms = cutoffs[i],
		    .classes = true};

		for (uint64_t s = 1; s <= EXPERIMENT_SEEDS; s++) {
			admission_result_t one;

			admission_run(&what, s, &one);
			samples_add(&p99,
			    samples_quantile(&one.took[CLASS_CRITICAL], 0.99));
			samples_add(&critical,
			    100 * one.good[CLASS_CRITICAL] /
				one.offered[CLASS_CRITICAL]);
			samples_add(&sheddable,
			    100 * one.good[CLASS_SHEDDABLE] /
				one.offered[CLASS_SHEDDABLE]);
			for (int c = 0; c < CLASS_COUNT; c++)
				samples_finish(&one.took[c]);
		}
		printf("| %lld", (long long)cutoffs[i]);
		figure_print(&p99, "%.0f");
		figure_print(&critical, "%.1f");
		figure_print(&sheddable, "%.1f");
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
	       "| guard-limit | bad answers served | false stops %% |\n"
	       "| --- | --- | --- |\n");
	for (size_t i = 0; i < sizeof(limits) / sizeof(*limits); i++) {
		samples_t bad = {0};
		int stops = 0;

		for (uint64_t s = 1; s <= EXPERIMENT_SEEDS; s++)
			samples_add(
			    &bad, exposure_bad_answers(limits[i], 0.2, s));
		for (int g = 0; g < GOOD_ROLLOUTS; g++)
			stops +=
			    exposure_false_stop(limits[i], (uint64_t)g + 5000);
		printf("| %.0f", limits[i]);
		figure_print(&bad, "%.0f");
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
