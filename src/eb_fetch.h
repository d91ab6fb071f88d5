#ifndef EB_FETCH_H
#define EB_FETCH_H

#include <curl/curl.h>

#include "eb_body.h"
#include "eb_dechunk.h"
#include "eb_status_line.h"

/*
 * Receives an answer of the platform, of an upstream's load probe or of a
 * daemon's admin port with libcurl, buffered and with bounds on all its parts.
 */

/* All lines of an answer's head together, those of 1xx answers included. */
#define EB_FETCH_HEAD_MAX_BYTES 65536

struct eb_fetch {
	struct eb_body body; /* the owner frees `text` */
	size_t body_max_bytes;
	/* Called for each header line if not NULL. */
	void (*on_header)(void *ctx, const char *line, size_t bytes);
	void *ctx;
	struct eb_dechunk chunks;
	size_t head_bytes;
	struct eb_status_line line;
	uint8_t chunked;
};

void eb_fetch_attach(struct eb_fetch *ft, CURL *easy);
void eb_fetch_reset(struct eb_fetch *ft);
int eb_fetch_header_value(const char *line, size_t n, const char *name,
			  char *value, size_t bytes);

#endif
