#include "eb_http.h"

#include <ctype.h>
#include <stddef.h>
#include <string.h>
#include <strings.h>

#define HEADER_NAME_MAX_BYTES 64

const struct eb_http_problem eb_http_headers_too_large = {
	431, "headers-too-large", "the header fields are too large"
};
const struct eb_http_problem eb_http_body_read_error = {
	400, "bad-body", "the request body could not be read"
};

static const struct eb_http_problem bad_method = {
	405, "bad-method", "the method is not supported"
};
static const struct eb_http_problem bad_target = {
	400, "bad-target", "the request target is not a valid path"
};
static const struct eb_http_problem dot_segment = {
	400, "bad-target", "the path has a dot segment"
};
static const struct eb_http_problem encoded_separator = {
	400, "bad-target", "the path has an encoded separator or NUL"
};
static const struct eb_http_problem long_target = {
	414, "target-too-long", "the request target is too long"
};
static const struct eb_http_problem bad_host = {
	400, "bad-host", "exactly one Host header is required"
};
static const struct eb_http_problem bad_host_name = {
	400, "bad-host", "the Host header is not a host and port"
};
static const struct eb_http_problem bad_length = {
	400, "bad-content-length", "Content-Length is repeated or not a number"
};
static const struct eb_http_problem bad_encoding = {
	400, "bad-transfer-encoding",
	"Transfer-Encoding is repeated or not 'chunked'"
};
static const struct eb_http_problem conflicting_framings = {
	400, "conflicting-length",
	"Content-Length and Transfer-Encoding exclude each other"
};
const struct eb_http_problem eb_http_bad_header = {
	400, "bad-header", "a header name or value has an invalid character"
};
static const struct eb_http_problem bad_expect = {
	417, "bad-expect", "only Expect: 100-continue is supported"
};
static const struct eb_http_problem bad_key = {
	400, "bad-idempotency-key",
	"Idempotency-Key is repeated, empty or too long"
};
static const struct eb_http_problem bad_number_header = {
	400, "bad-header", "a header of this system is not a number in range"
};

static const char *const methods[] = { "GET",	"HEAD",	  "POST",    "PUT",
				       "PATCH", "DELETE", "OPTIONS", NULL };

/*
 * Headers that are never forwarded as they are: those of one connection, and
 * those that each daemon sets itself.
 */
static const char *const hop_by_hop[] = { "Connection",
					  "Keep-Alive",
					  "Proxy-Authenticate",
					  "Proxy-Connection",
					  "Proxy-Authorization",
					  "TE",
					  "Trailer",
					  "Transfer-Encoding",
					  "Upgrade",
					  "Expect",
					  "Content-Length",
					  "Ebonypier-Outcome",
					  "Ebonypier-Hops",
					  "Ebonypier-Deadline-Ms",
					  "traceparent",
					  NULL };

static int is_listed(const char *const *list, const char *name)
{
	for (; *list; list++)
		if (!strcasecmp(*list, name))
			return 1;
	return 0;
}

/* Parses an unsigned decimal number. Returns -1 for other text or overflow. */
int eb_http_parse_number(const char *text, uint64_t *value)
{
	uint64_t v = 0;

	if (!*text)
		return -1;
	for (; *text; text++) {
		if (!isdigit((unsigned char)*text))
			return -1;
		if (v > (UINT64_MAX - 9) / 10)
			return -1;
		v = v * 10 + (uint64_t)(*text - '0');
	}
	*value = v;
	return 0;
}

/* Returns the value of two hexadecimal digits, or -1. */
static int hex_pair(const char *p)
{
	static const char digits[] = "0123456789abcdef";
	const char *a, *b;

	if (!p[0] || !p[1])
		return -1;
	a = strchr(digits, tolower((unsigned char)p[0]));
	b = strchr(digits, tolower((unsigned char)p[1]));
	if (!a || !b)
		return -1;
	return (int)((a - digits) * 16 + (b - digits));
}

/* Tells whether a path segment is "." or "..", percent-encoded or not. */
static int is_dot_segment(const char *p, size_t n)
{
	size_t i = 0, dots = 0;

	while (i < n) {
		if (p[i] == '.')
			i++;
		else if (n - i >= 3 && p[i] == '%' &&
			 hex_pair(p + i + 1) == '.')
			i += 3;
		else
			return 0;
		dots++;
	}
	return dots == 1 || dots == 2;
}

static const struct eb_http_problem *check_segment(const char *p, size_t n)
{
	size_t i;
	int c;

	if (is_dot_segment(p, n))
		return &dot_segment;
	for (i = 0; i < n; i++) {
		if (p[i] == '\\')
			return &bad_target;
		if (p[i] != '%')
			continue;
		c = n - i >= 3 ? hex_pair(p + i + 1) : -1;
		if (c < 0)
			return &bad_target;
		if (c == '/' || c == '\\' || c == 0)
			return &encoded_separator;
	}
	return NULL;
}

/*
 * Checks a request target. Only the origin form is valid: an absolute path with
 * an optional query. Returns NULL if it is valid.
 */
const struct eb_http_problem *eb_http_check_target(const char *target)
{
	size_t n = strlen(target), path = strcspn(target, "?"), i, seg;
	const struct eb_http_problem *pb;

	if (n > EB_TARGET_MAX_BYTES)
		return &long_target;
	if (target[0] != '/' || target[1] == '/')
		return &bad_target;
	for (i = 0; i < n; i++)
		if ((unsigned char)target[i] <= ' ' ||
		    (unsigned char)target[i] >= 127 || target[i] == '#')
			return &bad_target;
	for (i = 1; i <= path; i += seg + 1) {
		seg = strcspn(target + i, "/?");
		pb = check_segment(target + i, seg);
		if (pb)
			return pb;
	}
	return NULL;
}

/* Tells whether a header is never forwarded. Ignores case. */
int eb_http_is_hop_by_hop(const char *name)
{
	return is_listed(hop_by_hop, name);
}

/* Tells whether a Connection header names this header. */
static int named_by_connection(const struct eb_headers *hs, const char *name)
{
	size_t want = strlen(name), n;
	struct eb_header h;
	uint32_t pos = 0;
	const char *p;

	while (eb_headers_next(hs, &pos, &h)) {
		if (strcasecmp(h.name, "Connection"))
			continue;
		for (p = h.value; *p; p += n) {
			p += strspn(p, ", \t");
			n = strcspn(p, ", \t");
			if (n == want && !strncasecmp(p, name, n))
				return 1;
		}
	}
	return 0;
}

/*
 * Appends the end-to-end headers of `from` to `to`. Host is kept even when
 * Connection names it. Returns EB_OK, EB_EFULL or EB_ENOMEM.
 */
enum eb_status eb_http_copy_end_to_end(const struct eb_headers *from,
				       struct eb_headers *to)
{
	struct eb_header h;
	enum eb_status st;
	uint32_t pos = 0;

	while (eb_headers_next(from, &pos, &h)) {
		if (eb_http_is_hop_by_hop(h.name))
			continue;
		if (strcasecmp(h.name, "Host") &&
		    named_by_connection(from, h.name))
			continue;
		st = eb_headers_add(to, h.name, h.value);
		if (st)
			return st;
	}
	return EB_OK;
}

static int is_valid_header(const struct eb_header *h)
{
	const unsigned char *p;

	if (!*h->name || strlen(h->name) > HEADER_NAME_MAX_BYTES)
		return 0;
	for (p = (const unsigned char *)h->name; *p; p++)
		if (!isalnum(*p) && !strchr("!#$%&'*+-.^_`|~", *p))
			return 0;
	for (p = (const unsigned char *)h->value; *p; p++)
		if ((*p < ' ' && *p != '\t') || *p == 127)
			return 0;
	return 1;
}

struct field_counts {
	uint32_t host;
	uint32_t length;
	uint32_t encoding;
	uint32_t key;
};

/* Checks one header and counts it if it must not be repeated. */
static const struct eb_http_problem *check_field(const struct eb_header *h,
						 struct field_counts *ct,
						 struct eb_http_body *body)
{
	uint64_t number;

	if (!is_valid_header(h))
		return &eb_http_bad_header;
	if (!strcasecmp(h->name, "Host")) {
		ct->host++;
		if (h->value[strcspn(h->value, "/\\?#@ \t")])
			return &bad_host_name;
	} else if (!strcasecmp(h->name, "Content-Length")) {
		if (eb_http_parse_number(h->value, &body->length_bytes))
			return &bad_length;
		ct->length++;
	} else if (!strcasecmp(h->name, "Transfer-Encoding")) {
		if (strcasecmp(h->value, "chunked"))
			return &bad_encoding;
		ct->encoding++;
	} else if (!strcasecmp(h->name, "Expect")) {
		if (strcasecmp(h->value, "100-continue"))
			return &bad_expect;
		body->expect_continue = 1;
	} else if (!strcasecmp(h->name, "Idempotency-Key")) {
		ct->key++;
		if (!*h->value ||
		    strlen(h->value) > EB_IDEMPOTENCY_KEY_MAX_BYTES)
			return &bad_key;
	} else if (!strcasecmp(h->name, "Ebonypier-Hops") ||
		   !strcasecmp(h->name, "Ebonypier-Deadline-Ms")) {
		if (eb_http_parse_number(h->value, &number) ||
		    number > INT32_MAX)
			return &bad_number_header;
	}
	return NULL;
}

/*
 * Checks the method, target and headers of a request. Returns NULL and fills in
 * `body` if it may be forwarded.
 */
const struct eb_http_problem *eb_http_check(const struct eb_http_request *rq,
					    struct eb_http_body *body)
{
	const struct eb_http_problem *pb;
	struct field_counts ct = { 0 };
	struct eb_header h;
	uint32_t pos = 0;

	memset(body, 0, sizeof(*body));
	/* Methods are case-sensitive. */
	for (pos = 0; methods[pos]; pos++)
		if (!strcmp(methods[pos], rq->method))
			break;
	if (!methods[pos])
		return &bad_method;
	pb = eb_http_check_target(rq->target);
	if (pb)
		return pb;
	pos = 0;
	while (eb_headers_next(rq->headers, &pos, &h)) {
		pb = check_field(&h, &ct, body);
		if (pb)
			return pb;
	}
	if (ct.host > 1 || (!ct.host && rq->http11))
		return &bad_host;
	if (ct.length > 1)
		return &bad_length;
	if (ct.encoding > 1)
		return &bad_encoding;
	if (ct.encoding && ct.length)
		return &conflicting_framings;
	if (ct.key > 1)
		return &bad_key;
	body->chunked = ct.encoding > 0;
	return NULL;
}
