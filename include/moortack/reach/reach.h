/**
 * @file
 * Whether this daemon reaches the endpoints of a service. Takes what happened
 * to its connections, and tells when several endpoints in a row could not be
 * reached although none accepted a connection in between. No I/O, no clock.
 */
#ifndef MOORTACK_REACH_REACH_H
#define MOORTACK_REACH_REACH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/** Endpoints of a service that have to be out of reach, or all if it has fewer.
 */
#define REACH_FAILED_MIN 3
/** Endpoints that are remembered as out of reach. */
#define REACH_FAILED_MAX 8

typedef enum reach_verdict {
	REACH_OK,      /**< nothing speaks against it */
	REACH_FAILING, /**< several endpoints can't be reached, and none was */
} reach_verdict_t;

/** What is known of the links to the endpoints of one service. */
typedef struct reach {
	uint64_t failed[REACH_FAILED_MAX]; /**< hashes of distinct endpoints
					      that could not be reached */
	size_t failed_len;
	struct timespec failed_at;     /**< last failure */
	struct timespec failing_since; /**< first failure that no new connection
					  followed; 0: none */
	struct timespec opened_at;   /**< last new connection that carried data
					or stayed open; 0: none */
	struct timespec response_at; /**< last response, over any connection;
					0: none */
} reach_t;

/** A new connection to the endpoint carried a response, or stayed open. */
void reach_record_opened(reach_t *, struct timespec now);
/** A response arrived over a connection that was open before. It says nothing
 * about new connections. */
void reach_record_response(reach_t *, struct timespec now);
/** No connection to the endpoint could be opened, or a new one was closed
 * before any byte of a response.
 * @param endpoint hash of its incarnation */
void reach_record_failure(reach_t *, uint64_t endpoint, struct timespec now);

/** @param endpoints of the service */
reach_verdict_t reach_verdict(const reach_t *, size_t endpoints);

#endif
