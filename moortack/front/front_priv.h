/**
 * @file
 * Declarations shared by the files of the front and of the exchanges.
 */
#ifndef MOORTACK_FRONT_FRONT_PRIV_H
#define MOORTACK_FRONT_FRONT_PRIV_H

#include "common/http_guard.h"
#include "common/http_request.h"
#include "common/tls.h"
#include "moortack/exchange/exchange.h"
#include "moortack/front/front.h"
#include "moortack/ledger/claim.h"
#include "moortack/ledger/keyring.h"
#include "moortack/limit/rate.h"
#include "moortack/limit/retry_budget.h"
#include "moortack/member/lease.h"
#include "moortack/route/learn.h"
#include "moortack/route/rollout.h"

#define FRONT_RATES_MAX 4096
#define SESSION_HEADER "Moortack-Session"
#define TICKET_HEADER "Moortack-Ticket"
#define IDEMPOTENCY_KEY_HEADER "Idempotency-Key"
#define DEADLINE_HEADER "Moortack-Deadline-Ms"
#define RETRY_HEADER "Moortack-Retry"

/** A slot for an exchange. Its generation is part of the exchange's tag, so
 * that a late message for a former exchange is recognised. */
typedef struct exchange_slot {
	exchange_t *exchange;
	uint32_t generation;
} exchange_slot_t;

/** An operator's request that waits for the registry's response. */
typedef struct admin_slot {
	http_request_t *req;
	uint32_t generation;
} admin_slot_t;

/** One operator and the kinds of rows that it may change. */
typedef struct operator_row {
	char name[CONFIG_NAME_SIZE];
	char key_hash[CONFIG_KEY_HASH_SIZE];
	char kinds[CONFIG_NAME_SIZE]; /**< "*" or kinds joined by '+' */
} operator_row_t;

/** A connection to an endpoint, idle between requests. */
struct upstream {
	struct evhttp_connection *conn;
	http_guard_t guard;
	char address[ENDPOINT_ADDRESS_SIZE];
	upstream_t *next;
};

struct front {
	process_context_t process;
	const options_t *options;
	store_t *store;
	peers_t *peers;
	task_t task;
	inbound_budget_t inbound_budget;
	http_request_server_t server;
	bool accepting; /**< the server listens */
	tls_t *tls;	/**< NULL: plain HTTP for callers and operators */
	registry_t *registry;
	witness_task_t *witness_task;
	billing_t *billing;

	config_t *config;
	members_t *members;
	freshness_update_t freshness;
	billing_status_t billing_status;
	endpoint_table_t fleet;
	keyring_t keyring;
	admission_t admission;
	rate_limiter_t rates[FRONT_RATES_MAX]; /**< by organisation handle */
	feedback_t learn;
	retry_budget_t retry_budget;
	table_t operators; /**< operator_row_t */

	table_t exchange_slots; /**< exchange_slot_t */
	table_t admin_slots;	/**< admin_slot_t */
	uint32_t exchange_count;
	lease_t orders_lease;
	struct timespec orders_checked_at;
	struct timespec next_jobs_poll_at;
	uint32_t jobs_running; /**< deferred requests */
	bool jobs_poll_pending;
	upstream_t *idle_upstreams;
	uint32_t idle_upstream_count;

	struct event *tick_event;
	bool draining;
	struct timespec listen_until; /**< while draining */
	bool drained_notified;
	bool stopping;
	void (*on_drained)(void *);
	void *on_drained_arg;
};

/* answer.c */

/** Respond with a failure.
 * @param execution replaces the failure type's "ran" value; NULL: it doesn't
 * @param extra members to add to the body, taken over; NULL: none */
void failure_respond(front_t *, http_request_t *, const err_t *,
    const char *execution, json_t *extra);

/** The JSON object of a failure, which is counted. */
json_t *failure_json(
    front_t *, const err_t *, const char *execution, int64_t retry_after_ms);

/* auth.c */

/** The organisation whose key came with the request, or HANDLE_NONE. */
handle_t auth_organisation(const front_t *, http_request_t *);

/** The operator whose key came with the request, or NULL. */
const operator_row_t *auth_operator(const front_t *, http_request_t *);

/** Whether the operator may make every change of the intent. */
bool
operator_is_allowed(const operator_row_t *, const json_t *intent, err_t *err);

/** Parse the setting "operators". */
bool operators_parse(table_t *, const char *text, err_t *err);

/* orders.c */

/** Send the orders that are due, at most once a second. */
void orders_tick(front_t *);

/* entries.c */

void entries_respond(front_t *, http_request_t *);
void tickets_respond(front_t *, http_request_t *);

/** Issue a new ticket for the organisation. */
void ticket_issue(front_t *, const char *organisation, ticket_t *out);

/* admin.c */

void admin_request(front_t *, http_request_t *, const char *path);
void admin_respond(front_t *, admin_response_t *);
void metrics_respond(front_t *, http_request_t *);

/* front.c */

/** Whether requests may be accepted and sent now, because the configuration is
 * known to be in force. @param err set to the reason when not */
bool front_is_ready(const front_t *, err_t *err);

/** Handle one message (messages.c). */
void front_handle(void *state, task_msg_t *msg);

/** Record that the guard stopped a version, and send it to every peer.
 * @param organisation "": for all */
void
front_guard_broadcast(front_t *, const char *version, const char *organisation);

/** Try to dispatch the queued exchanges. */
void front_dispatch(front_t *);

/** A new exchange with a slot; NULL when there are too many or memory is out.
 */
exchange_t *front_exchange_new(front_t *);
void front_exchange_free(front_t *, exchange_t *);

/** Find the exchange of a tag, or NULL when it has ended. */
exchange_t *front_exchange_find(const front_t *, uint64_t tag);

/* upstream.c (exchange) */

/** Acquire a connection to an address: an idle one, or a new one.
 * @param new_only never an idle one */
upstream_t *upstream_acquire(front_t *, const char *address, bool new_only);

/** Release it, idle, for the next request. */
void upstream_release(front_t *, upstream_t *);

/** Close it, once its request was cancelled or has ended. */
void upstream_close(front_t *, upstream_t *);
void upstreams_free(front_t *);

#endif
