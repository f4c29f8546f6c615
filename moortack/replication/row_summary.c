#include "moortack/replication/row_summary.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#define BASE64_VARIANT sodium_base64_VARIANT_ORIGINAL_NO_PADDING
#define BITS_PER_BYTE 8
#define BUCKETS_MIN 16
/* With a few rows in each bucket, a summary takes as many bytes as a few
 * hundred rows, and a row that differs makes few others be sent. */
#define ROWS_PER_BUCKET 8

uint32_t
row_summary_hash(const char *key)
{
	return (uint32_t)XXH3_64bits(key, strlen(key));
}

static size_t
bucket_of(size_t len, uint32_t hash)
{
	return hash & (len - 1);
}

void
row_summary_toggle(row_summary_t *summary, uint32_t hash, uint64_t digest)
{
	summary->digests[bucket_of(summary->len, hash)] ^= digest;
}

static void
fold_to(const row_summary_t *summary, size_t len, row_summary_t *out)
{
	out->len = len;
	memset(out->digests, 0, len * sizeof(out->digests[0]));
	for (size_t i = 0; i < summary->len; i++)
		out->digests[i & (len - 1)] ^= summary->digests[i];
}

void
row_summary_fold(const row_summary_t *summary, size_t rows, row_summary_t *out)
{
	size_t len = BUCKETS_MIN;

	while (len < summary->len && len * ROWS_PER_BUCKET < rows)
		len *= 2;
	fold_to(summary, len, out);
}

void
row_summary_compare(const row_summary_t *summary, const row_summary_t *other,
    row_bucket_set_t *out)
{
	static row_summary_t folded_summary, folded_other;
	size_t len = summary->len < other->len ? summary->len : other->len;

	*out = (row_bucket_set_t){.len = len};
	fold_to(summary, len, &folded_summary);
	fold_to(other, len, &folded_other);
	for (size_t i = 0; i < len; i++) {
		if (folded_summary.digests[i] != folded_other.digests[i])
			out->bits[i / BITS_PER_BYTE] |=
			    (uint8_t)(1 << i % BITS_PER_BYTE);
	}
}

bool
row_bucket_set_has(const row_bucket_set_t *set, uint32_t hash)
{
	size_t i = bucket_of(set->len, hash);

	return set->len == 0 ||
	    (set->bits[i / BITS_PER_BYTE] & 1 << i % BITS_PER_BYTE) != 0;
}

static json_t *
bytes_encode(const void *bytes, size_t len)
{
	static char text[sodium_base64_ENCODED_LEN(
	    ROW_SUMMARY_MAX * sizeof(uint64_t), BASE64_VARIANT)];

	sodium_bin2base64(text, sizeof(text), bytes, len, BASE64_VARIANT);
	return json_string(text);
}

/* @return number of bytes; 0: invalid */
static size_t
bytes_decode(const json_t *text, void *bytes, size_t size)
{
	size_t len;

	if (!json_is_string(text) ||
	    sodium_base642bin(bytes, size, json_string_value(text),
		json_string_length(text), NULL, &len, NULL,
		BASE64_VARIANT) != 0)
		return 0;
	return len;
}

static bool
is_bucket_count(size_t len)
{
	return len >= BUCKETS_MIN && len <= ROW_SUMMARY_MAX &&
	    (len & (len - 1)) == 0;
}

/* Digests travel in little-endian order. */
json_t *
row_summary_encode(const row_summary_t *summary)
{
	static uint8_t bytes[ROW_SUMMARY_MAX * sizeof(uint64_t)];

	for (size_t i = 0; i < summary->len * sizeof(uint64_t); i++)
		bytes[i] = (uint8_t)(summary->digests[i / sizeof(uint64_t)] >>
		    BITS_PER_BYTE * (i % sizeof(uint64_t)));
	return bytes_encode(bytes, summary->len * sizeof(uint64_t));
}

void
row_summary_decode(const json_t *text, row_summary_t *summary)
{
	static uint8_t bytes[ROW_SUMMARY_MAX * sizeof(uint64_t)];
	size_t len = bytes_decode(text, bytes, sizeof(bytes));

	summary->len = len / sizeof(uint64_t);
	if (len % sizeof(uint64_t) != 0 || !is_bucket_count(summary->len)) {
		summary->len = 0;
		return;
	}
	memset(summary->digests, 0, len);
	for (size_t i = 0; i < len; i++)
		summary->digests[i / sizeof(uint64_t)] |= (uint64_t)bytes[i]
		    << BITS_PER_BYTE * (i % sizeof(uint64_t));
}

json_t *
row_bucket_set_encode(const row_bucket_set_t *set)
{
	return bytes_encode(set->bits, set->len / BITS_PER_BYTE);
}

bool
row_bucket_set_decode(const json_t *text, row_bucket_set_t *set)
{
	set->len =
	    BITS_PER_BYTE * bytes_decode(text, set->bits, sizeof(set->bits));
	if (is_bucket_count(set->len))
		return true;
	set->len = 0;
	return false;
}
