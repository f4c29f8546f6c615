/**
 * @file
 * Single figures of the exposure experiment.
 */
#ifndef BENCH_EXPOSURE_H
#define BENCH_EXPOSURE_H

#include <stdbool.h>
#include <stdint.h>

/** Bad answers of one roll-out with the local guard at this limit. */
double exposure_bad_responses(double limit, double bad, uint64_t seed);

/** Whether one good roll-out is stopped. */
bool exposure_is_false_stop(double limit, uint64_t seed);

#endif
