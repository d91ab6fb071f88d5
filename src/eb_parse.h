#ifndef EB_PARSE_H
#define EB_PARSE_H

#include <stddef.h>
#include <stdint.h>

#include "eb_headers.h"
#include "eb_http.h"

/*
 * Parses the requests of one connection. The bytes of a head are checked before
 * the HTTP parser reads them, because that parser repairs or skips some invalid
 * input. No I/O: bytes in, events out.
 */
struct eb_parse;

/* A parsed head; valid until eb_parse_run() is called again. */
struct eb_parse_head {
	const char *method;
	char *target;
	struct eb_headers headers; /* as the caller sent them */
	struct eb_http_body body;
	uint8_t http11;
	uint8_t keep_alive;
};

enum eb_parse_event {
	EB_PARSE_MORE = 0, /* all usable bytes are consumed; pass more */
	EB_PARSE_HEAD,	   /* a head is complete */
	EB_PARSE_END,	   /* the body is complete */
	EB_PARSE_BAD,	   /* not a valid request; see eb_parse_problem() */
};

/* Receives body bytes during eb_parse_run(). */
typedef void eb_parse_body_fn(void *ctx, const void *data, size_t bytes);

struct eb_parse *eb_parse_new(eb_parse_body_fn *body, void *ctx);
void eb_parse_free(struct eb_parse *ps);
enum eb_parse_event eb_parse_run(struct eb_parse *ps, const void *data,
				 size_t bytes, size_t *used);
int eb_parse_in_body(const struct eb_parse *ps);
struct eb_parse_head *eb_parse_head(struct eb_parse *ps);
const struct eb_http_problem *eb_parse_problem(const struct eb_parse *ps);

#endif
