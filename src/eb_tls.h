#ifndef EB_TLS_H
#define EB_TLS_H

#include <gnutls/gnutls.h>
#include <stdint.h>

#include "eb_log.h"
#include "eb_status.h"

/*
 * The certificate and key for callers' connections. They are reloaded when the
 * files change; open connections keep theirs.
 */
struct eb_tls;

struct eb_tls *eb_tls_new(const char *certificate_file, const char *key_file,
			  struct eb_log *lg, struct eb_error *err);
void eb_tls_free(struct eb_tls *tls);
void eb_tls_tick(struct eb_tls *tls, int64_t now_us);
gnutls_session_t eb_tls_session(struct eb_tls *tls, int fd);

#endif
