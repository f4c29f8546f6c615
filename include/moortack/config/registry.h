/**
 * @file
 * The task that keeps the configuration and the membership in step with the
 * platform's table and with the peers, and that plans and confirms changes.
 *
 * Rows in the table:
 *   head            the revision in force, decimal
 *   rev/NNNNNNNNNNNN  one revision: {"plan","operator","at_ms","intent"}
 *   snapshot        {"revision","document"}, so that a new daemon reads little
 *   plan/ID         a plan that was made
 *   done/ID         the revision that the plan became
 *   epoch           counts changes of membership
 *   member/INC      one daemon
 */
#ifndef MOORTACK_CONFIG_REGISTRY_H
#define MOORTACK_CONFIG_REGISTRY_H

#include "moortack/config/config.h"
#include "moortack/member/freshness.h"
#include "moortack/member/peers.h"
#include "moortack/options.h"
#include "moortack/store/store.h"

/** Where the registry posts what others need to know. */
typedef struct registry_subscribers {
	task_t *front_task;
	int config_kind;    /**< kind; body: config_t, shared */
	int freshness_kind; /**< kind; body: freshness_update_t */
	int members_kind;   /**< kind; body: members_t, shared */
	int admin_kind;	    /**< kind; body: admin_response_t */
	task_t *billing_task;
	int billing_members_kind; /**< kind; body: members_t, shared */
} registry_subscribers_t;

/** Until when new work may be taken. */
typedef struct freshness_update {
	struct timespec expires_at; /**< elapsed clock */
	bool has_revision;	    /**< holds a confirmed revision */
	bool listed;		    /**< stands in the membership */
} freshness_update_t;

/** What an operator asks for. */
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
	err_t err;    /**< code ERR_NONE: done */
	json_t *body; /**< may be NULL on failure */
} admin_response_t;

typedef struct registry registry_t;

registry_t *registry_new(const process_context_t *, const options_t *,
    store_t *, peers_t *, const registry_subscribers_t *, err_t *err);
void registry_free(registry_t *);

/** Post an operator's question; @p ask is taken over. */
void registry_admin_submit(registry_t *, admin_command_t *ask);

/** Post that this daemon leaves: it takes itself off the membership. */
void registry_leave(registry_t *);

void admin_command_free(void *);
void admin_response_free(void *);

#endif
