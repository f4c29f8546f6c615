/**
 * @file
 * What the small fakes share: a server on one address, and faults that a test
 * switches by POST /fault.
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
	bool down;	 /**< connections are dropped */
	int64_t slow_ms; /**< every answer waits this long */
	json_t *latest;	 /**< the last object sent to /fault */
} faults_t;

typedef struct fake {
	struct event_base *base;
	struct evhttp *http;
	clock_source_t clock;
	faults_t faults;
	char listen[SETTING_TEXT_SIZE];
	void (*handle_request)(struct fake *, struct evhttp_request *);
	/** Take over faults of its own; may be NULL. */
	void (*handle_fault)(struct fake *, const json_t *);
	/** Every sample_ms; may be NULL. */
	void (*sample)(struct fake *);
	int64_t sample_ms;
	const char *name;
} fake_t;

/** Read the flags, listen, and serve until SIGTERM. @return the exit status */
int fake_main(fake_t *, int argc, const char **argv);

/** Drop the caller's connection without an answer. */
void fake_connection_drop(fake_t *, struct evhttp_request *);

/** The integer @p name of @p object, or @p fallback. */
int64_t fake_json_int(const json_t *object, const char *name, int64_t fallback);

#endif
