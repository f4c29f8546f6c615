/**
 * @file
 * Whether this daemon reaches the endpoints of a service, and whether it is its
 * own links that are lost: several endpoints in a row could not be reached,
 * none accepted a connection in between, and another daemon reaches them. No
 * I/O, no clock.
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
/** Endpoints that have to accept a connection before lost links count as
 * restored, or all if the service has fewer. */
#define REACH_RESTORED_MIN 2
/** Endpoints that are remembered as out of reach. */
#define REACH_FAILED_MAX 8

typedef enum reach_verdict {
	REACH_OK,      /**< nothing speaks against it */
	REACH_FAILING, /**< several endpoints can't be reached, and none was;
			  they may be down */
	REACH_LOST,    /**< another daemon reaches endpoints of the service */
} reach_verdict_t;

/** State of the links to the endpoints of one service. */
typedef struct reach {
	uint64_t failed[REACH_FAILED_MAX]; /**< hashes of distinct endpoints
					      that could not be reached */
	size_t failed_len;
	uint64_t restored[REACH_RESTORED_MIN]; /**< of those that accepted a
						  connection since the links
						  were lost */
	size_t restored_len;
	bool lost;
	struct timespec failed_at;     /**< last failure */
	struct timespec failing_since; /**< first failure that no new connection
					  followed; 0: none */
	struct timespec opened_at;   /**< last new connection that carried data
					or stayed open; 0: none */
	struct timespec response_at; /**< last response, over any connection;
					0: none */
} reach_t;

/** A new connection to the endpoint carried a response, or stayed open.
 * @param endpoint hash of its incarnation
 * @param endpoints of the service */
void reach_record_opened(
    reach_t *, uint64_t endpoint, size_t endpoints, struct timespec now);
/** A response arrived over a connection that was open before. It says nothing
 * about new connections. */
void reach_record_response(reach_t *, struct timespec now);
/** No connection to the endpoint could be opened, or a new one was closed
 * before any byte of a response.
 * @param endpoint hash of its incarnation */
void reach_record_failure(reach_t *, uint64_t endpoint, struct timespec now);
/** Another daemon has reached an endpoint of the service.
 * @param contact_at when, by this daemon's clock
 * @param endpoints of the service
 * @return whether the links count as lost from now on */
bool reach_record_others_contact(
    reach_t *, struct timespec contact_at, size_t endpoints);

/** @param endpoints of the service */
reach_verdict_t reach_verdict(const reach_t *, size_t endpoints);
/** Milliseconds since an endpoint of the service last responded to this daemon
 * or accepted a connection; negative: it never did, or can't be reached.
 * @param endpoints of the service */
int64_t
reach_contact_age_ms(const reach_t *, size_t endpoints, struct timespec now);

#endif
