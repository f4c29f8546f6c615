/**
 * @file
 * Private definitions of the HTTP server: its connections (http_inbound.c), the
 * server that accepts them (http_inbound_server.c), responses
 * (http_inbound_response.c), callers that read slowly (http_inbound_stall.c),
 * limits of time (http_inbound_wait.c), and of what connections hold
 * (http_inbound_room.c).
 */
#ifndef COMMON_HTTP_INBOUND_PRIV_H
#define COMMON_HTTP_INBOUND_PRIV_H

#include <event2/bufferevent.h>
#include <event2/event_struct.h>
#include <event2/listener.h>

#include "common/http_inbound.h"
#include "common/tls.h"

/** How long a closing connection is still read after its last byte was written,
 * since a reset by unread bytes could destroy the response before the caller
 * reads it. */
#define INBOUND_LINGER_MS 1000

/** What a connection waits for, each with a limit of its own. */
typedef enum inbound_wait {
	INBOUND_WAIT_NONE,
	INBOUND_WAIT_IDLE,  /**< the first byte of a request */
	INBOUND_WAIT_HEAD,  /**< the rest of a head */
	INBOUND_WAIT_BODY,  /**< further bytes of a body */
	INBOUND_WAIT_CLOSE, /**< that the caller closes the connection */
} inbound_wait_t;

typedef enum inbound_state {
	INBOUND_READING,   /**< idle, or receiving a request */
	INBOUND_HANDLING,  /**< the request is being handled */
	INBOUND_STREAMING, /**< the response is being streamed */
	INBOUND_LINGERING, /**< the response is complete; closing */
} inbound_state_t;

struct http_inbound {
	http_inbound_server_t *server;
	struct bufferevent *bev;
	http_reader_t reader;
	inbound_state_t state;
	inbound_wait_t wait;
	struct event wait_timer;
	struct event body_timer; /**< for the whole of a body */
	bool close_after_response;
	err_code_t refusal; /**< why the request that is received is refused */
	size_t discarded_bytes; /**< of the body, or since the connection began
				   to close */
	bool reading_paused;	/**< until the responses are written */
	bool input_ended; /**< the caller sends no more; it may still read */
	bool lingered;	  /**< its closing waits only for the caller to read
			     what is in the socket */
	size_t written_bytes; /**< to the socket */
	size_t read_bytes;    /**< of these by the caller, when last checked */
	int64_t stalled_ms;   /**< since the caller was last seen to read */
	int64_t caller_wait_ms; /**< see http_inbound_set_caller_wait() */
	budget_entry_t entry;
	bool refused;	      /**< its request; the connection closes */
	size_t receive_bytes; /**< that an enlarged receive buffer takes */
	size_t request_bytes; /**< of the body that is handled */
	size_t handler_bytes; /**< see http_inbound_set_handler_bytes() */
	void *user_data;
	http_inbound_t *next;
	http_inbound_t *prev;
};

struct http_inbound_server {
	struct event_base *base;
	struct evconnlistener *listener;
	const http_inbound_ops_t *ops;
	void *arg;
	http_inbound_limits_t limits;
	tls_t *tls;		   /**< NULL: plain HTTP */
	struct event accept_timer; /**< ends a pause of accepting */
	inbound_share_t share;
	http_inbound_t *connections;
	size_t unsent_bytes; /**< of responses, on all connections */
	bool paused;	     /**< by the owner */
	bool draining;
};

/** Start to read requests from a new connection. Takes ownership of the socket,
 * also on failure. */
void inbound_open(http_inbound_server_t *, evutil_socket_t fd);
/** Refuse the request that is received, and close the connection after the
 * response. What was received of the request is discarded. */
void inbound_refuse(http_inbound_t *, const err_t *);
/** Limit what the system receives for connections before it is read. Call it
 * before the first one is accepted. */
void inbound_receive_buffer_limit(evutil_socket_t listener);
/** Set what each connection takes beside its request. */
void inbound_connection_bytes_set(http_inbound_server_t *);
/** Account for what the connection holds now. */
void inbound_charge(http_inbound_t *);
/** Make room for a new connection. @return false: there is none */
bool inbound_accept_room(http_inbound_server_t *);
/** Close a connection of the listener, as the system has no descriptor left.
 * @return false: none gives way */
bool inbound_descriptor_free(http_inbound_server_t *);
/** Make room for what was received of a request.
 * @return false: there is none, and the request is refused */
bool inbound_request_room(http_inbound_t *);
/** Check the length of a body that its head announces. */
err_code_t inbound_body_check(http_inbound_t *);
/** Close the connection without calling on_closed. */
void inbound_free(http_inbound_t *);
/** After a response: read the next request, or close the connection. */
void inbound_response_completed(http_inbound_t *);
/** Prepare the timers, which are off. */
void inbound_wait_init(http_inbound_t *);
void inbound_wait_finish(http_inbound_t *);
/** Begin to wait, with the limit that this has. */
void inbound_wait_start(http_inbound_t *, inbound_wait_t);
/** Limit the wait for a request by what was received of it so far. */
void inbound_wait_update(http_inbound_t *);
/** How often to ask whether a caller still reads that can't be written to. */
int64_t inbound_write_check_ms(const http_inbound_t *);
/** Bytes in the socket that the caller has not acknowledged; 0: not known. */
size_t inbound_queued_bytes(const http_inbound_t *);
/** Whether a caller that could not be written to for this long, or to which all
 * was written, still reads: the socket takes no more bytes before a large part
 * of its queue was read, which a slow caller needs long for. */
bool inbound_caller_reads(http_inbound_t *, int64_t waited_ms);
/** Whether bytes of a request were received. */
bool inbound_request_started(const http_inbound_t *);

#endif
