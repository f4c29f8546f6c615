/**
 * @file
 * One request's life: admission, session, ticket, attempts, the stream back,
 * the bill, and its one outcome.
 */
#ifndef MOORTACK_EXCHANGE_EXCHANGE_H
#define MOORTACK_EXCHANGE_EXCHANGE_H

#include <event2/http.h>

#include "common/err.h"
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
	PHASE_CLAIM,  /**< its key is being bound to a ticket */
	PHASE_WAIT,   /**< for an endpoint with room */
	PHASE_TICKET, /**< an endpoint is held; its witnesses are asked */
	PHASE_SENT,   /**< an attempt is under way */
	PHASE_RESUME, /**< a cut stream is taken up again */
	PHASE_BILL,   /**< the answer is whole; its bill is being held */
} exchange_phase_t;

typedef struct front front_t;
typedef struct upstream upstream_t;
typedef struct deferred_job deferred_job_t;

typedef struct exchange {
	waiter_t waiter; /**< must stay first */
	front_t *front;
	uint64_t tag;
	exchange_phase_t phase;
	struct evhttp_request *req; /**< NULL: the caller has gone */
	deferred_job_t *job; /**< it runs for a deferred request; else NULL */
	char id[EXCHANGE_ID_SIZE];
	char organisation[CONFIG_NAME_SIZE];
	char model[CONFIG_NAME_SIZE];
	char version[CONFIG_NAME_SIZE];
	bool engine;	 /**< a model engine; else a plain service */
	bool stream;	 /**< the caller wants events */
	bool idempotent; /**< may be sent again */
	char path[EXCHANGE_PATH_SIZE]; /**< at the endpoint */
	json_t *body;		       /**< what the caller sent */
	struct timespec begun;

	session_t session;
	bool session_given; /**< it came with a token */

	/* At most once. */
	bool keyed;   /**< it has a ticket */
	bool settled; /**< what its ticket says is known */
	bool granted; /**< both witnesses let this attempt go */
	ticket_t ticket;
	redeem_t redeem;
	uint64_t attempt_id;

	/* The attempt under way. */
	uint32_t attempts;
	uint32_t broken; /**< of them, those that may have run, without an
			    answer */
	handle_t tried[EXCHANGE_ATTEMPTS_MAX];
	handle_t endpoint; /**< HANDLE_NONE: none is held */
	char endpoint_address[ENDPOINT_ADDRESS_SIZE];
	char endpoint_place[CONFIG_NAME_SIZE];
	upstream_t *upstream;
	struct evhttp_request *upstream_req;
	struct timespec sent_at;
	bool ran;	  /**< an attempt may have run */
	int64_t first_ms; /**< until its first byte; -1: none yet */
	int resumes;

	/* The cascade, when the caller left the model open. */
	bool open_model;
	int step;	   /**< place of its model, from the cheapest */
	double confidence; /**< of the answer; -1: none was given */
	bill_line_t lines[BILL_LINES_MAX]; /**< runs before this one */
	uint32_t line_count;

	/* The answer. */
	bool reply_started; /**< bytes went to the caller */
	int status;
	sse_t sse;
	struct evbuffer *answer; /**< of a plain answer */
	uint64_t tokens_in;
} exchange_t;

/** Begin a chat completion. The request is answered in the end. */
void exchange_chat(front_t *, struct evhttp_request *);

/** Begin a deferred chat request; there is no caller. @param body shared
 * @return false with @p err filled when it can't begin */
bool exchange_job_begin(front_t *, deferred_job_t *, const char *organisation,
    json_t *body, int64_t deadline_ms, err_t *err);

/** Whether somebody still wants the answer. */
bool exchange_wanted(const exchange_t *);

/** Begin a call of a plain service. @param path what follows the prefix */
void exchange_service(front_t *, struct evhttp_request *, const char *path);

/** Put the exchange on the version that a new session on its model gets.
 * @return false with @p err filled when there is none */
bool exchange_version_set(exchange_t *, handle_t organisation, err_t *err);

/** Try to give a waiting exchange an endpoint. */
void exchange_try(exchange_t *);

/** Go on with an exchange whose endpoint is held and whose ticket is good. */
void exchange_send(exchange_t *);

/** Take up a cut stream where it stopped. @return false: it can't be */
bool exchange_resume(exchange_t *);

/** Send the caller's body upstream; or, while resuming, ask for the rest. */
bool exchange_upstream_start(exchange_t *);

/** Break off the attempt under way; its late reply is dropped. */
void exchange_upstream_cancel(exchange_t *);

/** The endpoint's answer is whole. */
void exchange_whole(exchange_t *);

/** Add what the answer says of itself: session, version, place, request. */
void exchange_answer_headers(exchange_t *);

/** The bill is kept: the caller may have the end of the answer. */
void exchange_billed(exchange_t *);

/** The attempt failed. @param ran whether the endpoint may have run it */
void
exchange_attempt_failed(exchange_t *, bool ran, bool health, const char *why);

/** End with a failure, told to the caller at once. */
void exchange_fail(exchange_t *, err_code_t, const char *detail);

/** Take note of one observation of a version. */
void exchange_learn(front_t *, const char *organisation, const char *version,
    guard_signal_t, bool bad);

/** The endpoint answered whole: teach the guard, and have it rated. */
void exchange_learn_answer(exchange_t *);

/** The endpoint failed in a way that speaks of the version. */
void exchange_learn_failure(exchange_t *);

/** Whether a better model is asked because the answer isn't good enough; if
 * so, the exchange goes on with it. */
bool exchange_cascade_up(exchange_t *);

/** Choose the first model of a request that leaves it open.
 * @return false with @p err filled */
bool exchange_cascade_begin(exchange_t *, handle_t organisation, err_t *err);

/** The line of the bill for the run that just ended. */
void exchange_line(const exchange_t *, bill_line_t *out);

/** Let go of the endpoint that is held. */
void exchange_endpoint_release(exchange_t *);

/** Ask the witnesses to let the attempt go. */
void exchange_redeem(exchange_t *);

/** A witness answered. */
void exchange_witness(exchange_t *, int which, bool lost, witness_state_t,
    int status, const char *answer);

/** Tell both witnesses that the attempt will never be sent. */
void exchange_unsent(exchange_t *);

/** Tell both witnesses the outcome. */
void exchange_outcome(exchange_t *, int status, const char *body, size_t len);

/** Free it and answer nothing more. */
void exchange_end(exchange_t *);

#endif
