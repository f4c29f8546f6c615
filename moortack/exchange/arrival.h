/**
 * @file
 * Authenticates a request and decides on its admission, before its body is
 * parsed.
 */
#ifndef MOORTACK_EXCHANGE_ARRIVAL_H
#define MOORTACK_EXCHANGE_ARRIVAL_H

#include "../front/front_priv.h"

/** What is known of a request before its body is parsed. */
typedef struct arrival {
	front_t *front;
	http_request_t *req;
	handle_t organisation;
	class_t class;
	/** Admission pools that it may go to; arrival_admit() replaces 0 by
	 * those of the engines' models that the organisation may use. */
	uint64_t pools;
	struct timespec now;
} arrival_t;

/** Make all checks that need no body, the cheapest first. Fills the
 * organisation and the class.
 * @return false with @p err filled when the request is refused */
bool arrival_admit(arrival_t *, err_t *err);

/** Respond that the request is refused. */
void arrival_refuse(front_t *, http_request_t *, const err_t *);

/** Set the exchange's deadline from the request's header, or to the default.
 * @return false with @p err filled when the header is invalid */
bool arrival_deadline_parse(arrival_t *, exchange_t *, err_t *err);

#endif
