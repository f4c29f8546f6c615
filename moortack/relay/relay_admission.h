/**
 * @file
 * Admission of requests to the endpoints of their service: while these are
 * crowded, an attempt is sent, waits for its place, or is refused before
 * anything of it is sent.
 */
#ifndef MOORTACK_RELAY_RELAY_ADMISSION_H
#define MOORTACK_RELAY_RELAY_ADMISSION_H

#include "relay_request.h"

/** Initialise the admission of a service. */
void relay_admission_init(relay_t *, service_state_t *);
/** Nothing waits any more. */
void relay_admission_finish(service_state_t *);

/** Whether the request's next attempt may be sent now.
 * @return false: it waits, and attempt_begin() is called again, or it was
 * refused and no longer exists */
bool relay_admission_pass(relay_request_t *);

/** Whether the response of a smaller model may be discarded for one of the
 * model that is set in the request: such an attempt does not wait. */
bool relay_admission_allows_escalation(relay_request_t *);

/** The attempt has ended: the next one has to be admitted, unless the place
 * was not used. */
void relay_admission_attempt_over(relay_request_t *, attempt_outcome_t);

/** The head of the attempt's response was received. */
void relay_admission_observe(relay_request_t *, int status);

/** Whether the request's service is crowded, as far as is known. */
bool relay_admission_is_crowded(const relay_request_t *);

/** Take the request out of the queue if it waits. */
void relay_admission_leave(relay_request_t *);

/** The admission of the request's service; NULL: admission is off, or it has no
 * service. */
service_state_t *relay_admission_state(const relay_request_t *);
/** The time by which admissions decide. */
int64_t relay_admission_now_ms(const relay_t *);
/** Endpoint time that the request takes; 0: as usual for the service. */
double
relay_admission_cost_ms(const relay_request_t *, const service_state_t *);
/** Count a request as one with or without a prompt, which decides how the
 * capacity of the service is computed. */
void relay_admission_count_prompt(service_state_t *, const relay_request_t *);
/** Compute the capacity of the service unless that was done lately. */
void relay_admission_update_capacity(service_state_t *, int64_t now_ms);
/** Set the timer for the requests that wait. */
void relay_admission_arm_timer(service_state_t *);

/** Send all requests that wait: the daemon drains, or the VM was suspended and
 * what was known of the load is outdated. */
void relay_admission_send_all(relay_t *);

#endif
