/**
 * @file
 * A request before its body is looked at: who sent it, and whether it may come
 * in.
 */
#ifndef MOORTACK_EXCHANGE_ARRIVAL_H
#define MOORTACK_EXCHANGE_ARRIVAL_H

#include "../front/front_priv.h"

/** What is known of a request before its body is looked at. */
typedef struct arrival {
	front_t *front;
	struct evhttp_request *req;
	handle_t organisation;
	class_t class;
	uint64_t pools; /**< that it may go to, by what is known so far */
	struct timespec now;
} arrival_t;

/** Everything that can be refused without the body, cheapest first. Fills the
 * organisation and the class. */
bool arrival_admit(arrival_t *, err_t *err);

/** Answer that it may not come in, or not like this. */
void arrival_refuse(front_t *, struct evhttp_request *, const err_t *);

/** Set the exchange's deadline from its header. */
bool arrival_deadline_parse(arrival_t *, exchange_t *, err_t *err);

#endif
