#include "moortack/replication/feed_pack.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

/* A shorter text fits into one or two packets either way. */
#define PACK_MIN 2048
/* First byte of a packed message; no JSON text begins with it. */
#define PACK_MARK 'z'
#define LENGTH_SIZE 4
#define HEADER_SIZE (1 + LENGTH_SIZE)
/* Far more than all rows of the largest fleet: 5,000 endpoints and 10,000
 * routes of 400 bytes each. */
#define TEXT_MAX (64U << 20)
#define BITS_PER_BYTE 8

static void
length_write(char *at, size_t len)
{
	for (size_t i = 0; i < LENGTH_SIZE; i++)
		at[i] = (char)(len >> (BITS_PER_BYTE * i));
}

static size_t
length_read(const unsigned char *at)
{
	size_t len = 0;

	for (size_t i = 0; i < LENGTH_SIZE; i++)
		len |= (size_t)at[i] << (BITS_PER_BYTE * i);
	return len;
}

static bool
pack_plain(const char *text, size_t len, feed_bytes_t *packed)
{
	*packed = (feed_bytes_t){malloc(len + 1), len};
	if (packed->data == NULL)
		return false;
	memcpy(packed->data, text, len + 1);
	return true;
}

bool
feed_pack(const char *text, feed_bytes_t *packed)
{
	size_t len = strlen(text);
	uLongf size = compressBound(len);

	if (len < PACK_MIN || len > TEXT_MAX)
		return pack_plain(text, len, packed);
	packed->data = malloc(HEADER_SIZE + size);
	if (packed->data == NULL)
		return false;
	packed->data[0] = PACK_MARK;
	length_write(packed->data + 1, len);
	if (compress2((Bytef *)packed->data + HEADER_SIZE, &size,
		(const Bytef *)text, len, Z_BEST_SPEED) != Z_OK) {
		free(packed->data);
		return false;
	}
	packed->len = HEADER_SIZE + size;
	return true;
}

static bool
unpack_deflated(const unsigned char *data, size_t len, feed_bytes_t *text)
{
	uLongf size = length_read(data + 1);

	if (size > TEXT_MAX)
		return false;
	text->len = size;
	text->data = malloc(size + 1);
	if (text->data == NULL)
		return false;
	if (uncompress((Bytef *)text->data, &size, data + HEADER_SIZE,
		len - HEADER_SIZE) != Z_OK ||
	    size != text->len) {
		free(text->data);
		return false;
	}
	text->data[size] = '\0';
	return true;
}

bool
feed_unpack(const void *data, size_t len, feed_bytes_t *text)
{
	const unsigned char *bytes = data;

	if (len > HEADER_SIZE && bytes[0] == PACK_MARK)
		return unpack_deflated(bytes, len, text);
	*text = (feed_bytes_t){malloc(len + 1), len};
	if (text->data == NULL)
		return false;
	memcpy(text->data, data, len);
	text->data[len] = '\0';
	return true;
}
