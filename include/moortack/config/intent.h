/**
 * @file
 * An intent: the changes that an operator requests. A JSON object with
 * "changes", a list of {"set": KIND, "name": NAME, "value": OBJECT} (merges the
 * fields into the entry, if there is one; null removes a field) and
 * {"remove": KIND, "name": NAME}. The kinds are place, model, version and
 * organisation.
 */
#ifndef MOORTACK_CONFIG_INTENT_H
#define MOORTACK_CONFIG_INTENT_H

#include <jansson.h>

#include "common/err.h"

/** Applies the changes to a copy of @p document.
 * @return a new reference; NULL with @p err set on failure */
json_t *intent_apply(const json_t *document, const json_t *intent, err_t *err);

/** The section of the document that holds entries of @p kind; NULL if there is
 * no such kind. */
const char *intent_section(const char *kind);

/** An empty document; a new reference. */
json_t *config_document_new(void);

#endif
