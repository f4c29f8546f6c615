/**
 * @file
 * One request's life, shared by the relay's files: taken (relay.c), sent
 * (relay_attempt.c), placed (relay_select.c), answered (relay_answer.c).
 */
#ifndef MOORTACK_RELAY_RELAY_REQUEST_H
#define MOORTACK_RELAY_RELAY_REQUEST_H

#include "moortack/relay/event_scan.h"
#include "moortack/relay/relay.h"

#define TRIED_MAX 8
/** Endpoints whose owners are asked before a prompt is placed. Of short
 * prompts at 40 requests a second for each twelve endpoints, 98.7 in 100 begin
 * in time with two, 99.9 with three, 100.0 with five (90 daemons in
 * bench/placing.c, three seeds). */
#define ASKED_MAX 3
#define HEAD_TEXT_MAX 4096

/** How an attempt ended, as far as a further one is concerned. */
typedef enum attempt_end {
	ATTEMPT_NOT_SENT, /**< no byte left */
	ATTEMPT_NOT_RUN,  /**< the endpoint says that it did not run it */
	ATTEMPT_UNKNOWN,  /**< it may have run, without a whole answer */
	ATTEMPT_FAILED,	  /**< it ran, and its answer is a failure */
	ATTEMPT_DROPPED,  /**< its answer is left for a larger model's */
} attempt_end_t;

/** Where an attempt goes, and what is expected of it. */
typedef struct placement {
	endpoint_t *endpoint;
	size_t candidates; /**< that it was chosen from */
	size_t cold;	   /**< cold endpoints left out, with no share left */
	double load;	   /**< requests that it was thought to hold */
	uint32_t unread;   /**< tokens that it has to read */
	double wait_ms;	   /**< before it begins to */
	size_t told;	   /**< endpoints of which an owner told */
	double read_ms;	   /**< of its time that this takes */
	double first_ms;   /**< until the answer begins; negative: unknown */
} placement_t;

/** The attempt under way. */
typedef struct attempt {
	endpoint_t *endpoint; /**< held; NULL: none under way */
	http_outbound_t *conn;
	endpoint_answer_t answer;
	struct timespec sent_at;
	const char *model; /**< named by the router; NULL: the caller's */
	placement_t place;
	prefill_entry_t ticket; /**< while the endpoint has to read it */
	bool sent;		/**< bytes may have left */
	bool kept;		/**< on a connection that was used before */
	double first_ms;	/**< from the send to the answer's first byte */
	bool headed;		/**< the answer's head came */
	bool ended;	      /**< the process that it was sent to has ended */
	bool is_new;	      /**< of a roll-out's new version */
	bool on_trial;	      /**< whose endpoints were being filled */
	bool counted;	      /**< by the guard of a roll-out */
	bool paced;	      /**< the same, the pace of its events */
	bool late_told;	      /**< told to the record of models as late */
	bool broke;	      /**< its connection ended before its answer */
	bool refused;	      /**< nothing listens at its endpoint */
	bool whole;	      /**< its answer has come to its end */
	bool warmup_acquired; /**< counted against its cold endpoint */
	int64_t warmup_slot;  /**< slot in which it was counted */
} attempt_t;

/** What the owner of an endpoint says of it. */
typedef struct asked_endpoint {
	uint64_t hash;
	bool told;	/**< else no answer yet */
	double wait_ms; /**< until it begins to read one more prompt */
	uint32_t kept;	/**< beginnings of the prompt that it keeps */
} asked_endpoint_t;

/** What is asked before an attempt is placed. */
typedef struct placing_question {
	uint32_t number; /**< 0: nothing is asked */
	size_t model;	 /**< index of the route's models */
	asked_endpoint_t of[ASKED_MAX];
	size_t len;
	size_t open;	     /**< without an answer */
	struct event *limit; /**< until nothing more is waited for */
} placing_question_t;

struct relay_request {
	relay_t *relay;
	http_inbound_t *caller;
	arrival_t arrival;
	relay_config_t *config; /**< under which it was taken */
	const relay_route_t *route;
	const relay_organisation_t *organisation;
	const char *service;
	uint64_t spread; /**< hash that places it among pools and versions */
	uint64_t shared; /**< hash of the prompt parts that others have too */
	uint64_t digest; /**< see relay_digest(); 0: not made yet */
	struct timespec taken;
	double before_ms; /**< from the caller's first try until then */
	int64_t limit_ms; /**< after taken */
	struct event *limit;
	bool on_trial;	   /**< it was refused, and is tried again */
	bool awaits_probe; /**< of the endpoint that broke off last */
	bool kept_dead; /**< a kept connection was silent: others may be, too */
	struct event *silence; /**< the kept connection may be dead; NULL: not
				  looked for */
	struct evbuffer *body; /**< kept for a repeat */
	attempt_t attempt;
	placing_question_t question; /**< for the next attempt */
	uint64_t tried[TRIED_MAX];   /**< hashes of endpoints */
	size_t tried_len;
	uint32_t sends;	   /**< attempts whose bytes may have left */
	uint32_t connects; /**< failed ones */
	char endpoint_id[ENDPOINT_NAME_SIZE]; /**< last one chosen */
	placement_t place;		      /**< of the last attempt */
	uint32_t unknown_sends; /**< of which no answer says not run */
	bool may_have_run;
	/* The answer. */
	int status;
	char *head;	       /**< header lines for the caller */
	struct evbuffer *kept; /**< body not passed on yet */
	event_scan_t scan;
	bool failure_kept; /**< an endpoint's own failure, passed on if no
			      further attempt does better */
	bool streaming;	   /**< the answer is passed on by events */
	bool begun;	   /**< its head has gone to the caller */
	bool paused;	   /**< the endpoint is not read: the caller is slow */
	bool have_event;
	int64_t last_event; /**< id of the last one passed on */
	double first_ms;
	double dropped_ms; /**< age when the last answer was left for a larger
			      model's; 0: none was */
	double pause_ms;   /**< longest between two events passed on */
	struct timespec event_at;     /**< when the last event came */
	uint32_t events;	      /**< passed on of the attempt under way */
	struct timespec events_since; /**< when the first of them came */
	const char *model;	      /**< that began the answer; config's */
	size_t model_index; /**< of the route's models, for the next attempt */
	bool model_chosen;
	int confidence;	       /**< of the model, 0 to 100; -1: not told */
	int smallest_estimate; /**< of the smallest model's answer; -1: none */
	relay_request_t *next;
	relay_request_t *prev;
};

/** Milliseconds since the request was taken. */
int64_t request_age_ms(const relay_request_t *);
/** Milliseconds since the caller's first try, as far as the wire tells. */
double request_tried_ms(const relay_request_t *);
/** Milliseconds that are left for the answer. */
int64_t request_left_ms(const relay_request_t *);

/** The name that the request has whenever it comes again; 0: the fleet's
 * secret is not known yet. */
uint64_t relay_digest(relay_request_t *);

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
bool attempt_ready(relay_request_t *);
/** Its request has left: look whether its connection is silent. */
void attempt_watch_silence(relay_request_t *);
/** Bytes of its answer came. */
void attempt_heard(relay_request_t *);
/** Give up the attempt under way, without a word to the caller. */
void attempt_cancel(relay_request_t *);
/** The attempt ended without a whole answer: try again, or fail. */
void attempt_over(relay_request_t *, attempt_end_t, const char *why);
/** The attempt's connection is at rest: keep it if it can be used again. */
void attempt_release(relay_request_t *);

/** Ask the owners of the endpoints that stand first for the request's prompt.
 * @return whether an answer has to be waited for: attempt_begin() is called
 * again then */
bool relay_ask(relay_request_t *);
/** Forget the question and what was told. */
void relay_ask_end(relay_request_t *);
/** Put the beginnings that others share into a message. */
void relay_gossip_prefixes(gossip_message_t *, const prefix_list_t *);
/** How long an endpoint takes to read the request's prompt at most, ms. */
double relay_read_ms(const relay_request_t *);
/** What the owner told of the endpoint, or NULL. */
const asked_endpoint_t *
relay_ask_told(const relay_request_t *, size_t model, uint64_t endpoint);

/** Choose an endpoint for the request's next attempt.
 * @param model index of the route's models, where the router chooses it
 * @param why set if there is none
 * @return whether there is one */
bool
relay_place(relay_request_t *, size_t model, placement_t *, const char **why);
/** The request is sent there. */
void relay_place_note(relay_request_t *, const placement_t *, size_t model);
/** The model that the router names for the next attempt, or NULL. */
const char *relay_model(relay_request_t *);

/** The guard of a roll-out is told of the attempt's answer: it has begun, its
 * next event came, it ended in good order, or it is a failure. */
void relay_canary_first_byte(relay_request_t *);
void relay_canary_event(relay_request_t *);
void relay_canary_completed(relay_request_t *);
void relay_canary_failed(relay_request_t *);
/** An answer that broke off or never came: told once the endpoint
 * answers again, since one that died says nothing of its version. */
void relay_canary_defer_failure(relay_request_t *);
/** The attempt's endpoint answers: what broke before was not its death. */
void relay_canary_endpoint_alive(relay_request_t *);

/** The attempt's connection ended before its answer: its endpoint may have
 * crashed. */
void relay_attempt_broke(relay_request_t *);
/** The attempt is given up while it may run, which it may do for a moment more.
 */
void relay_attempt_left(relay_request_t *);
/** Nothing listens at the attempt's endpoint. */
void relay_attempt_refused(const relay_request_t *);
/** The attempt ran without a crash. */
void relay_attempt_survived(relay_request_t *);
/** Whether it is refused since endpoints crash under it. */
bool relay_quarantine_refuses(relay_request_t *);
/** Whether an endpoint crashed under it, or may have. */
bool relay_suspected(relay_request_t *);
/** Whether it is not sent again by itself: so many did. */
bool relay_suspect_stops(relay_request_t *);
/** Whether an endpoint of its service would be left if it crashed one more. */
bool relay_suspect_fits(relay_request_t *);
/** Whether it is known soon if the last one crashed under it: attempt_begin()
 * is called again then. */
bool relay_suspect_waits(relay_request_t *);

/** The endpoint has answered in good order. */
void attempt_answered(relay_request_t *);
/** Pass on an answer that was kept whole. */
void answer_pass(relay_request_t *);

/** Forget what was counted. */
void relay_counts_finish(relay_t *);
/** What is counted for a service, or NULL. */
relay_budget_t *relay_counts(relay_t *, const char *service);
/** The model's name, or "": the route's with that index where the router
 * chooses, else the caller's. */
const char *relay_model_name(const relay_request_t *, size_t index);
/** What is known of a model of the request's service, or NULL: the caller named
 * it, or there are more than a route may name. */
relay_model_t *relay_model_known(const relay_request_t *, const char *name);
/** The request goes on under a new configuration, which owns the names of its
 * models. @return false: its answer has begun with a model that the new one
 * does not name */
bool relay_model_carry(relay_request_t *, const relay_route_t *);
/** The head of a stream came: take note of it, and ask a larger model if that
 * is better; the attempt is over then. */
void relay_model_judge(relay_request_t *);
/** The attempt ends before the head of its answer came. */
void relay_model_unanswered(relay_request_t *);
/** How long ago the caller first tried; each request is asked about once. */
double
relay_tried_before_ms(relay_t *, const relay_route_t *, int64_t deadline_ms);
/** A request came for the service: retries are a part of these. */
void relay_count_request(relay_t *, const char *service, struct timespec now);
/** Whether the retry budget of the service allows one more; it is spent. */
bool relay_repeat_allowed(relay_t *, const char *service);
/** Whether the budget has room beyond what failures may need soon. */
bool relay_repeat_plenty(relay_t *, const char *service);
/** The service that a request with this hash goes to, or NULL. */
const char *relay_pool(const relay_route_t *, uint64_t spread);
/** What an arrival may do now. @return ERR_NONE, or why it is refused */
err_code_t relay_permit(const relay_t *, const arrival_t *, const char *target,
    const relay_route_t **, const relay_organisation_t **);

/** Parts of the answer as they arrive. */
extern const http_outbound_ops_t answer_ops;
/** The caller has taken what was written. */
void answer_drained(relay_request_t *);

#endif
