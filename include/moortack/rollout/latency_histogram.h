/**
 * @file
 * Latencies counted in bins of equal ratio, and a sequential test of whether
 * those of a new version are several times longer than those of the old one.
 * Performs no I/O and reads no clock.
 */
#ifndef MOORTACK_ROLLOUT_LATENCY_HISTOGRAM_H
#define MOORTACK_ROLLOUT_LATENCY_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

/** Bins from 1 ms to 47 s; each ends at 1.4 times its start. */
#define LATENCY_BINS 32

typedef struct latency_histogram {
	uint32_t bins[LATENCY_BINS];
} latency_histogram_t;

void latency_histogram_add(latency_histogram_t *, double ms);
void latency_histogram_merge(
    latency_histogram_t *sum, const latency_histogram_t *more);
/** Count latencies that are not known yet as far longer than those of another
 * histogram, which has some. */
void latency_histogram_add_unknown(
    latency_histogram_t *, const latency_histogram_t *usual, uint32_t count);
/** @return how many latencies are counted */
uint32_t latency_histogram_count(const latency_histogram_t *);

/** What the latencies of a new version show. */
typedef struct latency_evidence {
	/** Logarithm of the likelihood that a part of them, or all, are several
	 * times longer than those of the old version, over that of the same
	 * distribution. */
	double log_ratio;
	uint32_t count;	 /**< latencies of the new version */
	uint32_t groups; /**< of its endpoints with any latency */
	/** The same without the quarter of the groups, rounded up, whose
	 * latencies show most. */
	double trimmed_log_ratio;
} latency_evidence_t;

/** Most groups that are compared. */
#define LATENCY_GROUPS_MAX 16

/** Compare the latencies of a new version, counted by groups of its endpoints,
 * with those of the old one. The evidence is 0 while too few of the old one are
 * known.
 * @param groups at most LATENCY_GROUPS_MAX */
latency_evidence_t latency_histogram_compare(const latency_histogram_t *old,
    const latency_histogram_t *new_groups, size_t groups);

#endif
