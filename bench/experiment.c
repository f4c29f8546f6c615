/**
 * @file
 * Shared by the experiments: samples, a discrete-event simulation, seeded
 * random numbers.
 */
#include "experiment.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLOCK_START_MS 1000000

void
samples_init(samples_t *samples)
{
	*samples = (samples_t){0};
}

void
samples_finish(samples_t *samples)
{
	free(samples->values);
	*samples = (samples_t){0};
}

void
samples_add(samples_t *samples, double value)
{
	if (samples->count == samples->capacity) {
		samples->capacity = samples->capacity * 2 + 64;
		samples->values = realloc(
		    samples->values, samples->capacity * sizeof(double));
		if (samples->values == NULL)
			abort();
	}
	samples->values[samples->count++] = value;
}

double
samples_quantile(samples_t *samples, double share)
{
	if (samples->count == 0)
		return 0;
	gsl_sort(samples->values, 1, samples->count);
	return gsl_stats_quantile_from_sorted_data(
	    samples->values, 1, samples->count, share);
}

double
samples_mean(const samples_t *samples)
{
	return samples->count == 0
	    ? 0
	    : gsl_stats_mean(samples->values, 1, samples->count);
}

double
samples_stddev(const samples_t *samples)
{
	return samples->count < 2
	    ? 0
	    : gsl_stats_sd(samples->values, 1, samples->count);
}

void
samples_print(const samples_t *samples, const char *format)
{
	printf(" | ");
	printf(format, samples_mean(samples));
	printf("±");
	printf(format, samples_stddev(samples));
}

void
des_init(des_t *des)
{
	*des = (des_t){0};
}

void
des_finish(des_t *des)
{
	free(des->heap);
	*des = (des_t){0};
}

static bool
event_is_earlier(const des_event_t *a, const des_event_t *b)
{
	return a->at_ms < b->at_ms ||
	    (a->at_ms == b->at_ms && a->order < b->order);
}

static void
events_swap(des_event_t *a, des_event_t *b)
{
	des_event_t saved = *a;

	*a = *b;
	*b = saved;
}

void
des_schedule(des_t *des, double after_ms, des_event_t event)
{
	size_t index = des->count;

	if (des->count == des->capacity) {
		des->capacity = des->capacity * 2 + 256;
		des->heap = realloc(des->heap, des->capacity * sizeof(event));
		if (des->heap == NULL)
			abort();
	}
	event.at_ms = des->now_ms + after_ms;
	event.order = des->next_order++;
	des->heap[des->count++] = event;
	while (index > 0 &&
	    event_is_earlier(&des->heap[index], &des->heap[(index - 1) / 2])) {
		events_swap(&des->heap[index], &des->heap[(index - 1) / 2]);
		index = (index - 1) / 2;
	}
}

bool
des_next(des_t *des, des_event_t *out)
{
	size_t index = 0;

	if (des->count == 0)
		return false;
	*out = des->heap[0];
	des->heap[0] = des->heap[--des->count];
	for (;;) {
		size_t earliest = index;

		for (size_t child = 2 * index + 1;
		     child <= 2 * index + 2 && child < des->count; child++) {
			if (event_is_earlier(
				&des->heap[child], &des->heap[earliest]))
				earliest = child;
		}
		if (earliest == index)
			break;
		events_swap(&des->heap[index], &des->heap[earliest]);
		index = earliest;
	}
	des->now_ms = out->at_ms;
	return true;
}

struct timespec
des_time(const des_t *des)
{
	return timespec_from_ms(CLOCK_START_MS + (int64_t)des->now_ms);
}

static uint32_t
bench_rng_next(rng_t *rng)
{
	return (uint32_t)gsl_rng_get(((bench_rng_t *)rng)->gsl);
}

void
bench_rng_init(bench_rng_t *rng, uint64_t seed)
{
	rng->rng = (rng_t){.next = bench_rng_next};
	rng->gsl = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(rng->gsl, (unsigned long)seed);
}

void
bench_rng_finish(bench_rng_t *rng)
{
	gsl_rng_free(rng->gsl);
}
