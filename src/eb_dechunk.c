#include "eb_dechunk.h"

#include <assert.h>
#include <string.h>

/* Copies content to the output; called by the parser. */
static int on_body(http_parser *hp, const char *data, size_t bytes)
{
	struct eb_dechunk *dc = hp->data;

	memcpy(dc->out + dc->out_bytes, data, bytes);
	dc->out_bytes += bytes;
	return 0;
}

/* Stops the parser, so that it does not read on as another answer. */
static int on_complete(http_parser *hp)
{
	struct eb_dechunk *dc = hp->data;

	dc->done = 1;
	http_parser_pause(hp, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Prepares to decode one body. */
void eb_dechunk_init(struct eb_dechunk *dc)
{
	static const char head[] = "HTTP/1.1 200 OK\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n";
	size_t n;

	memset(dc, 0, sizeof(*dc));
	http_parser_init(&dc->parser, HTTP_RESPONSE);
	dc->parser.data = dc;
	n = http_parser_execute(&dc->parser, &callbacks, head,
				sizeof(head) - 1);
	assert(n == sizeof(head) - 1);
	(void)n;
}

/* Tells whether too many bytes so far were no content. */
static int has_excess_framing(const struct eb_dechunk *dc)
{
	return dc->raw_bytes - dc->content_bytes >
	       EB_DECHUNK_FRAMING_MAX_BYTES +
		       EB_DECHUNK_FRAMING_PER_BYTE * dc->content_bytes;
}

/*
 * Decodes a part of the body. `out` has room for `bytes` bytes and receives the
 * content, `*out_bytes` bytes; bytes behind the end of the body are ignored.
 * Returns -1 when the body is malformed or has too much framing.
 */
int eb_dechunk_feed(struct eb_dechunk *dc, const void *data, size_t bytes,
		    uint8_t *out, size_t *out_bytes)
{
	size_t used;

	*out_bytes = 0;
	if (dc->done)
		return 0;
	dc->out = out;
	dc->out_bytes = 0;
	used = http_parser_execute(&dc->parser, &callbacks, data, bytes);
	if (HTTP_PARSER_ERRNO(&dc->parser) != HPE_OK && !dc->done)
		return -1;
	dc->raw_bytes += used;
	dc->content_bytes += dc->out_bytes;
	*out_bytes = dc->out_bytes;
	return has_excess_framing(dc) ? -1 : 0;
}
