#include "moortack/reach/forward_head.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "moortack/wire/peer.pb-c.h"

/* Separates the key from other keys derived from the fleet's secret. */
#define KEY_CONTEXT "moortack forwarded 1"
#define NONCE_SIZE crypto_aead_chacha20poly1305_ietf_NPUBBYTES
#define TAG_SIZE crypto_aead_chacha20poly1305_ietf_ABYTES
#define PLAIN_MAX 64
#define SEALED_MAX (NONCE_SIZE + PLAIN_MAX + TAG_SIZE)
#define TEXT_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING
#define RESULT_ENDPOINT "endpoint"
#define SENDS_MAX 1000

void
forward_key_derive(forward_key_t *key, const char *fleet_secret)
{
	crypto_generichash(key->bytes, sizeof(key->bytes),
	    (const uint8_t *)fleet_secret, strlen(fleet_secret),
	    (const uint8_t *)KEY_CONTEXT, sizeof(KEY_CONTEXT) - 1);
}

void
forward_head_seal(const forward_head_t *head, const forward_key_t *key,
    const char *id, char *text)
{
	Wire__Forward wire = WIRE__FORWARD__INIT;
	uint8_t plain[PLAIN_MAX], sealed[SEALED_MAX];
	unsigned long long sealed_len;
	size_t len;

	wire.remaining_ms = (uint64_t)head->remaining_ms;
	wire.since_first_try_ms = (uint64_t)head->since_first_try_ms;
	wire.sends = head->sends;
	wire.config_version = head->config_version;
	len = wire__forward__pack(&wire, plain);
	randombytes_buf(sealed, NONCE_SIZE);
	crypto_aead_chacha20poly1305_ietf_encrypt(sealed + NONCE_SIZE,
	    &sealed_len, plain, len, (const uint8_t *)id, strlen(id), NULL,
	    sealed, key->bytes);
	sodium_bin2base64(text, FORWARD_TEXT_SIZE, sealed,
	    NONCE_SIZE + (size_t)sealed_len, TEXT_VARIANT);
}

static bool
head_unpack(forward_head_t *head, const uint8_t *plain, size_t len)
{
	Wire__Forward *wire = wire__forward__unpack(NULL, len, plain);
	bool valid;

	if (wire == NULL)
		return false;
	valid = wire->remaining_ms <= INT32_MAX &&
	    wire->since_first_try_ms <= INT32_MAX;
	*head = (forward_head_t){.remaining_ms = (int64_t)wire->remaining_ms,
	    .since_first_try_ms = (int64_t)wire->since_first_try_ms,
	    .sends = wire->sends,
	    .config_version = wire->config_version};
	wire__forward__free_unpacked(wire, NULL);
	return valid;
}

bool
forward_head_open(forward_head_t *head, const forward_key_t *key,
    const char *id, const char *text)
{
	uint8_t sealed[SEALED_MAX], plain[PLAIN_MAX];
	unsigned long long plain_len;
	size_t len;

	if (sodium_base642bin(sealed, sizeof(sealed), text, strlen(text), NULL,
		&len, NULL, TEXT_VARIANT) != 0 ||
	    len < NONCE_SIZE + TAG_SIZE ||
	    crypto_aead_chacha20poly1305_ietf_decrypt(plain, &plain_len, NULL,
		sealed + NONCE_SIZE, len - NONCE_SIZE, (const uint8_t *)id,
		strlen(id), sealed, key->bytes) != 0)
		return false;
	return head_unpack(head, plain, (size_t)plain_len);
}

void
forward_result_format(const forward_result_t *result, char *text)
{
	snprintf(text, FORWARD_RESULT_SIZE, "%s %" PRIu32,
	    result->code == ERR_NONE ? RESULT_ENDPOINT
				     : err_info(result->code)->name,
	    result->sends);
}

bool
forward_result_parse(forward_result_t *result, const char *text)
{
	char name[FORWARD_RESULT_SIZE];
	const char *space = strchr(text, ' ');
	size_t len = space != NULL ? (size_t)(space - text) : sizeof(name);
	unsigned long sends;
	char *end;

	if (len >= sizeof(name) || space[1] < '0' || space[1] > '9')
		return false;
	sends = strtoul(space + 1, &end, 10);
	if (*end != '\0' || sends > SENDS_MAX)
		return false;
	memcpy(name, text, len);
	name[len] = '\0';
	*result = (forward_result_t){.sends = (uint32_t)sends};
	if (strcmp(name, RESULT_ENDPOINT) == 0)
		return true;
	result->code = err_code_from_name(name);
	return result->code != ERR_NONE;
}
