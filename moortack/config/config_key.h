/**
 * @file
 * The index of API keys in a configuration.
 */
#ifndef MOORTACK_CONFIG_CONFIG_KEY_H
#define MOORTACK_CONFIG_CONFIG_KEY_H

#include <uthash.h>

#include "moortack/config/config.h"

/** The hash of an API key and the organisation that has the key. */
struct config_key {
	char hash[CONFIG_KEY_HASH_SIZE];
	handle_t organisation;
	UT_hash_handle hh;
};

#endif
