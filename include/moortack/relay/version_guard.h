/**
 * @file
 * Compares the answers of a service's new version with those of the old one,
 * for each route, over a sliding window: a pure decision.
 */
#ifndef MOORTACK_RELAY_VERSION_GUARD_H
#define MOORTACK_RELAY_VERSION_GUARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#define GUARD_ROUTES_MAX 12
/** Seconds of the window: with a twentieth of 26 requests a second, which one
 * of the users' sheets has, 15 answers of the new version come in it. */
#define GUARD_SLICES 12
#define GUARD_PACES_MAX 96

/** Answers of one version on one route. */
typedef struct guard_count {
	uint32_t seen;
	uint32_t failed;
	uint32_t slow;	  /**< begun several times later than usual */
	uint32_t paced;	  /**< of whose events the pace is known */
	uint32_t dragged; /**< of these, several times slower than usual */
} guard_count_t;

/** What is counted of one route, here or by all daemons together. */
typedef struct guard_tally {
	uint64_t route;	     /**< hash of its name */
	guard_count_t fresh; /**< of the new version */
	guard_count_t base;  /**< of the old one */
} guard_tally_t;

/** How long something of one route and model usually takes. */
typedef struct guard_pace {
	uint64_t key;
	double log_mean; /**< of milliseconds */
	uint32_t seen;
} guard_pace_t;

typedef struct guard_row_of_route {
	uint64_t route;
	guard_count_t fresh[GUARD_SLICES];
	guard_count_t base[GUARD_SLICES];
	int64_t slice;
} guard_row_of_route_t;

typedef struct version_guard {
	guard_row_of_route_t rows[GUARD_ROUTES_MAX];
	size_t rows_len;
	guard_pace_t paces[GUARD_PACES_MAX];
	size_t paces_len;
} version_guard_t;

/** What an answer has shown. */
typedef enum guard_sign {
	GUARD_BEGUN,   /**< its first byte came */
	GUARD_OVERDUE, /**< it has not come yet */
	GUARD_PACED,   /**< its events come */
	GUARD_FAILED,
} guard_sign_t;

/** One sign of an answer. */
typedef struct guard_answer {
	guard_sign_t sign;
	uint64_t route;
	uint64_t model; /**< hash of the model's name; 0: none */
	bool fresh;	/**< of the new version */
	bool stream;	/**< of events */
	bool counted;	/**< a sign of it was taken before */
	double ms;	/**< until its first byte, or between its events */
} guard_answer_t;

/** Forget the new version's answers: another order came. */
void version_guard_restart(version_guard_t *);

/** @return whether it was counted: an answer that is overdue counts only once
 * it is several times later than usual */
bool version_guard_take(
    version_guard_t *, const guard_answer_t *, struct timespec now);

/** Counts of the window. @return how many rows were filled */
size_t version_guard_tally(
    version_guard_t *, struct timespec now, guard_tally_t *out, size_t cap);

/** Whether a route's answers show that the new version is worse. */
bool version_guard_bad(const guard_tally_t *);

/** Add the counts of @p more to @p sum. */
void guard_count_add(guard_count_t *sum, const guard_count_t *more);

/** Add a tally to those of the same route. */
void guard_tally_add(
    guard_tally_t *sums, size_t *len, size_t cap, const guard_tally_t *);

#endif
