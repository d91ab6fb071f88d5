#ifndef EB_HEADERS_H
#define EB_HEADERS_H

#include <stddef.h>
#include <stdint.h>

#include "eb_status.h"

/*
 * A list of HTTP headers in one block: name, NUL, value, NUL, and so on. Peers
 * send the block as it is.
 */
struct eb_headers {
	char *block;
	uint32_t used_bytes;
	uint32_t space_bytes;
	uint32_t count;
};

struct eb_header {
	const char *name;
	const char *value;
};

enum eb_status eb_headers_add(struct eb_headers *hs, const char *name,
			      const char *value);
enum eb_status eb_headers_load(struct eb_headers *hs, const void *block,
			       size_t bytes);
int eb_headers_next(const struct eb_headers *hs, uint32_t *pos,
		    struct eb_header *h);
const char *eb_headers_find(const struct eb_headers *hs, const char *name);
void eb_headers_clear(struct eb_headers *hs);

#endif
