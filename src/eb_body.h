#ifndef EB_BODY_H
#define EB_BODY_H

#include <stddef.h>

/* The body of an answer, buffered completely. */
struct eb_body {
	char *text; /* NUL-terminated, or NULL */
	size_t bytes;
};

int eb_body_append(struct eb_body *bd, const void *data, size_t bytes,
		   size_t max_bytes);

#endif
