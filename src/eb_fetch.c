#include "eb_fetch.h"

#include <string.h>
#include <strings.h>

/* Tells whether a header line announces a chunked body. */
static int is_chunked(const char *line, size_t bytes)
{
	static const char name[] = "Transfer-Encoding:";
	const char *end = line + bytes, *p;

	if (bytes < sizeof(name) || strncasecmp(line, name, sizeof(name) - 1))
		return 0;
	for (p = line + sizeof(name) - 1; p + 7 <= end; p++)
		if (!strncasecmp(p, "chunked", 7))
			return 1;
	return 0;
}

/* Receives a header line from curl; 0 aborts the transfer. */
static size_t read_header(char *buf, size_t size, size_t items, void *data)
{
	struct eb_fetch *ft = data;
	size_t n = size * items;

	ft->head_bytes += n;
	if (ft->head_bytes > EB_FETCH_HEAD_MAX_BYTES)
		return 0;
	switch (eb_status_line_read(&ft->line, buf, n)) {
	case EB_HEAD_LINE_BAD:
		return 0;
	case EB_HEAD_LINE_STATUS:
		ft->chunked = 0;
		break;
	default:
		break;
	}
	if (is_chunked(buf, n)) {
		ft->chunked = 1;
		eb_dechunk_init(&ft->chunks);
	}
	if (ft->on_header)
		ft->on_header(ft->ctx, buf, n);
	return n;
}

/* Receives a part of the body from curl; 0 aborts the transfer. */
static size_t read_body(char *buf, size_t size, size_t items, void *data)
{
	struct eb_fetch *ft = data;
	uint8_t content[CURL_MAX_WRITE_SIZE];
	size_t n = size * items, at = 0, part, out;

	if (!ft->chunked)
		return eb_body_append(&ft->body, buf, n, ft->body_max_bytes)
			       ? 0
			       : n;
	for (; at < n; at += part) {
		part = n - at < sizeof(content) ? n - at : sizeof(content);
		if (eb_dechunk_feed(&ft->chunks, buf + at, part, content,
				    &out) ||
		    eb_body_append(&ft->body, content, out, ft->body_max_bytes))
			return 0;
	}
	return n;
}

/* Makes a transfer write to `ft`, which must stay until the transfer ends. */
void eb_fetch_attach(struct eb_fetch *ft, CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, ft);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, read_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, ft);
}

/* Prepares for the next answer; keeps the body's memory. */
void eb_fetch_reset(struct eb_fetch *ft)
{
	ft->body.bytes = 0;
	ft->head_bytes = 0;
	ft->chunked = 0;
	memset(&ft->line, 0, sizeof(ft->line));
}

/* Copies the value of a header line. Returns -1 for another header. */
int eb_fetch_header_value(const char *line, size_t n, const char *name,
			  char *value, size_t bytes)
{
	size_t at = strlen(name), len;

	if (n <= at || strncasecmp(line, name, at) != 0 || line[at] != ':')
		return -1;
	for (at++; at < n && line[at] == ' ';)
		at++;
	len = n - at < bytes ? n - at : bytes - 1;
	memcpy(value, line + at, len);
	value[len] = 0;
	value[strcspn(value, "\r\n")] = 0;
	return 0;
}
