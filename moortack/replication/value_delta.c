#include "moortack/replication/value_delta.h"

#include <stdlib.h>
#include <zstd.h>

/* With this level, one changed byte in 426 KB makes a delta of 143 bytes, in 1
 * to 8 ms of a core that also does other work (six runs of a loop). */
#define COMPRESSION_LEVEL 3
/* Range of the compression window: base and value have to fit into it. */
#define WINDOW_LOG_MIN 10
#define WINDOW_LOG_MAX 26
/* A delta whose value claims to be larger is rejected. */
#define VALUE_MAX (64U << 20)

static int
window_log(size_t len)
{
	int log = WINDOW_LOG_MIN;

	while (log < WINDOW_LOG_MAX && ((size_t)1 << log) < len)
		log++;
	return log;
}

static bool
compress_against(ZSTD_CCtx *context, const char *base, size_t base_len,
    const char *value, size_t value_len, feed_bytes_t *delta)
{
	size_t size = ZSTD_compressBound(value_len);
	size_t len;

	ZSTD_CCtx_setParameter(
	    context, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
	ZSTD_CCtx_setParameter(
	    context, ZSTD_c_windowLog, window_log(base_len + value_len));
	ZSTD_CCtx_setParameter(context, ZSTD_c_enableLongDistanceMatching, 1);
	/* Detects that a value was restored from another base. */
	ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1);
	ZSTD_CCtx_refPrefix(context, base, base_len);
	delta->data = malloc(size);
	if (delta->data == NULL)
		return false;
	len = ZSTD_compress2(context, delta->data, size, value, value_len);
	if (ZSTD_isError(len)) {
		free(delta->data);
		delta->data = NULL;
		return false;
	}
	delta->len = len;
	return true;
}

bool
value_delta_make(const char *base, size_t base_len, const char *value,
    size_t value_len, feed_bytes_t *delta)
{
	ZSTD_CCtx *context = ZSTD_createCCtx();
	bool made = context != NULL &&
	    compress_against(context, base, base_len, value, value_len, delta);

	ZSTD_freeCCtx(context);
	return made;
}

static bool
decompress_against(ZSTD_DCtx *context, const char *base, size_t base_len,
    const void *delta, size_t delta_len, feed_bytes_t *value)
{
	unsigned long long size = ZSTD_getFrameContentSize(delta, delta_len);
	size_t len;

	/* The largest numbers are error codes. */
	if (size > VALUE_MAX)
		return false;
	ZSTD_DCtx_refPrefix(context, base, base_len);
	value->data = malloc((size_t)size + 1);
	if (value->data == NULL)
		return false;
	len = ZSTD_decompressDCtx(
	    context, value->data, (size_t)size, delta, delta_len);
	if (ZSTD_isError(len)) {
		free(value->data);
		value->data = NULL;
		return false;
	}
	value->data[len] = '\0';
	value->len = len;
	return true;
}

bool
value_delta_apply(const char *base, size_t base_len, const void *delta,
    size_t delta_len, feed_bytes_t *value)
{
	ZSTD_DCtx *context = ZSTD_createDCtx();
	bool applied = context != NULL &&
	    decompress_against(
		context, base, base_len, delta, delta_len, value);

	ZSTD_freeDCtx(context);
	return applied;
}
