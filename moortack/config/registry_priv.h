/**
 * @file
 * Declarations shared by the source files of the registry.
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
	REGISTRY_HEARTBEAT_QUERY,    /**< from a peer */
	REGISTRY_HEARTBEAT_RESPONSE, /**< of a peer, or none */
	REGISTRY_REVISIONS_QUERY,    /**< from a peer */
	REGISTRY_REVISIONS_RESPONSE, /**< of a peer, or none */
};

/** A revision as stored in the table, cached for peers that lag behind. */
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
	revision_row_t revision_rows[REVISION_ROWS_MAX]; /**< by number modulo
							    REVISION_ROWS_MAX */
	struct event *head_timer;
	struct event *heartbeat_timer;
	struct timespec head_requested_at;
	uint64_t store_epoch; /**< of the membership last read */
	uint64_t head;	      /**< highest ever read or applied */
	bool head_pending;    /**< a read of the head is in flight */
	bool revisions_pending;
	bool members_pending;
	bool store_unavailable;
	bool joined;
	bool join_pending;
	bool leaving;
	bool was_fresh;
	uint64_t heartbeat_sequence; /**< of the last round */
};

/* registry.c */

/** Applies a revision. @return false: it isn't the next one, or is invalid */
bool registry_revision_apply(registry_t *, uint64_t number, const char *text);

/** Writes the configuration held as the snapshot. It does no harm if several
 * daemons do so. */
void registry_snapshot_write(registry_t *);

/** Posts a freshness_update_t to the front task. */
void registry_freshness_publish(registry_t *);

/** Starts a read of the head, unless one is in flight. */
void registry_head_read(registry_t *);

/** Starts a read of the revisions after the one held from the store, unless one
 * is in flight. */
void registry_revisions_read(registry_t *);

/** The row of a revision; NULL if it isn't cached. */
const revision_row_t *
registry_revision_row(const registry_t *, uint64_t number);

/* registry_members.c */

void registry_join(registry_t *);
void registry_leave_start(registry_t *);
void registry_members_read(registry_t *);

/** Posts the membership to the other tasks. */
void registry_members_publish(registry_t *);

/** Removes one member, if any, that has not responded for too long. */
void registry_silent_member_remove(registry_t *, struct timespec now);

/* registry_heartbeat.c */

void registry_heartbeat(registry_t *);
void registry_heartbeat_query(registry_t *, const peer_query_t *);
void registry_heartbeat_response(registry_t *, const peer_response_t *);
void registry_revisions_query(registry_t *, const peer_query_t *);
void registry_revisions_response(registry_t *, const peer_response_t *);

/* registry_admin.c */

void registry_admin_handle(registry_t *, admin_command_t *command);

#endif
