/**
 * @file
 * One request's life, shared by the relay's files: taken (relay.c), sent
 * (relay_attempt.c), placed (relay_select.c), answered (relay_response.c).
 */
#ifndef MOORTACK_RELAY_RELAY_REQUEST_H
#define MOORTACK_RELAY_RELAY_REQUEST_H

#include "moortack/relay/event_scan.h"
#include "moortack/relay/relay.h"

#define TRIED_ENDPOINTS_MAX 8
/** Endpoints whose owners are asked before a prompt is placed. Of short
 * prompts at 40 requests a second for each twelve endpoints, 98.7 in 100 begin
 * in time with two, 99.9 with three, 100.0 with five (90 daemons in
 * bench/placing.c, three seeds). */
#define OWNERS_QUERIED_MAX 3
#define RESPONSE_HEAD_MAX 4096

/** How an attempt ended, as far as a further one is concerned. */
typedef enum attempt_outcome {
	ATTEMPT_NOT_SENT,  /**< no byte left */
	ATTEMPT_NOT_RUN,   /**< the endpoint says that it did not run it */
	ATTEMPT_UNKNOWN,   /**< it may have run, without a whole answer */
	ATTEMPT_FAILED,	   /**< it ran, and its answer is a failure */
	ATTEMPT_ESCALATED, /**< its answer is left for a larger model's */
} attempt_outcome_t;

/** Where an attempt goes, and what is expected of it. */
typedef struct placement {
	endpoint_t *endpoint;
	size_t candidates;   /**< that it was chosen from */
	size_t cold_skipped; /**< cold endpoints left out, with no share left */
	double load;	     /**< requests that it was thought to hold */
	uint32_t uncached_tokens; /**< tokens that it has to read */
	double queue_wait_ms;	  /**< before it begins to */
	size_t owner_reports;	  /**< endpoints of which an owner told */
	double prefill_ms;	  /**< of its time that this takes */
	double first_byte_ms; /**< until the answer begins; negative: unknown */
} placement_t;

/** The attempt under way. */
typedef struct attempt {
	endpoint_t *endpoint; /**< held; NULL: none under way */
	http_outbound_t *conn;
	endpoint_response_t response;
	struct timespec sent_at;
	const char *model; /**< named by the router; NULL: the caller's */
	placement_t placement;
	read_ticket_t prefill_entry; /**< while the endpoint has to read it */
	bool sent;		     /**< bytes may have left */
	bool reused;	      /**< on a connection that was used before */
	double first_byte_ms; /**< from the send to the answer's first byte */
	bool head_received;   /**< the answer's head came */
	bool endpoint_restarted;  /**< the process that it was sent to has ended
				   */
	bool new_version;	  /**< of a roll-out's new version */
	bool rollout_saturating;  /**< whose endpoints were being filled */
	bool guard_counted;	  /**< by the guard of a roll-out */
	bool event_rate_reported; /**< the same, the pace of its events */
	bool late_recorded;	  /**< told to the record of models as late */
	bool connection_lost;	  /**< its connection ended before its answer */
	bool connection_refused;  /**< nothing listens at its endpoint */
	bool completed;		  /**< its answer has come to its end */
	bool warmup_acquired;	  /**< counted against its cold endpoint */
	int64_t warmup_slot;	  /**< slot in which it was counted */
} attempt_t;

/** What the owner of an endpoint says of it. */
typedef struct queried_endpoint {
	uint64_t hash;
	bool responded;	      /**< else no answer yet */
	double queue_wait_ms; /**< until it begins to read one more prompt */
	uint32_t cached_prefixes; /**< beginnings of the prompt that it keeps */
} queried_endpoint_t;

/** What is asked before an attempt is placed. */
typedef struct owner_query {
	uint32_t number;    /**< 0: nothing is asked */
	size_t model_index; /**< index of the route's models */
	queried_endpoint_t endpoints[OWNERS_QUERIED_MAX];
	size_t len;
	size_t pending;	     /**< without an answer */
	struct event *timer; /**< until nothing more is waited for */
} owner_query_t;

struct relay_request {
	relay_t *relay;
	http_inbound_t *caller;
	arrival_t arrival;
	relay_config_t *config; /**< under which it was taken */
	const relay_route_t *route;
	const relay_organisation_t *organisation;
	const char *service;
	uint64_t
	    split_hash; /**< hash that places it among pools and versions */
	uint64_t shared_prefix_hash; /**< hash of the prompt parts that others
					have too */
	uint64_t digest; /**< see relay_request_digest(); 0: not made yet */
	struct timespec received_at;
	double earlier_tries_ms; /**< from the caller's first try until then */
	int64_t time_limit_ms;	 /**< after taken */
	struct event *time_limit_timer;
	bool quarantine_trial; /**< it was refused, and is tried again */
	bool awaits_probe;     /**< of the endpoint that broke off last */
	bool avoid_reuse; /**< a kept connection was silent: others may be, too
			   */
	struct event *silence_timer; /**< the kept connection may be dead; NULL:
				  not looked for */
	struct evbuffer *body;	     /**< kept for a repeat */
	attempt_t attempt;
	owner_query_t owner_query; /**< for the next attempt */
	uint64_t
	    tried_endpoints[TRIED_ENDPOINTS_MAX]; /**< hashes of endpoints */
	size_t tried_endpoints_len;
	uint32_t sends;		  /**< attempts whose bytes may have left */
	uint32_t connects_failed; /**< failed ones */
	char last_endpoint_id[ENDPOINT_NAME_SIZE]; /**< last one chosen */
	placement_t placement;			   /**< of the last attempt */
	uint32_t unresolved_sends; /**< of which no answer says not run */
	bool may_have_run;
	/* The answer. */
	int status;
	char *response_head;	   /**< header lines for the caller */
	struct evbuffer *buffered; /**< body not passed on yet */
	event_scan_t scan;
	bool failure_buffered; /**< an endpoint's own failure, passed on if no
			      further attempt does better */
	bool streaming;	       /**< the answer is passed on by events */
	bool response_started; /**< its head has gone to the caller */
	bool paused; /**< the endpoint is not read: the caller is slow */
	bool has_last_event_id;
	int64_t last_event_id; /**< id of the last one passed on */
	double first_byte_ms;
	double escalated_ms; /**< age when the last answer was left for a larger
			      model's; 0: none was */
	double max_event_gap_ms; /**< longest between two events passed on */
	struct timespec last_event_at; /**< when the last event came */
	uint32_t attempt_events; /**< passed on of the attempt under way */
	struct timespec first_event_at; /**< when the first of them came */
	const char *response_model;	/**< that began the answer; config's */
	size_t model_index; /**< of the route's models, for the next attempt */
	bool model_chosen;
	int confidence;		 /**< of the model, 0 to 100; -1: not told */
	int smallest_confidence; /**< of the smallest model's answer; -1: none
				  */
	relay_request_t *next;
	relay_request_t *prev;
};

/** Milliseconds since the request was taken. */
int64_t request_age_ms(const relay_request_t *);
/** Milliseconds since the caller's first try, as far as the wire tells. */
double request_since_first_try_ms(const relay_request_t *);
/** Milliseconds that are left for the answer. */
int64_t request_remaining_ms(const relay_request_t *);

/** The name that the request has whenever it comes again; 0: the fleet's
 * secret is not known yet. */
uint64_t relay_request_digest(relay_request_t *);

/** Whether a repeat does no harm. */
bool request_idempotent(const relay_request_t *);

/** Give up: the final answer goes out at once. */
void request_fail(relay_request_t *, err_code_t, const char *why);
/** The answer has gone out whole, or was broken off: forget the request. */
void request_end(relay_request_t *, const char *outcome, const char *why);

/** Choose an endpoint and send; fails the request if none is to be had. */
void attempt_begin(relay_request_t *);
/** The attempt's connection is up: whether its request may still be sent; if
 * not, another attempt was begun or the request has failed. */
bool attempt_may_send(relay_request_t *);
/** Its request has left: look whether its connection is silent. */
void attempt_watch_silence(relay_request_t *);
/** Bytes of its answer came. */
void attempt_bytes_received(relay_request_t *);
/** Give up the attempt under way, without a word to the caller. */
void attempt_cancel(relay_request_t *);
/** The attempt ended without a whole answer: try again, or fail. */
void
attempt_retry_or_fail(relay_request_t *, attempt_outcome_t, const char *why);
/** The attempt's connection is at rest: keep it if it can be used again. */
void attempt_release(relay_request_t *);

/** Ask the owners of the endpoints that stand first for the request's prompt.
 * @return whether an answer has to be waited for: attempt_begin() is called
 * again then */
bool relay_query_owners(relay_request_t *);
/** Forget the question and what was told. */
void relay_query_end(relay_request_t *);
/** Put the beginnings that others share into a message. */
void relay_gossip_add_prefixes(gossip_message_t *, const prefix_list_t *);
/** How long an endpoint takes to read the request's prompt at most, ms. */
double relay_prefill_ms(const relay_request_t *);
/** What the owner told of the endpoint, or NULL. */
const queried_endpoint_t *
relay_query_result(const relay_request_t *, size_t model, uint64_t endpoint);

/** Choose an endpoint for the request's next attempt.
 * @param model index of the route's models, where the router chooses it
 * @param why set if there is none
 * @return whether there is one */
bool relay_choose_endpoint(
    relay_request_t *, size_t model, placement_t *, const char **why);
/** The request is sent there. */
void
relay_placement_record(relay_request_t *, const placement_t *, size_t model);
/** The model that the router names for the next attempt, or NULL. */
const char *relay_model_select(relay_request_t *);

/** The guard of a roll-out is told of the attempt's answer: it has begun, its
 * next event came, it ended in good order, or it is a failure. */
void relay_guard_begun(relay_request_t *);
void relay_guard_event(relay_request_t *);
void relay_guard_answered(relay_request_t *);
void relay_guard_failed(relay_request_t *);
/** An answer that broke off or never came: told once the endpoint
 * answers again, since one that died says nothing of its version. */
void relay_guard_suspect(relay_request_t *);
/** The attempt's endpoint answers: what broke before was not its death. */
void relay_guard_alive(relay_request_t *);

/** The attempt's connection ended before its answer: its endpoint may have
 * crashed. */
void relay_attempt_connection_lost(relay_request_t *);
/** The attempt is given up while it may run, which it may do for a moment more.
 */
void relay_attempt_abandoned(relay_request_t *);
/** Nothing listens at the attempt's endpoint. */
void relay_attempt_connection_refused(const relay_request_t *);
/** The attempt ran without a crash. */
void relay_attempt_completed(relay_request_t *);
/** Whether it is refused since endpoints crash under it. */
bool relay_quarantine_refuses(relay_request_t *);
/** Whether an endpoint crashed under it, or may have. */
bool relay_request_suspected(relay_request_t *);
/** Whether it is not sent again by itself: so many did. */
bool relay_suspect_forbids_retry(relay_request_t *);
/** Whether an endpoint of its service would be left if it crashed one more. */
bool relay_suspect_may_send(relay_request_t *);
/** Whether it is known soon if the last one crashed under it: attempt_begin()
 * is called again then. */
bool relay_suspect_await_probe(relay_request_t *);

/** The endpoint has answered in good order. */
void attempt_succeeded(relay_request_t *);
/** Pass on an answer that was kept whole. */
void response_forward(relay_request_t *);

/** Forget what was counted. */
void relay_service_states_finish(relay_t *);
/** What is counted for a service, or NULL. */
service_state_t *relay_service_state(relay_t *, const char *service);
/** The model's name, or "": the route's with that index where the router
 * chooses, else the caller's. */
const char *relay_model_name(const relay_request_t *, size_t index);
/** What is known of a model of the request's service, or NULL: the caller named
 * it, or there are more than a route may name. */
service_model_t *relay_model_find(const relay_request_t *, const char *name);
/** The request goes on under a new configuration, which owns the names of its
 * models. @return false: its answer has begun with a model that the new one
 * does not name */
bool relay_model_rebind(relay_request_t *, const relay_route_t *);
/** The head of a stream came: take note of it, and ask a larger model if that
 * is better; the attempt is over then. */
void relay_model_evaluate(relay_request_t *);
/** The attempt ends before the head of its answer came. */
void relay_model_no_response(relay_request_t *);
/** How long ago the caller first tried; each request is asked about once. */
double
relay_earlier_tries_ms(relay_t *, const relay_route_t *, int64_t deadline_ms);
/** A request came for the service: retries are a part of these. */
void relay_count_request(relay_t *, const char *service, struct timespec now);
/** Whether the retry budget of the service allows one more; it is spent. */
bool relay_retry_acquire(relay_t *, const char *service);
/** Whether the budget has room beyond what failures may need soon. */
bool relay_retry_has_spare(relay_t *, const char *service);
/** The service that a request with this hash goes to, or NULL. */
const char *relay_route_service(const relay_route_t *, uint64_t split_hash);
/** What an arrival may do now. @return ERR_NONE, or why it is refused */
err_code_t relay_authorize(const relay_t *, const arrival_t *,
    const char *target, const relay_route_t **, const relay_organisation_t **);

/** Parts of the answer as they arrive. */
extern const http_outbound_ops_t response_ops;
/** The caller has taken what was written. */
void response_drained(relay_request_t *);

#endif
