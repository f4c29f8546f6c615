/**
 * @file
 * HTTP calls to the admin paths of the entries.
 */
#ifndef MOORTACKCTL_CLIENT_H
#define MOORTACKCTL_CLIENT_H

#include "command.h"

/**
 * Call the entries in turn until one responds.
 * @param body NULL: GET; else POST; the reference is stolen
 * @param out receives the response, also to a failed call; NULL if it is not
 * JSON
 * @return the outcome; @p err says why
 */
command_status_t client_call(const command_context_t *, const char *path,
    json_t *body, json_t **out, err_t *err);

/**
 * Send a GET to one entry.
 * @param out as of client_call()
 * @return the HTTP status; 0: no response
 */
int client_entry_get(const command_context_t *, const http_address_t *,
    const char *path, json_t **out);

/** The body of an entry's response to a GET, or NULL if its status isn't 200;
 * the caller frees it. */
char *client_text_get(
    const command_context_t *, const http_address_t *, const char *path);

/**
 * Have an entry make a plan of one intent, and print the plan.
 * @param changes "changes" of the intent; the reference is stolen
 */
command_status_t
client_plan_create(const command_context_t *, json_t *changes, err_t *err);

/** Print a value as indented JSON on standard output. */
void client_json_print(const json_t *);

#endif
