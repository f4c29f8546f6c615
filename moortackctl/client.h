/**
 * @file
 * Calls to the entries' admin paths.
 */
#ifndef MOORTACKCTL_CLIENT_H
#define MOORTACKCTL_CLIENT_H

#include "command.h"

/**
 * Call the first entry that answers.
 * @param body NULL: GET; else POST, its reference is taken
 * @param out receives the answer, also of a failure, if it was JSON
 * @return the outcome; @p err says why
 */
command_status_t client_call(const command_context_t *, const char *path,
    json_t *body, json_t **out, err_t *err);

/** Call one entry. @param out as above @return HTTP status; 0: no answer */
int client_entry_get(const command_context_t *, const http_address_t *,
    const char *path, json_t **out);

/** The text that an entry answers to GET, or NULL; the caller frees it. */
char *client_text_get(
    const command_context_t *, const http_address_t *, const char *path);

/** Ask for a plan of one intent, print it, and take over its id.
 * @param changes its "changes"; the reference is taken */
command_status_t
client_plan_create(const command_context_t *, json_t *changes, err_t *err);

/** Print a value as indented JSON. */
void client_json_print(const json_t *);

#endif
