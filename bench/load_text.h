/**
 * @file
 * Extracts the text of a streamed response.
 */
#ifndef BENCH_LOAD_TEXT_H
#define BENCH_LOAD_TEXT_H

#include <stdbool.h>

/**
 * Concatenates the content of a stream's events.
 * @param body is modified
 * @param out must have room for as many bytes as @p body
 * @param failure set if the stream contains an error event
 * @return false if the stream has no end mark
 */
bool stream_text_extract(char *body, char *out, const char **failure);

#endif
