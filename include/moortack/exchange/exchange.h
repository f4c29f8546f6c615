/**
 * @file
 * Handles one request from admission to its single outcome: session, ticket,
 * attempts at endpoints, the response to the caller, and the bill.
 */
#ifndef MOORTACK_EXCHANGE_EXCHANGE_H
#define MOORTACK_EXCHANGE_EXCHANGE_H

#include <event2/http.h>

#include "common/err.h"
#include "common/http_request.h"
#include "moortack/exchange/session.h"
#include "moortack/exchange/sse.h"
#include "moortack/ledger/bill.h"
#include "moortack/ledger/redeem.h"
#include "moortack/ledger/ticket.h"
#include "moortack/limit/admission.h"
#include "moortack/route/balance.h"
#include "moortack/route/guard.h"

#define EXCHANGE_ID_SIZE 33
#define EXCHANGE_ATTEMPTS_MAX BALANCE_TRIED_MAX
#define EXCHANGE_PATH_SIZE 256

typedef enum exchange_phase {
	PHASE_CLAIM,   /**< its idempotency key is being bound to a ticket */
	PHASE_QUEUED,  /**< waits for an endpoint with capacity */
	PHASE_REDEEM,  /**< holds an endpoint; queries the witnesses */
	PHASE_SENT,    /**< an attempt is in flight */
	PHASE_RESUME,  /**< an interrupted stream is being resumed */
	PHASE_BILLING, /**< response complete; its bill is being recorded */
} exchange_phase_t;

typedef struct front front_t;
typedef struct upstream upstream_t;
typedef struct deferred_job deferred_job_t;

typedef struct exchange {
	waiter_t waiter; /**< must stay first: it is cast back */
	front_t *front;
	uint64_t tag; /**< of its messages: see front_exchange_find() */
	exchange_phase_t phase;
	http_request_t *req; /**< NULL: no caller, or disconnected */
	deferred_job_t *job; /**< deferred request that it runs; else NULL */
	char id[EXCHANGE_ID_SIZE];
	char organisation[CONFIG_NAME_SIZE];
	char model[CONFIG_NAME_SIZE];
	char version[CONFIG_NAME_SIZE];
	bool is_engine;	 /**< the model is an engine; else a plain service */
	bool streaming;	 /**< the caller requested a stream of events */
	bool idempotent; /**< may be run more than once */
	char path[EXCHANGE_PATH_SIZE]; /**< request path at the endpoint */
	json_t *body;		       /**< request body from the caller */
	struct timespec started_at;

	session_t session;
	bool existing_session; /**< opened from the caller's token; false
				  once moved to another version */

	/* At-most-once execution. */
	bool at_most_once;  /**< has a ticket or an idempotency key */
	bool known_not_run; /**< no attempt under its ticket has run */
	bool granted;	    /**< both witnesses permitted this attempt */
	ticket_t ticket;
	redeem_t redeem;
	uint64_t attempt_id; /**< random; 0: not redeemed yet */

	/* Attempts, and the one in flight. */
	uint32_t attempts;	       /**< at the current model */
	uint32_t interrupted_attempts; /**< may have run, but gave no response;
					  earlier runs of a job included */
	handle_t tried_endpoints[EXCHANGE_ATTEMPTS_MAX];
	handle_t endpoint; /**< acquired; HANDLE_NONE: none */
	char endpoint_address[ENDPOINT_ADDRESS_SIZE];
	char endpoint_place[CONFIG_NAME_SIZE];
	upstream_t *upstream;
	struct evhttp_request *upstream_req;
	struct timespec sent_at;
	bool may_have_run;     /**< the attempt may have run */
	int64_t first_byte_ms; /**< sending to first byte; -1: none */
	int resumes;	       /**< times that the stream was resumed */

	/* The cascade, for model "auto" in a new session. */
	bool auto_model;
	int cascade_step;  /**< position of its model; 0: the cheapest */
	double confidence; /**< of the response; -1: none was given */
	bill_line_t bill_lines[BILL_LINES_MAX]; /**< of earlier runs */
	uint32_t bill_line_count;

	/* The response. */
	bool response_started; /**< sent in part to the caller */
	int status;
	sse_t sse;
	struct evbuffer *response_body; /**< NULL for a stream */
	uint64_t tokens_in;
} exchange_t;

/** Handle a chat completion request. It always gets a response. */
void exchange_chat_start(front_t *, http_request_t *);

/** Run a deferred chat request, which has no caller. @param body its members
 * are shared
 * @return false with @p err filled when it can't be started */
bool exchange_job_start(front_t *, deferred_job_t *, const char *organisation,
    json_t *body, int64_t deadline_ms, err_t *err);

/** Whether the response still has a recipient: a connected caller or a deferred
 * job. */
bool exchange_has_recipient(const exchange_t *);

/** Handle a request to a plain service. @param path what follows the prefix */
void exchange_service_start(front_t *, http_request_t *, const char *path);

/** Select the version that a new session on the exchange's model gets.
 * @return false with @p err filled when there is none */
bool exchange_version_select(exchange_t *, handle_t organisation, err_t *err);

/** Choose an endpoint and go on to the ticket or to sending; queue the exchange
 * if no endpoint has capacity, or fail it. */
void exchange_dispatch(exchange_t *);

/** Send an attempt to the acquired endpoint; a ticket has been redeemed. */
void exchange_send(exchange_t *);

/** Resume an interrupted stream where it stopped, after a short delay.
 * @return false when it can't be resumed */
bool exchange_stream_resume(exchange_t *);

/** Send the caller's request to the endpoint.
 * @return false when it was not sent */
bool exchange_upstream_start(exchange_t *);

/** Cancel the attempt in flight; a late response is discarded. */
void exchange_upstream_cancel(exchange_t *);

/** The endpoint's response is complete. */
void exchange_response_completed(exchange_t *);

/** Add the response headers: session, version, place and request id. */
void exchange_response_headers_add(exchange_t *);

/** The bill is recorded: send the caller the end of the response. */
void exchange_bill_recorded(exchange_t *);

/** The attempt failed: retry it if that is allowed, or fail the exchange.
 * @param may_have_run whether the endpoint may have run it
 * @param endpoint_at_fault whether it counts as a failure of the endpoint */
void exchange_attempt_failed(exchange_t *, bool may_have_run,
    bool endpoint_at_fault, const char *reason);

/** End with a failure, and report it to the caller at once. */
void exchange_fail(exchange_t *, err_code_t, const char *detail);

/** Pass one observation of a version to the guard, and notify the peers if the
 * guard stops it. */
void exchange_guard_observe(front_t *, const char *organisation,
    const char *version, guard_signal_t, bool bad);

/** Record a complete response: pass its observations to the guard, and request
 * a rating for a share of the responses. */
void exchange_response_record(exchange_t *);

/** Record a failure that may be due to the version. */
void exchange_failure_record(exchange_t *);

/** Escalate to the next model of the cascade if the response isn't good enough.
 * @return true if so: the exchange goes on with that model */
bool exchange_cascade_escalate(exchange_t *);

/** Choose the first model of a request for model "auto".
 * @return false with @p err filled */
bool exchange_cascade_start(exchange_t *, handle_t organisation, err_t *err);

/** Fill the bill line of the run that just ended. */
void exchange_bill_line(const exchange_t *, bill_line_t *out);

/** Release the acquired endpoint, if there is one. */
void exchange_endpoint_release(exchange_t *);

/** Query both witnesses for permission to send the attempt. */
void exchange_ticket_redeem(exchange_t *);

/** A witness responded. @param lost it didn't, or not in time */
void exchange_witness_responded(exchange_t *, int which, bool lost,
    witness_state_t, int status, const char *body);

/** Report to the witnesses that may have granted the attempt that it will never
 * be sent. */
void exchange_unsent_report(exchange_t *);

/** Report the outcome to both witnesses. */
void
exchange_outcome_report(exchange_t *, int status, const char *body, size_t len);

/** Free the exchange without sending anything more to the caller. */
void exchange_free(exchange_t *);

#endif
