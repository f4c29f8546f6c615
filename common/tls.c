#include "common/tls.h"

#include <event2/bufferevent_ssl.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <stdlib.h>

struct tls {
	SSL_CTX *context;
};

static tls_t *
tls_new(const SSL_METHOD *method)
{
	tls_t *tls = calloc(1, sizeof(*tls));

	if (tls == NULL)
		return NULL;
	tls->context = SSL_CTX_new(method);
	if (tls->context == NULL) {
		free(tls);
		return NULL;
	}
	SSL_CTX_set_min_proto_version(tls->context, TLS1_2_VERSION);
	return tls;
}

static tls_t *
tls_fail(tls_t *tls, const char *file, err_t *err)
{
	err_set(err, ERR_SETTING, "%s: %s", file,
	    ERR_reason_error_string(ERR_get_error()));
	tls_free(tls);
	return NULL;
}

tls_t *
tls_server_new(const char *cert_file, const char *key_file, err_t *err)
{
	tls_t *tls = tls_new(TLS_server_method());

	if (tls == NULL)
		return tls_fail(tls, cert_file, err);
	if (SSL_CTX_use_certificate_chain_file(tls->context, cert_file) != 1)
		return tls_fail(tls, cert_file, err);
	if (SSL_CTX_use_PrivateKey_file(
		tls->context, key_file, SSL_FILETYPE_PEM) != 1 ||
	    SSL_CTX_check_private_key(tls->context) != 1)
		return tls_fail(tls, key_file, err);
	return tls;
}

tls_t *
tls_client_new(const char *ca_file, err_t *err)
{
	tls_t *tls = tls_new(TLS_client_method());

	if (tls == NULL ||
	    SSL_CTX_load_verify_locations(tls->context, ca_file, NULL) != 1)
		return tls_fail(tls, ca_file, err);
	SSL_CTX_set_verify(tls->context, SSL_VERIFY_PEER, NULL);
	return tls;
}

void
tls_free(tls_t *tls)
{
	if (tls == NULL)
		return;
	SSL_CTX_free(tls->context);
	free(tls);
}

struct bufferevent *
tls_server_bufferevent(tls_t *tls, struct event_base *base, evutil_socket_t fd)
{
	SSL *ssl = SSL_new(tls->context);
	struct bufferevent *bev;

	if (ssl == NULL)
		return NULL;
	bev = bufferevent_openssl_socket_new(
	    base, fd, ssl, BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE);
	if (bev == NULL) {
		SSL_free(ssl);
		return NULL;
	}
	bufferevent_openssl_set_allow_dirty_shutdown(bev, 1);
	return bev;
}

void
tls_close_notify(struct bufferevent *bev)
{
	SSL *ssl = bufferevent_openssl_get_ssl(bev);

	if (ssl != NULL && SSL_is_init_finished(ssl))
		SSL_shutdown(ssl);
	ERR_clear_error();
}

struct evhttp_connection *
tls_connection_new(
    tls_t *tls, struct event_base *base, const char *host, unsigned short port)
{
	SSL *ssl = SSL_new(tls->context);
	struct bufferevent *bev;

	if (ssl == NULL)
		return NULL;
	X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(ssl), host);
	bev = bufferevent_openssl_socket_new(
	    base, -1, ssl, BUFFEREVENT_SSL_CONNECTING, BEV_OPT_CLOSE_ON_FREE);
	if (bev == NULL) {
		SSL_free(ssl);
		return NULL;
	}
	bufferevent_openssl_set_allow_dirty_shutdown(bev, 1);
	return evhttp_connection_base_bufferevent_new(
	    base, NULL, bev, host, port);
}
