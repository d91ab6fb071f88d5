#include "eb_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

/*
 * Parses an IPv4 or IPv6 address without brackets. Returns 0, or -1 if the text
 * is not an address; host names are never resolved.
 */
int eb_address_parse_ip(const char *ip, uint16_t port, struct eb_address *ad)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)&ad->sa;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&ad->sa;

	memset(ad, 0, sizeof(*ad));
	ad->port = port;
	if (inet_pton(AF_INET, ip, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		ad->length = sizeof(*v4);
		return 0;
	}
	if (inet_pton(AF_INET6, ip, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(port);
		ad->length = sizeof(*v6);
		return 0;
	}
	return -1;
}

/*
 * Parses IPv4:port or [IPv6]:port with a port from 1 to 65535 without leading
 * zeros. Returns 0, or -1 for any other text.
 */
int eb_address_parse(const char *text, struct eb_address *ad)
{
	const char *colon = strrchr(text, ':');
	unsigned long port;
	char ip[64], *end;
	size_t n;

	if (!colon || colon[1] < '1' || colon[1] > '9')
		return -1;
	port = strtoul(colon + 1, &end, 10);
	if (*end || port > UINT16_MAX)
		return -1;
	n = (size_t)(colon - text);
	if (n >= sizeof(ip))
		return -1;
	memcpy(ip, text, n);
	ip[n] = 0;
	if (ip[0] != '[')
		return strchr(ip, ':')
			       ? -1
			       : eb_address_parse_ip(ip, (uint16_t)port, ad);
	if (n < 2 || ip[n - 1] != ']')
		return -1;
	ip[n - 1] = 0;
	return strchr(ip, ':') ? eb_address_parse_ip(ip + 1, (uint16_t)port, ad)
			       : -1;
}

/*
 * Returns 1 for a loopback address: 127.0.0.0/8 or ::1. An IPv4 address mapped
 * to IPv6 is never one.
 */
int eb_address_is_loopback(const struct eb_address *ad)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)&ad->sa;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)&ad->sa;

	if (ad->sa.ss_family == AF_INET)
		return ntohl(v4->sin_addr.s_addr) >> 24 == 127;
	return IN6_IS_ADDR_LOOPBACK(&v6->sin6_addr);
}
