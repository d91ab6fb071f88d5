#ifndef EB_STREAM_H
#define EB_STREAM_H

#include <stddef.h>
#include <sys/types.h>

#include "eb_tls.h"

/* A connected non-blocking socket, with or without TLS. */
struct eb_stream;

/* After -1: the event to wait for before a retry, or that the stream failed. */
enum eb_stream_wait {
	EB_STREAM_READABLE,
	EB_STREAM_WRITABLE,
	EB_STREAM_FAILED,
};

struct eb_stream *eb_stream_new(int fd, struct eb_tls *tls);
void eb_stream_free(struct eb_stream *sm);
int eb_stream_fd(const struct eb_stream *sm);
ssize_t eb_stream_read(struct eb_stream *sm, void *buf, size_t bytes,
		       enum eb_stream_wait *wait);
ssize_t eb_stream_write(struct eb_stream *sm, const void *buf, size_t bytes,
			enum eb_stream_wait *wait);
int eb_stream_has_buffered(const struct eb_stream *sm);
void eb_stream_set_reset(struct eb_stream *sm, int on);
void eb_stream_shutdown_write(struct eb_stream *sm);

#endif
