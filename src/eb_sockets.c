#include "eb_sockets.h"

#include <netinet/in.h>
#include <sys/socket.h>

/* Adds a descriptor; ignores one that is out of range. */
void eb_sockets_add(struct eb_sockets *ss, int fd)
{
	if (fd >= 0 && fd < EB_SOCKETS_MAX)
		ss->bits[fd / 8] |= (uint8_t)(1 << fd % 8);
}

/*
 * Returns the socket with a local port, or -1; port 0 has none. libcurl reports
 * a transfer's socket only after the transfer, its local port from the start.
 */
int eb_sockets_find(const struct eb_sockets *ss, int local_port)
{
	struct sockaddr_in sin = { 0 };
	socklen_t n;
	int fd;

	for (fd = 0; local_port && fd < EB_SOCKETS_MAX; fd++) {
		if (!(ss->bits[fd / 8] & 1 << fd % 8))
			continue;
		n = sizeof(sin);
		if (!getsockname(fd, (struct sockaddr *)&sin, &n) &&
		    sin.sin_family == AF_INET &&
		    ntohs(sin.sin_port) == local_port)
			return fd;
	}
	return -1;
}
