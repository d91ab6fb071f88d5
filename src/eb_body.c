#include "eb_body.h"

#include <stdlib.h>
#include <string.h>

/*
 * Appends bytes. Returns -1 without a change if the body would be longer than
 * `max_bytes`, or without memory.
 */
int eb_body_append(struct eb_body *bd, const void *data, size_t bytes,
		   size_t max_bytes)
{
	char *p;

	if (bytes > max_bytes || bd->bytes > max_bytes - bytes)
		return -1;
	p = realloc(bd->text, bd->bytes + bytes + 1);
	if (!p)
		return -1;
	memcpy(p + bd->bytes, data, bytes);
	bd->text = p;
	bd->bytes += bytes;
	p[bd->bytes] = 0;
	return 0;
}
