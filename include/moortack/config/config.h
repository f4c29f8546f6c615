/**
 * @file
 * A configuration, compiled from its JSON document into tables.
 */
#ifndef MOORTACK_CONFIG_CONFIG_H
#define MOORTACK_CONFIG_CONFIG_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/table.h"

#define CONFIG_NAME_SIZE 48
#define CONFIG_PLACES_MAX 64
#define CONFIG_VERSIONS_MAX 256
#define CONFIG_KEYS_MAX 4
#define CONFIG_KEY_HASH_SIZE 65 /**< hexadecimal, with the terminating NUL */
#define CONFIG_PERCENT_MAX 100
#define CONFIG_QUALITY_MAX 1000

/** Which work a version may receive. */
typedef enum version_state {
	VERSION_STAGED,	   /**< no requests yet */
	VERSION_ROLLING,   /**< a share of the new sessions */
	VERSION_LIVE,	   /**< the remaining new sessions */
	VERSION_DRAINING,  /**< its existing sessions only */
	VERSION_WITHDRAWN, /**< no new work at all */
	VERSION_STATE_COUNT
} version_state_t;

/** Importance of an organisation's requests, most important first. */
typedef enum class {
	CLASS_CRITICAL,
	CLASS_HIGH,
	CLASS_MEDIUM,
	CLASS_SHEDDABLE,
	CLASS_COUNT
} class_t;

typedef enum model_kind {
	MODEL_ENGINE,  /**< generates tokens */
	MODEL_SERVICE, /**< a service without token generation */
} model_kind_t;

typedef struct place {
	char name[CONFIG_NAME_SIZE];
	char region[CONFIG_NAME_SIZE];
} place_t;

typedef struct model {
	char name[CONFIG_NAME_SIZE];
	model_kind_t kind;
	uint32_t cost; /**< per token or call, millionths of the billing unit */
	uint32_t quality; /**< expected share of good responses, thousandths */
	bool idempotent;  /**< a service whose calls may be retried */
} model_t;

typedef struct version {
	char name[CONFIG_NAME_SIZE]; /**< MODEL@VERSION */
	handle_t model;
	version_state_t state;
	uint32_t percent; /**< of new sessions, in VERSION_ROLLING */
} version_t;

typedef struct version_set {
	uint64_t bits[CONFIG_VERSIONS_MAX / 64];
} version_set_t;

typedef struct organisation {
	char name[CONFIG_NAME_SIZE];
	char key_hashes[CONFIG_KEYS_MAX][CONFIG_KEY_HASH_SIZE];
	uint32_t key_count;
	class_t class;
	uint64_t allowed_places;	/**< bit n: handle n is allowed */
	version_set_t allowed_versions; /**< allowed */
	uint32_t requests_per_s;	/**< limit over all daemons; 0: none */
	uint32_t quality_target;	/**< thousandths */
	bool fallback; /**< a session may move off a withdrawn version */
} organisation_t;

/** One revision. Read-only once compiled; reference-counted. */
typedef struct config {
	uint64_t revision;
	json_t *document;
	table_t places;		 /**< place_t */
	table_t models;		 /**< model_t */
	table_t versions;	 /**< version_t */
	table_t organisations;	 /**< organisation_t */
	struct config_key *keys; /**< index of organisations by API key */
	uint32_t references;
} config_t;

/**
 * Checks and compiles a document.
 * @param document the configuration takes a reference of its own
 * @return a configuration with one reference; NULL with @p err set on failure
 */
config_t *config_compile(json_t *document, uint64_t revision, err_t *err);

config_t *config_acquire(config_t *);
void config_release(config_t *);

/** Find a row by name. @return HANDLE_NONE: there is no such name */
handle_t config_place_find(const config_t *, const char *name);
handle_t config_model_find(const config_t *, const char *name);
handle_t config_version_find(const config_t *, const char *name);
handle_t config_organisation_find(const config_t *, const char *name);

/** Finds the organisation that has the API key with this hash.
 * @return HANDLE_NONE: no organisation has it */
handle_t
config_organisation_find_by_key(const config_t *, const char *key_hash);

/** Return the row of a handle, which must be valid. */
const place_t *config_place_at(const config_t *, handle_t);
const model_t *config_model_at(const config_t *, handle_t);
const version_t *config_version_at(const config_t *, handle_t);
const organisation_t *config_organisation_at(const config_t *, handle_t);

/** Whether @p organisation may use the version. */
bool organisation_allows_version(const organisation_t *, handle_t version);

/** Whether data of @p organisation may be sent to the place. */
bool organisation_allows_place(const organisation_t *, handle_t place);

bool version_set_has(const version_set_t *, handle_t version);
void version_set_add(version_set_t *, handle_t version);

const char *version_state_name(version_state_t);
const char *class_name(class_t);

/** Computes the hash under which the configuration stores an API key. */
void api_key_hash(const char *key, char out[CONFIG_KEY_HASH_SIZE]);

#endif
