/**
 * @file
 * Responses of a fake replica that send bytes which are no response without
 * end, until the caller closes.
 *
 * Faults: "endless" is where they come: "head" in a header line, "interim" as
 * interim responses one after the other, "not_run" in the body of a response
 * that says not run, "failed" in that of an error, "unsigned" in that of a
 * success without the replica's signature; "endless_slow" sends them one by
 * one.
 */
#ifndef TEST_PLATFORM_STANDIN_ENDLESS_H
#define TEST_PLATFORM_STANDIN_ENDLESS_H

#include "standin/fake.h"

/** @param where the fault's value
 * @param closed counts the callers that have closed */
void endless_start(struct event_base *, struct evhttp_request *,
    const char *where, bool slow, int64_t *closed);

#endif
