/**
 * @file
 * The platform's metadata store as a row store: its calls over HTTP.
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
	uint64_t calls;		 /**< made */
	uint64_t failures;	 /**< of them */
	uint64_t response_bytes; /**< of answers */
	uint64_t rows_bad_key;	 /**< rows whose key can't be a name */
} platform_store_t;

void platform_store_init(
    platform_store_t *, struct event_base *, const http_address_t *);

#endif
