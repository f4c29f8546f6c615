/**
 * @file
 * What the front learns from answers: the guard over versions, a cascade for
 * each organisation, and which of its answers wait for a rating.
 */
#ifndef MOORTACK_ROUTE_LEARN_H
#define MOORTACK_ROUTE_LEARN_H

#include "moortack/route/cascade.h"
#include "moortack/route/guard.h"

#define LEARN_REQUEST_SIZE 33
#define LEARN_RECENT 1024

/** An organisation's cascade, over the models that it may use. */
typedef struct learn_cascade {
	char organisation[CONFIG_NAME_SIZE];
	uint64_t revision; /**< that the list of models was made from */
	char models[CASCADE_MODELS][CONFIG_NAME_SIZE];
	cascade_t cascade;
} learn_cascade_t;

/** An answer that may still be rated. */
typedef struct learn_recent {
	char request[LEARN_REQUEST_SIZE];
	char organisation[CONFIG_NAME_SIZE];
	char version[CONFIG_NAME_SIZE];
	int model; /**< of its cascade; -1: not of one */
	double confidence;
} learn_recent_t;

typedef struct learn {
	guard_t guard;
	table_t cascades;		     /**< learn_cascade_t */
	learn_recent_t recent[LEARN_RECENT]; /**< ring */
	uint64_t recent_count;
} learn_t;

void learn_init(learn_t *);
void learn_finish(learn_t *);

/** The organisation's cascade, made or made anew for this configuration; NULL
 * when it may use no engine's model, or memory is out. */
learn_cascade_t *
learn_cascade(learn_t *, const config_t *, handle_t organisation);

/** Remember an answer until its rating comes. */
void learn_answer(learn_t *, const learn_recent_t *);

/** The answer that a rating is of, or NULL when it is long ago or a peer's. */
const learn_recent_t *learn_recent(const learn_t *, const char *request);

/** Teach a cascade a rating. */
void learn_rating(learn_t *, const learn_recent_t *, bool good);

/** Begin anew with versions whose state or share differs between the two. */
void learn_config(learn_t *, const config_t *before, const config_t *after);

#endif
