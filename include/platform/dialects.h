/**
 * @file
 * Translates the platform's HTTP headers, as its callers and replicas use them,
 * to and from the relay's types.
 */
#ifndef PLATFORM_DIALECTS_H
#define PLATFORM_DIALECTS_H

#include "moortack/relay/dialect.h"

/** Reads the headers of a caller's request. */
extern const caller_dialect_t platform_caller_dialect;
/** Writes the head of a request to an endpoint, and reads that of its response.
 */
extern const endpoint_dialect_t platform_endpoint_dialect;

#endif
