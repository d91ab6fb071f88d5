#ifndef EB_SOCKETS_H
#define EB_SOCKETS_H

#include <stdint.h>

/* Descriptors below this are tracked: twice what the largest VM may open. */
#define EB_SOCKETS_MAX 16384

/* Bit set of the descriptors that curl opened; some are closed by now. */
struct eb_sockets {
	uint8_t bits[EB_SOCKETS_MAX / 8];
};

void eb_sockets_add(struct eb_sockets *ss, int fd);
int eb_sockets_find(const struct eb_sockets *ss, int local_port);

#endif
