#include "moortack/relay/relay_config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Bytes of a host and path that are joined without allocating memory. */
#define LOOKUP_KEY_SIZE 2048
#define ARRAY_INITIAL_CAP 4
#define CONNECTIONS_MAX_DEFAULT 100
#define HEAD_MAX_DEFAULT 65536
#define BODY_MAX_DEFAULT (8U << 20)
#define READ_MS_DEFAULT 10000
#define IDLE_MS_DEFAULT 60000

relay_config_t *
relay_config_new(uint64_t version)
{
	relay_config_t *config = calloc(1, sizeof(*config));

	if (config == NULL)
		return NULL;
	config->version = version;
	config->refs = 1;
	config->head_max = HEAD_MAX_DEFAULT;
	config->body_max = BODY_MAX_DEFAULT;
	config->read_timeout_ms = READ_MS_DEFAULT;
	config->idle_timeout_ms = IDLE_MS_DEFAULT;
	return config;
}

relay_config_t *
relay_config_acquire(relay_config_t *config)
{
	if (config != NULL)
		config->refs++;
	return config;
}

text_hash_t
text_hash_compute(const char *text, size_t len)
{
	XXH128_hash_t hash = XXH3_128bits(text, len);

	return (text_hash_t){hash.low64, hash.high64};
}

bool
text_hash_equal(text_hash_t a, text_hash_t b)
{
	return a.low == b.low && a.high == b.high;
}

static bool
text_hash_known(text_hash_t hash)
{
	return hash.low != 0 || hash.high != 0;
}

void
relay_route_release(relay_route_t *route)
{
	if (--route->refs > 0)
		return;
	free(route->name);
	free(route->host);
	free(route->prefix);
	free(route->lookup_key);
	for (size_t i = 0; i < route->pools_len; i++)
		free(route->pools[i].service);
	for (size_t i = 0; i < route->models_len; i++)
		free(route->models[i].name);
	free(route->pools);
	free(route->models);
	region_list_finish(&route->regions);
	free(route);
}

static void
config_free(relay_config_t *config)
{
	relay_route_entry_t *entry, *entry_next;
	relay_service_t *service, *service_next;
	relay_key_t *key, *key_next;

	HASH_CLEAR(hh_text, config->routes_by_text);
	HASH_ITER(hh, config->routes, entry, entry_next)
	{
		HASH_DEL(config->routes, entry);
		relay_route_release(entry->route);
		free(entry);
	}
	HASH_ITER(hh, config->services, service, service_next)
	{
		HASH_DEL(config->services, service);
		free(service->name);
		free(service);
	}
	HASH_ITER(hh, config->keys, key, key_next)
	{
		HASH_DEL(config->keys, key);
		free(key->text);
		free(key);
	}
	for (size_t i = 0; i < config->organisations_len; i++) {
		free(config->organisations[i]->name);
		region_list_finish(&config->organisations[i]->regions);
		free(config->organisations[i]);
	}
	free(config->organisations);
	free(config->key_lens);
	free(config);
}

void
relay_config_release(relay_config_t *config)
{
	if (config != NULL && --config->refs == 0)
		config_free(config);
}

/* Makes room in an array that has a power of two, or no, entries when full.
 * @return NULL: out of memory */
static void *
array_reserve(void *array, size_t len, size_t entry_size)
{
	if (len == 0)
		return realloc(array, ARRAY_INITIAL_CAP * entry_size);
	if (len < ARRAY_INITIAL_CAP || (len & (len - 1)) != 0)
		return array;
	return realloc(array, 2 * len * entry_size);
}

bool
relay_route_add_pool(relay_route_t *route, const char *service, uint64_t weight)
{
	route_pool_t *grown = array_reserve(
	    route->pools, route->pools_len, sizeof(route->pools[0]));
	char *copy = strdup(service);

	if (grown != NULL)
		route->pools = grown;
	if (grown == NULL || copy == NULL) {
		free(copy);
		return false;
	}
	route->pools[route->pools_len++] =
	    (route_pool_t){.service = copy, .weight = weight};
	return true;
}

bool
relay_route_add_model(relay_route_t *route, const char *name)
{
	route_model_t *grown = array_reserve(
	    route->models, route->models_len, sizeof(route->models[0]));
	char *copy = strdup(name);

	if (grown != NULL)
		route->models = grown;
	if (grown == NULL || copy == NULL) {
		free(copy);
		return false;
	}
	if (route->models_len == MODELS_MAX)
		free(route->models[--route->models_len].name);
	route->models[route->models_len++] = (route_model_t){.name = copy};
	return true;
}

void
relay_config_refuse_part(relay_config_t *config, const err_t *why)
{
	if (config->parts_refused++ == 0)
		config->refused_why = *why;
}

/* Inserts the length of a look-up key, unless another key has it. */
static bool
key_len_add(relay_config_t *config, size_t len)
{
	size_t *grown, index = 0;

	while (index < config->key_lens_len && config->key_lens[index] > len)
		index++;
	if (index < config->key_lens_len && config->key_lens[index] == len)
		return true;
	grown = array_reserve(
	    config->key_lens, config->key_lens_len, sizeof(grown[0]));
	if (grown == NULL)
		return false;
	config->key_lens = grown;
	memmove(&grown[index + 1], &grown[index],
	    (config->key_lens_len - index) * sizeof(grown[0]));
	grown[index] = len;
	config->key_lens_len++;
	return true;
}

static bool
route_lookup_key_make(relay_route_t *route)
{
	size_t size = strlen(route->host) + strlen(route->prefix) + 1;

	if (route->lookup_key != NULL)
		return true;
	route->lookup_key = malloc(size);
	if (route->lookup_key != NULL)
		snprintf(route->lookup_key, size, "%s%s", route->host,
		    route->prefix);
	return route->lookup_key != NULL;
}

static bool
route_insert(relay_config_t *config, relay_route_t *route, err_t *err)
{
	relay_route_entry_t *entry;

	if (!route_lookup_key_make(route))
		return err_set(err, ERR_MEMORY, "out of memory");
	HASH_FIND_STR(config->routes, route->lookup_key, entry);
	if (entry != NULL)
		return err_set(
		    err, ERR_BAD_REQUEST, "two routes have the same prefix");
	entry = key_len_add(config, strlen(route->lookup_key))
	    ? calloc(1, sizeof(*entry))
	    : NULL;
	if (entry == NULL)
		return err_set(err, ERR_MEMORY, "out of memory");
	entry->route = route;
	HASH_ADD_KEYPTR(hh, config->routes, route->lookup_key,
	    strlen(route->lookup_key), entry);
	if (text_hash_known(route->text_hash))
		HASH_ADD_KEYPTR(hh_text, config->routes_by_text,
		    &route->text_hash, sizeof(route->text_hash), entry);
	return true;
}

bool
relay_config_add_route(relay_config_t *config, relay_route_t *route, err_t *err)
{
	if (route_insert(config, route, err))
		return true;
	relay_route_release(route);
	return false;
}

relay_route_t *
relay_config_acquire_route(const relay_config_t *config, text_hash_t hash)
{
	relay_route_entry_t *entry;

	HASH_FIND(hh_text, config->routes_by_text, &hash, sizeof(hash), entry);
	if (entry == NULL)
		return NULL;
	entry->route->refs++;
	return entry->route;
}

relay_service_t *
relay_config_add_service(relay_config_t *config, const char *name, err_t *err)
{
	relay_service_t *service = calloc(1, sizeof(*service));

	if (service == NULL || (service->name = strdup(name)) == NULL) {
		free(service);
		err_set(err, ERR_MEMORY, "out of memory");
		return NULL;
	}
	service->connections_max = CONNECTIONS_MAX_DEFAULT;
	HASH_ADD_KEYPTR(hh, config->services, service->name,
	    strlen(service->name), service);
	return service;
}

relay_organisation_t *
relay_config_add_organisation(
    relay_config_t *config, const char *name, int priority)
{
	relay_organisation_t *organisation = calloc(1, sizeof(*organisation));
	relay_organisation_t **grown = realloc(config->organisations,
	    (config->organisations_len + 1) * sizeof(*grown));

	if (grown != NULL)
		config->organisations = grown;
	if (organisation == NULL || grown == NULL ||
	    (organisation->name = strdup(name)) == NULL) {
		free(organisation);
		return NULL;
	}
	organisation->priority = priority;
	config->organisations[config->organisations_len++] = organisation;
	return organisation;
}

bool
relay_config_add_key(relay_config_t *config, const char *text,
    relay_organisation_t *organisation, err_t *err)
{
	relay_key_t *key;

	HASH_FIND_STR(config->keys, text, key);
	if (key != NULL && key->organisation == organisation)
		return true;
	if (key != NULL)
		return err_set(
		    err, ERR_BAD_REQUEST, "two organisations share a key");
	key = calloc(1, sizeof(*key));
	if (key == NULL || (key->text = strdup(text)) == NULL) {
		free(key);
		return err_set(err, ERR_MEMORY, "out of memory");
	}
	key->organisation = organisation;
	HASH_ADD_KEYPTR(hh, config->keys, key->text, strlen(key->text), key);
	return true;
}

/* Length of the host without its port. */
static size_t
host_name_len(const char *host)
{
	const char *colon = strrchr(host, ':');

	return colon != NULL ? (size_t)(colon - host) : strlen(host);
}

/* Finds the longest prefix, which ends with a slash, of a host and path. Only
 * the lengths that prefixes have are looked up, so that a path of many slashes
 * costs no more than others. */
static const relay_route_t *
prefix_find(
    const relay_config_t *config, const char *text, size_t name_len, size_t len)
{
	relay_route_entry_t *entry;

	for (size_t i = 0; i < config->key_lens_len; i++) {
		size_t end = config->key_lens[i];

		if (end > len || text[end - 1] != '/')
			continue;
		if (end <= name_len)
			break;
		HASH_FIND(hh, config->routes, text, end, entry);
		if (entry != NULL)
			return entry->route;
	}
	return NULL;
}

const relay_route_t *
relay_config_find_route(
    const relay_config_t *config, const char *host, const char *target)
{
	char buffer[LOOKUP_KEY_SIZE];
	size_t name_len = host_name_len(host);
	size_t path_len = strcspn(target, "?#");
	size_t longest = config->key_lens_len > 0 ? config->key_lens[0] : 0;
	const relay_route_t *route;
	char *text = buffer;

	if (longest <= name_len)
		return NULL;
	if (path_len > longest - name_len)
		path_len = longest - name_len;
	if (name_len + path_len > sizeof(buffer))
		text = malloc(name_len + path_len);
	if (text == NULL)
		return NULL;
	memcpy(text, host, name_len);
	memcpy(text + name_len, target, path_len);
	route = prefix_find(config, text, name_len, name_len + path_len);
	if (text != buffer)
		free(text);
	return route;
}

static bool
regions_merge(region_list_t *out, const region_list_t *list)
{
	for (size_t i = 0; i < list->len; i++) {
		bool listed =
		    out->len > 0 && region_list_allows(out, list->names[i]);

		if (!listed && !region_list_add(out, list->names[i], NULL))
			return false;
	}
	return true;
}

bool
relay_config_collect_host_regions(
    const relay_config_t *config, const char *host, region_list_t *out)
{
	for (const relay_route_entry_t *entry = config->routes; entry != NULL;
	     entry = entry->hh.next) {
		const relay_route_t *route = entry->route;

		if (strcmp(route->host, host) != 0)
			continue;
		if (route->regions.len == 0 ||
		    !regions_merge(out, &route->regions)) {
			region_list_finish(out);
			return false;
		}
	}
	return out->len > 0;
}

const relay_organisation_t *
relay_config_find_organisation(const relay_config_t *config, const char *text)
{
	relay_key_t *key;

	HASH_FIND_STR(config->keys, text, key);
	return key != NULL ? key->organisation : NULL;
}

const relay_service_t *
relay_config_find_service(const relay_config_t *config, const char *name)
{
	relay_service_t *service;

	HASH_FIND_STR(config->services, name, service);
	return service;
}
