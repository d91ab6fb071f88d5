#include "eb_listen.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Opens a listening socket on IP:port. Returns -1 on failure. */
int eb_listen_open(const char *address, struct eb_error *err)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	char ip[64], *colon;
	int fd, one = 1;

	snprintf(ip, sizeof(ip), "%s", address);
	colon = strrchr(ip, ':');
	if (colon)
		*colon = 0;
	if (!colon || inet_pton(AF_INET, ip, &sa.sin_addr) != 1) {
		eb_error_set(err, EB_EINVAL, "%s is not IP:port", address);
		return -1;
	}
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, 1024)) {
		eb_error_set(err, EB_EIO, "cannot listen on %s", address);
		close(fd);
		return -1;
	}
	return fd;
}
