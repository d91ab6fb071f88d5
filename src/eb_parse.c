#include "eb_parse.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "eb_tunables.h"

/* Limit for the request line, the header fields and their line ends. */
#define HEAD_MAX_BYTES                                \
	(EB_TARGET_MAX_BYTES + EB_HEADERS_MAX_BYTES + \
	 4 * EB_HEADERS_MAX_COUNT + 64)

enum stage { STAGE_HEAD, STAGE_BODY, STAGE_BAD };

struct eb_parse {
	http_parser parser;
	eb_parse_body_fn *body;
	void *ctx;
	enum stage stage;
	const struct eb_http_problem *problem;
	struct eb_parse_head head;
	char *name; /* of the header field being parsed */
	size_t name_bytes;
	char *value;
	size_t value_bytes;
	size_t target_bytes;
	int over_limit;
	int complete; /* the end of the message was parsed */
};

static const struct eb_http_problem bad_head = {
	400, "bad-request", "the request is not valid HTTP/1.1"
};
static const struct eb_http_problem bad_line = {
	400, "bad-request", "the request line is not valid"
};
static const struct eb_http_problem bad_method = {
	405, "bad-method", "the method is not supported"
};
static const struct eb_http_problem bad_version = {
	505, "bad-version", "only HTTP/1.0 and HTTP/1.1 are supported"
};
static const struct eb_http_problem bad_length = {
	400, "bad-content-length", "Content-Length is repeated or not a number"
};
static const struct eb_http_problem long_target = {
	414, "target-too-long", "the request target is too long"
};

/* Appends to a string that may be NULL. Returns -1 without memory. */
static int append_text(char **text, size_t *have_bytes, const char *more,
		       size_t n)
{
	char *p = realloc(*text, *have_bytes + n + 1);

	if (!p)
		return -1;
	memcpy(p + *have_bytes, more, n);
	p[*have_bytes + n] = 0;
	*text = p;
	*have_bytes += n;
	return 0;
}

static int on_target(http_parser *hp, const char *at, size_t n)
{
	struct eb_parse *ps = hp->data;

	return append_text(&ps->head.target, &ps->target_bytes, at, n);
}

/* Adds the current header field to the list. */
static int finish_field(struct eb_parse *ps)
{
	if (!ps->name)
		return 0;
	if (eb_headers_add(&ps->head.headers, ps->name,
			   ps->value ? ps->value : ""))
		ps->over_limit = 1;
	free(ps->name);
	free(ps->value);
	ps->name = ps->value = NULL;
	ps->name_bytes = ps->value_bytes = 0;
	return 0;
}

static int on_field(http_parser *hp, const char *at, size_t n)
{
	struct eb_parse *ps = hp->data;

	if (ps->stage == STAGE_BODY)
		return 0; /* trailer fields are dropped */
	if (ps->value)
		finish_field(ps);
	return append_text(&ps->name, &ps->name_bytes, at, n);
}

static int on_value(http_parser *hp, const char *at, size_t n)
{
	struct eb_parse *ps = hp->data;

	if (ps->stage == STAGE_BODY)
		return 0;
	return append_text(&ps->value, &ps->value_bytes, at, n);
}

static int on_headers_complete(http_parser *hp)
{
	struct eb_parse *ps = hp->data;

	finish_field(ps);
	/* A request to upgrade the protocol is ignored. */
	hp->upgrade = 0;
	http_parser_pause(hp, 1);
	return 0;
}

static int on_body(http_parser *hp, const char *at, size_t n)
{
	struct eb_parse *ps = hp->data;

	ps->body(ps->ctx, at, n);
	return 0;
}

static int on_message_complete(http_parser *hp)
{
	struct eb_parse *ps = hp->data;

	ps->complete = 1;
	http_parser_pause(hp, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_target,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/*
 * Creates a parser for a new connection. `body` receives the body bytes, with
 * `ctx`. Returns NULL without memory.
 */
struct eb_parse *eb_parse_new(eb_parse_body_fn *body, void *ctx)
{
	struct eb_parse *ps = calloc(1, sizeof(*ps));

	if (!ps)
		return NULL;
	ps->body = body;
	ps->ctx = ctx;
	http_parser_init(&ps->parser, HTTP_REQUEST);
	ps->parser.data = ps;
	return ps;
}

static void clear_head(struct eb_parse *ps)
{
	free(ps->head.target);
	free(ps->name);
	free(ps->value);
	eb_headers_clear(&ps->head.headers);
	memset(&ps->head, 0, sizeof(ps->head));
	ps->name = ps->value = NULL;
	ps->name_bytes = ps->value_bytes = ps->target_bytes = 0;
	ps->over_limit = 0;
	ps->complete = 0;
}

/* Frees the parser; NULL is allowed. */
void eb_parse_free(struct eb_parse *ps)
{
	if (!ps)
		return;
	clear_head(ps);
	free(ps);
}

/* Returns the head parsed last. */
struct eb_parse_head *eb_parse_head(struct eb_parse *ps)
{
	return &ps->head;
}

/* Returns why the request is not valid, after EB_PARSE_BAD. */
const struct eb_http_problem *eb_parse_problem(const struct eb_parse *ps)
{
	return ps->problem;
}

/* Tells whether the next bytes belong to a body. */
int eb_parse_in_body(const struct eb_parse *ps)
{
	return ps->stage == STAGE_BODY;
}

/* Rejects the request; every later eb_parse_run() returns EB_PARSE_BAD. */
static enum eb_parse_event reject(struct eb_parse *ps,
				  const struct eb_http_problem *pb)
{
	ps->stage = STAGE_BAD;
	ps->problem = pb;
	return EB_PARSE_BAD;
}

/* Returns the size of a head with its empty line, or 0 if incomplete. */
static size_t head_bytes(const char *p, size_t n)
{
	const char *end = memmem(p, n, "\r\n\r\n", 4);

	return end ? (size_t)(end - p) + 4 : 0;
}

/*
 * Checks the bytes of a head: each line ends with CR LF and contains no control
 * character but the tab; no header is folded over several lines; each header
 * has a name, without a space before its colon.
 */
static const struct eb_http_problem *check_bytes(const char *p, size_t n)
{
	const char *end = p + n - 4, *line = p, *stop, *c;
	int first = 1;

	while (line < end) {
		stop = memmem(line, (size_t)(end + 2 - line), "\r\n", 2);
		for (c = line; c < stop; c++)
			if (((unsigned char)*c < ' ' && *c != '\t') ||
			    *c == 127)
				return first ? &bad_line : &eb_http_bad_header;
		if (!first) {
			c = memchr(line, ':', (size_t)(stop - line));
			if (!c || c == line || *line == ' ' || *line == '\t' ||
			    c[-1] == ' ' || c[-1] == '\t')
				return &eb_http_bad_header;
		}
		first = 0;
		line = stop + 2;
	}
	return first ? &bad_line : NULL;
}

/* Returns why the bytes can't be the start of a valid head, or NULL. */
static const struct eb_http_problem *check_partial(const char *p, size_t n)
{
	const char *line;
	size_t i;

	for (i = 0; i < n; i++)
		if (!p[i])
			return &bad_head;
	for (line = p; (line = memchr(line, '\n', n - (size_t)(line - p)));
	     line++)
		if (line == p || line[-1] != '\r')
			return &bad_head;
	if (n <= HEAD_MAX_BYTES)
		return NULL;
	return memchr(p, '\n', n) ? &eb_http_headers_too_large : &long_target;
}

/* Maps an error of the HTTP parser. */
static const struct eb_http_problem *parser_problem(const http_parser *hp)
{
	switch (HTTP_PARSER_ERRNO(hp)) {
	case HPE_INVALID_METHOD:
		return &bad_method;
	case HPE_INVALID_VERSION:
		return &bad_version;
	case HPE_INVALID_CONTENT_LENGTH:
	case HPE_UNEXPECTED_CONTENT_LENGTH:
		return &bad_length;
	case HPE_HEADER_OVERFLOW:
		return &eb_http_headers_too_large;
	default:
		return &bad_head;
	}
}

/* Checks the parsed head; the body follows. */
static enum eb_parse_event check_head(struct eb_parse *ps)
{
	struct eb_parse_head *hd = &ps->head;
	const struct eb_http_problem *pb;
	struct eb_http_request rq = { 0 };

	hd->method = http_method_str((enum http_method)ps->parser.method);
	if (ps->parser.http_major != 1 || ps->parser.http_minor > 1)
		return reject(ps, &bad_version);
	hd->http11 = ps->parser.http_minor == 1;
	if (ps->over_limit)
		return reject(ps, &eb_http_headers_too_large);
	rq.method = hd->method;
	rq.target = hd->target ? hd->target : "";
	rq.headers = &hd->headers;
	rq.http11 = hd->http11;
	pb = eb_http_check(&rq, &hd->body);
	if (pb)
		return reject(ps, pb);
	hd->keep_alive = http_should_keep_alive(&ps->parser) != 0;
	ps->stage = STAGE_BODY;
	return EB_PARSE_HEAD;
}

/* Parses a head once all of it has arrived. */
static enum eb_parse_event run_head(struct eb_parse *ps, const char *data,
				    size_t bytes, size_t *used)
{
	const struct eb_http_problem *pb;
	size_t skip = 0, n;

	/* Empty lines before a request are allowed. */
	while (bytes - skip >= 2 && !memcmp(data + skip, "\r\n", 2))
		skip += 2;
	data += skip;
	bytes -= skip;
	*used = skip;
	if (!bytes)
		return EB_PARSE_MORE;
	n = head_bytes(data, bytes);
	pb = check_partial(data, n ? n : bytes);
	if (!pb && n)
		pb = check_bytes(data, n);
	if (pb)
		return reject(ps, pb);
	if (!n)
		return EB_PARSE_MORE;
	clear_head(ps);
	*used += http_parser_execute(&ps->parser, &callbacks, data, n);
	if (HTTP_PARSER_ERRNO(&ps->parser) != HPE_PAUSED)
		return reject(ps, parser_problem(&ps->parser));
	http_parser_pause(&ps->parser, 0);
	return check_head(ps);
}

/* Parses body bytes up to the end of the request. */
static enum eb_parse_event run_body(struct eb_parse *ps, const char *data,
				    size_t bytes, size_t *used)
{
	/* The last byte of the head is parsed here: it ends an empty body. */
	*used = http_parser_execute(&ps->parser, &callbacks, data, bytes);
	if (ps->complete) {
		http_parser_pause(&ps->parser, 0);
		ps->stage = STAGE_HEAD;
		ps->complete = 0;
		return EB_PARSE_END;
	}
	if (HTTP_PARSER_ERRNO(&ps->parser) != HPE_OK)
		return reject(ps, parser_problem(&ps->parser));
	return EB_PARSE_MORE;
}

/*
 * Parses up to the next event. Sets `*used` to the number of bytes consumed;
 * the caller passes the unconsumed bytes again, followed by new ones. After
 * EB_PARSE_BAD, all later calls return EB_PARSE_BAD.
 */
enum eb_parse_event eb_parse_run(struct eb_parse *ps, const void *data,
				 size_t bytes, size_t *used)
{
	*used = 0;
	if (ps->stage == STAGE_BAD)
		return EB_PARSE_BAD;
	if (!bytes)
		return EB_PARSE_MORE;
	if (ps->stage == STAGE_BODY)
		return run_body(ps, data, bytes, used);
	return run_head(ps, data, bytes, used);
}
