/**
 * @file
 * The index of keys in a configuration.
 */
#ifndef MOORTACK_CONFIG_CONFIG_KEY_H
#define MOORTACK_CONFIG_CONFIG_KEY_H

#include <uthash.h>

#include "moortack/config/config.h"

/** A key's hash and whose it is. */
struct config_key {
	char hash[CONFIG_KEY_HASH_SIZE];
	handle_t organisation;
	UT_hash_handle hh;
};

#endif
