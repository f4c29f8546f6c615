/**
 * @file
 * The task that synchronises the configuration and the membership with the
 * platform's table and with the peers, and that plans and confirms changes.
 *
 * Rows in the table:
 *   head            the revision in force, decimal
 *   rev/NNNNNNNNNNNN  one revision: {"plan","operator","planned_by",
 *                   "at_ms","intent"}
 *   snapshot        {"revision","document"}, so that a new daemon reads few
 *                   revisions
 *   plan/ID         a plan
 *   done/ID         the revision that a confirmed plan became
 *   epoch           number of changes of the membership
 *   member/INC      the member with incarnation INC
 */
#ifndef MOORTACK_CONFIG_REGISTRY_H
#define MOORTACK_CONFIG_REGISTRY_H

#include "moortack/config/config.h"
#include "moortack/member/freshness.h"
#include "moortack/member/peers.h"
#include "moortack/options.h"
#include "moortack/store/store.h"

/** The tasks to which the registry posts changes, and the message kinds. */
typedef struct registry_subscribers {
	task_t *front_task;
	int config_kind;    /**< body: config_t, a reference */
	int freshness_kind; /**< body: freshness_update_t */
	int members_kind;   /**< body: members_t, a reference */
	int admin_kind;	    /**< body: admin_response_t */
	task_t *billing_task;
	int billing_members_kind; /**< body: members_t, a reference */
} registry_subscribers_t;

/** Whether and until when new work may be accepted. */
typedef struct freshness_update {
	struct timespec expires_at; /**< boot time clock */
	bool has_revision;	    /**< holds a confirmed revision */
	bool listed;		    /**< in the membership, or leaving it */
} freshness_update_t;

/** What an operator requests. */
typedef enum admin_action {
	ADMIN_PLAN,
	ADMIN_SHOW,
	ADMIN_CONFIRM,
	ADMIN_STATUS,
	ADMIN_HISTORY,
} admin_action_t;

typedef struct admin_command {
	admin_action_t action;
	uint64_t tag;
	char operator_name[CONFIG_NAME_SIZE];
	char plan_id[64];
	uint64_t after_revision; /**< ADMIN_HISTORY: revisions after this one */
	json_t *intent;		 /**< ADMIN_PLAN */
} admin_command_t;

typedef struct admin_response {
	uint64_t tag;
	err_t err;    /**< code ERR_NONE: success */
	json_t *body; /**< may be NULL on failure */
} admin_response_t;

typedef struct registry registry_t;

registry_t *registry_new(const process_context_t *, const options_t *,
    store_t *, peers_t *, const registry_subscribers_t *, err_t *err);
void registry_free(registry_t *);

/** Posts an operator's command; takes ownership of @p command. */
void registry_admin_submit(registry_t *, admin_command_t *command);

/** Posts that this daemon leaves: it removes itself from the membership. */
void registry_leave(registry_t *);

void admin_command_free(void *);
void admin_response_free(void *);

#endif
