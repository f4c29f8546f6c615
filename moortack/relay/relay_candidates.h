/**
 * @file
 * The endpoints that may serve a request: those of its service, of the version
 * that a roll-out assigns to it, with a connection available.
 */
#ifndef MOORTACK_RELAY_RELAY_CANDIDATES_H
#define MOORTACK_RELAY_RELAY_CANDIDATES_H

#include "moortack/relay/choose.h"
#include "relay_request.h"

#define CANDIDATES_MAX 256
/** Endpoints that are remembered as held back. */
#define HELD_BACK_MAX 8

/** Endpoints that may serve the request, and the inputs to the choice among
 * them. */
typedef struct candidates {
	endpoint_t *endpoints[CANDIDATES_MAX];
	endpoint_candidate_t inputs[CANDIDATES_MAX];
	size_t len;
	size_t cold_skipped;	/**< cold endpoints left out since they have no
				   warm-up share left */
	size_t limited_skipped; /**< the same for endpoints with a rate limit */
	size_t brittle_skipped; /**< the same for brittle ones */
	size_t backoff_skipped; /**< endpoints that want nothing for a while */
	endpoint_t *held_back[HELD_BACK_MAX]; /**< some of those left out */
	size_t held_back_len;
} candidates_t;

/** @param why set if there are none
 * @return whether there are any */
bool
candidates_collect(const relay_request_t *, candidates_t *, const char **why);

/** Why a request without candidates is refused. */
err_code_t candidates_refusal(const candidates_t *);

/** Removes the candidates whose @p keep is false. */
void candidates_filter(candidates_t *, const bool *keep);

#endif
