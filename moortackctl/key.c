#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include "client.h"
#include "moortack/config/config.h"

#define KEY_BYTES 24
#define KEY_TEXT_SIZE 96
#define TOKEN_KEY_BYTES 32
#define CURVE_TEXT_SIZE 41

static command_status_t
peer_key_create(err_t *err)
{
	char public[CURVE_TEXT_SIZE];
	char secret[CURVE_TEXT_SIZE];

	if (zmq_curve_keypair(public, secret) != 0) {
		err_set(err, ERR_INTERNAL, "libzmq was built without CURVE");
		return COMMAND_FAILED;
	}
	printf("%s\n", secret);
	return COMMAND_OK;
}

static command_status_t
token_key_create(void)
{
	unsigned char bytes[TOKEN_KEY_BYTES];
	char text[2 * TOKEN_KEY_BYTES + 1];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(text, sizeof(text), bytes, sizeof(bytes));
	printf("%s\n", text);
	return COMMAND_OK;
}

static command_status_t
key_print(const command_context_t *context, const char *key)
{
	char hash[CONFIG_KEY_HASH_SIZE];

	api_key_hash(key, hash);
	if (context->json)
		printf("{\"key\": \"%s\", \"hash\": \"%s\"}\n", key, hash);
	else
		printf("key  %s\nhash %s\n", key, hash);
	return COMMAND_OK;
}

/* A new key is only printed here; the configuration holds its hash alone. */
command_status_t
command_key(const command_context_t *context, err_t *err)
{
	const char *kind = context->arg_count > 0 ? context->args[0] : "";
	unsigned char bytes[KEY_BYTES];
	char key[KEY_TEXT_SIZE];

	if (strcmp(kind, "peer") == 0)
		return peer_key_create(err);
	if (strcmp(kind, "token") == 0)
		return token_key_create();
	if (strcmp(kind, "-") == 0) {
		if (fgets(key, sizeof(key), stdin) == NULL) {
			err_set(
			    err, ERR_BAD_REQUEST, "no key on standard input");
			return COMMAND_USAGE;
		}
		key[strcspn(key, "\n")] = '\0';
		return key_print(context, key);
	}
	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2base64(key, sizeof(key), bytes, sizeof(bytes),
	    sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	return key_print(context, key);
}
