#include "eb_headers.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "eb_tunables.h"

/* Grows the block to hold `more` bytes beyond those used. */
static enum eb_status reserve(struct eb_headers *hs, uint32_t more)
{
	uint32_t space = hs->space_bytes ? hs->space_bytes : 512;
	char *p;

	while (space - hs->used_bytes < more)
		space *= 2;
	if (space == hs->space_bytes)
		return EB_OK;
	p = realloc(hs->block, space);
	if (!p)
		return EB_ENOMEM;
	hs->block = p;
	hs->space_bytes = space;
	return EB_OK;
}

/*
 * Appends a header. Returns EB_EINVAL for an empty name, EB_EFULL past
 * EB_HEADERS_MAX_BYTES or EB_HEADERS_MAX_COUNT, or EB_ENOMEM.
 */
enum eb_status eb_headers_add(struct eb_headers *hs, const char *name,
			      const char *value)
{
	size_t n = strlen(name) + 1, v = strlen(value) + 1;

	if (n == 1)
		return EB_EINVAL;
	if (n + v > EB_HEADERS_MAX_BYTES ||
	    hs->used_bytes + n + v > EB_HEADERS_MAX_BYTES ||
	    hs->count == EB_HEADERS_MAX_COUNT)
		return EB_EFULL;
	if (reserve(hs, (uint32_t)(n + v)))
		return EB_ENOMEM;
	memcpy(hs->block + hs->used_bytes, name, n);
	memcpy(hs->block + hs->used_bytes + n, value, v);
	hs->used_bytes += (uint32_t)(n + v);
	hs->count++;
	return EB_OK;
}

/*
 * Copies a block received from a peer into an empty list. Returns EB_EPARSE
 * unless the block consists of complete pairs with non-empty names, EB_EFULL
 * over the limits of eb_headers_add(), or EB_ENOMEM.
 */
enum eb_status eb_headers_load(struct eb_headers *hs, const void *block,
			       size_t bytes)
{
	const char *p = block, *end = p + bytes, *value;
	enum eb_status st;

	if (bytes > EB_HEADERS_MAX_BYTES)
		return EB_EFULL;
	while (p < end) {
		value = memchr(p, 0, (size_t)(end - p));
		if (!value || value == p)
			return EB_EPARSE;
		value++;
		if (!memchr(value, 0, (size_t)(end - value)))
			return EB_EPARSE;
		st = eb_headers_add(hs, p, value);
		if (st)
			return st;
		p = value + strlen(value) + 1;
	}
	return EB_OK;
}

/*
 * Gets the next header and advances `*pos`, which starts at 0. Returns 0 at the
 * end of the list. The strings are valid until the list changes.
 */
int eb_headers_next(const struct eb_headers *hs, uint32_t *pos,
		    struct eb_header *h)
{
	if (*pos >= hs->used_bytes)
		return 0;
	h->name = hs->block + *pos;
	h->value = h->name + strlen(h->name) + 1;
	*pos = (uint32_t)(h->value + strlen(h->value) + 1 - hs->block);
	return 1;
}

/* Returns the first value of a header, or NULL. Names ignore case. */
const char *eb_headers_find(const struct eb_headers *hs, const char *name)
{
	struct eb_header h;
	uint32_t pos = 0;

	while (eb_headers_next(hs, &pos, &h))
		if (!strcasecmp(h.name, name))
			return h.value;
	return NULL;
}

/* Empties the list and frees its block. */
void eb_headers_clear(struct eb_headers *hs)
{
	free(hs->block);
	memset(hs, 0, sizeof(*hs));
}
