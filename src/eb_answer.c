#include "eb_answer.h"

#include <http_parser.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eb_http.h"

/* Returns the number of pending bytes. */
size_t eb_answer_pending(const struct eb_answer_buffer *ob)
{
	return ob->used - ob->first;
}

/* Sets `*data` to the pending bytes and returns how many there are. */
size_t eb_answer_peek(const struct eb_answer_buffer *ob, const void **data)
{
	*data = ob->bytes + ob->first;
	return ob->used - ob->first;
}

/* Removes bytes that have been written. */
void eb_answer_consume(struct eb_answer_buffer *ob, size_t bytes)
{
	ob->first += bytes;
	if (ob->first == ob->used)
		ob->first = ob->used = 0;
}

/* Empties the buffer and frees its memory. */
void eb_answer_clear(struct eb_answer_buffer *ob)
{
	free(ob->bytes);
	memset(ob, 0, sizeof(*ob));
}

/* Appends bytes. Returns EB_ENOMEM without memory. */
enum eb_status eb_answer_append(struct eb_answer_buffer *ob, const void *data,
				size_t bytes)
{
	size_t space = ob->space ? ob->space : 1024;
	char *p;

	if (!bytes)
		return EB_OK;
	if (ob->first) {
		memmove(ob->bytes, ob->bytes + ob->first, ob->used - ob->first);
		ob->used -= ob->first;
		ob->first = 0;
	}
	while (space < ob->used + bytes)
		space *= 2;
	if (space != ob->space) {
		p = realloc(ob->bytes, space);
		if (!p)
			return EB_ENOMEM;
		ob->bytes = p;
		ob->space = space;
	}
	memcpy(ob->bytes + ob->used, data, bytes);
	ob->used += bytes;
	return EB_OK;
}

/* Appends bytes as one chunk. Skips an empty one, which would end the body. */
enum eb_status eb_answer_append_chunk(struct eb_answer_buffer *ob,
				      const void *data, size_t bytes)
{
	char size[24];
	int n = snprintf(size, sizeof(size), "%zx\r\n", bytes);
	enum eb_status st;

	if (!bytes)
		return EB_OK;
	st = eb_answer_append(ob, size, (size_t)n);
	if (!st)
		st = eb_answer_append(ob, data, bytes);
	return st ? st : eb_answer_append(ob, "\r\n", 2);
}

static enum eb_status append_line(struct eb_answer_buffer *ob, const char *fmt,
				  ...) __attribute__((format(printf, 2, 3)));

/* Appends a line and CR LF. Returns EB_EFULL for a line over 253 bytes. */
static enum eb_status append_line(struct eb_answer_buffer *ob, const char *fmt,
				  ...)
{
	char line[256];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(line, sizeof(line) - 2, fmt, ap);
	va_end(ap);
	if (n < 0 || n >= (int)sizeof(line) - 2)
		return EB_EFULL;
	line[n] = '\r';
	line[n + 1] = '\n';
	return eb_answer_append(ob, line, (size_t)n + 2);
}

static enum eb_status append_status(struct eb_answer_buffer *ob,
				    uint16_t status)
{
	return append_line(ob, "HTTP/1.1 %u %s", status,
			   http_status_str((enum http_status)status));
}

/* Appends Retry-After; without fractions, rounded up to whole seconds. */
static enum eb_status append_retry_after(struct eb_answer_buffer *ob,
					 const struct eb_answer_error *ea)
{
	if (!ea->retry_after_ms)
		return EB_OK;
	if (ea->fraction)
		return append_line(ob, "Retry-After: %u.%03u",
				   ea->retry_after_ms / 1000,
				   ea->retry_after_ms % 1000);
	return append_line(ob, "Retry-After: %u",
			   (ea->retry_after_ms + 999) / 1000);
}

/* Appends an error answer with a JSON body. */
enum eb_status eb_answer_write_error(struct eb_answer_buffer *ob,
				     const struct eb_answer_error *ea)
{
	enum eb_status st;
	char body[256];
	int n;

	n = snprintf(body, sizeof(body),
		     "{\"error\":\"%s\",\"reason\":\"%s\"}\n", ea->code,
		     ea->reason);
	st = append_status(ob, ea->status);
	if (!st)
		st = append_line(ob, "Content-Type: application/json");
	if (!st)
		st = append_line(ob, "Content-Length: %d", n);
	if (!st)
		st = append_line(ob, "Ebonypier-Outcome: %s",
				 eb_outcome_name(ea->outcome));
	if (!st)
		st = append_retry_after(ob, ea);
	if (!st && ea->close)
		st = append_line(ob, "Connection: close");
	if (!st)
		st = eb_answer_append(ob, "\r\n", 2);
	if (!st && !ea->no_body)
		st = eb_answer_append(ob, body, (size_t)n);
	return st;
}

static enum eb_status append_field(struct eb_answer_buffer *ob,
				   const struct eb_header *h)
{
	enum eb_status st = eb_answer_append(ob, h->name, strlen(h->name));

	if (!st)
		st = eb_answer_append(ob, ": ", 2);
	if (!st)
		st = eb_answer_append(ob, h->value, strlen(h->value));
	return st ? st : eb_answer_append(ob, "\r\n", 2);
}

static enum eb_status append_framing(struct eb_answer_buffer *ob,
				     const struct eb_answer_head *ah)
{
	const struct eb_reply *r = ah->reply;

	if (r->status == 204 || r->status == 304)
		return EB_OK;
	if (r->body_kind != EB_BODY_CHUNKED)
		return append_line(ob, "Content-Length: %llu",
				   (unsigned long long)r->body_bytes);
	if (!ah->http11)
		return EB_OK;
	return append_line(ob, "Transfer-Encoding: chunked");
}

/* Appends the head of an upstream's answer, framed for the caller. */
enum eb_status eb_answer_write_head(struct eb_answer_buffer *ob,
				    const struct eb_answer_head *ah)
{
	enum eb_status st = append_status(ob, ah->reply->status);
	struct eb_header h;
	uint32_t pos = 0;

	while (!st && eb_headers_next(&ah->reply->headers, &pos, &h))
		if (!eb_http_is_hop_by_hop(h.name))
			st = append_field(ob, &h);
	if (!st)
		st = append_line(ob, "Ebonypier-Outcome: %s",
				 eb_outcome_name(ah->reply->outcome));
	if (!st)
		st = append_framing(ob, ah);
	if (!st && ah->close)
		st = append_line(ob, "Connection: close");
	return st ? st : eb_answer_append(ob, "\r\n", 2);
}
