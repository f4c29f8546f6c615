/**
 * @file
 * What the fake servers share: an HTTP server on one address, and faults that a
 * test sets by POST /fault.
 */
#ifndef STANDIN_FAKE_H
#define STANDIN_FAKE_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock_source.h"
#include "common/settings.h"

/** Faults common to all fakes. */
typedef struct faults {
	bool down;	 /**< close the connection of every request but
			    /fault and /runs */
	int64_t slow_ms; /**< delay before a request is handled */
	json_t *latest;	 /**< the latest object sent to /fault */
} faults_t;

typedef struct fake {
	struct event_base *base;
	struct evhttp *http;
	clock_source_t clock;
	faults_t faults;
	char listen[SETTING_TEXT_SIZE];
	void (*handle_request)(struct fake *, struct evhttp_request *);
	/** Apply the faults that only this fake has; may be NULL. */
	void (*handle_fault)(struct fake *, const json_t *);
	/** Called every sample_ms; may be NULL. */
	void (*sample)(struct fake *);
	int64_t sample_ms;
	const char *name;
} fake_t;

/** Load the settings, listen, and serve until SIGTERM.
 * @return the exit status */
int fake_main(fake_t *, int argc, const char **argv);

/** Close the connection of a request without a response. */
void fake_connection_drop(fake_t *, struct evhttp_request *);

/** End the process after this time; 0: at once. */
void fake_exit_after(fake_t *, int64_t ms);
/** Milliseconds of the steady clock. */
int64_t fake_now_ms(void);

/** Begin a response that has neither a length nor chunks, and so ends with its
 * connection. */
void fake_unframed_begin(struct evhttp_request *);
/** Send a part of such a response's body; the buffer is drained. */
void fake_unframed_write(struct evhttp_request *, struct evbuffer *);

/** The integer @p name of @p object, or @p fallback if it has none. */
int64_t fake_json_int(const json_t *object, const char *name, int64_t fallback);

#endif
