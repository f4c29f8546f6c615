#include "moortack/config/config.h"

#include <sodium.h>
#include <string.h>

#include "config_key.h"

#define BITS_PER_WORD 64

/* The name is the first member of every row type. */
static handle_t
row_find(const table_t *table, const char *name)
{
	for (handle_t h = 0; h < table->len; h++) {
		if (strcmp(table_at(table, h), name) == 0)
			return h;
	}
	return HANDLE_NONE;
}

handle_t
config_place_find(const config_t *config, const char *name)
{
	return row_find(&config->places, name);
}

handle_t
config_model_find(const config_t *config, const char *name)
{
	return row_find(&config->models, name);
}

handle_t
config_version_find(const config_t *config, const char *name)
{
	return row_find(&config->versions, name);
}

handle_t
config_organisation_find(const config_t *config, const char *name)
{
	return row_find(&config->organisations, name);
}

handle_t
config_organisation_find_by_key(const config_t *config, const char *hash)
{
	const struct config_key *key;

	HASH_FIND_STR(config->keys, hash, key);
	return key != NULL ? key->organisation : HANDLE_NONE;
}

const place_t *
config_place_at(const config_t *config, handle_t handle)
{
	return table_at(&config->places, handle);
}

const model_t *
config_model_at(const config_t *config, handle_t handle)
{
	return table_at(&config->models, handle);
}

const version_t *
config_version_at(const config_t *config, handle_t handle)
{
	return table_at(&config->versions, handle);
}

const organisation_t *
config_organisation_at(const config_t *config, handle_t handle)
{
	return table_at(&config->organisations, handle);
}

bool
organisation_allows_version(
    const organisation_t *organisation, handle_t version)
{
	return version_set_has(&organisation->allowed_versions, version);
}

bool
organisation_allows_place(const organisation_t *organisation, handle_t place)
{
	return place < CONFIG_PLACES_MAX &&
	    (organisation->allowed_places >> place & 1) != 0;
}

void
api_key_hash(const char *key, char out[CONFIG_KEY_HASH_SIZE])
{
	unsigned char hash[crypto_generichash_BYTES];

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)key,
	    strlen(key), NULL, 0);
	sodium_bin2hex(out, CONFIG_KEY_HASH_SIZE, hash, sizeof(hash));
}

bool
version_set_has(const version_set_t *set, handle_t version)
{
	return version < CONFIG_VERSIONS_MAX &&
	    (set->bits[version / BITS_PER_WORD] >> (version % BITS_PER_WORD) &
		1) != 0;
}

void
version_set_add(version_set_t *set, handle_t version)
{
	if (version < CONFIG_VERSIONS_MAX)
		set->bits[version / BITS_PER_WORD] |= UINT64_C(1)
		    << (version % BITS_PER_WORD);
}
