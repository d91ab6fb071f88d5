#include "eb_stream.h"

#include <errno.h>
#include <gnutls/gnutls.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

struct eb_stream {
	int fd;
	gnutls_session_t session; /* NULL without TLS */
	int handshake_done;
	size_t retry_bytes; /* of an interrupted TLS write, else 0 */
};

/*
 * Creates a stream that owns a non-blocking socket; `tls` is NULL for one
 * without TLS. Returns NULL, and closes the socket, without memory or when the
 * TLS session can't be created.
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

/* Returns the descriptor to poll. */
int eb_stream_fd(const struct eb_stream *sm)
{
	return sm->fd;
}

static ssize_t socket_error(enum eb_stream_wait *wait,
			    enum eb_stream_wait direction)
{
	*wait = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR
			? direction
			: EB_STREAM_FAILED;
	return -1;
}

static ssize_t tls_error(const struct eb_stream *sm, ssize_t rc,
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

/* Runs the TLS handshake. Returns 0 when done, or -1 with `*wait` set. */
static int handshake(struct eb_stream *sm, enum eb_stream_wait *wait)
{
	int rc;

	if (sm->handshake_done)
		return 0;
	rc = gnutls_handshake(sm->session);
	if (rc < 0) {
		tls_error(sm, rc, wait);
		return -1;
	}
	sm->handshake_done = 1;
	return 0;
}

/*
 * Reads up to `bytes` bytes. Returns their number, 0 at the end of the stream,
 * or -1 with `*wait` set.
 */
ssize_t eb_stream_read(struct eb_stream *sm, void *buf, size_t bytes,
		       enum eb_stream_wait *wait)
{
	ssize_t n;

	if (!sm->session) {
		n = recv(sm->fd, buf, bytes, 0);
		return n < 0 ? socket_error(wait, EB_STREAM_READABLE) : n;
	}
	if (handshake(sm, wait))
		return -1;
	n = gnutls_record_recv(sm->session, buf, bytes);
	if (n == GNUTLS_E_PREMATURE_TERMINATION)
		return 0;
	return n < 0 ? tls_error(sm, n, wait) : n;
}

/*
 * Writes up to `bytes` bytes. Returns their number, or -1 with `*wait` set. A
 * retry after -1 passes the same bytes again.
 */
ssize_t eb_stream_write(struct eb_stream *sm, const void *buf, size_t bytes,
			enum eb_stream_wait *wait)
{
	ssize_t n;

	if (!sm->session) {
		n = send(sm->fd, buf, bytes, MSG_NOSIGNAL);
		return n < 0 ? socket_error(wait, EB_STREAM_WRITABLE) : n;
	}
	if (handshake(sm, wait))
		return -1;
	/* GnuTLS keeps the data of an interrupted write: retry with NULL. */
	n = gnutls_record_send(sm->session, sm->retry_bytes ? NULL : buf,
			       sm->retry_bytes ? 0 : bytes);
	if (n >= 0) {
		sm->retry_bytes = 0;
		return n;
	}
	if (n == GNUTLS_E_AGAIN || n == GNUTLS_E_INTERRUPTED)
		sm->retry_bytes = bytes;
	return tls_error(sm, n, wait);
}

/* Tells whether TLS holds decrypted bytes, which polling does not show. */
int eb_stream_has_buffered(const struct eb_stream *sm)
{
	return sm->session && sm->handshake_done &&
	       gnutls_record_check_pending(sm->session) > 0;
}

/*
 * Makes the close of the connection send a reset, or an orderly end again. The
 * kernel does so as well when it closes the connection of a killed process.
 */
void eb_stream_set_reset(struct eb_stream *sm, int on)
{
	struct linger lg = { .l_onoff = on, .l_linger = 0 };

	setsockopt(sm->fd, SOL_SOCKET, SO_LINGER, &lg, sizeof(lg));
}

/* Shuts down sending, with the close alert of TLS first. */
void eb_stream_shutdown_write(struct eb_stream *sm)
{
	if (sm->session && sm->handshake_done)
		gnutls_bye(sm->session, GNUTLS_SHUT_WR);
	shutdown(sm->fd, SHUT_WR);
}
