/**
 * @file
 * What the files of the registry share.
 */
#ifndef MOORTACK_CONFIG_REGISTRY_PRIV_H
#define MOORTACK_CONFIG_REGISTRY_PRIV_H

#include "moortack/config/registry.h"

#define REVISION_ROWS_MAX 512
#define SNAPSHOT_INTERVAL 64
#define REVISION_KEY_FORMAT "rev/%012" PRIu64
#define KEY_SIZE 96
#define NUMBER_SIZE 24

enum registry_message {
	REGISTRY_ADMIN,
	REGISTRY_LEAVE,
	REGISTRY_HEARTBEAT_QUERY,    /**< a peer's question */
	REGISTRY_HEARTBEAT_RESPONSE, /**< a peer's answer */
	REGISTRY_REVISIONS_QUERY,    /**< a peer's question */
	REGISTRY_REVISIONS_RESPONSE, /**< a peer's answer */
};

/** One revision as the table holds it, kept for peers that lag. */
typedef struct revision_row {
	uint64_t number;
	char *text;
} revision_row_t;

struct registry {
	process_context_t process;
	const options_t *options;
	store_t *store;
	peers_t *peers;
	registry_subscribers_t subscribers;
	task_t task;
	config_t *config;
	members_t *members;
	freshness_t freshness;
	revision_row_t revision_rows[REVISION_ROWS_MAX]; /**< ring, by number */
	struct event *head_timer;
	struct event *heartbeat_timer;
	struct timespec head_requested_at;
	uint64_t store_epoch; /**< of the last membership read */
	uint64_t head;	      /**< highest ever read or confirmed */
	bool head_pending;    /**< a read of the head is under way */
	bool revisions_pending;
	bool members_pending;
	bool store_unavailable;
	bool joined;
	bool join_pending;
	bool leaving;
	bool was_fresh;
	uint64_t heartbeat_sequence; /**< sequence */
};

/* registry.c */

/** Take over one revision. @return false when it is not the next one */
bool registry_revision_apply(registry_t *, uint64_t number, const char *text);

/** Write what is held as the snapshot; several that do so do no harm. */
void registry_snapshot_write(registry_t *);

/** Tell the front how fresh this daemon is. */
void registry_freshness_publish(registry_t *);

/** Read the head now. */
void registry_head_read(registry_t *);

/** Read the revisions after the one held, from the store. */
void registry_revisions_read(registry_t *);

/** The row of a revision, if it is kept. */
const revision_row_t *
registry_revision_row(const registry_t *, uint64_t number);

/* registry_members.c */

void registry_join(registry_t *);
void registry_leave_start(registry_t *);
void registry_members_read(registry_t *);

/** Tell the other tasks who the members are. */
void registry_members_publish(registry_t *);

/** Take one member off that was silent for too long. */
void registry_silent_member_remove(registry_t *, struct timespec now);

/* registry_heartbeat.c */

void registry_heartbeat(registry_t *);
void registry_heartbeat_query(registry_t *, const peer_query_t *);
void registry_heartbeat_response(registry_t *, const peer_response_t *);
void registry_revisions_query(registry_t *, const peer_query_t *);
void registry_revisions_response(registry_t *, const peer_response_t *);

/* registry_admin.c */

void registry_admin_handle(registry_t *, admin_command_t *ask);

#endif
