/**
 * @file
 * Feedback that the front collects from responses: the guard over versions, a
 * cascade for each organisation, and the responses that may still be rated.
 */
#ifndef MOORTACK_ROUTE_LEARN_H
#define MOORTACK_ROUTE_LEARN_H

#include "moortack/route/cascade.h"
#include "moortack/route/guard.h"

#define FEEDBACK_REQUEST_ID_SIZE 33
#define FEEDBACK_RESPONSES_MAX 1024

/** An organisation's cascade, over the models that it may use. */
typedef struct organisation_cascade {
	char organisation[CONFIG_NAME_SIZE];
	uint64_t models_revision; /**< that the list of models is from */
	char model_names[CASCADE_MODELS_MAX][CONFIG_NAME_SIZE];
	cascade_t cascade;
} organisation_cascade_t;

/** A response that may still be rated. */
typedef struct recent_response {
	char request_id[FEEDBACK_REQUEST_ID_SIZE];
	char organisation[CONFIG_NAME_SIZE];
	char version[CONFIG_NAME_SIZE];
	int model_index; /**< in its cascade; -1: the caller named the model */
	double confidence;
} recent_response_t;

typedef struct feedback {
	guard_t guard;
	table_t cascades; /**< organisation_cascade_t */
	recent_response_t responses[FEEDBACK_RESPONSES_MAX]; /**< ring */
	uint64_t response_count;			     /**< ever added */
} feedback_t;

void feedback_init(feedback_t *);
void feedback_finish(feedback_t *);

/** The organisation's cascade, created if needed, and reset if its models or
 * its target changed in the configuration; NULL: it may use no engine's model,
 * or out of memory. */
organisation_cascade_t *
feedback_get_cascade(feedback_t *, const config_t *, handle_t organisation);

/** Adds a response, so that its rating is recognised; replaces the oldest. */
void feedback_add_response(feedback_t *, const recent_response_t *);

/** The response that a rating is for; NULL: already replaced, or of a peer. */
const recent_response_t *
feedback_find_response(const feedback_t *, const char *request_id);

/** Records a rating in the cascade of the response's organisation. */
void feedback_add_rating(feedback_t *, const recent_response_t *, bool good);

/** Starts the guard's test again for versions that are new or whose state or
 * percentage changed. */
void feedback_config_changed(
    feedback_t *, const config_t *before, const config_t *after);

#endif
