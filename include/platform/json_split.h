/**
 * @file
 * Finds parts of a JSON text without reading it: a member of the outermost
 * object, and the elements of an array. What is found is not checked; whoever
 * parses the parts, and what is left without them, checks all of it.
 */
#ifndef PLATFORM_JSON_SPLIT_H
#define PLATFORM_JSON_SPLIT_H

#include <stdbool.h>
#include <stddef.h>

/** A part of a text. */
typedef struct json_span {
	const char *start;
	size_t len;
} json_span_t;

/** The value of a member.
 * @return false: the text is no object, or does not have the member exactly
 * once */
bool json_split_find_member(
    const char *text, size_t len, const char *name, json_span_t *value);

/** Whether a value is an array; @p rest is then what json_split_next_element()
 * goes on from. */
bool json_split_open_array(const json_span_t *value, json_span_t *rest);

/** The next element of an array.
 * @param rest moved on; its @c start is NULL if the array is malformed
 * @return false: there is none */
bool json_split_next_element(json_span_t *rest, json_span_t *element);

#endif
