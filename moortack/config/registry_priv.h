/**
 * @file
 * What the files of the registry share.
 */
#ifndef MOORTACK_CONFIG_REGISTRY_PRIV_H
#define MOORTACK_CONFIG_REGISTRY_PRIV_H

#include "moortack/config/registry.h"

#define REVISIONS_KEPT 512
#define SNAPSHOT_EVERY 64
#define REVISION_KEY_FORMAT "rev/%012" PRIu64
#define KEY_SIZE 96
#define NUMBER_SIZE 24

enum registry_message {
	REGISTRY_ADMIN,
	REGISTRY_LEAVE,
	REGISTRY_STANDING,   /**< a peer's question */
	REGISTRY_STOOD,	     /**< a peer's answer */
	REGISTRY_ASKED_ROWS, /**< a peer's question */
	REGISTRY_ROWS,	     /**< a peer's answer */
};

/** One revision as the table holds it, kept for peers that lag. */
typedef struct revision_row {
	uint64_t number;
	char *text;
} revision_row_t;

struct registry {
	process_t process;
	const options_t *options;
	store_t *store;
	peers_t *peers;
	registry_ports_t ports;
	task_t task;
	config_t *config;
	members_t *members;
	freshness_t freshness;
	revision_row_t rows[REVISIONS_KEPT]; /**< ring, by number */
	struct event *head_tick;
	struct event *heartbeat_tick;
	struct timespec head_asked_at;
	uint64_t store_epoch; /**< of the last membership read */
	uint64_t head;	      /**< highest ever read or confirmed */
	bool head_pending;    /**< a read of the head is under way */
	bool rows_pending;
	bool members_pending;
	bool store_lost;
	bool joined;
	bool joining;
	bool leaving;
	bool was_fresh;
	uint64_t heartbeat; /**< sequence */
};

/* registry.c */

/** Take over one revision. @return false when it is not the next one */
bool registry_take(registry_t *, uint64_t number, const char *text);

/** Write what is held as the snapshot; several that do so do no harm. */
void registry_snapshot_write(registry_t *);

/** Tell the front how fresh this daemon is. */
void registry_freshness_tell(registry_t *);

/** Read the head now. */
void registry_head_read(registry_t *);

/** Read the revisions after the one held, from the store. */
void registry_rows_read(registry_t *);

/** The row of a revision, if it is kept. */
const revision_row_t *registry_row(const registry_t *, uint64_t number);

/* registry_members.c */

void registry_join(registry_t *);
void registry_leave_now(registry_t *);
void registry_members_read(registry_t *);

/** Tell the other tasks who the members are. */
void registry_members_tell(registry_t *);

/** Take one member off that was silent for too long. */
void registry_dead_check(registry_t *, struct timespec now);

/* registry_heartbeat.c */

void registry_heartbeat(registry_t *);
void registry_standing(registry_t *, const peer_question_t *);
void registry_stood(registry_t *, const peer_answer_t *);
void registry_rows_asked(registry_t *, const peer_question_t *);
void registry_rows_answered(registry_t *, const peer_answer_t *);

/* registry_admin.c */

void registry_admin_take(registry_t *, admin_ask_t *ask);

#endif
