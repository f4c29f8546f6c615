#include <string.h>
#include <xxhash.h>

#include "moortack/scheduling/price.h"
#include "relay_request.h"

/* An endpoint's load report says nothing about its wait after this time. */
#define LOAD_MAX_AGE_MS 1000
#define MILLI 1000.0
/* In a message, 0 is no price: an owner that knows of no wait sends this. */
#define PRICE_MILLI_NONE 1

static int64_t
now_get(const relay_t *relay)
{
	return timespec_to_ms(clock_boottime(relay->clock));
}

/* The zone's price, created if needed; the one without an observation for the
 * longest time is replaced if there are PRICE_ZONES_MAX others. */
static price_t *
zone_price_add(service_state_t *state, const char *zone, int64_t now_ms)
{
	uint64_t hash = XXH3_64bits(zone, strlen(zone));
	zone_price_t *oldest = &state->zone_prices[0];

	for (size_t i = 0; i < PRICE_ZONES_MAX; i++) {
		zone_price_t *entry = &state->zone_prices[i];

		if (entry->zone_hash == hash)
			return &entry->price;
		if (price_age_ms(&entry->price, now_ms) >
		    price_age_ms(&oldest->price, now_ms))
			oldest = entry;
	}
	*oldest = (zone_price_t){.zone_hash = hash};
	return &oldest->price;
}

const price_t *
service_zone_price(const service_state_t *state, const char *zone)
{
	static const price_t unknown;
	uint64_t hash = XXH3_64bits(zone, strlen(zone));

	for (size_t i = 0; state != NULL && i < PRICE_ZONES_MAX; i++) {
		if (state->zone_prices[i].zone_hash == hash)
			return &state->zone_prices[i].price;
	}
	return &unknown;
}

static void
zone_observe(relay_t *relay, const endpoint_t *endpoint, double wait_ms,
    double busy, int64_t now_ms)
{
	service_state_t *state =
	    relay_service_state(relay, endpoint->info.service);

	if (state != NULL)
		price_observe(
		    zone_price_add(state, endpoint->info.zone, now_ms), wait_ms,
		    busy, now_ms);
}

/* The wait at the endpoint as far as this daemon knows it.
 * @param busy set to the share of its slots in use; 0: not known */
static double
endpoint_wait_ms(const endpoint_t *endpoint, int64_t now_ms, double *busy)
{
	double wait_ms =
	    prefill_queue_wait_ms(&endpoint->prefill_queue, (double)now_ms);
	const endpoint_load_t *load = &endpoint->load;
	double load_wait_ms;

	*busy = 0;
	if (!endpoint->load_reported ||
	    now_ms - timespec_to_ms(endpoint->load_reported_at) >
		LOAD_MAX_AGE_MS)
		return wait_ms;
	if (load->slots > 0)
		*busy = (double)load->running / load->slots;
	load_wait_ms = price_load_wait_ms(load->waiting, load->slots);
	return load_wait_ms > wait_ms ? load_wait_ms : wait_ms;
}

void
relay_price_observe_endpoint(relay_t *relay, endpoint_t *endpoint)
{
	int64_t now_ms = now_get(relay);
	double busy;
	double wait_ms = endpoint_wait_ms(endpoint, now_ms, &busy);

	price_observe(&endpoint->price, wait_ms, busy, now_ms);
}

void
relay_price_observe_response(relay_t *relay, endpoint_t *endpoint)
{
	int64_t now_ms = now_get(relay);
	double busy;
	double wait_ms = endpoint_wait_ms(endpoint, now_ms, &busy);

	price_observe(&endpoint->price, wait_ms, busy, now_ms);
	zone_observe(relay, endpoint, wait_ms, busy, now_ms);
}

uint32_t
relay_price_milli(const relay_t *relay, const endpoint_t *endpoint)
{
	int64_t now_ms = now_get(relay);
	double milli = price_now(&endpoint->price, now_ms) * MILLI;

	if (price_wait_ms(&endpoint->price, now_ms) < 0)
		return 0;
	return milli > PRICE_MILLI_NONE ? (uint32_t)milli : PRICE_MILLI_NONE;
}

void
relay_price_receive(relay_t *relay, uint32_t endpoint_hash, uint32_t milli)
{
	const endpoint_t *endpoint =
	    endpoint_set_find_by_short_hash(relay->endpoints, endpoint_hash);
	double price = milli > PRICE_MILLI_NONE ? milli / MILLI : 0;

	if (endpoint != NULL && milli > 0)
		zone_observe(relay, endpoint, price_to_wait_ms(price), 0,
		    now_get(relay));
}

double
relay_price(relay_t *relay, const char *service, const char *zone)
{
	return price_now(
	    service_zone_price(relay_service_state(relay, service), zone),
	    now_get(relay));
}

void
relay_price_write_metrics(const relay_t *relay, struct evbuffer *out)
{
	int64_t now_ms = now_get(relay);

	evbuffer_add_printf(out,
	    "# HELP moortack_relay_price Milliseconds that other requests wait "
	    "for each of an endpoint's time, in the zone where it is highest.\n"
	    "# TYPE moortack_relay_price gauge\n");
	for (const service_state_t *state = relay->service_states;
	     state != NULL; state = state->hh.next) {
		double highest = 0;

		for (size_t i = 0; i < PRICE_ZONES_MAX; i++) {
			double price =
			    price_now(&state->zone_prices[i].price, now_ms);

			highest = price > highest ? price : highest;
		}
		evbuffer_add_printf(out,
		    "moortack_relay_price{service=\"%s\"} %.3f\n",
		    state->service, highest);
	}
}
