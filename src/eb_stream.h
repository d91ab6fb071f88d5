#ifndef EB_STREAM_H
#define EB_STREAM_H

#include <stddef.h>
#include <sys/types.h>

#include "eb_tls.h"

/* A connected socket, plain or with TLS, that never blocks. */
struct eb_stream;

/* What a call that returned -1 waits for, or that the connection failed. */
enum eb_stream_wait {
	EB_STREAM_READABLE,
	EB_STREAM_WRITABLE,
	EB_STREAM_FAILED,
};

/* Takes the descriptor over; `tls` is NULL for a plain one. */
struct eb_stream *eb_stream_new(int fd, struct eb_tls *tls);
void eb_stream_free(struct eb_stream *sm);
int eb_stream_fd(const struct eb_stream *sm);
/* Bytes read; 0 at the end of the stream; -1 with `*wait`. */
ssize_t eb_stream_read(struct eb_stream *sm, void *buf, size_t bytes,
		       enum eb_stream_wait *wait);
ssize_t eb_stream_write(struct eb_stream *sm, const void *buf, size_t bytes,
			enum eb_stream_wait *wait);
/* Whether bytes wait that the descriptor does not show. */
int eb_stream_buffered(const struct eb_stream *sm);
/* Ends the sending direction. */
void eb_stream_finish(struct eb_stream *sm);

#endif
