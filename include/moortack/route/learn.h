/**
 * @file
 * What the front learns from answers: the guard over versions, a cascade for
 * each organisation, and which of its answers wait for a rating.
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
	uint64_t models_revision; /**< that the list of models was made from */
	char model_names[CASCADE_MODELS_MAX][CONFIG_NAME_SIZE];
	cascade_t cascade;
} organisation_cascade_t;

/** An answer that may still be rated. */
typedef struct recent_response {
	char request_id[FEEDBACK_REQUEST_ID_SIZE];
	char organisation[CONFIG_NAME_SIZE];
	char version[CONFIG_NAME_SIZE];
	int model_index; /**< of its cascade; -1: not of one */
	double confidence;
} recent_response_t;

typedef struct feedback {
	guard_t guard;
	table_t cascades; /**< organisation_cascade_t */
	recent_response_t responses[FEEDBACK_RESPONSES_MAX]; /**< ring */
	uint64_t response_count;
} feedback_t;

void feedback_init(feedback_t *);
void feedback_finish(feedback_t *);

/** The organisation's cascade, made or made anew for this configuration; NULL
 * when it may use no engine's model, or memory is out. */
organisation_cascade_t *
feedback_get_cascade(feedback_t *, const config_t *, handle_t organisation);

/** Remember an answer until its rating comes. */
void feedback_add_response(feedback_t *, const recent_response_t *);

/** The answer that a rating is of, or NULL when it is long ago or a peer's. */
const recent_response_t *
feedback_find_response(const feedback_t *, const char *request);

/** Teach a cascade a rating. */
void feedback_add_rating(feedback_t *, const recent_response_t *, bool good);

/** Begin anew with versions whose state or share differs between the two. */
void feedback_config_changed(
    feedback_t *, const config_t *before, const config_t *after);

#endif
