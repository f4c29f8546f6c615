/**
 * @file
 * The calls to one endpoint whose contents are followed.
 */
#ifndef MOORTACK_RELAY_CONTENTS_CALLS_H
#define MOORTACK_RELAY_CONTENTS_CALLS_H

#include "moortack/relay/relay.h"

struct followed_endpoint {
	relay_t *relay;
	endpoint_t *endpoint; /**< a reference is held */
	endpoint_contents_t contents;
	contents_follow_t follow;
	http_outbound_t *conn; /**< NULL: none; kept between two calls */
	struct event *timer;   /**< next call, or time limit of this one */
	follow_action_t call;  /**< in progress; FOLLOW_WAIT: none */
	int status;
	bool closes; /**< the endpoint closes the connection after the response
		      */
	struct evbuffer *body;
};

/** Starts to follow an endpoint.
 * @return NULL: out of memory */
followed_endpoint_t *followed_begin(relay_t *, endpoint_t *);
/** Ends the calls. */
void followed_free(followed_endpoint_t *);
/** Whether its contents are known now. */
bool followed_is_known(const followed_endpoint_t *);

#endif
