#ifndef EB_SOCKETS_H
#define EB_SOCKETS_H

#include <stdint.h>

/* Descriptors below this are tracked: twice what the largest VM may open. */
#define EB_SOCKETS_MAX 16384
/* A power of two, above the usual number of connections to an upstream. */
#define EB_SOCKETS_CACHED 1024

/* Bit set of the descriptors that curl opened; some are closed by now. */
struct eb_sockets {
	uint8_t bits[EB_SOCKETS_MAX / 8];
	/* Found last, by local port: a scan takes a system call for each. */
	int found[EB_SOCKETS_CACHED];
};

enum eb_sockets_input {
	EB_SOCKETS_INPUT_NONE, /* nothing to read, or no such socket */
	EB_SOCKETS_INPUT_BYTES,
	EB_SOCKETS_INPUT_END, /* the peer has closed in order */
	EB_SOCKETS_INPUT_FAILED,
};

void eb_sockets_add(struct eb_sockets *ss, int fd);
enum eb_sockets_input eb_sockets_peek(struct eb_sockets *ss, int local_port);

#endif
