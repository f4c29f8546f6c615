/**
 * @file
 * Interprets a fuzzer's input as a sequence of small decisions.
 */
#ifndef TEST_FUZZ_INPUT_H
#define TEST_FUZZ_INPUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct input {
	const uint8_t *bytes;
	size_t len;
	size_t at;
} input_t;

static inline bool
input_at_end(const input_t *input)
{
	return input->at >= input->len;
}

/** The next decision, from 0 to @p bound - 1; 0 at the end of the input. */
static inline uint32_t
input_below(input_t *input, uint32_t bound)
{
	if (input_at_end(input))
		return 0;
	return input->bytes[input->at++] % bound;
}

/** Abort if a condition does not hold, which the fuzzer reports as a finding.
 */
#define FUZZ_CHECK(holds)                                                  \
	do {                                                               \
		if (!(holds)) {                                            \
			fprintf(stderr, "%s:%d: %s\n", __FILE__, __LINE__, \
			    #holds);                                       \
			abort();                                           \
		}                                                          \
	} while (0)

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

#endif
