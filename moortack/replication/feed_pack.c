#include "moortack/replication/feed_pack.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

/* A shorter text is one packet or two either way. */
#define PACK_MIN 2048
/* What a packed message begins with: no JSON text does. */
#define PACK_MARK 'z'
#define LENGTH_SIZE 4
#define HEAD_SIZE (1 + LENGTH_SIZE)
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
	uLongf room = compressBound(len);

	if (len < PACK_MIN || len > TEXT_MAX)
		return pack_plain(text, len, packed);
	packed->data = malloc(HEAD_SIZE + room);
	if (packed->data == NULL)
		return false;
	packed->data[0] = PACK_MARK;
	length_write(packed->data + 1, len);
	if (compress2((Bytef *)packed->data + HEAD_SIZE, &room,
		(const Bytef *)text, len, Z_BEST_SPEED) != Z_OK) {
		free(packed->data);
		return false;
	}
	packed->len = HEAD_SIZE + room;
	return true;
}

static bool
unpack_deflated(const unsigned char *data, size_t len, feed_bytes_t *text)
{
	uLongf room = length_read(data + 1);

	if (room > TEXT_MAX)
		return false;
	text->len = room;
	text->data = malloc(room + 1);
	if (text->data == NULL)
		return false;
	if (uncompress((Bytef *)text->data, &room, data + HEAD_SIZE,
		len - HEAD_SIZE) != Z_OK ||
	    room != text->len) {
		free(text->data);
		return false;
	}
	text->data[room] = '\0';
	return true;
}

bool
feed_unpack(const void *data, size_t len, feed_bytes_t *text)
{
	const unsigned char *bytes = data;

	if (len > HEAD_SIZE && bytes[0] == PACK_MARK)
		return unpack_deflated(bytes, len, text);
	*text = (feed_bytes_t){malloc(len + 1), len};
	if (text->data == NULL)
		return false;
	memcpy(text->data, data, len);
	text->data[len] = '\0';
	return true;
}
