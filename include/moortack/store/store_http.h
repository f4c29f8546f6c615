/**
 * @file
 * Access to the platform's table over HTTP.
 */
#ifndef MOORTACK_STORE_STORE_HTTP_H
#define MOORTACK_STORE_STORE_HTTP_H

#include "common/counters.h"
#include "common/http_call.h"
#include "moortack/store/store.h"

typedef struct store_http {
	store_t store; /**< first: cast back from store_t * */
	struct event_base *base;
	http_address_t address;
	counters_t *counters;
	int timeout_ms;
} store_http_t;

void store_http_init(store_http_t *, struct event_base *,
    const http_address_t *, int timeout_ms, counters_t *);

#endif
