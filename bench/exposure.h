/**
 * @file
 * Single runs of the exposure experiment.
 */
#ifndef BENCH_EXPOSURE_H
#define BENCH_EXPOSURE_H

#include <stdbool.h>
#include <stdint.h>

/** The number of bad responses above the baseline that one roll-out serves.
 * @param limit guard-limit of the local guard; 0: the default
 * @param bad added share of bad responses, 0 to 1 */
double exposure_bad_responses(double limit, double bad, uint64_t seed);

/** Whether the guard stops a roll-out without a fault. @param limit as above */
bool exposure_is_false_stop(double limit, uint64_t seed);

#endif
