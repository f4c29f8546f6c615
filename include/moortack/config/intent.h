/**
 * @file
 * An intent: what an operator wants changed. A JSON object with "changes", a
 * list of {"set": KIND, "name": NAME, "value": OBJECT} (fields are merged into
 * what is there; null removes a field) and {"remove": KIND, "name": NAME}. The
 * kinds are place, model, version and organisation.
 */
#ifndef MOORTACK_CONFIG_INTENT_H
#define MOORTACK_CONFIG_INTENT_H

#include <jansson.h>

#include "common/err.h"

/** A new document with the changes applied to a copy of @p document.
 * @return NULL with @p err filled; else the caller's reference */
json_t *intent_apply(const json_t *document, const json_t *intent, err_t *err);

/** The section of the document that holds entries of @p kind, or NULL. */
const char *intent_section(const char *kind);

/** An empty document. */
json_t *config_document_new(void);

#endif
