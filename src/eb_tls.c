#include "eb_tls.h"

#include <gnutls/abstract.h>
#include <gnutls/gnutls.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#define CHAIN_MAX_CERTIFICATES 16
#define CHECK_PERIOD_US 1000000
/* The current pair and the previous one, which handshakes may still use. */
#define KEY_PAIRS 2

struct key_pair {
	gnutls_pcert_st chain[CHAIN_MAX_CERTIFICATES];
	unsigned int chain_count;
	gnutls_privkey_t key;
};

struct eb_tls {
	char *certificate_file;
	char *key_file;
	struct eb_log *log;
	gnutls_certificate_credentials_t credentials;
	struct key_pair *key_pairs[KEY_PAIRS]; /* newest first */
	struct stat certificate_stat;
	struct stat key_stat;
	int64_t checked_us;
};

static void free_key_pair(struct key_pair *kp)
{
	unsigned int i;

	if (!kp)
		return;
	for (i = 0; i < kp->chain_count; i++)
		gnutls_pcert_deinit(&kp->chain[i]);
	if (kp->key)
		gnutls_privkey_deinit(kp->key);
	free(kp);
}

static enum eb_status load_key(struct key_pair *kp, const char *file)
{
	gnutls_datum_t data = { 0 };
	int rc;

	if (gnutls_load_file(file, &data))
		return EB_EIO;
	rc = gnutls_privkey_init(&kp->key);
	if (!rc)
		rc = gnutls_privkey_import_x509_raw(
			kp->key, &data, GNUTLS_X509_FMT_PEM, NULL, 0);
	gnutls_memset(data.data, 0, data.size);
	gnutls_free(data.data);
	return rc ? EB_EPARSE : EB_OK;
}

static enum eb_status load_chain(struct key_pair *kp, const char *file)
{
	gnutls_datum_t data = { 0 };
	unsigned int n = CHAIN_MAX_CERTIFICATES;
	int rc;

	if (gnutls_load_file(file, &data))
		return EB_EIO;
	rc = gnutls_pcert_list_import_x509_raw(kp->chain, &n, &data,
					       GNUTLS_X509_FMT_PEM, 0);
	gnutls_free(data.data);
	if (rc)
		return EB_EPARSE;
	kp->chain_count = n;
	return EB_OK;
}

/* Tells whether the key belongs to the first certificate of the chain. */
static int pair_matches(struct key_pair *kp)
{
	unsigned char a[64], b[64];
	gnutls_pubkey_t pub;
	size_t n = sizeof(a), m = sizeof(b);
	int ok = 0;

	if (gnutls_pubkey_init(&pub))
		return 0;
	if (!gnutls_pubkey_import_privkey(pub, kp->key, 0, 0) &&
	    !gnutls_pubkey_get_key_id(pub, 0, a, &n) &&
	    !gnutls_pubkey_get_key_id(kp->chain[0].pubkey, 0, b, &m))
		ok = n == m && !memcmp(a, b, n);
	gnutls_pubkey_deinit(pub);
	return ok;
}

/* Loads both files as the new current pair. On error, nothing changes. */
static enum eb_status load(struct eb_tls *tls, struct eb_error *err)
{
	struct key_pair *kp = calloc(1, sizeof(*kp));
	const char *bad = NULL;

	if (!kp)
		return eb_error_set(err, EB_ENOMEM, "out of memory");
	if (load_chain(kp, tls->certificate_file))
		bad = "cannot read the certificate";
	else if (load_key(kp, tls->key_file))
		bad = "cannot read the key";
	else if (!pair_matches(kp))
		bad = "certificate and key do not match";
	if (bad) {
		free_key_pair(kp);
		return eb_error_set(err, EB_EPARSE, "%s", bad);
	}
	free_key_pair(tls->key_pairs[KEY_PAIRS - 1]);
	memmove(&tls->key_pairs[1], &tls->key_pairs[0],
		sizeof(kp) * (KEY_PAIRS - 1));
	tls->key_pairs[0] = kp;
	return EB_OK;
}

/* GnuTLS callback: returns the current pair of the session's eb_tls. */
static int get_key_pair(gnutls_session_t session,
			const gnutls_datum_t *req_ca_dn, int nreqs,
			const gnutls_pk_algorithm_t *pk_algos,
			int pk_algos_length, gnutls_pcert_st **pcert,
			unsigned int *pcert_length, gnutls_privkey_t *privkey)
{
	const struct eb_tls *tls = gnutls_session_get_ptr(session);
	struct key_pair *kp = tls->key_pairs[0];

	(void)req_ca_dn;
	(void)nreqs;
	(void)pk_algos;
	(void)pk_algos_length;
	*pcert = kp->chain;
	*pcert_length = kp->chain_count;
	*privkey = kp->key;
	return 0;
}

/*
 * Loads the certificate chain and key, both in PEM. Returns NULL and sets `err`
 * if a file cannot be read, they do not match, or without memory.
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
	gnutls_certificate_set_retrieve_function2(tls->credentials,
						  get_key_pair);
	return tls;
}

/* Frees `tls`; all its sessions must have ended. NULL is allowed. */
void eb_tls_free(struct eb_tls *tls)
{
	int i;

	if (!tls)
		return;
	for (i = 0; i < KEY_PAIRS; i++)
		free_key_pair(tls->key_pairs[i]);
	if (tls->credentials)
		gnutls_certificate_free_credentials(tls->credentials);
	free(tls->certificate_file);
	free(tls->key_file);
	free(tls);
}

/* Tells whether a file has been replaced or modified; updates `known`. */
static int file_changed(const char *file, struct stat *known)
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
 * Checks the files once a second and reloads both if one has changed. If the
 * pair is not usable, for instance because only one file has been replaced so
 * far, the old pair stays.
 */
void eb_tls_tick(struct eb_tls *tls, int64_t now_us)
{
	struct eb_error err = { 0 };
	int reload;

	if (now_us - tls->checked_us < CHECK_PERIOD_US)
		return;
	tls->checked_us = now_us;
	reload = file_changed(tls->certificate_file, &tls->certificate_stat);
	reload |= file_changed(tls->key_file, &tls->key_stat);
	if (!reload)
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
 * Creates a server session on a connected non-blocking socket. Returns NULL if
 * GnuTLS fails. The session must end before `tls` is freed.
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
