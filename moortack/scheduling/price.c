#include "moortack/scheduling/price.h"

#include <math.h>

/* The smoothed wait follows a longer one within about RISE_MS, and a shorter
 * one within about FALL_MS, so that one sample of an idle endpoint does not
 * make all daemons send at once. */
#define RISE_MS 100.0
#define FALL_MS 500.0
/* No single sample counts for more than half, however old the one before is:
 * other endpoints of the zone may differ from it. */
#define SAMPLE_WEIGHT_MAX 0.5
/* Without observations the wait halves in this time; gaps as long as it takes
 * to rise are those between samples, and would bias it. */
#define HALVING_MS 1000.0
#define GAP_MS RISE_MS
/* Longer waits exceed every objective, and do not differ to a decision. */
#define WAIT_MAX_MS 60000.0

void
price_init(price_t *price)
{
	*price = (price_t){0};
}

int64_t
price_age_ms(const price_t *price, int64_t now_ms)
{
	uint64_t age_ms;

	if (!price->known)
		return INT64_MAX;
	if (now_ms <= price->at_ms)
		return 0;
	/* The difference of two times may exceed an int64_t. */
	age_ms = (uint64_t)now_ms - (uint64_t)price->at_ms;
	return age_ms < INT64_MAX ? (int64_t)age_ms : INT64_MAX;
}

double
price_wait_ms(const price_t *price, int64_t now_ms)
{
	int64_t age_ms = price_age_ms(price, now_ms);

	if (age_ms > PRICE_AGE_MAX_MS)
		return -1;
	return price->wait_ms *
	    exp2(-fmax(0, (double)age_ms - GAP_MS) / HALVING_MS);
}

void
price_observe(price_t *price, double wait_ms, double busy, int64_t now_ms)
{
	double known_ms = price_wait_ms(price, now_ms);
	double elapsed_ms = fmax(1, (double)price_age_ms(price, now_ms));
	double weight;

	if (isnan(wait_ms) || isnan(busy))
		return;
	if (busy >= 1)
		wait_ms = fmax(wait_ms, PRICE_REQUEST_MS);
	wait_ms = fmin(fmax(wait_ms, 0), WAIT_MAX_MS);
	weight =
	    1 - exp(-elapsed_ms / (wait_ms > known_ms ? RISE_MS : FALL_MS));
	if (known_ms < 0)
		price->wait_ms = wait_ms;
	else
		price->wait_ms = known_ms +
		    fmin(weight, SAMPLE_WEIGHT_MAX) * (wait_ms - known_ms);
	price->at_ms = now_ms;
	price->known = 1;
}

double
price_now(const price_t *price, int64_t now_ms)
{
	double wait_ms = price_wait_ms(price, now_ms);

	/* A wait for one request means that it is served: nothing else waits,
	 * and slots are free or about to be. */
	return wait_ms > PRICE_REQUEST_MS
	    ? (wait_ms - PRICE_REQUEST_MS) / PRICE_REQUEST_MS
	    : 0;
}

double
price_to_wait_ms(double price)
{
	return price > 0 ? (price + 1) * PRICE_REQUEST_MS : 0;
}

double
price_load_wait_ms(uint32_t waiting, uint32_t slots)
{
	if (waiting == 0)
		return 0;
	return PRICE_REQUEST_MS *
	    (1 + (double)waiting / (slots > 0 ? slots : 1));
}
