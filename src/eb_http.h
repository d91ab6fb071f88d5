#ifndef EB_HTTP_H
#define EB_HTTP_H

#include <stdint.h>

#include "eb_frame.h"
#include "eb_headers.h"

/* Why a request is answered with 4xx or 505 and not forwarded. */
struct eb_http_problem {
	uint16_t status;
	const char *code;   /* stable, for programs */
	const char *reason; /* for people */
};

/* The head of a request, to be checked before it is forwarded. */
struct eb_http_request {
	const char *method;
	const char *target;
	const struct eb_headers *headers; /* as the caller sent them */
	uint8_t http11;
};

/* The body of a checked request, according to its headers. */
struct eb_http_body {
	uint8_t chunked;
	uint8_t expect_continue;
	uint64_t length_bytes;
};

const struct eb_http_problem *eb_http_check(const struct eb_http_request *rq,
					    struct eb_http_body *body);
const struct eb_http_problem *eb_http_check_target(const char *target);
int eb_http_is_hop_by_hop(const char *name);
enum eb_status eb_http_copy_end_to_end(const struct eb_headers *from,
				       struct eb_headers *to);
int eb_http_parse_number(const char *text, uint64_t *value);

/* Problems that other modules report. */
extern const struct eb_http_problem eb_http_headers_too_large;
extern const struct eb_http_problem eb_http_bad_header;
extern const struct eb_http_problem eb_http_body_read_error;

#endif
