/**
 * @file
 * TLS by OpenSSL through libevent's bufferevents, version 1.2 or
 * newer.
 */
#ifndef COMMON_TLS_H
#define COMMON_TLS_H

#include <event2/http.h>

#include "common/err.h"

typedef struct tls tls_t;

/** A server context. @param cert_file certificate chain, PEM
 * @param key_file private key, PEM */
tls_t *tls_server_new(const char *cert_file, const char *key_file, err_t *err);

/** A client context that trusts only the certificates in a PEM file. */
tls_t *tls_client_new(const char *ca_file, err_t *err);

void tls_free(tls_t *);

/** The server's side of a TLS connection. It owns the socket, unless it fails.
 * @return NULL: no memory is left */
struct bufferevent *
tls_server_bufferevent(tls_t *, struct event_base *, evutil_socket_t fd);
/** Tell the peer that nothing more is sent. */
void tls_close_notify(struct bufferevent *);

/** A TLS connection to a host, given as an IP address, which the certificate
 * must name. */
struct evhttp_connection *tls_connection_new(
    tls_t *, struct event_base *, const char *host, unsigned short port);

#endif
