/**
 * @file
 * The KV cache of a fake replica, and its calls. A prompt's parts are kept, the
 * least recently used ones go first. GET /kv returns the times of the list
 * calls and of the calls for events, and the most of these at the same time.
 *
 * Faults: "kv_status" is the status of responses to both calls, "kv_silent"
 * never responds, "kv_lose" leaves out one in so many events, "kv_garbage"
 * responds with something else, "kv_capacity" is the number of parts kept.
 */
#ifndef TEST_PLATFORM_STANDIN_KV_H
#define TEST_PLATFORM_STANDIN_KV_H

#include "standin/fake.h"

/** Keep the parts of a request's prompt. */
void kv_keep_prompt(struct evhttp_request *);
/** @return whether it was one of the calls */
bool kv_serve(struct event_base *, struct evhttp_request *);
void kv_faults_set(const json_t *);

#endif
