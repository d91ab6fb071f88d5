#ifndef EB_ADDRESS_H
#define EB_ADDRESS_H

#include <stdint.h>
#include <sys/socket.h>

/* An IPv4 or IPv6 address with a port, for the socket calls. */
struct eb_address {
	struct sockaddr_storage sa;
	socklen_t length;
	uint16_t port;
};

int eb_address_parse(const char *text, struct eb_address *ad);
int eb_address_parse_ip(const char *ip, uint16_t port, struct eb_address *ad);
int eb_address_is_loopback(const struct eb_address *ad);

#endif
