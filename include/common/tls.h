/**
 * @file
 * TLS for evhttp, by OpenSSL through libevent's bufferevents.
 */
#ifndef COMMON_TLS_H
#define COMMON_TLS_H

#include <event2/http.h>

#include "common/err.h"

typedef struct tls tls_t;

/** A server's side: its certificate chain and key, PEM files. */
tls_t *tls_server_new(const char *cert_file, const char *key_file, err_t *err);

/** A client's side, which trusts the certificates in a PEM file alone. */
tls_t *tls_client_new(const char *ca_file, err_t *err);

void tls_free(tls_t *);

/** Let every connection of the server speak TLS. */
void tls_server_enable(tls_t *, struct evhttp *);

/** A connection to a host, by IP number, that speaks TLS and checks that the
 * certificate is for it. */
struct evhttp_connection *tls_connection_new(
    tls_t *, struct event_base *, const char *host, unsigned short port);

#endif
