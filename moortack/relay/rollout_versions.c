#include <string.h>

#include "rollouts_priv.h"

bool
rollout_is_new_version(const rollout_t *rollout, const endpoint_t *endpoint)
{
	return strcmp(rollout->order.to_version, endpoint->info.version) == 0;
}

const char *
rollout_base_version(const rollout_t *rollout)
{
	const rollouts_t *self = rollout->owner;

	if (rollout->state_order != 0 &&
	    rollout->state_order < rollout->order.number &&
	    rollout->state == ROLLOUT_COMPLETED)
		return rollout->state_to_version;
	if (rollout->state_order != 0 && rollout->state_base_version[0] != '\0')
		return rollout->state_base_version;
	return self->replaced_version != NULL
	    ? self->replaced_version(self->relay, rollout->order.service,
		  rollout->order.to_version)
	    : "";
}

bool
rollout_is_reverted_version(
    const rollout_t *rollout, const endpoint_t *endpoint)
{
	return rollout->state_order < rollout->order.number &&
	    rollout->state == ROLLOUT_REVERTED &&
	    strcmp(rollout->state_to_version, endpoint->info.version) == 0;
}
