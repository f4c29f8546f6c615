/**
 * @file
 * Load and control of the rate, for admission.c.
 */
#ifndef MOORTACK_SCHEDULING_ADMISSION_LOAD_H
#define MOORTACK_SCHEDULING_ADMISSION_LOAD_H

#include "moortack/scheduling/admission.h"

#define MS_PER_S 1000.0
/* Without an observation for this long, nothing is known. */
#define KNOWN_MS 1000
/* Parts of the objective. A quarter still leaves time for the work itself. The
 * target is the same quarter: at a lower one, daemons that have not noticed the
 * load would not, since the others hold the wait below it, and would send
 * without limit. */
#define CROWDED_BEGIN 0.25
#define CROWDED_END 0.1
#define WAIT_TARGET 0.25
/* Between two corrections of the rate. */
#define CONTROL_MS 100
#define COST_MIN_MS 0.01
#define COST_MAX_MS 1e6

/** Takes the time, which counts as standing still if it goes back. */
int64_t admission_load_advance(service_admission_t *, int64_t now_ms);

/** The time to use where it is not taken. */
int64_t admission_load_clamp(const service_admission_t *, int64_t now_ms);

/** Whether it is at least this long ago; true if it never was (INT64_MIN). */
bool admission_load_is_past(int64_t at_ms, int64_t now_ms, int64_t age_ms);

bool admission_load_is_known(const service_admission_t *, int64_t now_ms);

/** Follows whether the service is crowded, and corrects rate and shares if the
 * last time was long enough ago. */
void admission_load_control(service_admission_t *);

/** Cost of a request, over all flows, that makes chance deviations as large as
 * the mix of costs does. */
double admission_load_usual_cost_ms(const service_admission_t *);

/** Counts the cost of a request. */
void admission_load_note_cost(service_admission_t *, double cost_ms);

/** Capacity of the pool. */
double admission_load_pool_max_ms(const service_admission_t *);

#endif
