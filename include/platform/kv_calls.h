/**
 * @file
 * The platform's calls for the contents of replicas' KV caches.
 */
#ifndef PLATFORM_KV_CALLS_H
#define PLATFORM_KV_CALLS_H

#include "moortack/relay/contents_dialect.h"

extern const contents_dialect_t platform_contents_dialect;

#endif
