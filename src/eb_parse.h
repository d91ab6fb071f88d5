#ifndef EB_PARSE_H
#define EB_PARSE_H

#include <stddef.h>
#include <stdint.h>

#include "eb_headers.h"
#include "eb_http.h"

/*
 * Reads the requests of one connection. The bytes of a head are checked before
 * the HTTP parser sees them, so that nothing it would repair or skip gets
 * through. Pure: bytes in, events out.
 */
struct eb_parse;

/* A head that has been read; valid until the parser goes on. */
struct eb_parse_head {
	const char *method;
	char *target;
	struct eb_headers headers; /* as the caller sent them */
	struct eb_http_body body;
	uint8_t http11;
	uint8_t keep_alive;
};

enum eb_parse_event {
	EB_PARSE_MORE = 0, /* all bytes are used up */
	EB_PARSE_HEAD,	   /* a head is complete */
	EB_PARSE_END,	   /* the body is complete */
	EB_PARSE_BAD,	   /* not a valid request; see eb_parse_problem() */
};

/* Takes body bytes while eb_parse_run() runs. */
typedef void eb_parse_body_fn(void *ctx, const void *data, size_t bytes);

struct eb_parse *eb_parse_new(eb_parse_body_fn *body, void *ctx);
void eb_parse_free(struct eb_parse *ps);
enum eb_parse_event eb_parse_run(struct eb_parse *ps, const void *data,
				 size_t bytes, size_t *used);
/* Whether bytes of a body are due next. */
int eb_parse_in_body(const struct eb_parse *ps);
struct eb_parse_head *eb_parse_head(struct eb_parse *ps);
const struct eb_http_problem *eb_parse_problem(const struct eb_parse *ps);

#endif
