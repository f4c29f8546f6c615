/**
 * @file
 * The price of scarcity: how many milliseconds other requests wait for each
 * millisecond of an endpoint's time, as currently observed. It is 0 while slots
 * are free and nothing waits, and rises with the wait. Of fixed size, without
 * I/O or a clock.
 */
#ifndef MOORTACK_SCHEDULING_PRICE_H
#define MOORTACK_SCHEDULING_PRICE_H

#include <stdint.h>

/** Time that one request takes of an endpoint, by order of magnitude: a tenth
 * of a latency objective of a second. With a wait of W ms, a millisecond more
 * at the endpoint delays the W / PRICE_REQUEST_MS requests queued there. */
#define PRICE_REQUEST_MS 100.0
/** The price counts as unknown this long after the last observation. */
#define PRICE_AGE_MAX_MS 3000

/** A smoothed wait; all zero: nothing is known. */
typedef struct price {
	double wait_ms; /**< at the last observation */
	int64_t at_ms;	/**< time of the last observation */
	uint32_t known; /**< 0: there was none */
} price_t;

void price_init(price_t *);

/** Adds an observation: the wait at an endpoint in ms, and its share of busy
 * slots, 0 to 1. An endpoint without a free slot counts as a wait for one
 * request, which is what the next one has to wait for. Values out of range are
 * bounded, and those that are no number are ignored. */
void price_observe(price_t *, double wait_ms, double busy, int64_t now_ms);

/** The smoothed wait in ms, which decays with age; negative: unknown. */
double price_wait_ms(const price_t *, int64_t now_ms);
/** Milliseconds of other requests' waiting per ms of endpoint time; 0 also if
 * unknown. */
double price_now(const price_t *, int64_t now_ms);
/** Milliseconds since the last observation; INT64_MAX: there was none. */
int64_t price_age_ms(const price_t *, int64_t now_ms);

/** The wait that a price stands for; the inverse of price_now(). */
double price_to_wait_ms(double price);
/** The wait that an endpoint's reported load stands for: none while nothing
 * waits there, else one request more than wait for each of its slots. */
double price_load_wait_ms(uint32_t waiting, uint32_t slots);

#endif
