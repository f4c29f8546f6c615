/**
 * @file
 * The platform's headers: what its callers and replicas say, read and written
 * as the product's types.
 */
#ifndef PLATFORM_DIALECTS_H
#define PLATFORM_DIALECTS_H

#include "moortack/relay/dialect.h"

extern const caller_dialect_t platform_caller_dialect;
extern const endpoint_dialect_t platform_endpoint_dialect;

#endif
