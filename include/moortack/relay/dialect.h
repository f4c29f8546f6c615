/**
 * @file
 * What callers and endpoints say, as types, and the tables of functions that
 * read and write their headers. The core knows no header of its own but HTTP's.
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

/** A part of a prompt, which several requests may share. */
typedef struct prompt_part {
	uint64_t id;
	uint32_t tokens;
} prompt_part_t;

/** One request of a caller, as its headers tell it. Texts point into the
 * message. */
typedef struct arrival {
	char id[ARRIVAL_ID_SIZE]; /**< of this attempt; "": none given */
	const char *host;
	const char *key;     /**< of an organisation; NULL: none */
	bool multiple_keys;  /**< more than one was given */
	int64_t deadline_ms; /**< the caller waits this long; 0: not said */
	const char *model;   /**< NULL: none named */
	bool any_model;	     /**< the router is to choose one */
	uint32_t tokens_in;
	uint32_t tokens_out_max;      /**< at most */
	uint32_t tokens_out_estimate; /**< the caller's estimate; 0: none */
	prompt_part_t parts[ARRIVAL_PARTS_MAX];
	size_t parts_len;
	const char *session; /**< NULL: none */
	bool resumes;
	int64_t last_event_id; /**< id of the last event the caller has */
} arrival_t;

/** What one attempt tells an endpoint besides the caller's message. */
typedef struct attempt_head {
	const http_msg_t *request;
	const arrival_t *arrival;
	const endpoint_facts_t *endpoint;
	const char *organisation; /**< NULL: none */
	const char *model;    /**< chosen by the router; NULL: the caller's */
	int64_t remaining_ms; /**< time that is left for the answer */
	bool resume;
	int64_t last_event_id;
	int rank; /**< 0 is the most urgent; negative: not said */
	size_t body_len;
	bool has_body;
} attempt_head_t;

/** What an endpoint's answer tells by its head. */
typedef struct endpoint_response {
	bool id_mismatch;    /**< it names another request than ours */
	bool id_missing;     /**< it names no request */
	bool not_run;	     /**< the endpoint says that it did not run it */
	bool wrong_endpoint; /**< another incarnation has the address */
	bool has_signature;  /**< it bears the endpoint's signature */
	bool encoded;	     /**< the body is not the endpoint's own */
	bool event_stream;   /**< a stream of events */
	bool has_load;
	endpoint_load_t load;
	int confidence; /**< of the model in its answer, 0 to 100; -1: none */
	int64_t
	    idle_max_ms; /**< how long the connection may idle; 0: not said */
	bool closes_connection; /**< the connection closes after it */
} endpoint_response_t;

typedef struct caller_dialect {
	/** Read the headers of a request; false fills the error. */
	bool (*read)(const http_msg_t *, arrival_t *, err_t *);
} caller_dialect_t;

typedef struct endpoint_dialect {
	/** Append the head of a request. */
	void (*write)(const attempt_head_t *, struct evbuffer *out);
	/** Read the head of an answer. */
	void (*read)(
	    const http_msg_t *, const arrival_t *, endpoint_response_t *);
} endpoint_dialect_t;

#endif
