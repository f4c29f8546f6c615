/**
 * @file
 * Encodes the calls of duties as the platform's calls. Each has a connection of
 * its own: one that was written to before may deliver late.
 */
#ifndef PLATFORM_DUTY_CALLS_H
#define PLATFORM_DUTY_CALLS_H

#include <event2/event.h>

#include "common/http_call.h"
#include "moortack/duty/duty_api.h"

typedef struct platform_duty_api {
	duty_api_t api;
	struct event_base *base;
	http_address_t address;
	char holder[128]; /**< name of this daemon, as calls state it */
	uint64_t calls;
	uint64_t failures;
} platform_duty_api_t;

/** @param address of the platform's interface for duties
 * @param holder name of this daemon */
void platform_duty_api_init(platform_duty_api_t *, struct event_base *,
    const http_address_t *address, const char *holder);

#endif
