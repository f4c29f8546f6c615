/**
 * @file
 * A row store on the platform's metadata store, called over HTTP.
 */
#ifndef PLATFORM_STORE_H
#define PLATFORM_STORE_H

#include <event2/event.h>

#include "common/http_call.h"
#include "moortack/replication/row_store.h"

typedef struct platform_store {
	row_store_t store;
	struct event_base *base;
	http_address_t address;
	uint64_t calls;		 /**< started */
	uint64_t failures;	 /**< calls that did not succeed */
	uint64_t response_bytes; /**< bytes of response bodies */
	uint64_t rows_bad_key;	 /**< rows skipped: no valid key */
} platform_store_t;

void platform_store_init(
    platform_store_t *, struct event_base *, const http_address_t *);

#endif
