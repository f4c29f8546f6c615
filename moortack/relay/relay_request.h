/**
 * @file
 * State of one request, shared by the relay's files: accepted (relay.c),
 * placed, sent (relay_attempt.c), responded to (relay_response.c), retried
 * (relay_retry.c).
 */
#ifndef MOORTACK_RELAY_RELAY_REQUEST_H
#define MOORTACK_RELAY_RELAY_REQUEST_H

#include "moortack/relay/event_scan.h"
#include "moortack/relay/relay.h"

/** Endpoints that a request remembers as tried. */
#define TRIED_ENDPOINTS_MAX 8
/** Endpoints whose owners are queried before a prompt is placed. Of short
 * prompts, at 40 requests a second per twelve endpoints, 98.7 % of the
 * responses start in time with two, 99.9 % with three, 100.0 % with five
 * (bench/placing.c with 90 daemons, three seeds). */
#define OWNERS_QUERIED_MAX 3
/** Daemons through which a request is sent on at most, one after the other. */
#define FORWARDS_MAX 3
/** With less time left, no endpoint can respond. */
#define REQUEST_REMAINING_MIN_MS 10
/** Bytes of a response's header lines. */
#define RESPONSE_HEAD_MAX 4096

/** How an attempt ended, which decides whether the request may be retried. */
typedef enum attempt_outcome {
	ATTEMPT_NOT_SENT,  /**< no byte was sent */
	ATTEMPT_NOT_RUN,   /**< the endpoint reports that it did not run it */
	ATTEMPT_UNKNOWN,   /**< it may have run; the response is incomplete */
	ATTEMPT_FAILED,	   /**< it ran, and the response is a server error */
	ATTEMPT_ESCALATED, /**< discarded for a larger model's response */
} attempt_outcome_t;

/** The endpoint chosen for an attempt, and the expected times there. */
typedef struct placement {
	endpoint_t *endpoint;
	size_t candidates;	  /**< endpoints that it was chosen from */
	size_t cold_skipped;	  /**< cold, without a share left in the slot */
	size_t backoff_skipped;	  /**< want no requests for a while */
	size_t limited_skipped;	  /**< the same for those with a rate limit */
	size_t brittle_skipped;	  /**< the same for brittle ones */
	double load;		  /**< estimated requests at the endpoint */
	uint32_t uncached_tokens; /**< of the prompt, to be prefilled */
	double queue_wait_ms;	  /**< until the prefill starts */
	size_t owner_reports; /**< candidates with a report of their owner */
	double prefill_ms;    /**< time that the prefill takes */
	double first_byte_ms; /**< to the response; negative: unknown */
	err_code_t refusal;   /**< if there is no endpoint */
} placement_t;

/** The attempt in progress. */
typedef struct attempt {
	endpoint_t *endpoint; /**< holds a reference; NULL: no attempt */
	http_outbound_t *conn;
	endpoint_response_t response;
	struct timespec sent_at;
	const char *model; /**< chosen by the router; NULL: the caller's */
	placement_t placement;
	prefill_entry_t prefill_entry; /**< in the endpoint's prefill queue */
	bool sent;		       /**< bytes may have been sent */
	bool reused;		       /**< sent over an idle connection */
	double first_byte_ms; /**< from the send to the response's head */
	bool head_received;
	bool endpoint_restarted; /**< the process has ended since the send */
	bool new_version;     /**< at an endpoint of a roll-out's new version */
	bool puts_under_load; /**< its route's requests put the new
				 version of a roll-out under load */
	bool guard_counted;   /**< by the canary analysis */
	bool event_rate_reported;   /**< to the canary analysis */
	bool shortest_gap_reported; /**< to the canary analysis */
	double shortest_gap_ms;	    /**< of its first gaps between events */
	struct timespec event_at;   /**< the last event */
	bool late_recorded;	    /**< in the model's statistics */
	bool connection_lost;	    /**< before the response was complete */
	http_defect_t defect;	    /**< why the response is bad */
	bool connection_refused; /**< by the endpoint's host: nothing listens */
	struct timespec decode_since; /**< first of the events of which the
					 time is measured */
	bool body_unused;	  /**< the body of the response is not wanted */
	size_t unused_body_bytes; /**< received of it */
	bool caller_was_slow; /**< since then, no data was read for a while */
	bool completed;	      /**< the response was complete */
	bool end_confirmed; /**< after that, the endpoint was found to listen */
	bool end_uncertain; /**< the response ended with its connection;
			       a probe tells whether the endpoint crashed */
	bool parts_answered;	   /**< the prompt did not crash the endpoint */
	bool warmup_acquired;	   /**< counted against the quota of its cold
				      endpoint */
	int64_t warmup_slot;	   /**< slot in which it was counted */
	bool rate_acquired;	   /**< counted against the rate limit of its
				      endpoint */
	int64_t rate_slot;	   /**< slot in which it was counted */
	bool unresolved;	   /**< its endpoint may still refuse it */
	bool forwarded;		   /**< sent on through another daemon; there is
				      no endpoint */
	struct sockaddr_in helper; /**< that daemon */
	uint32_t forward_sends;	   /**< endpoints that it may send it to */
	bool has_forward_result;
	forward_result_t forward_result;
	int64_t forward_retry_after_ms; /**< with the result; 0: none */
} attempt_t;

/** The response of an endpoint's owner to a query. */
typedef struct queried_endpoint {
	uint64_t hash; /**< of the endpoint */
	bool responded;
	double queue_wait_ms; /**< until the endpoint starts to prefill one more
				 prompt */
	uint32_t cached_prefixes; /**< of the prompt, at the endpoint */
	bool listed;		  /**< by what the endpoint itself reports */
} queried_endpoint_t;

/** The query to the owners of endpoints before an attempt is placed. */
typedef struct owner_query {
	uint32_t number;    /**< 0: no query */
	size_t model_index; /**< index in the route's models */
	queried_endpoint_t endpoints[OWNERS_QUERIED_MAX];
	size_t len;
	size_t pending;	     /**< endpoints without a response */
	struct event *timer; /**< ends the wait for responses */
} owner_query_t;

/** A request that was accepted and has not ended. */
struct relay_request {
	relay_t *relay;
	http_inbound_t *caller;
	arrival_t arrival;
	relay_config_t *config; /**< under which it is handled; a reference */
	const relay_route_t *route;
	const relay_organisation_t *organisation;
	const char *service;
	uint64_t split_hash;	     /**< picks the service and version */
	uint64_t shared_prefix_hash; /**< of the prompt's parts but the last */
	uint64_t digest; /**< see relay_request_digest(); 0: not known yet */
	uint64_t *part_digests; /**< see relay_request_parts(); NULL: not known
				   yet, or none */
	size_t part_digests_len;
	bool parts_decoded;
	struct timespec received_at;
	double earlier_tries_ms; /**< from the caller's first try to
				    received_at, estimated */
	int64_t time_limit_ms;	 /**< after received_at */
	struct event *time_limit_timer;
	uint64_t quarantined_cause; /**< digest for which it is refused; 0:
				       none */
	bool quarantine_trial; /**< what it is quarantined for is run as a trial
				*/
	bool awaits_probe;     /**< of an endpoint whose connection was lost */
	bool avoid_reuse; /**< a reused connection was silent, others may be
			     too: open new ones */
	struct event *silence_timer; /**< checks whether the connection is
					silent; NULL: not needed so far */
	struct evbuffer *body;	     /**< for retries */
	attempt_t attempt;
	owner_query_t owner_query; /**< before the next attempt */
	uint64_t tried_endpoints[TRIED_ENDPOINTS_MAX]; /**< hashes */
	size_t tried_endpoints_len;
	bool canary_failed; /**< an attempt of it failed by its endpoint: the
			       next ones say little about a version, as a
			       request that fails may fail anywhere */
	uint32_t sends;	    /**< attempts of which bytes may have been sent */
	uint32_t connects_failed; /**< attempts that did not get a connection */
	struct event *reports_timer; /**< ends the wait for other daemons'
					reports; NULL: it does not wait */
	bool waited_for_reports;
	err_code_t refusal; /**< while it waits: its end without a report */
	const char *refusal_why;
	bool from_daemon;   /**< another daemon sent it on through this one */
	uint32_t sends_max; /**< if so, endpoints that it may be sent to */
	struct sockaddr_in
	    tried_helpers[FORWARDS_MAX]; /**< it was sent on through these */
	size_t tried_helpers_len;
	char last_endpoint_id[ENDPOINT_NAME_SIZE]; /**< the last one chosen */
	char last_endpoint_version[ENDPOINT_NAME_SIZE];
	int64_t retry_after_ms; /**< until an endpoint may get it; 0: unknown */
	bool retry_after_final; /**< it has jitter already */
	wait_entry_t wait_entry;
	service_state_t *waits_at;    /**< in the queue of this service; NULL:
					 it does not wait */
	service_state_t *admitted_at; /**< its next attempt, or the one in
					 progress, is admitted to this service;
					 NULL: to none */
	service_state_t *expired_at;  /**< it got no place there in time */
	admission_reason_t admission_reason; /**< of the last decision */
	const char *admission;	   /**< the same as text; NULL: none was made */
	int64_t waited_ms;	   /**< for places, so far */
	placement_t placement;	   /**< of the last attempt */
	uint32_t unresolved_sends; /**< sends not reported as not run */
	bool may_have_run;
	bool usage_counted;
	/* The response. */
	int status;
	char *response_head;	   /**< header lines for the caller */
	struct evbuffer *buffered; /**< body that was not forwarded yet */
	event_scan_t scan;
	bool failure_buffered; /**< a server error is in the buffer, and is
				  forwarded if no further attempt succeeds */
	bool streaming;	       /**< the response is forwarded event by event */
	bool response_started; /**< its head was sent to the caller */
	bool paused; /**< no data is read from the endpoint, since the caller is
			slow */
	bool has_last_event_id;
	int64_t last_event_id; /**< of the last event forwarded */
	double first_byte_ms;  /**< from received_at; 0: not started */
	double escalated_ms; /**< age at the last escalation to a larger model;
				0: none */
	double max_event_gap_ms;	/**< between two events forwarded */
	struct timespec last_event_at;	/**< last one received */
	uint32_t attempt_events;	/**< events of the current attempt */
	struct timespec first_event_at; /**< first of these received */
	const char *response_model;	/**< started the response; config's */
	size_t model_index; /**< in the route's models, for the next attempt */
	bool model_chosen;
	int confidence; /**< of the model in its response, 0 to 100; -1: not
			   reported */
	int smallest_confidence; /**< of the smallest model, as above */
	relay_request_t *next;
	relay_request_t *prev;
};

/** Milliseconds since the request was received. */
int64_t request_age_ms(const relay_request_t *);
/** Milliseconds since the caller's first try, estimated from the deadline that
 * it sent. */
double request_since_first_try_ms(const relay_request_t *);
/** Milliseconds left until the time limit; negative: it has passed. */
int64_t request_remaining_ms(const relay_request_t *);

/** The request's rank: its organisation's, or else its route's; 0 is the most
 * urgent, 9 the least. */
int request_rank(const relay_request_t *);

/** Keyed hash that identifies equal requests; 0: the fleet's secret is not
 * known yet. */
uint64_t relay_request_digest(relay_request_t *);

/** Digests of the prompt's parts that other requests may share; none until the
 * fleet's secret is known.
 * @param len set to how many there are
 * @return the request's; NULL: none */
const uint64_t *relay_request_parts(relay_request_t *, size_t *len);

/** Its rank among others: that of its organisation, or else of its route. */
int request_rank(const relay_request_t *);

/** Whether the request may safely run more than once. */
bool request_idempotent(const relay_request_t *);

/** End the request with an error response, or abort a response that has
 * started. */
void request_fail(relay_request_t *, err_code_t, const char *why);
/** Accept a request, or refuse it.
 * @param head the terms on which another daemon sent it on; NULL: a caller sent
 * it */
void
relay_accept_request(relay_t *, http_inbound_t *, const forward_head_t *head);
/** Refuse a request before it is accepted.
 * @param id of the caller's try; "-": none
 * @param from_daemon another daemon sent it on
 * @param why cause for the log, a static text */
void relay_refuse_arrival(relay_t *, http_inbound_t *, const char *id,
    bool from_daemon, err_code_t, const char *why);
/** Refuse what can't be a request, or what there is no memory to receive. */
void
relay_refuse_message(relay_t *, http_inbound_t *, bool from_daemon, err_code_t);
/** Log, count and free the request. The response to its caller is sent or
 * aborted separately. */
void request_end(relay_request_t *, const char *outcome, const char *why);

/** Choose an endpoint and send the request; fails the request if there is none.
 */
void attempt_begin(relay_request_t *);
/** Check again, once the attempt's connection is established, whether the
 * request may be sent. If not, another attempt was started or the request has
 * failed. */
bool attempt_may_send(relay_request_t *);
/** The request was sent: start to watch its connection for silence. */
void attempt_watch_silence(relay_request_t *);
/** The body of the response is not wanted: it is read to its end only within a
 * bound in bytes and time, so that the connection can be kept. */
void attempt_watch_unused_body(relay_request_t *);
/** Count bytes of such a body.
 * @return false: it was beyond its bound, and the attempt has ended */
bool attempt_unused_body_add(relay_request_t *, size_t len);
/** End an attempt that the endpoint says it has not run. */
void response_not_run(relay_request_t *, const char *why);
/** Data of the response was received: the connection is not silent. */
void attempt_bytes_received(relay_request_t *);
/** Cancel the attempt in progress; nothing is sent to the caller. */
void attempt_cancel(relay_request_t *);
/** The attempt ended without a complete response: retry, or fail the request.
 * @param why cause for the log, a static text */
void
attempt_retry_or_fail(relay_request_t *, attempt_outcome_t, const char *why);
/** The response was received completely: keep the connection if it can be
 * reused. */
void attempt_release(relay_request_t *);

/** Query the owners of the endpoints that rank first for the request's prompt.
 * @return whether responses have to be awaited: attempt_begin() is called again
 * then */
bool relay_query_owners(relay_request_t *);
/** Clear the query and its responses. */
void relay_query_end(relay_request_t *);
/** Add to a message the parts that other requests may share: all but the last
 * one. */
void relay_gossip_add_parts(gossip_message_t *, const prefix_list_t *);
/** Milliseconds that an endpoint needs to prefill the request's prompt with
 * nothing cached. */
double relay_prefill_ms(const relay_request_t *);
/** The owner's response for the endpoint, or NULL.
 * @param model index in the route's models */
const queried_endpoint_t *
relay_query_result(const relay_request_t *, size_t model, uint64_t endpoint);

/** Record the wait at an endpoint, as far as this daemon knows it. */
void relay_price_observe_endpoint(relay_t *, endpoint_t *);
/** The same for its zone, when the head of a response was received. */
void relay_price_observe_response(relay_t *, endpoint_t *);
/** The endpoint's price in thousandths, as its owner reports it; 0: unknown. */
uint32_t relay_price_milli(const relay_t *, const endpoint_t *);
/** An owner has reported its endpoint's price. */
void relay_price_receive(relay_t *, uint32_t endpoint_hash, uint32_t milli);
/** The price of the service's endpoints in a zone; 0: unknown, or none. */
double relay_price(relay_t *, const char *service, const char *zone);
/** The price with its age; all zero: unknown.
 * @param state NULL: the service is not known */
const price_t *
service_zone_price(const service_state_t *state, const char *zone);

/** Choose an endpoint for the request's next attempt.
 * @param model index in the route's models, if the router chooses the model
 * @param why set if there is none
 * @return whether there is one */
bool relay_choose_endpoint(
    relay_request_t *, size_t model, placement_t *, const char **why);
/** Milliseconds until an endpoint may get the request, if it was tried nowhere;
 * 0: one may at once, or there is none. */
int64_t relay_time_to_endpoint_ms(relay_request_t *);
/** Whether an endpoint without a rate limit can be reached and may get the
 * request. */
bool relay_has_unlimited_endpoint(relay_request_t *);
/** Record that the request is sent there, and report it to other daemons. */
void
relay_placement_record(relay_request_t *, const placement_t *, size_t model);
/** The model that the router chooses for the next attempt; NULL: the caller's.
 */
const char *relay_model_select(relay_request_t *);

/** Report the attempt's response to the canary analysis of its roll-out: it has
 * started, its next event was received, it is complete, or it is a failure. */
void relay_canary_first_byte(relay_request_t *);
void relay_canary_event(relay_request_t *);
void relay_canary_completed(relay_request_t *);
void relay_canary_failed(relay_request_t *);
/** The response is incomplete or missing. The failure is reported once the
 * endpoint responds again: if it is down, that says nothing about its version.
 */
void relay_canary_defer_failure(relay_request_t *);
/** The attempt's endpoint responds, so it is not down: report its deferred
 * failures. */
void relay_canary_endpoint_alive(relay_request_t *);

/** The attempt's connection was lost before the response was complete: the
 * endpoint may have crashed. */
void relay_attempt_connection_lost(relay_request_t *);
/** The attempt is cancelled after its request was sent; the endpoint may run it
 * for a moment more. */
void relay_attempt_abandoned(relay_request_t *);
/** The connection to the attempt's endpoint was refused. */
void relay_attempt_connection_refused(const relay_request_t *);
/** The attempt ran without crashing its endpoint. */
void relay_attempt_completed(relay_request_t *);
/** Whether the end of the connection that ended the response may be that of the
 * endpoint's process. */
bool relay_end_is_uncertain(const relay_request_t *);
/** Whether the end of the response shows that the endpoint did not crash on the
 * request: the end of its connection alone does not. */
bool relay_end_shows_life(const relay_request_t *);
/** Probe the endpoint: the response is complete if it still listens. */
void relay_end_confirm(relay_request_t *);
/** The endpoint was probed: end the responses that wait for the result. */
void relay_ends_resolve(relay_t *, const endpoint_t *, probe_result_t);
/** The endpoint answers the prompt without crashing: no part of it crashes
 * endpoints. */
void relay_parts_answered(relay_request_t *);
/** An event of the attempt's stream was received. */
void relay_parts_event(relay_request_t *);
/** Crashes recorded, and possible ones, for the most suspected part of the
 * prompt that is not proven. */
size_t relay_parts_suspicion(relay_request_t *);
/** How many of the request itself and the parts of its prompt are quarantined.
 * @param first digest of one of them; 0: none */
size_t relay_quarantined_causes(relay_request_t *, uint64_t *first);
/** Whether the request is refused because it crashes endpoints. */
bool relay_quarantine_refuses(relay_request_t *);
/** Whether an endpoint crashed while it ran the request, or may have. */
bool relay_request_suspected(relay_request_t *);
/** Whether so many endpoints crashed while they ran the request that it is not
 * retried unless its caller does. */
bool relay_suspect_forbids_retry(relay_request_t *);
/** Whether the service would have an endpoint left if the request crashed one
 * more. */
bool relay_suspect_may_send(relay_request_t *);
/** Wait for the result of a crash probe of the request's last endpoint, if
 * there is one: attempt_begin() is called again then.
 * @return false: nothing to wait for */
bool relay_suspect_await_probe(relay_request_t *);

/** The head of the attempt's response was received: apply what the endpoint
 * says about the requests that it accepts. */
void relay_notice_apply(relay_request_t *);
/** Another daemon reports an endpoint's rate limit.
 * @param relay a relay_t
 * @return whether it was news */
bool relay_rate_limit_receive(void *relay, const gossip_message_t *);

/** Endpoints that the request may be sent to at most. */
uint32_t request_sends_max(const relay_request_t *);
/** Check a request that another daemon sends on through this one.
 * @param head filled in
 * @return ERR_NONE: it is accepted */
err_code_t
relay_forward_check(const relay_t *, const http_msg_t *, forward_head_t *head);
/** Whether the next attempt goes through another daemon, as the links to the
 * endpoints of the request's service are lost. */
bool relay_forward_wanted(const relay_request_t *);
/** Send the request on through another daemon.
 * @return false: there is none to send it to */
bool relay_forward_begin(relay_request_t *);
/** Cancel the attempt through another daemon. */
void relay_forward_cancel(relay_request_t *);
/** Log and count the end of an attempt through another daemon. */
void
relay_forward_record(relay_request_t *, attempt_outcome_t, const char *why);
/** Give up the attempts through a daemon that is silent. */
void relay_forward_fail_helper(
    relay_t *, const char *service, const struct sockaddr_in *);
/** The header line by which the daemon that sent the request on learns how it
 * ended here; "": a caller sent it.
 * @param code ERR_NONE: an endpoint's response
 * @param out FORWARD_LINE_SIZE bytes */
void relay_forward_result_line(
    bool from_daemon, err_code_t code, uint32_t sends, char *out);
/** Size of that line. */
#define FORWARD_LINE_SIZE 96

/** The endpoints of the request's service; NULL: none is known. */
endpoint_group_t *relay_request_group(const relay_request_t *);
/** Whether this daemon reaches the endpoints of the request's service, as far
 * as it knows. */
reach_verdict_t relay_reach_verdict(const relay_request_t *);
/** For how many milliseconds no connection to them could be opened; 0: they can
 * be reached, as far as it knows. */
int64_t relay_reach_failing_ms(const relay_request_t *);
/** Whether it has had contact with an endpoint of the same service lately: if
 * not, one is probed, and silence is no sign against this endpoint. */
bool relay_reach_has_contact(relay_t *, const endpoint_t *);
/** Whether a new connection to any endpoint worked at this moment or later. */
bool relay_reach_opened_since(const relay_t *, struct timespec);
/** Find out whether new connections work: probe endpoints at which no attempt
 * was interrupted. */
void relay_reach_check_links(relay_t *);
/** Wait for other daemons' reports before a request is refused, if it is not
 * known yet whether the links to the endpoints are lost: it is sent on then, or
 * ends with this refusal.
 * @return false: there is nothing to wait for */
bool relay_reach_wait(relay_request_t *, err_code_t refusal, const char *why);
/** The links are lost: send on the requests that wait. */
void relay_reach_waits_resume(relay_t *, const char *service);
/** There is no further attempt: respond with the outcome of those before, or
 * with this refusal if the request has not run. */
void attempt_conclude(relay_request_t *, err_code_t, const char *why);
/** The same, unless other daemons' reports may bring a further attempt. */
void attempt_refuse(relay_request_t *, err_code_t, const char *why);
/** Callbacks of gossip_ops_t. */
bool relay_reach_query(
    void *relay, const gossip_message_t *query, gossip_message_t *report);
void relay_reach_report(
    void *relay, const struct sockaddr_in *from, const gossip_message_t *);
/** The head of the attempt's response was received. */
void relay_reach_response(const relay_request_t *);
/** No connection to the attempt's endpoint could be opened, or a new one was
 * closed before any byte of a response. */
void relay_reach_failure(const relay_request_t *);

/** The endpoints of the service with this hash, as other daemons are sent it;
 * NULL: there are none. */
endpoint_group_t *relay_group_find(const relay_t *, uint32_t service_hash);
/** Another daemon reports that a service is brittle.
 * @param relay a relay_t
 * @return whether it was news */
bool relay_brittle_receive(void *relay, const gossip_message_t *);

/** Whether an HTTP status is one of success. */
bool status_is_success(int status);
/** The endpoint has sent a complete response. */
void attempt_succeeded(relay_request_t *);
/** Forward a response that was buffered completely, and end the request. */
void response_forward(relay_request_t *);
/** Store the head of a response that is passed on, or check that a stream can
 * be resumed with it. The attempt may have ended afterwards.
 * @return false: it has */
bool response_head_accept(relay_request_t *, const http_msg_t *);
/** Note why the attempt's response is bad, and count it. */
void response_record_defect(relay_request_t *);
/** Pass on, or buffer, a part of the response's body. */
void response_body_add(relay_request_t *, const char *bytes, size_t len);
/** All of the response was received. */
void response_end(relay_request_t *);

/** Free the states of all services and routes. */
void relay_service_states_finish(relay_t *);
/** The state of a service, created if needed; NULL: out of memory, or the name
 * is too long. */
service_state_t *relay_service_state(relay_t *, const char *service);
/** Name of the route's model with that index if the router chooses the model,
 * else of the caller's model; "": none. */
const char *relay_model_name(const relay_request_t *, size_t index);
/** Statistics of a model of the request's service, created if needed; NULL: the
 * caller chose the model, there are MODELS_MAX others, or out of memory. */
service_model_t *relay_model_find(const relay_request_t *, const char *name);
/** Look up the request's model in the route of a new configuration, which owns
 * the model's name from then on.
 * @return false: the response has started with a model that the new
 * configuration does not name */
bool relay_model_rebind(relay_request_t *, const relay_route_t *);
/** The head of a streamed response was received: update the model's statistics,
 * and escalate to a larger model if that is better. The attempt has ended
 * then. */
void relay_model_evaluate(relay_request_t *);
/** An event of the attempt was received, at the time of last_event_at: measure
 * how long the model takes for a token. */
void relay_model_event(relay_request_t *);
/** The request is sent again before its response has started: take a smaller
 * model if the present one cannot complete in the time left. */
void relay_model_reconsider(relay_request_t *);
/** The attempt ends before the head of its response was received. */
void relay_model_no_response(relay_request_t *);
/** Estimate in milliseconds how long ago the caller first tried. It updates the
 * route's estimate, so call it once for each request. */
double
relay_earlier_tries_ms(relay_t *, const relay_route_t *, int64_t deadline_ms);
/** How long ago the request's caller may have first tried, if that was before
 * this daemon started; else 0. */
int64_t relay_tried_before_start_ms(const relay_request_t *);
/** Record how long a request took that was answered. */
void relay_observe_duration(relay_t *, const relay_route_t *, double ms);
/** Whether this daemon stops so soon that it takes only requests that end
 * before for certain. */
bool relay_refuses_uncertain(const relay_t *);
/** Whether this daemon stops too early to take the request.
 * @param limit_ms after which the request has ended in any case */
bool
relay_leaving_refuses(const relay_t *, const relay_route_t *, int64_t limit_ms);
/** Count a request for the service, which adds to its retry budget. */
void relay_count_request(relay_t *, const char *service, struct timespec now);
/** Acquire a retry from the budget of the service.
 * @return false: none is left */
bool relay_retry_acquire(relay_t *, const char *service);
/** Whether the retry budget has more left than is reserved for failures. */
bool relay_retry_has_spare(relay_t *, const char *service);
/** The service that receives a request with this hash, by the weights of the
 * route's pools; NULL: all weights are 0. */
const char *relay_route_service(const relay_route_t *, uint64_t split_hash);
/** Hash of the route's name. */
uint64_t relay_route_hash(const relay_route_t *);
/** Find the route of a request, and the organisation by its key, under the
 * current configuration.
 * @return ERR_NONE, or why the request is refused */
err_code_t relay_authorize(const relay_t *, const arrival_t *,
    const char *target, const relay_route_t **, const relay_organisation_t **);

/** Callbacks for an attempt's connection; their argument is a request. */
extern const http_outbound_ops_t response_ops;
/** All data written to the caller has been sent: resume reading from the
 * endpoint. */
void response_drained(relay_request_t *);

#endif
