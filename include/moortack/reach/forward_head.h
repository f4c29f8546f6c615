/**
 * @file
 * The header by which a daemon that does not reach the endpoints sends a
 * request on through another one, and the header of the response. The first is
 * sealed with the fleet's key, so that only daemons of the fleet can have
 * requests handled on these terms.
 */
#ifndef MOORTACK_REACH_FORWARD_HEAD_H
#define MOORTACK_REACH_FORWARD_HEAD_H

#include <sodium.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/err.h"

/** Name of both headers. */
#define FORWARD_HEADER "Moortack-Forwarded"
/** Size of the text of a sealed head. */
#define FORWARD_TEXT_SIZE 160
/** Size of the text of a result. */
#define FORWARD_RESULT_SIZE 64

/** On what terms a request is sent on. */
typedef struct forward_head {
	int64_t remaining_ms;	    /**< time left for the response */
	int64_t since_first_try_ms; /**< since the caller's first try */
	uint32_t sends; /**< endpoints to which it may be sent at most */
	uint64_t config_version; /**< that the sender has in force */
} forward_head_t;

/** How a request that was sent on has ended at the other daemon. */
typedef struct forward_result {
	err_code_t code; /**< ERR_NONE: an endpoint's response follows */
	uint32_t sends;	 /**< endpoints to which it was sent */
} forward_result_t;

typedef struct forward_key {
	uint8_t bytes[crypto_aead_chacha20poly1305_ietf_KEYBYTES];
} forward_key_t;

/** All daemons derive it from the fleet's secret. */
void forward_key_derive(forward_key_t *, const char *fleet_secret);

/** @param id of the caller's try, to which the text is bound
 * @param text FORWARD_TEXT_SIZE bytes */
void forward_head_seal(
    const forward_head_t *, const forward_key_t *, const char *id, char *text);
/** @return false: it was not sealed by a daemon of this fleet for this request
 */
bool forward_head_open(
    forward_head_t *, const forward_key_t *, const char *id, const char *text);

/** @param text FORWARD_RESULT_SIZE bytes */
void forward_result_format(const forward_result_t *, char *text);
/** @return false: it is malformed */
bool forward_result_parse(forward_result_t *, const char *text);

#endif
