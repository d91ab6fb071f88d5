#include "eb_tls.h"

#include <gnutls/abstract.h>
#include <gnutls/gnutls.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#define CHAIN_MAX 16
#define CHECK_PERIOD_US 1000000
/* The last one and the one before it, which handshakes may still use. */
#define GENERATIONS 2

struct generation {
	gnutls_pcert_st chain[CHAIN_MAX];
	unsigned int chain_count;
	gnutls_privkey_t key;
};

struct eb_tls {
	char *certificate_file;
	char *key_file;
	struct eb_log *log;
	gnutls_certificate_credentials_t credentials;
	struct generation *generations[GENERATIONS]; /* newest first */
	struct stat certificate_stat;
	struct stat key_stat;
	int64_t checked_us;
};

static void free_generation(struct generation *gn)
{
	unsigned int i;

	if (!gn)
		return;
	for (i = 0; i < gn->chain_count; i++)
		gnutls_pcert_deinit(&gn->chain[i]);
	if (gn->key)
		gnutls_privkey_deinit(gn->key);
	free(gn);
}

static enum eb_status load_key(struct generation *gn, const char *file)
{
	gnutls_datum_t data = { 0 };
	int rc;

	if (gnutls_load_file(file, &data))
		return EB_EIO;
	rc = gnutls_privkey_init(&gn->key);
	if (!rc)
		rc = gnutls_privkey_import_x509_raw(
			gn->key, &data, GNUTLS_X509_FMT_PEM, NULL, 0);
	gnutls_memset(data.data, 0, data.size);
	gnutls_free(data.data);
	return rc ? EB_EPARSE : EB_OK;
}

static enum eb_status load_chain(struct generation *gn, const char *file)
{
	gnutls_datum_t data = { 0 };
	unsigned int n = CHAIN_MAX;
	int rc;

	if (gnutls_load_file(file, &data))
		return EB_EIO;
	rc = gnutls_pcert_list_import_x509_raw(gn->chain, &n, &data,
					       GNUTLS_X509_FMT_PEM, 0);
	gnutls_free(data.data);
	if (rc)
		return EB_EPARSE;
	gn->chain_count = n;
	return EB_OK;
}

/* Tells whether the key signs for the first certificate of the chain. */
static int pair_matches(struct generation *gn)
{
	unsigned char a[64], b[64];
	gnutls_pubkey_t pub;
	size_t n = sizeof(a), m = sizeof(b);
	int ok = 0;

	if (gnutls_pubkey_init(&pub))
		return 0;
	if (!gnutls_pubkey_import_privkey(pub, gn->key, 0, 0) &&
	    !gnutls_pubkey_get_key_id(pub, 0, a, &n) &&
	    !gnutls_pubkey_get_key_id(gn->chain[0].pubkey, 0, b, &m))
		ok = n == m && !memcmp(a, b, n);
	gnutls_pubkey_deinit(pub);
	return ok;
}

static enum eb_status load(struct eb_tls *tls, struct eb_error *err)
{
	struct generation *gn = calloc(1, sizeof(*gn));
	const char *bad = NULL;

	if (!gn)
		return eb_error_set(err, EB_ENOMEM, "out of memory");
	if (load_chain(gn, tls->certificate_file))
		bad = "cannot read the certificate";
	else if (load_key(gn, tls->key_file))
		bad = "cannot read the key";
	else if (!pair_matches(gn))
		bad = "certificate and key do not match";
	if (bad) {
		free_generation(gn);
		return eb_error_set(err, EB_EPARSE, "%s", bad);
	}
	free_generation(tls->generations[GENERATIONS - 1]);
	memmove(&tls->generations[1], &tls->generations[0],
		sizeof(gn) * (GENERATIONS - 1));
	tls->generations[0] = gn;
	return EB_OK;
}

/* Gives a handshake the newest pair; the session names the instance. */
static int retrieve(gnutls_session_t session, const gnutls_datum_t *req_ca_dn,
		    int nreqs, const gnutls_pk_algorithm_t *pk_algos,
		    int pk_algos_length, gnutls_pcert_st **pcert,
		    unsigned int *pcert_length, gnutls_privkey_t *privkey)
{
	const struct eb_tls *tls = gnutls_session_get_ptr(session);
	struct generation *gn = tls->generations[0];

	(void)req_ca_dn;
	(void)nreqs;
	(void)pk_algos;
	(void)pk_algos_length;
	*pcert = gn->chain;
	*pcert_length = gn->chain_count;
	*privkey = gn->key;
	return 0;
}

/*
 * Reads certificate and key. Returns NULL and sets `err` when a file cannot
 * be read or they do not belong together.
 */
struct eb_tls *eb_tls_new(const char *certificate_file, const char *key_file,
			  struct eb_log *lg, struct eb_error *err)
{
	struct eb_tls *tls = calloc(1, sizeof(*tls));

	if (!tls) {
		eb_error_set(err, EB_ENOMEM, "out of memory");
		return NULL;
	}
	tls->certificate_file = strdup(certificate_file);
	tls->key_file = strdup(key_file);
	tls->log = lg;
	stat(certificate_file, &tls->certificate_stat);
	stat(key_file, &tls->key_stat);
	if (load(tls, err)) {
		eb_tls_free(tls);
		return NULL;
	}
	if (gnutls_certificate_allocate_credentials(&tls->credentials)) {
		tls->credentials = NULL;
		eb_error_set(err, EB_ENOMEM, "out of memory");
		eb_tls_free(tls);
		return NULL;
	}
	gnutls_certificate_set_retrieve_function2(tls->credentials, retrieve);
	return tls;
}

/* Frees everything; no handshake is running. */
void eb_tls_free(struct eb_tls *tls)
{
	int i;

	if (!tls)
		return;
	for (i = 0; i < GENERATIONS; i++)
		free_generation(tls->generations[i]);
	if (tls->credentials)
		gnutls_certificate_free_credentials(tls->credentials);
	free(tls->certificate_file);
	free(tls->key_file);
	free(tls);
}

static int changed(const char *file, struct stat *known)
{
	struct stat st;

	if (stat(file, &st))
		return 0;
	if (st.st_ino == known->st_ino &&
	    st.st_mtim.tv_sec == known->st_mtim.tv_sec &&
	    st.st_mtim.tv_nsec == known->st_mtim.tv_nsec)
		return 0;
	*known = st;
	return 1;
}

/*
 * Reads the files again when one has changed. A pair that is not usable, for
 * instance because only one file was replaced so far, leaves the old one.
 */
void eb_tls_tick(struct eb_tls *tls, int64_t now_us)
{
	struct eb_error err = { 0 };
	int again;

	if (now_us - tls->checked_us < CHECK_PERIOD_US)
		return;
	tls->checked_us = now_us;
	again = changed(tls->certificate_file, &tls->certificate_stat);
	again |= changed(tls->key_file, &tls->key_stat);
	if (!again)
		return;
	if (load(tls, &err))
		eb_log_write(tls->log, EB_LOG_WARN, "tls",
			     "kept the old certificate", "reason=\"%s\"",
			     err.message);
	else
		eb_log_write(tls->log, EB_LOG_INFO, "tls",
			     "certificate replaced", NULL);
}

/*
 * Starts a server session on a socket that does not block. Returns NULL when
 * GnuTLS refuses. The session must end before `tls` does.
 */
gnutls_session_t eb_tls_session(struct eb_tls *tls, int fd)
{
	gnutls_session_t session;

	if (gnutls_init(&session,
			GNUTLS_SERVER | GNUTLS_NONBLOCK | GNUTLS_NO_SIGNAL))
		return NULL;
	gnutls_session_set_ptr(session, tls);
	if (gnutls_set_default_priority(session) ||
	    gnutls_credentials_set(session, GNUTLS_CRD_CERTIFICATE,
				   tls->credentials)) {
		gnutls_deinit(session);
		return NULL;
	}
	gnutls_transport_set_int(session, fd);
	return session;
}
