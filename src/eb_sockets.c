#include "eb_sockets.h"

#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>

/* Adds a descriptor; ignores one that is out of range. */
void eb_sockets_add(struct eb_sockets *ss, int fd)
{
	if (fd >= 0 && fd < EB_SOCKETS_MAX)
		ss->bits[fd / 8] |= (uint8_t)(1 << fd % 8);
}

static int has_port(int fd, int local_port)
{
	struct sockaddr_in sin = { 0 };
	socklen_t n = sizeof(sin);

	return !getsockname(fd, (struct sockaddr *)&sin, &n) &&
	       sin.sin_family == AF_INET && ntohs(sin.sin_port) == local_port;
}

static int is_added(const struct eb_sockets *ss, int fd)
{
	return ss->bits[fd / 8] & 1 << fd % 8;
}

/*
 * Returns the socket with a local port, or -1; port 0 has none. libcurl reports
 * a transfer's socket only after the transfer, its local port from the start.
 */
static int find(struct eb_sockets *ss, int local_port)
{
	int *found = &ss->found[local_port & (EB_SOCKETS_CACHED - 1)];
	int fd;

	if (!local_port)
		return -1;
	if (is_added(ss, *found) && has_port(*found, local_port))
		return *found;
	for (fd = 0; fd < EB_SOCKETS_MAX; fd++) {
		if (!is_added(ss, fd) || !has_port(fd, local_port))
			continue;
		*found = fd;
		return fd;
	}
	return -1;
}

/* Tells what can be read from the socket with a local port; takes nothing. */
enum eb_sockets_input eb_sockets_peek(struct eb_sockets *ss, int local_port)
{
	int fd = find(ss, local_port);
	ssize_t n;
	char byte;

	if (fd < 0)
		return EB_SOCKETS_INPUT_NONE;
	n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n > 0)
		return EB_SOCKETS_INPUT_BYTES;
	if (!n)
		return EB_SOCKETS_INPUT_END;
	return errno == EAGAIN || errno == EINTR ? EB_SOCKETS_INPUT_NONE
						 : EB_SOCKETS_INPUT_FAILED;
}
