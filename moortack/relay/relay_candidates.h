/**
 * @file
 * The endpoints that may take a request: of its service, of the version that a
 * roll-out wants for it, with a connection to be had.
 */
#ifndef MOORTACK_RELAY_RELAY_CANDIDATES_H
#define MOORTACK_RELAY_RELAY_CANDIDATES_H

#include "moortack/relay/endpoint_choice.h"
#include "relay_request.h"

#define CANDIDATES_MAX 256

/** Endpoints that may take the request, with what the choice sees of them. */
typedef struct candidates {
	endpoint_t *endpoints[CANDIDATES_MAX];
	endpoint_candidate_t inputs[CANDIDATES_MAX];
	size_t len;
	size_t cold_skipped; /**< cold endpoints left out, with no share left */
} candidates_t;

/** @param why set if there are none
 * @return whether there are any */
bool
candidates_collect(const relay_request_t *, candidates_t *, const char **why);

/** Drop the candidates that are not to be kept. */
void candidates_filter(candidates_t *, const bool *kept);

#endif
