#include "eb_check.h"

#include <ctype.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <zmq.h>

#include "eb_address.h"

/*
 * Checks the name of an item. The allowed characters need no quoting in a log
 * line, a metric label or a shell.
 */
const char *eb_check_name(const char *text)
{
	const char *p;

	if (!*text || strlen(text) > EB_NAME_MAX_BYTES)
		return "a name has 1 to 47 characters";
	for (p = text; *p; p++)
		if (!isalnum((unsigned char)*p) && !strchr("._-", *p))
			return "a name consists of A-Z a-z 0-9 . _ -";
	return NULL;
}

/* Checks for IP:port or [IPv6]:port. */
const char *eb_check_address(const char *text)
{
	struct eb_address ad;

	return eb_address_parse(text, &ad) ? "expected IP:port" : NULL;
}

/* Checks a CURVE key, public or secret. */
const char *eb_check_key(const char *text)
{
	uint8_t raw[32];

	if (strlen(text) != EB_CURVE_KEY_CHARS || !zmq_z85_decode(raw, text))
		return "expected a CURVE key, Z85 of 40 characters";
	return NULL;
}
