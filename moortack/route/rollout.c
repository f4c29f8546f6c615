#include "moortack/route/rollout.h"

#include <xxhash.h>

static bool
version_usable(const config_t *config, const organisation_t *organisation,
    handle_t model, handle_t version, version_state_t state,
    const version_set_t *stopped)
{
	const version_t *candidate = config_version_at(config, version);

	return candidate->model == model && candidate->state == state &&
	    organisation_allows_version(organisation, version) &&
	    !version_set_has(stopped, version);
}

static handle_t
live_select(const config_t *config, const organisation_t *organisation,
    handle_t model, uint64_t hash, const version_set_t *stopped)
{
	handle_t live[CONFIG_VERSIONS_MAX];
	uint32_t count = 0;

	for (handle_t v = 0; v < config->versions.len; v++) {
		if (version_usable(
			config, organisation, model, v, VERSION_LIVE, stopped))
			live[count++] = v;
	}
	return count > 0 ? live[hash / CONFIG_PERCENT_MAX % count]
			 : HANDLE_NONE;
}

handle_t
rollout_select_version(const config_t *config, handle_t handle, handle_t model,
    uint64_t session, const version_set_t *stopped)
{
	const organisation_t *organisation =
	    config_organisation_at(config, handle);
	uint64_t hash = XXH3_64bits_withSeed(&session, sizeof(session), model);
	uint32_t bucket = hash % CONFIG_PERCENT_MAX;
	handle_t rolling = HANDLE_NONE;
	handle_t live;
	uint32_t sum = 0;

	for (handle_t v = 0; v < config->versions.len; v++) {
		if (!version_usable(config, organisation, model, v,
			VERSION_ROLLING, stopped))
			continue;
		if (rolling == HANDLE_NONE)
			rolling = v;
		sum += config_version_at(config, v)->percent;
		if (bucket < sum)
			return v;
	}
	live = live_select(config, organisation, model, hash, stopped);
	return live != HANDLE_NONE ? live : rolling;
}
