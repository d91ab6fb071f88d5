#include "eb_stream.h"

#include <errno.h>
#include <gnutls/gnutls.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

struct eb_stream {
	int fd;
	gnutls_session_t session; /* NULL: plain */
	int shaken;		  /* the handshake is complete */
	size_t again_bytes;	  /* of a write that GnuTLS wants repeated */
};

/*
 * Makes a stream of a socket that does not block. Returns NULL, and closes
 * the socket, without memory or when TLS can't be set up.
 */
struct eb_stream *eb_stream_new(int fd, struct eb_tls *tls)
{
	struct eb_stream *sm = calloc(1, sizeof(*sm));

	if (sm && tls)
		sm->session = eb_tls_session(tls, fd);
	if (!sm || (tls && !sm->session)) {
		free(sm);
		close(fd);
		return NULL;
	}
	sm->fd = fd;
	return sm;
}

/* Closes the connection; NULL is allowed. */
void eb_stream_free(struct eb_stream *sm)
{
	if (!sm)
		return;
	if (sm->session)
		gnutls_deinit(sm->session);
	close(sm->fd);
	free(sm);
}

/* Returns the descriptor to wait on. */
int eb_stream_fd(const struct eb_stream *sm)
{
	return sm->fd;
}

static ssize_t plain_failed(enum eb_stream_wait *wait,
			    enum eb_stream_wait direction)
{
	*wait = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR
			? direction
			: EB_STREAM_FAILED;
	return -1;
}

static ssize_t tls_failed(const struct eb_stream *sm, ssize_t rc,
			  enum eb_stream_wait *wait)
{
	if (rc == GNUTLS_E_AGAIN || rc == GNUTLS_E_INTERRUPTED ||
	    !gnutls_error_is_fatal((int)rc))
		*wait = gnutls_record_get_direction(sm->session)
				? EB_STREAM_WRITABLE
				: EB_STREAM_READABLE;
	else
		*wait = EB_STREAM_FAILED;
	return -1;
}

static int shake(struct eb_stream *sm, enum eb_stream_wait *wait)
{
	int rc;

	if (sm->shaken)
		return 0;
	rc = gnutls_handshake(sm->session);
	if (rc < 0) {
		tls_failed(sm, rc, wait);
		return -1;
	}
	sm->shaken = 1;
	return 0;
}

/* Reads what has arrived; see the header. */
ssize_t eb_stream_read(struct eb_stream *sm, void *buf, size_t bytes,
		       enum eb_stream_wait *wait)
{
	ssize_t n;

	if (!sm->session) {
		n = recv(sm->fd, buf, bytes, 0);
		return n < 0 ? plain_failed(wait, EB_STREAM_READABLE) : n;
	}
	if (shake(sm, wait))
		return -1;
	n = gnutls_record_recv(sm->session, buf, bytes);
	if (n == GNUTLS_E_PREMATURE_TERMINATION)
		return 0;
	return n < 0 ? tls_failed(sm, n, wait) : n;
}

/* Writes as much as there is room for; see the header. */
ssize_t eb_stream_write(struct eb_stream *sm, const void *buf, size_t bytes,
			enum eb_stream_wait *wait)
{
	ssize_t n;

	if (!sm->session) {
		n = send(sm->fd, buf, bytes, MSG_NOSIGNAL);
		return n < 0 ? plain_failed(wait, EB_STREAM_WRITABLE) : n;
	}
	if (shake(sm, wait))
		return -1;
	/* A write that was interrupted is repeated with what it had. */
	n = gnutls_record_send(sm->session, sm->again_bytes ? NULL : buf,
			       sm->again_bytes ? 0 : bytes);
	if (n >= 0) {
		sm->again_bytes = 0;
		return n;
	}
	if (n == GNUTLS_E_AGAIN || n == GNUTLS_E_INTERRUPTED)
		sm->again_bytes = bytes;
	return tls_failed(sm, n, wait);
}

/* Tells whether TLS holds bytes that were read from the socket already. */
int eb_stream_buffered(const struct eb_stream *sm)
{
	return sm->session && sm->shaken &&
	       gnutls_record_check_pending(sm->session) > 0;
}

/* Tells the other side that nothing more comes. */
void eb_stream_finish(struct eb_stream *sm)
{
	if (sm->session && sm->shaken)
		gnutls_bye(sm->session, GNUTLS_SHUT_WR);
	shutdown(sm->fd, SHUT_WR);
}
