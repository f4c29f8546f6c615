/**
 * @file
 * The contents of callers' requests and endpoints' responses as types, and the
 * functions that decode and encode their headers. The core itself knows only
 * the standard HTTP headers.
 */
#ifndef MOORTACK_RELAY_DIALECT_H
#define MOORTACK_RELAY_DIALECT_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/http_msg.h"
#include "moortack/relay/endpoint_set.h"

#define ARRIVAL_ID_SIZE 128
#define ARRIVAL_PARTS_MAX 32
#define ARRIVAL_MODEL_SIZE 96

/** A part of a prompt, which several requests may have in common. */
typedef struct prompt_part {
	uint64_t id; /**< equal for equal parts */
	uint32_t tokens;
} prompt_part_t;

/** One request of a caller, decoded from its headers. Strings point into the
 * message. */
typedef struct arrival {
	char id[ARRIVAL_ID_SIZE]; /**< of this try; "": none given */
	const char *host;
	const char *key;     /**< of an organisation; NULL: none */
	bool multiple_keys;  /**< more than one key was given */
	int64_t deadline_ms; /**< the caller waits this long; 0: not given */
	const char *model;   /**< NULL: none given */
	bool any_model;	     /**< the router chooses the model */
	uint32_t tokens_in;  /**< tokens of the prompt */
	uint32_t tokens_out_max;      /**< limit of generated tokens */
	uint32_t tokens_out_estimate; /**< of the caller; 0: none */
	prompt_part_t parts[ARRIVAL_PARTS_MAX];
	size_t parts_len;
	const char *session;   /**< NULL: none */
	bool resumes;	       /**< continues a stream that was cut off */
	int64_t last_event_id; /**< last event that the caller received */
} arrival_t;

/** One attempt to be encoded as the head of a request to an endpoint. */
typedef struct attempt_head {
	const http_msg_t *request; /**< the caller's message */
	const arrival_t *arrival;
	const endpoint_info_t *endpoint;
	const char *organisation; /**< NULL: none */
	const char *model;    /**< chosen by the router; NULL: the caller's */
	int64_t remaining_ms; /**< time left for the response */
	bool resume;	      /**< continue a stream after last_event_id */
	int64_t last_event_id;
	int rank; /**< priority, 0 is the highest; negative: none */
	size_t body_len;
	bool has_body;
} attempt_head_t;

/** The head of an endpoint's response, decoded. */
typedef struct endpoint_response {
	bool id_mismatch; /**< it is not for the request that was sent */
	bool id_missing;  /**< it names no request */
	bool not_run; /**< the endpoint reports that it did not run the request
		       */
	bool wrong_endpoint; /**< another incarnation is at the address */
	bool has_signature;  /**< it has the endpoint's signature header */
	bool encoded; /**< a content encoding was applied: the body is not as
			 the endpoint made it */
	bool event_stream; /**< the body is a stream of events */
	bool has_load;
	endpoint_load_t load;
	int confidence; /**< of the model in its response, 0 to 100; -1: none */
	int64_t idle_max_ms;	  /**< keep-alive time; 0: not given */
	bool closes_connection;	  /**< after this response */
	endpoint_notice_t notice; /**< its restrictions */
} endpoint_response_t;

/** Decodes the messages of callers. */
typedef struct caller_dialect {
	/** Decode the headers of a request.
	 * @return false with the error set: they are malformed */
	bool (*read)(const http_msg_t *, arrival_t *, err_t *);
	/** Decode the ids of the parts of the prompt that other requests may
	 * share: all but the last one.
	 * @param max capacity of ids; further parts are left out
	 * @return how many there are; 0 also if they are malformed */
	size_t (*shared_parts)(const http_msg_t *, uint64_t *ids, size_t max);
} caller_dialect_t;

/** Encodes and decodes the messages of endpoints. */
typedef struct endpoint_dialect {
	/** Append the head of a request. */
	void (*write)(const attempt_head_t *, struct evbuffer *out);
	/** Decode the head of a response. */
	void (*read)(
	    const http_msg_t *, const arrival_t *, endpoint_response_t *);
} endpoint_dialect_t;

#endif
